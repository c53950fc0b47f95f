package operator

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"dogwoodglade/core/event"
	"dogwoodglade/io/httpserver"
)

const (
	// maxConnections is far above what operators, their scripts and a metrics collector open.
	maxConnections = 128
	// maxBodyMemory holds one unfinished row of the largest size for each connection.
	maxBodyMemory = maxConnections * maxRowBytes
	bodyTimeout   = 5 * time.Second
	// stopTimeout is how long Serve waits for open requests at its end.
	stopTimeout = time.Second
)

// Serve serves Handler on a listener until cleanUp is called. It limits connections, the memory of unfinished rows and
// the time that requests take to arrive. Its metrics begin with "Operators.".
func Serve(listener net.Listener, config Config) (cleanUp func()) {
	report := func(number event.Number, listener string, count int) {
		config.Recorder.Record(event.Event{Number: number, Task: -1, State: listener, Count: count})
	}
	registry := metrics.NewPrefixedChildRegistry(config.Metrics, "Operators.")
	server, closeServer := httpserver.New(listener, httpserver.Options{
		Name: "Operators", Handler: Handler(config), MaxConnections: maxConnections,
		Bodies: httpserver.NewBodies(maxBodyMemory, report, registry), Report: report, Metrics: registry,
	})
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		_ = server.Shutdown(ctx)
		closeServer()
	}
}

// readRowBody reads the body of a PUT request. release returns its memory; data must not be used after that.
func readRowBody(r *http.Request) (data []byte, release func(), err error) {
	return httpserver.ReadBody(r, maxRowBytes, bodyTimeout)
}
