package batchentry_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"dogwoodglade/batchagent"
	"dogwoodglade/batchentry"
	"dogwoodglade/core/batch"
	"dogwoodglade/core/resource"
	"dogwoodglade/core/route"
	"dogwoodglade/core/site"
	"dogwoodglade/core/supervise"
	"dogwoodglade/platform"
)

// BenchmarkJob measures the processor time of a job over TCP sockets, from the caller through the entry to the agents.
// The backend servers run in the same process and take 10 ms per task.
func BenchmarkJob(b *testing.B) {
	store := newFakeStore()
	r := route.New("route", "pool")
	store.config = site.Configuration{Version: 1, Routes: []site.Route{
		{Route: r, Host: "127.0.0.1", PathPrefix: "/q/", Stretch: 1.6, Target: 60 * time.Millisecond},
	}}
	listen := func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	dial := (&net.Dialer{}).DialContext
	e, stop, err := batchentry.New(batchentry.Options{
		Name: "entry-1", DataCentre: "a", Address: "127.0.0.1:17720", Weight: 1, Directory: store,
		Logger: zerolog.Nop(), Dial: dial, Listen: listen, Now: time.Now,
	})
	if err != nil {
		b.Fatal(err)
	}
	defer stop()
	shared := &overlapRecorder{running: map[batch.TaskID]string{}}
	for i := range 6 {
		name := fmt.Sprint("agent-", i)
		server := &backend{
			name: name, started: time.Now().Add(-time.Hour), running: map[batch.TaskID]*taskRun{},
			endSignal: make(chan struct{}, 1), overlaps: shared,
		}
		a, stopAgent := batchagent.New(batchagent.Options{
			Name: name, DataCentre: "a", Directory: store, Server: server, Logger: zerolog.Nop(), Dial: dial,
			Now: time.Now,
		})
		defer stopAgent()
		a.HandleAnnouncement(supervise.Server{
			ID: name, Pool: "pool", Incarnation: 1, Sequence: 1,
			Capacity: resource.Amount{Processor: 32000, Memory: 65536}, Clock: time.Hour,
		})
	}
	callerServer := httptest.NewServer(platform.CallerHandler(e, 100*batch.MaxTasks))
	defer callerServer.Close()
	time.Sleep(time.Second)
	const body = `{"best_effort":true,"spec":"10ms","steps":[{"count":4,"cpu":3000,"mem_mb":64,"estimate_ms":10}]}`
	const callers = 40
	b.ResetTimer()
	var waiting sync.WaitGroup
	for c := range callers {
		waiting.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			for i := c; i < b.N; i += callers {
				request, _ := http.NewRequestWithContext(context.Background(), http.MethodPost,
					fmt.Sprintf("%s/q/%016x", callerServer.URL, i), strings.NewReader(body))
				response, err := client.Do(request)
				if err != nil {
					b.Error(err)
					return
				}
				responseBody, _ := io.ReadAll(response.Body)
				_ = response.Body.Close()
				if response.StatusCode != http.StatusOK {
					b.Errorf("got %d %s", response.StatusCode, responseBody)
					return
				}
			}
		})
	}
	waiting.Wait()
}
