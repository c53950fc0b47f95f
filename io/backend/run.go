package backend

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodglade/core/task"
)

// MaxResult is the bound on the body of a result, in bytes.
const MaxResult = 64 << 10

// StatusCancelled is the status with which a backend server ends a task that it stopped on request.
const StatusCancelled = 499

// StatusFailed is the status of a result that the agent reports in place of a backend server.
const StatusFailed = http.StatusBadGateway

// Headers of a task.
const (
	HeaderCustomer = "Dogwoodglade-Customer"
	HeaderKey      = "Dogwoodglade-Key"
	HeaderTask     = "Dogwoodglade-Task"
	HeaderAttempt  = "Dogwoodglade-Attempt"
	HeaderDeadline = "Dogwoodglade-Deadline-Milliseconds"
)

// LostError reports a task whose backend server was lost before it answered. The task may have run.
type LostError struct {
	Address string
	Attempt task.AttemptID
	Cause   error
}

// Error implements error.
func (e *LostError) Error() string {
	return fmt.Sprintf("run %s on %s: the backend server was lost: %v", e.Attempt, e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }

// DialError reports a backend server that could not be reached. The task did not run.
type DialError struct {
	Address string
	Attempt task.AttemptID
	Cause   error
}

// Error implements error.
func (e *DialError) Error() string {
	return fmt.Sprintf("run %s on %s: connect: %v", e.Attempt, e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// ResultError reports a result over the bound. The task ran.
type ResultError struct {
	Address string
	Attempt task.AttemptID
}

// Error implements error.
func (e *ResultError) Error() string {
	return fmt.Sprintf("run %s on %s: the result exceeds %d bytes", e.Attempt, e.Address, MaxResult)
}

// Client runs tasks on backend servers.
type Client struct{ http *http.Client }

// NewClient returns a client and its clean-up. It keeps the given number of idle connections to each backend
// server; the executor bounds those in use, and a cancellation must not wait for one. A nil dial uses the
// network.
func NewClient(
	idleConnections int, dial func(ctx context.Context, network, address string) (net.Conn, error),
) (*Client, func()) {
	transport := &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	client := &http.Client{
		Transport: transport,
		// Following a redirect would send the task a second time. Its status fails the task.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return &Client{http: client}, transport.CloseIdleConnections
}

// Cancel asks the backend server to stop a task. The task has ended when Run returns.
func (c *Client) Cancel(ctx context.Context, address string, a task.AttemptID) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+PathCancel, http.NoBody)
	if err != nil {
		return errors.Wrapf(err, "cancel %s", a)
	}
	setAttempt(request.Header, a)
	response, err := c.http.Do(request)
	if err != nil {
		return errors.Wrapf(err, "cancel %s", a)
	}
	return errors.Wrapf(response.Body.Close(), "cancel %s", a)
}

func setAttempt(header http.Header, a task.AttemptID) {
	header.Set(HeaderCustomer, a.Task.Job.Customer)
	header.Set(HeaderKey, a.Task.Job.Key)
	header.Set(HeaderTask, strconv.Itoa(a.Task.Index))
	header.Set(HeaderAttempt, strconv.Itoa(a.Number))
}

// Run sends the task to the backend server and waits for its result. If the context ends, the outcome is
// unknown.
func (c *Client) Run(ctx context.Context, address string, s task.Start) (task.Result, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+PathTask,
		bytes.NewReader(s.Body))
	if err != nil {
		return task.Result{}, errors.Wrapf(err, "run %s", s.Attempt)
	}
	request.Header.Set("Content-Type", "application/octet-stream")
	setAttempt(request.Header, s.Attempt)
	request.Header.Set(HeaderDeadline, strconv.FormatInt(s.Deadline.Milliseconds(), 10))
	// The transport repeats a POST only if it wrote nothing of it, so a task is never sent twice.
	response, err := c.http.Do(request)
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return task.Result{}, errors.WithStack(&DialError{Address: address, Attempt: s.Attempt, Cause: err})
	}
	if err != nil {
		return task.Result{}, errors.WithStack(&LostError{Address: address, Attempt: s.Attempt, Cause: err})
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxResult+1))
	if err != nil {
		return task.Result{}, errors.WithStack(&LostError{Address: address, Attempt: s.Attempt, Cause: err})
	}
	if len(body) > MaxResult {
		return task.Result{}, errors.WithStack(&ResultError{Address: address, Attempt: s.Attempt})
	}
	return task.Result{Status: response.StatusCode, Body: body}, nil
}
