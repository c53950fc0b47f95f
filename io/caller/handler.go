// Package caller implements the HTTP API for callers, which submit jobs to an entry.
//
// It defines the format of requests and responses, and limits the size, memory and duration of requests. An
// entry serves Handler; Go programs call it with Client. If a caller disconnects, its job continues, and a
// resubmission with the same key returns the outcome.
package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net"
	"net/http"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"dogwoodglade/core/job"
	"dogwoodglade/core/route"
	"dogwoodglade/core/task"
	"dogwoodglade/internal/membudget"
	"dogwoodglade/io/httpserver"
)

// Limits on requests.
const (
	MaxBodyBytes = 8 << 20 // of one request body
	readTimeout  = httpserver.DefaultBodyTimeout
	writeTimeout = 15 * time.Second // of a whole response
)

const (
	// bodyCopies is the memory that a request needs in units of its body: the tasks, and a copy of them while they are
	// decoded, or as they are passed on to the owner of the key.
	bodyCopies = 2
	// requestBytes is the memory of an open request besides its body, taskBytes that of a task besides its body.
	requestBytes = 16 << 10
	taskBytes    = 512
	// largeBytes is the size in bytes from which a request or an answer is large. Large ones leave memory to the others.
	largeBytes = 64 << 10
	// busyRetryAfter is when a request that was refused for lack of memory may be sent again. Requests end within
	// fractions of a second as a rule.
	busyRetryAfter = time.Second
)

// Limits bound what callers may use of a process. The zero value has the defaults.
type Limits struct {
	Connections int   // default: 4,096
	BodyBytes   int64 // of bodies that are being read; default: 64 MiB
	JobBytes    int64 // of requests that are being served, and of their answers; default: 128 MiB
}

// WithDefaults returns a copy with defaults in place of zeros.
func (l Limits) WithDefaults() Limits {
	if l.Connections == 0 {
		l.Connections = 4096
	}
	if l.BodyBytes == 0 {
		l.BodyBytes = 64 << 20
	}
	if l.JobBytes == 0 {
		l.JobBytes = 128 << 20
	}
	return l
}

// maxTicketRequest holds a customer and a key with each character escaped.
const maxTicketRequest = 8 << 10

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
	// TaskLimits returns how many tasks a job of the route may have, and how many bytes a task. It reports false for an
	// unknown route.
	TaskLimits(route string) (tasks, bytes int, ok bool)
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
	memory     *membudget.Quota // of requests that are being served
}

// Serve serves Handler on a listener until the returned function is called. It limits connections, the memory of
// requests, and the size and duration of requests.
func Serve(
	listener net.Listener, d Dispatcher, limits Limits, report httpserver.Report, registry metrics.Registry,
) (server *httpserver.Server, cleanUp func()) {
	limits = limits.WithDefaults()
	memory := membudget.NewQuota(limits.JobBytes)
	_ = registry.Register("Callers.JobBytes", metrics.NewFunctionalGauge(memory.Used))
	return httpserver.New(listener, httpserver.Options{
		Name: "Callers", Handler: newHandler(d, memory), MaxConnections: limits.Connections,
		Bodies: httpserver.NewBodies(limits.BodyBytes, report, registry), Report: report, Metrics: registry,
	})
}

// Handler returns the handler of the HTTP API for callers, with the default limits.
func Handler(d Dispatcher) http.Handler {
	return newHandler(d, membudget.NewQuota(Limits{}.WithDefaults().JobBytes))
}

func newHandler(d Dispatcher, memory *membudget.Quota) http.Handler {
	h := &handler{dispatcher: d, memory: memory}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/jobs", h.postJob)
	mux.HandleFunc("POST /v1/requests", h.postRequest)
	mux.HandleFunc("POST /v1/tickets", h.postTicket)
	// {key...}, because a wildcard of a single segment does not match the key "/".
	mux.HandleFunc("GET /v1/jobs/{customer}/{key...}", h.jobHandler(d.Lookup))
	mux.HandleFunc("DELETE /v1/jobs/{customer}/{key...}", h.jobHandler(d.Cancel))
	mux.HandleFunc("GET /v1/ready", h.ready)
	return mux
}

func (h *handler) postJob(w http.ResponseWriter, r *http.Request) {
	body, release, ok := h.readBody(w, r, MaxBodyBytes)
	if !ok {
		return
	}
	defer release()
	if len(body) > measureAbove {
		var m measuredJob
		if !decodeBody(w, body, &m) {
			return
		}
		if err := h.tooLargeError(r.Context(), m); err != nil {
			writeError(w, http.StatusRequestEntityTooLarge, "BodyTooLarge", err)
			return
		}
	}
	held, returnMemory, ok := h.reserve(w, len(body))
	if !ok {
		return
	}
	defer returnMemory()
	var request jobRequest
	if !decodeBody(w, body, &request) {
		return
	}
	release()
	s, err := request.toSubmission()
	if err != nil {
		writeError(w, http.StatusBadRequest, "InvalidRequest", err)
		return
	}
	h.submit(w, r, s, held, h.writeAnswer)
}

