// Package caller implements the HTTP API for callers, which submit jobs to an entry.
//
// It defines the format of requests and responses, and limits the size, memory and duration of requests. An
// entry serves Handler; Go programs call it with Client. If a caller disconnects, its job continues, and a
// resubmission with the same key returns the outcome.
package caller

import (
	"context"
	"encoding/json"
	"math"
	"net"
	"net/http"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"dogwoodglade/core/job"
	"dogwoodglade/core/task"
	"dogwoodglade/io/httpserver"
)

// Limits on requests.
const (
	MaxBodyBytes     = 8 << 20   // of one request body
	maxReservedBytes = 256 << 20 // of the bodies of all requests in progress
	maxConnections   = 4096
	readTimeout      = httpserver.DefaultBodyTimeout
	writeTimeout     = 15 * time.Second
)

// Headers of POST /v1/requests and its response.
const (
	HeaderCustomer   = "Dogwoodglade-Customer"
	HeaderKey        = "Dogwoodglade-Key"
	HeaderRoute      = "Dogwoodglade-Route"
	HeaderIdempotent = "Dogwoodglade-Idempotent"
	HeaderDeadline   = "Dogwoodglade-Deadline-Milliseconds"
	HeaderTicket     = "Dogwoodglade-Ticket"
	HeaderState      = "Dogwoodglade-State"
)

// Dispatcher runs submitted jobs.
type Dispatcher interface {
	Submit(ctx context.Context, s job.Submission) job.Answer
	Lookup(ctx context.Context, id task.JobID) job.Answer
	Cancel(ctx context.Context, id task.JobID) job.Answer
	IssueTicket(ctx context.Context, id task.JobID) job.Answer
	// Ready reports whether the load balancer should send requests to the entry.
	Ready() bool
}

// BusyError reports that the requests in progress use all the memory that the entry reserves for them.
type BusyError struct{}

// Error implements error.
func (*BusyError) Error() string {
	return "read request: the entry is busy; send the request again later"
}

type handler struct {
	dispatcher Dispatcher
}

// Serve serves Handler on a listener until the returned function is called. It limits connections, the memory of
// unfinished bodies, and the size and duration of requests.
func Serve(
	listener net.Listener, d Dispatcher, report httpserver.Report, registry metrics.Registry,
) (server *httpserver.Server, cleanUp func()) {
	return serveWithin(maxReservedBytes, listener, d, report, registry)
}

// serveWithin is Serve with a limit on the memory of the bodies of all requests in progress.
func serveWithin(
	memory int64, listener net.Listener, d Dispatcher, report httpserver.Report, registry metrics.Registry,
) (server *httpserver.Server, cleanUp func()) {
	return httpserver.New(listener, httpserver.Options{
		Name: "Callers", Handler: Handler(d), MaxConnections: maxConnections,
		Bodies: httpserver.NewBodies(memory, report, registry), Report: report, Metrics: registry,
	})
}

// Handler returns the handler of the HTTP API for callers.
func Handler(d Dispatcher) http.Handler {
	h := &handler{dispatcher: d}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/jobs", h.postJob)
	mux.HandleFunc("POST /v1/requests", h.postRequest)
	mux.HandleFunc("POST /v1/tickets", h.postTicket)
	// {key...}, because a wildcard of a single segment does not match the key "/".
	mux.HandleFunc("GET /v1/jobs/{customer}/{key...}", jobHandler(d.Lookup))
	mux.HandleFunc("DELETE /v1/jobs/{customer}/{key...}", jobHandler(d.Cancel))
	mux.HandleFunc("GET /v1/ready", h.ready)
	return mux
}

func (h *handler) postJob(w http.ResponseWriter, r *http.Request) {
	body, release, ok := h.readBody(w, r)
	if !ok {
		return
	}
	defer release()
	var request jobRequest
	if !decodeBody(w, body, &request) {
		return
	}
	s, err := request.toSubmission()
	if err != nil {
		writeError(w, http.StatusBadRequest, "InvalidRequest", err)
		return
	}
	writeJobResponse(w, h.dispatcher.Submit(detachedContext(r), s))
}

func (h *handler) postRequest(w http.ResponseWriter, r *http.Request) {
	body, release, ok := h.readBody(w, r)
	if !ok {
		return
	}
	defer release()
	s, err := parseRequest(r.Header, body)
	if err != nil {
		writeError(w, http.StatusBadRequest, "InvalidRequest", err)
		return
	}
	a := h.dispatcher.Submit(detachedContext(r), s)
	if a.State != job.Complete {
		writeJobResponse(w, a)
		return
	}
	setWriteDeadline(w)
	w.Header().Set(HeaderState, string(a.State))
	w.Header().Set(HeaderTicket, a.Ticket.String())
	w.Header().Set("Content-Type", "application/octet-stream")
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(a.Results[0].Body)
}

