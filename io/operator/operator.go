// Package operator is the conversation with operators over HTTP.
//
// It owns the handlers of the operators' address, the client that the command line uses, and the file
// format of rows. Entries serve it in full; other processes serve its diagnostics (metrics, events, health,
// readiness). If an operator's client goes away during an edit, the edit ends with its context, and the
// operator repeats it with the same edit ID.
package operator

import (
	"context"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"dogwoodglade/core/event"
	"dogwoodglade/core/table"
)

// Bounds of a request.
const (
	maxRow      = 64 << 10         // bytes of a row
	editTimeout = 10 * time.Second // of an edit, with its repetitions
)

// Tables are the tables of the process.
type Tables interface {
	Current() table.Snapshot
	Edit(ctx context.Context, e table.Edit, expected uint64) (table.Edit, error)
}

// Config is what the handlers need of their process.
type Config struct {
	Process  string
	Tables   Tables // nil in a process without tables
	Recorder *event.Recorder
	Metrics  metrics.Registry
	// Unready returns why the process cannot take work now, or nothing if it can.
	Unready func() []string
}

// Handler serves:
//
//	GET    /v1/routes, /v1/pools                  all rows
//	GET    /v1/routes/{name}, /v1/pools/{name}    one row
//	PUT    /v1/routes/{name}, /v1/pools/{name}    adds or replaces a row; body: the row in YAML or JSON
//	DELETE /v1/routes/{name}, /v1/pools/{name}
//	GET    /v1/events                             ?Customer=&Key=&Task=&Process=&Since=&Until=
//	GET    /v1/metrics, /v1/health, /v1/ready
//
// PUT and DELETE take ?EditID= and optionally &ExpectedVersion=.
func Handler(c Config) http.Handler {
	mux := http.NewServeMux()
	if c.Tables != nil {
		handleRows(mux, c.Tables)
	}
	handleDiagnostics(mux, c)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		respond(w, nil, &Error{Status: http.StatusNotFound, Type: "NotFound", Message: "there is no " + r.Method + " " + r.URL.Path})
	})
	return mux
}

func handleDiagnostics(mux *http.ServeMux, c Config) {
	mux.HandleFunc("GET /v1/metrics", func(w http.ResponseWriter, _ *http.Request) {
		respond(w, c.Metrics.GetAll(), nil)
	})
	mux.HandleFunc("GET /v1/events", func(w http.ResponseWriter, r *http.Request) {
		filter, err := decodeFilter(r.URL.Query())
		if err != nil {
			respond(w, nil, err)
			return
		}
		respond(w, eventsAnswer{Process: c.Process, Events: filter.Apply(c.Recorder.Events())}, nil)
	})
	mux.HandleFunc("GET /v1/health", func(w http.ResponseWriter, _ *http.Request) {
		respond(w, healthAnswer{Process: c.Process, Healthy: true}, nil)
	})
	mux.HandleFunc("GET /v1/ready", func(w http.ResponseWriter, _ *http.Request) {
		reasons := c.Unready()
		status := http.StatusOK
		if len(reasons) > 0 {
			status = http.StatusServiceUnavailable
		}
		writeJSON(w, status, readyAnswer{Process: c.Process, Ready: len(reasons) == 0, Reasons: reasons})
	})
}