// submit submits a job, for whose body an amount of memory is held, and passes the answer to write with that amount.
func (h *handler) submit(
	w http.ResponseWriter, r *http.Request, s job.Submission, held int64,
	write func(w http.ResponseWriter, a job.Answer, held int64),
) {
	returnMemory, ok := h.memory.TryReserve(int64(taskBytes*len(s.Bodies)), false)
	if !ok {
		writeBusy(w)
		return
	}
	defer returnMemory()
	write(w, h.dispatcher.Submit(detachedContext(r), s), held)
}

func (h *handler) postRequest(w http.ResponseWriter, r *http.Request) {
	limit := int64(route.LimitMaxBody)
	if r.ContentLength > measureAbove {
		m := measuredJob{
			Customer: shortText(r.Header.Get(HeaderCustomer)), Key: shortText(r.Header.Get(HeaderKey)),
			Route: shortText(r.Header.Get(HeaderRoute)), Tasks: taskSizes{count: 1, largest: int(min(r.ContentLength, limit+1))},
		}
		if err := h.tooLargeError(r.Context(), m); err != nil {
			writeError(w, http.StatusRequestEntityTooLarge, "BodyTooLarge", err)
			return
		}
	}
	body, release, ok := h.readBody(w, r, limit)
	if !ok {
		return
	}
	defer release()
	held, returnMemory, ok := h.reserve(w, len(body))
	if !ok {
		return
	}
	defer returnMemory()
	s, err := parseRequest(r.Header, body)
	release()
	if err != nil {
		writeError(w, http.StatusBadRequest, "InvalidRequest", err)
		return
	}
	h.submit(w, r, s, held, h.writeResult)
}

// writeResult responds with the result of a job of one task, or with its answer if it is not complete.
func (h *handler) writeResult(w http.ResponseWriter, a job.Answer, held int64) {
	if a.State != job.Complete {
		h.writeAnswer(w, a, held)
		return
	}
	setWriteDeadline(w)
	w.Header().Set(HeaderState, string(a.State))
	w.Header().Set(HeaderTicket, a.Ticket.String())
	w.Header().Set("Content-Type", "application/octet-stream")
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(a.Results[0].Body)
}

// reserve reserves the memory for serving a request with a body of a size. If ok is false, it has written an error
// response.
func (h *handler) reserve(w http.ResponseWriter, body int) (held int64, release func(), ok bool) {
	held = requestBytes + int64(bodyCopies*body)
	release, ok = h.memory.TryReserve(held, body > largeBytes)
	if !ok {
		writeBusy(w)
	}
	return held, release, ok
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
	body, release, ok := h.readBody(w, r, maxTicketRequest)
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
		h.writeJobResponse(w, a)
		return
	}
	a.Results = nil
	writeJSON(w, http.StatusOK, newJobResponse(a))
}

// jobHandler returns a handler that passes the job ID in the path to call and writes the result.
func (h *handler) jobHandler(call func(ctx context.Context, id task.JobID) job.Answer) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := task.JobID{Customer: r.PathValue("customer"), Key: r.PathValue("key")}
		if err := validateID(id); err != nil {
			writeError(w, http.StatusBadRequest, "InvalidRequest", err)
			return
		}
		h.writeJobResponse(w, call(r.Context(), id))
	}
}

func (h *handler) ready(w http.ResponseWriter, _ *http.Request) {
	if !h.dispatcher.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// readBody reads a request body of at most limit bytes, if the memory limit for all bodies allows it. Its
// memory stays reserved until release is called. If ok is false, readBody has written an error response.
func (h *handler) readBody(w http.ResponseWriter, r *http.Request, limit int64) (body []byte, release func(), ok bool) {
	body, release, err := httpserver.ReadBody(r, limit, readTimeout)
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
		err = &FieldError{Field: "body", Want: fmt.Sprintf("at most %d bytes", limit)}
		writeError(w, http.StatusRequestEntityTooLarge, "BodyTooLarge", err)
	case errors.As(err, &busy):
		writeBusy(w)
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

// writeBusy refuses a request for lack of memory. The response must not claim that the job did not run, because an earlier
// submission of the key may have run.
func writeBusy(w http.ResponseWriter) {
	w.Header().Set("Retry-After", retryAfter(busyRetryAfter))
	writeError(w, http.StatusServiceUnavailable, "Busy", &BusyError{})
}

// retryAfter returns the value of the header Retry-After, in whole seconds.
func retryAfter(wait time.Duration) string { return strconv.Itoa(int(math.Ceil(wait.Seconds()))) }

// writeJobResponse writes the answer to a request for which no memory is held.
func (h *handler) writeJobResponse(w http.ResponseWriter, a job.Answer) { h.writeAnswer(w, a, 0) }

// writeAnswer writes an answer to a request for which an amount of memory is held. The bodies of its tasks are no longer
// needed. Without memory for what the results have beyond that, the response is that the entry is busy; a look-up or a
// resubmission gets them later.
func (h *handler) writeAnswer(w http.ResponseWriter, a job.Answer, held int64) {
	size := int64(0)
	for _, r := range a.Results {
		size += int64(len(r.Body))
	}
	release, ok := h.memory.TryReserve(max(size-held, 0), size > largeBytes)
	if !ok {
		writeBusy(w)
		return
	}
	defer release()
	if a.RetryAfter > 0 {
		w.Header().Set("Retry-After", retryAfter(a.RetryAfter))
	}
	w.Header().Set(HeaderState, string(a.State))
	encodeAnswer(w, httpStatus(a), a)
}