// detachedContext returns the context of the request without its cancellation, because a job continues if its
// caller disconnects.
func detachedContext(r *http.Request) context.Context { return context.WithoutCancel(r.Context()) }

// parseRequest returns the submission of POST /v1/requests: a job of one task, whose body is the request body.
func parseRequest(header http.Header, body []byte) (job.Submission, error) {
	request := jobRequest{
		Customer: header.Get(HeaderCustomer),
		Key:      header.Get(HeaderKey),
		Route:    header.Get(HeaderRoute),
		Ticket:   header.Get(HeaderTicket),
		Tasks:    []payload{{Data: append([]byte{}, body...)}},
	}
	if text := header.Get(HeaderIdempotent); text != "" {
		idempotent, err := strconv.ParseBool(text)
		if err != nil {
			return job.Submission{}, errors.WithStack(&FieldError{Field: HeaderIdempotent, Want: "true or false"})
		}
		request.Idempotent = &idempotent
	}
	if text := header.Get(HeaderDeadline); text != "" {
		deadline, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return job.Submission{}, errors.WithStack(&FieldError{Field: HeaderDeadline, Want: "0 to 300000"})
		}
		request.DeadlineMilliseconds = deadline
	}
	return request.toSubmission()
}

func (h *handler) postTicket(w http.ResponseWriter, r *http.Request) {
	body, release, ok := h.readBody(w, r)
	if !ok {
		return
	}
	defer release()
	var request ticketRequest
	if !decodeBody(w, body, &request) {
		return
	}
	id := task.JobID(request)
	if err := validateID(id); err != nil {
		writeError(w, http.StatusBadRequest, "InvalidRequest", err)
		return
	}
	a := h.dispatcher.IssueTicket(r.Context(), id)
	if a.Ticket.IsZero() {
		writeJobResponse(w, a)
		return
	}
	writeJSON(w, http.StatusOK, newJobResponse(a))
}

// jobHandler returns a handler that passes the job ID in the path to call and writes the result.
func jobHandler(call func(ctx context.Context, id task.JobID) job.Answer) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := task.JobID{Customer: r.PathValue("customer"), Key: r.PathValue("key")}
		if err := validateID(id); err != nil {
			writeError(w, http.StatusBadRequest, "InvalidRequest", err)
			return
		}
		writeJobResponse(w, call(r.Context(), id))
	}
}

func (h *handler) ready(w http.ResponseWriter, _ *http.Request) {
	if !h.dispatcher.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// readBody reads a request body of at most MaxBodyBytes, if the memory limit for all requests allows it. Its
// memory stays reserved until release is called. If ok is false, readBody has written an error response.
func (h *handler) readBody(w http.ResponseWriter, r *http.Request) (body []byte, release func(), ok bool) {
	body, release, err := httpserver.ReadBody(r, MaxBodyBytes, readTimeout)
	if err == nil {
		return body, release, true
	}
	release()
	var (
		tooLarge *httpserver.TooLargeError
		busy     *httpserver.BusyError
		slow     *httpserver.SlowError
	)
	switch {
	case errors.As(err, &tooLarge):
		err = &FieldError{Field: "body", Want: "at most 8388608 bytes"}
		writeError(w, http.StatusRequestEntityTooLarge, "BodyTooLarge", err)
	case errors.As(err, &busy):
		// The key is not known yet, so the response must not claim that the job did not run: an earlier
		// submission of the key may have run.
		w.Header().Set("Retry-After", "1")
		writeError(w, http.StatusServiceUnavailable, "Busy", &BusyError{})
	case errors.As(err, &slow):
		writeError(w, http.StatusRequestTimeout, "UnreadableBody", err)
	default:
		writeError(w, http.StatusBadRequest, "UnreadableBody", err)
	}
	return nil, nil, false
}

func decodeBody(w http.ResponseWriter, body []byte, request any) bool {
	err := json.Unmarshal(body, request)
	if !utf8.Valid(body) {
		// encoding/json replaces invalid bytes, which would make different keys equal.
		err = errors.WithStack(&FieldError{Field: "body", Want: "JSON in UTF-8"})
	}
	if err != nil {
		writeError(w, http.StatusBadRequest, "MalformedBody", err)
		return false
	}
	return true
}

func writeJobResponse(w http.ResponseWriter, a job.Answer) {
	if a.RetryAfter > 0 {
		seconds := int(math.Ceil(a.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	w.Header().Set(HeaderState, string(a.State))
	writeJSON(w, httpStatus(a), newJobResponse(a))
}

func writeError(w http.ResponseWriter, status int, errorType string, err error) {
	writeJSON(w, status, errorResponse{Error: errorType, Message: err.Error()})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	setWriteDeadline(w)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	_ = encoder.Encode(body)
}

// setWriteDeadline limits the time for writing the response, starting now. It replaces http.Server.WriteTimeout,
// which would include the time that the job ran.
func setWriteDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
}
