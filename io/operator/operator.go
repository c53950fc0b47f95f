// Package operator implements the HTTP API for operators.
//
// It contains the handlers, the client that the command line uses, and the file format of rows. Entries serve the
// whole API; other processes serve only its diagnostics (metrics, events, health and readiness). If a client
// disconnects during an edit, the context of the edit is cancelled; the operator then repeats the edit with the same
// edit ID.
package operator

import (
	"context"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"dogwoodglade/core/event"
	"dogwoodglade/core/table"
)

// Limits on requests.
const (
	maxRowBytes = 64 << 10         // of the body of a PUT request
	editTimeout = 10 * time.Second // of an edit, including retries
)

// Tables reads and edits the process's tables of routes and pools.
type Tables interface {
	Current() table.Snapshot
	Edit(ctx context.Context, e table.Edit, expected uint64) (table.Edit, error)
}

// Config configures Handler.
type Config struct {
	Process  string
	Tables   Tables // nil in a process without tables
	Recorder *event.Recorder
	Metrics  metrics.Registry
	// NotReadyReasons returns why the process is not ready for work, or nothing if it is ready.
	NotReadyReasons func() []string
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
		writeResponse(w, nil, &Error{
			Status: http.StatusNotFound, Type: "NotFound", Message: "there is no " + r.Method + " " + r.URL.Path,
		})
	})
	return mux
}

func handleDiagnostics(mux *http.ServeMux, c Config) {
	mux.HandleFunc("GET /v1/metrics", func(w http.ResponseWriter, _ *http.Request) {
		writeResponse(w, c.Metrics.GetAll(), nil)
	})
	mux.HandleFunc("GET /v1/events", func(w http.ResponseWriter, r *http.Request) {
		filter, err := decodeFilter(r.URL.Query())
		if err != nil {
			writeResponse(w, nil, err)
			return
		}
		writeEvents(w, c, filter)
	})
	mux.HandleFunc("GET /v1/health", func(w http.ResponseWriter, _ *http.Request) {
		writeResponse(w, healthResponse{Process: c.Process, Healthy: true}, nil)
	})
	mux.HandleFunc("GET /v1/ready", func(w http.ResponseWriter, _ *http.Request) {
		reasons := c.NotReadyReasons()
		status := http.StatusOK
		if len(reasons) > 0 {
			status = http.StatusServiceUnavailable
		}
		writeJSON(w, status, readyResponse{Process: c.Process, Ready: len(reasons) == 0, Reasons: reasons})
	})
}
