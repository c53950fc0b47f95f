package store

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"
)

func newTestClient(t *testing.T, limits Limits) (*Memory, *Client) {
	t.Helper()
	m := NewMemory(limits, newRandom(1))
	server := httptest.NewServer(Handler(m))
	t.Cleanup(server.Close)
	return m, NewClient(server.Listener.Addr().String(), server.Client())
}

// Guards against a client that behaves differently from Memory, which it calls over HTTP.
func TestClientRoundTripsRowsAndObjects(t *testing.T) {
	_, c := newTestClient(t, Limits{})
	ctx := t.Context()
	version, err := c.Commit(ctx, put("Tables/a", "1"))
	if err != nil {
		t.Fatal(err)
	}
	rows, err := c.List(ctx, TablesPrefix)
	if err != nil || len(rows) != 1 || rows[0].Version != version || string(rows[0].Value) != "1" {
		t.Fatalf("got rows %v, %v", rows, err)
	}
	conflict := errorAs[*ConflictError](t, commitError(ctx, c, put("Tables/a", "2", Check{Key: "Tables/a"})))
	if conflict.Current[0].Version != version {
		t.Fatalf("got current %v, want version %d", conflict.Current, version)
	}
	name := RecordsName("agent 1", "x?y#z%")
	if err := c.PutObject(ctx, name, []byte{0, 1, 2}); err != nil {
		t.Fatal(err)
	}
	data, err := c.GetObject(ctx, name)
	if err != nil || !slices.Equal(data, []byte{0, 1, 2}) {
		t.Fatalf("got object %v, %v", data, err)
	}
	if names, err := c.ListObjects(ctx, RecordsPrefix); err != nil || !slices.Equal(names, []string{name}) {
		t.Fatalf("got names %q, %v", names, err)
	}
	if err := c.DeleteObject(ctx, name); err != nil {
		t.Fatal(err)
	}
	_, err = c.GetObject(ctx, name)
	requireError[*NotFoundError](t, err)
	requireError[*RequestError](t, commitError(ctx, c, Transaction{}))
	requireError[*TooLargeError](t, commitError(ctx, c, put("a", string(make([]byte, MaxValue+1)))))
}

// Guards against a client that reports a write as failed when only the response was lost.
func TestClientReportsLostResponses(t *testing.T) {
	m, c := newTestClient(t, Limits{WritesPerSecond: 2})
	ctx := t.Context()
	if err := c.SetFaults(ctx, Faults{LostResponses: 1}); err != nil {
		t.Fatal(err)
	}
	requireError[*OutcomeUnknownError](t, commitError(ctx, c, put("a", "1")))
	_, err := c.Get(ctx, "a")
	requireError[*UnavailableError](t, err)
	if m.countRows("a") != 1 {
		t.Fatal("the write had no effect")
	}
	if err := c.SetFaults(ctx, Faults{Down: true}); err != nil {
		t.Fatal(err)
	}
	requireError[*UnavailableError](t, commitError(ctx, c, put("a", "2")))
	if err := c.SetFaults(ctx, Faults{Delay: 200 * time.Millisecond}); err != nil {
		t.Fatal(err)
	}
	short, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
	defer cancel()
	requireError[*OutcomeUnknownError](t, c.PutObject(short, "b", nil))
	_ = m.SetFaults(Faults{})
	limited := errorAs[*RateLimitedError](t, commitError(ctx, c, put("a", "2")))
	if limited.RetryAfter <= 0 {
		t.Fatalf("retry after %v", limited.RetryAfter)
	}
}

// Guards against reporting an unknown outcome for a refused connection, over which no request was sent.
func TestClientReportsRefusedConnectionAsUnavailable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	c := NewClient(address, http.DefaultClient)
	requireError[*UnavailableError](t, commitError(t.Context(), c, put("a", "1")))
}
