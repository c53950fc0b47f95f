package operator

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"dogwoodglade/core/event"
	"dogwoodglade/core/pool"
	"dogwoodglade/core/route"
	"dogwoodglade/core/table"
	"dogwoodglade/io/store"
	"dogwoodglade/io/tables"
)

type testServer struct {
	store           *store.Memory
	http            *httptest.Server
	notReadyReasons []string
}

func newTestServer(t *testing.T) *testServer {
	t.Helper()
	s := &testServer{store: store.NewMemory(store.Limits{}, rand.New(rand.NewPCG(1, 0)))}
	startTime := time.Unix(0, 0)
	recorder := event.NewRecorder("entry-1", 100, func() time.Time { return startTime })
	processTables, stop := tables.New(tables.Config{
		Platform: s.store,
		Pull: func(context.Context, string, table.Versions) (table.PullResponse, error) {
			return table.PullResponse{}, nil
		},
		Record: func(e event.Event) { recorder.Record(e) },
		Random: rand.New(rand.NewPCG(1, 1)),
	})
	t.Cleanup(stop)
	registry := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("Starts", registry).Inc(3)
	s.http = httptest.NewServer(Handler(Config{
		Process: "entry-1", Tables: processTables, Recorder: recorder, Metrics: registry,
		NotReadyReasons: func() []string { return s.notReadyReasons },
	}))
	t.Cleanup(s.http.Close)
	return s
}

// Guards against responses of the operator API that differ from the documentation, and against error messages that
// do not say what to do.
func TestHandler(t *testing.T) {
	s := newTestServer(t)
	datadriven.RunTest(t, "testdata/operator", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "platform":
			if err := s.store.SetFaults(store.Faults{Down: d.HasArg("down")}); err != nil {
				t.Fatal(err)
			}
			return ""
		case "draining":
			s.notReadyReasons = []string{"draining"}
			return ""
		}
		body := d.Input
		if d.HasArg("repeat") {
			body = strings.Repeat(body, maxRowBytes)
		}
		url := s.http.URL + d.CmdArgs[0].Key + queryString(d)
		request, err := http.NewRequestWithContext(t.Context(), d.Cmd, url, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		response, err := s.http.Client().Do(request)
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		responseBody, err := io.ReadAll(response.Body)
		if err != nil {
			t.Fatal(err)
		}
		return fmt.Sprintf("%d\n%s", response.StatusCode, strings.ReplaceAll(string(responseBody), `\n`, "\n"))
	})
}

// queryString returns the arguments of the form Name=value as a URL query.
func queryString(d *datadriven.TestData) string {
	var parts []string
	for _, arg := range d.CmdArgs[1:] {
		if len(arg.Vals) > 0 {
			parts = append(parts, arg.Key+"="+arg.Vals[0])
		}
	}
	if len(parts) == 0 {
		return ""
	}
	return "?" + strings.Join(parts, "&")
}

// Guards against a client that loses columns, applies an edit twice after a lost response, or does not return the
// current version of the table after a conflict.
func TestClient(t *testing.T) {
	s, ctx := newTestServer(t), t.Context()
	c := NewClient(s.http.Listener.Addr().String(), s.http.Client())
	p := pool.New("p1").WithShare("a", 3).WithQuota("b", 4).WithLongThreshold(time.Minute).WithReservedSlots(0)
	if _, err := c.Edit(ctx, table.SetPool("e1", p), 0); err != nil {
		t.Fatal(err)
	}
	got, version, err := c.Pool(ctx, "p1")
	if err != nil || version != 1 || !table.SetPool("", got).SameAs(table.SetPool("", p)) {
		t.Fatalf("got %+v, %d, %v", got, version, err)
	}
	r := route.New("r1", "p1").WithAttempts(3).WithDeadline(time.Second).WithIdempotent(true)
	for range 2 { // the second call repeats the same edit
		if accepted, err := c.Edit(ctx, table.SetRoute("e2", r), 0); err != nil || accepted.Version != 1 {
			t.Fatalf("got %+v, %v", accepted, err)
		}
	}
	if got, _, err := c.Routes(ctx); err != nil || len(got) != 1 || got[0] != r {
		t.Fatalf("got %+v, %v", got, err)
	}
	_, err = c.Edit(ctx, table.Delete("e3", table.Routes, "r1"), 9)
	var failure *Error
	if !errors.As(err, &failure) || failure.Type != Conflict || failure.Version != 1 {
		t.Fatalf("got %v", err)
	}
	process, events, err := c.Events(ctx, event.Filter{Task: -1, Process: "entry-1", Since: time.Unix(0, 0)})
	if err != nil || process != "entry-1" || len(events) != 6 {
		t.Fatalf("got %q, %v, %v", process, events, err)
	}
	s.http.Close()
	if _, _, err := c.Route(ctx, "r1"); !errors.As(err, &failure) || failure.Type != Unreachable {
		t.Fatalf("got %v", err)
	}
}
