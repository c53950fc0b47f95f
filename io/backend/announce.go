// Package backend implements the HTTP APIs between an agent and the backend servers of its host.
//
// Handler receives the announcements of backend servers, Client runs tasks on them, and Server is a backend
// server for programs written in Go. The agent calls Client.Run for each start of a task. If the connection fails
// while a task runs, Run returns a ConnectionLostError, because the task may have taken effect.
package backend

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"dogwoodglade/core/executor"
	"dogwoodglade/core/route"
	"dogwoodglade/io/httpserver"
)

// Paths that the agent serves for backend servers, and that backend servers serve for the agent.
const (
	PathAnnounce  = "/v1/announce"
	PathHeartbeat = "/v1/heartbeat"
	PathLeave     = "/v1/leave"
	PathTask      = "/task"
	PathCancel    = "/cancel"
)

const (
	maxAnnouncementBytes = 4 << 10 // of a request body
	requestTimeout       = 5 * time.Second
	// maxConnections is far above the number of backend servers of a host, which use one or two each.
	maxConnections = 1024
	// maxBodyMemory holds one unfinished announcement for each connection, in the smallest buffer.
	maxBodyMemory = maxConnections * (8 << 10)
)

// Agent receives the announcements and leave notices of backend servers.
type Agent interface {
	Announce(a executor.Announcement) error
	Leave(id, incarnation string)
}

// announcement is the body of an announcement and of a heartbeat.
type announcement struct {
	ID          string
	Pool        string
	Address     string
	Slots       int
	Connections int
	Incarnation string
}

// leaveRequest is the body of a leave notice: the backend server announces that it is shutting down.
type leaveRequest struct {
	ID          string
	Incarnation string
}

// errorResponse is the body of the response to a rejected request.
type errorResponse struct {
	Error   string
	Message string
}

// FieldError reports an invalid field of an announcement or leave notice.
type FieldError struct {
	Field string
	Want  string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("read announcement: %s must be %s", e.Field, e.Want)
}

// Handler returns the handler of the agent's HTTP API for backend servers.
func Handler(agent Agent) http.Handler {
	mux := http.NewServeMux()
	announce := func(w http.ResponseWriter, r *http.Request) {
		var a announcement
		if !readBody(w, r, &a) {
			return
		}
		if err := a.validate(); err != nil {
			writeError(w, http.StatusBadRequest, "InvalidAnnouncement", err)
			return
		}
		if err := agent.Announce(a.toExecutor()); err != nil {
			writeError(w, http.StatusConflict, "AnnouncementRefused", err)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}
	mux.HandleFunc("POST "+PathAnnounce, announce)
	mux.HandleFunc("POST "+PathHeartbeat, announce)
	mux.HandleFunc("POST "+PathLeave, func(w http.ResponseWriter, r *http.Request) {
		var l leaveRequest
		if !readBody(w, r, &l) {
			return
		}
		if err := l.validate(); err != nil {
			writeError(w, http.StatusBadRequest, "InvalidAnnouncement", err)
			return
		}
		agent.Leave(l.ID, l.Incarnation)
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

func (a announcement) toExecutor() executor.Announcement {
	return executor.Announcement{
		ID: a.ID, Pool: a.Pool, Address: a.Address, Slots: a.Slots, Connections: a.Connections,
		Incarnation: a.Incarnation,
	}
}

// nameRule describes the names that route.ValidName accepts.
const nameRule = "1 to 64 letters, digits, dots, dashes or underscores"

func (a announcement) validate() error {
	host, port, err := net.SplitHostPort(a.Address)
	number, portErr := strconv.Atoi(port)
	switch {
	case !route.ValidName(a.ID):
		return &FieldError{Field: "ID", Want: nameRule}
	case !route.ValidName(a.Pool):
		return &FieldError{Field: "Pool", Want: nameRule}
	case err != nil || net.ParseIP(host) == nil || portErr != nil || number < 1 || number > 65535:
		return &FieldError{Field: "Address", Want: "an IP address and a port"}
	case a.Slots < 1 || a.Slots > 1024:
		return &FieldError{Field: "Slots", Want: "1 to 1024"}
	case a.Connections < 1 || a.Connections > 65536:
		return &FieldError{Field: "Connections", Want: "1 to 65536"}
	case a.Incarnation == "":
		return &FieldError{Field: "Incarnation", Want: "a text that is unique to one run of the backend server"}
	}
	return nil
}

func (l leaveRequest) validate() error {
	switch {
	case !route.ValidName(l.ID):
		return &FieldError{Field: "ID", Want: nameRule}
	case l.Incarnation == "":
		return &FieldError{Field: "Incarnation", Want: "the one in the announcement"}
	}
	return nil
}

// Serve serves Handler on the listener until the returned function is called. It limits connections and the memory of
// unfinished announcements. Its metrics begin with "Backends.".
func Serve(listener net.Listener, agent Agent, report httpserver.Report, registry metrics.Registry) (stop func()) {
	registry = metrics.NewPrefixedChildRegistry(registry, "Backends.")
	_, stop = httpserver.New(listener, httpserver.Options{
		Name: "Backends", Handler: Handler(agent), MaxConnections: maxConnections,
		Bodies: httpserver.NewBodies(maxBodyMemory, report, registry), Report: report, Metrics: registry,
	})
	return stop
}

func readBody(w http.ResponseWriter, r *http.Request, body any) bool {
	data, release, err := httpserver.ReadBody(r, maxAnnouncementBytes, requestTimeout)
	defer release()
	if err != nil {
		writeReadError(w, err)
		return false
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	err = decoder.Decode(body)
	if err == nil {
		_, err = decoder.Token()
		if errors.Is(err, io.EOF) {
			return true
		}
		if err == nil {
			err = errors.WithStack(&FieldError{Field: "body", Want: "one JSON value"})
		}
	}
	writeError(w, http.StatusBadRequest, "MalformedBody", err)
	return false
}

func writeReadError(w http.ResponseWriter, err error) {
	var (
		tooLarge *httpserver.TooLargeError
		busy     *httpserver.BusyError
		slow     *httpserver.SlowError
	)
	switch {
	case errors.As(err, &tooLarge):
		writeError(w, http.StatusRequestEntityTooLarge, "BodyTooLarge", err)
	case errors.As(err, &busy):
		writeError(w, http.StatusServiceUnavailable, "Busy", err)
	case errors.As(err, &slow):
		writeError(w, http.StatusRequestTimeout, "UnreadableBody", err)
	default:
		writeError(w, http.StatusBadRequest, "MalformedBody", err)
	}
}

func writeError(w http.ResponseWriter, status int, errorType string, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(errorResponse{Error: errorType, Message: err.Error()})
}

// HeartbeatInterval is how often a backend server repeats its announcement.
const HeartbeatInterval = time.Second
