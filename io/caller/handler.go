// Package caller speaks HTTP with callers.
//
// It owns the form of submissions and answers, and the bounds on what callers may send. An entry serves
// Handler; Client is its counterpart for programs. If a caller disconnects, its job goes on, and a
// resubmission of the same key gets the answer.
package caller

import (
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"

	"dogwoodglade/core/job"
	"dogwoodglade/core/task"
)

// Bounds of the interface.
const (
	MaxBody           = 8 << 20   // bytes of one request
	memoryBudget      = 256 << 20 // bytes of all requests that are read or answered at once
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 15 * time.Second
	writeTimeout      = 15 * time.Second
	maxHeaderBytes    = 16 << 10
)

// Headers of POST /v1/requests and of its answer.
const (
	HeaderCustomer   = "Dogwoodglade-Customer"
	HeaderKey        = "Dogwoodglade-Key"
	HeaderRoute      = "Dogwoodglade-Route"
	HeaderIdempotent = "Dogwoodglade-Idempotent"
	HeaderDeadline   = "Dogwoodglade-Deadline-Milliseconds"
	HeaderTicket     = "Dogwoodglade-Ticket"
	HeaderState      = "Dogwoodglade-State"
)

// Dispatcher answers submissions.
type Dispatcher interface {
	Submit(ctx context.Context, s job.Submission) job.Answer
	Lookup(ctx context.Context, id task.JobID) job.Answer
	Cancel(ctx context.Context, id task.JobID) job.Answer
	IssueTicket(ctx context.Context, id task.JobID) job.Answer
	// Ready reports whether the entry should be offered work by the load balancer.
	Ready() bool
}

// BusyError reports that an entry reads or answers as many requests as its memory allows.
type BusyError struct{}

// Error implements error.
func (*BusyError) Error() string {
	return "read request: the entry is busy; send the request again later"
}

type handler struct {
	dispatcher Dispatcher
	memory     atomic.Int64 // bytes reserved by requests in progress
}

// NewServer returns an HTTP server for callers. It reads slow or oversized requests within fixed bounds of
// time and memory.
func NewServer(d Dispatcher) *http.Server {
	return &http.Server{
		Handler:           Handler(d),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       time.Minute,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// Handler returns the interface for callers.
func Handler(d Dispatcher) http.Handler {
	h := &handler{dispatcher: d}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/jobs", h.postJob)
	mux.HandleFunc("POST /v1/requests", h.postRequest)
	mux.HandleFunc("POST /v1/tickets", h.postTicket)
	// A wildcard of one segment does not match the key "/".
	mux.HandleFunc("GET /v1/jobs/{customer}/{key...}", aboutJob(d.Lookup))
	mux.HandleFunc("DELETE /v1/jobs/{customer}/{key...}", aboutJob(d.Cancel))
	mux.HandleFunc("GET /v1/ready", h.ready)
	return mux
}

func (h *handler) postJob(w http.ResponseWriter, r *http.Request) {
	body, release, ok := h.read(w, r)
	if !ok {
		return
	}
	defer release()
	var request jobRequest
	if !decodeBody(w, body, &request) {
		return
	}
	s, err := request.submission()
	if err != nil {
		writeError(w, http.StatusBadRequest, "InvalidRequest", err)
		return
	}
	writeAnswer(w, h.dispatcher.Submit(detached(r), s))
}

func (h *handler) postRequest(w http.ResponseWriter, r *http.Request) {
	body, release, ok := h.read(w, r)
	if !ok {
		return
	}
	defer release()
	s, err := submissionOf(r.Header, body)
	if err != nil {
		writeError(w, http.StatusBadRequest, "InvalidRequest", err)
		return
	}
	a := h.dispatcher.Submit(detached(r), s)
	if a.State != job.Complete {
		writeAnswer(w, a)
		return
	}
	extendWrite(w)
	w.Header().Set(HeaderState, string(a.State))
	w.Header().Set(HeaderTicket, a.Ticket.String())
	w.Header().Set("Content-Type", "application/octet-stream")
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(a.Results[0].Body)
}

// detached returns a context that outlives the connection, because a job goes on if its caller disconnects.
func detached(r *http.Request) context.Context { return context.WithoutCancel(r.Context()) }

// submissionOf reads a single request from its headers and body.
func submissionOf(header http.Header, body []byte) (job.Submission, error) {
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
	return request.submission()
}

func (h *handler) postTicket(w http.ResponseWriter, r *http.Request) {
	body, release, ok := h.read(w, r)
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
		writeAnswer(w, a)
		return
	}
	writeJSON(w, http.StatusOK, answerOf(a))
}

// aboutJob handles a request about the job in its path.
func aboutJob(ask func(ctx context.Context, id task.JobID) job.Answer) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := task.JobID{Customer: r.PathValue("customer"), Key: r.PathValue("key")}
		if err := validateID(id); err != nil {
			writeError(w, http.StatusBadRequest, "InvalidRequest", err)
			return
		}
		writeAnswer(w, ask(r.Context(), id))
	}
}

func (h *handler) ready(w http.ResponseWriter, _ *http.Request) {
	if !h.dispatcher.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// read reads a bounded body within the memory budget. The memory of the body is reserved until release is
// called.
func (h *handler) read(w http.ResponseWriter, r *http.Request) (body []byte, release func(), ok bool) {
	size := r.ContentLength
	if size < 0 {
		size = MaxBody
	}
	if size > MaxBody {
		writeError(w, http.StatusRequestEntityTooLarge, "BodyTooLarge", &FieldError{
			Field: "body", Want: "at most 8388608 bytes",
		})
		return nil, nil, false
	}
	if h.memory.Add(size) > memoryBudget {
		h.memory.Add(-size)
		// The key is not known yet, so this says nothing about the submission.
		w.Header().Set("Retry-After", "1")
		writeError(w, http.StatusServiceUnavailable, "Busy", &BusyError{})
		return nil, nil, false
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBody))
	if err != nil {
		h.memory.Add(-size)
		status, name := http.StatusBadRequest, "UnreadableBody"
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			status, name = http.StatusRequestEntityTooLarge, "BodyTooLarge"
		}
		writeError(w, status, name, err)
		return nil, nil, false
	}
	used := int64(len(body))
	h.memory.Add(used - size)
	return body, func() { h.memory.Add(-used) }, true
}

func decodeBody(w http.ResponseWriter, body []byte, request any) bool {
	err := json.Unmarshal(body, request)
	if !utf8.Valid(body) {
		// encoding/json would replace the invalid bytes, which makes different keys equal.
		err = errors.WithStack(&FieldError{Field: "body", Want: "JSON in UTF-8"})
	}
	if err != nil {
		writeError(w, http.StatusBadRequest, "MalformedBody", err)
		return false
	}
	return true
}

func writeAnswer(w http.ResponseWriter, a job.Answer) {
	if a.RetryAfter > 0 {
		seconds := int(math.Ceil(a.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	w.Header().Set(HeaderState, string(a.State))
	writeJSON(w, statusOf(a), answerOf(a))
}

func writeError(w http.ResponseWriter, status int, name string, err error) {
	writeJSON(w, status, errorBody{Error: name, Message: err.Error()})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	extendWrite(w)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	_ = encoder.Encode(body)
}

// extendWrite bounds the time to write an answer from now on. A fixed write timeout of the server would
// count the time that the job ran.
func extendWrite(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
}
