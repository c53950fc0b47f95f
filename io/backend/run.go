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

// NewClient returns a client and its clean-up. A nil dial uses the network.
func NewClient(
	maxConnections int, dial func(ctx context.Context, network, address string) (net.Conn, error),
) (*Client, func()) {
	transport := &http.Transport{
		DialContext:         dial,
		MaxConnsPerHost:     maxConnections,
		MaxIdleConnsPerHost: maxConnections,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	return &Client{http: &http.Client{Transport: transport}}, transport.CloseIdleConnections
}

// Run sends the task to the backend server and waits for its result. A cancelled context closes the
// connection, which tells the backend server to stop.
func (c *Client) Run(ctx context.Context, address string, s task.Start) (task.Result, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+PathTask,
		bytes.NewReader(s.Body))
	if err != nil {
		return task.Result{}, errors.Wrapf(err, "run %s", s.Attempt)
	}
	job := s.Attempt.Task.Job
	request.Header.Set("Content-Type", "application/octet-stream")
	request.Header.Set(HeaderCustomer, job.Customer)
	request.Header.Set(HeaderKey, job.Key)
	request.Header.Set(HeaderTask, strconv.Itoa(s.Attempt.Task.Index))
	request.Header.Set(HeaderAttempt, strconv.Itoa(s.Attempt.Number))
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
