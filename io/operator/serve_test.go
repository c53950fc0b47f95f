package operator

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"dogwoodglade/core/event"
	"dogwoodglade/core/table"
)

type emptyTables struct{}

func (emptyTables) Current() table.Snapshot { return table.Snapshot{} }

func (emptyTables) Edit(context.Context, table.Edit, uint64) (table.Edit, error) {
	return table.Edit{}, errors.New("not supported")
}

// Guards against clients that leave requests unfinished and lock out operators.
func TestOperatorIsServedBesideUnfinishedRequests(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(Serve(listener, Config{
		Process: "entry-1", Tables: emptyTables{}, Recorder: event.NewRecorder("entry-1", 100, time.Now), Metrics: metrics.NewRegistry(),
		NotReadyReasons: func() []string { return nil },
	}))
	address := listener.Addr().String()
	for range 2 * maxConnections {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		// The server may close the connection at any time.
		_, _ = fmt.Fprintf(c, "PUT /v1/pools/a HTTP/1.1\r\nHost: a\r\nContent-Length: 60000\r\n\r\n%s", strings.Repeat("a", 50000))
	}
	response, err := http.Get("http://" + address + "/v1/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK || !strings.Contains(string(body), "Operators.HTTP.Connections") {
		t.Errorf("got %d %v: %s", response.StatusCode, err, body)
	}
}
