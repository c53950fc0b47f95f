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

// MaxResultBytes limits the body of a result.
const MaxResultBytes = 64 << 10

// StatusCancelled is the status of the response to a task that was stopped at the agent's request.
const StatusCancelled = 499

// StatusFailed is the status of the result that the agent reports if the backend server returned no valid result.
const StatusFailed = http.StatusBadGateway

// Headers of a task request.
const (
	HeaderCustomer = "Dogwoodglade-Customer"
	HeaderKey      = "Dogwoodglade-Key"
	HeaderTask     = "Dogwoodglade-Task"
	HeaderAttempt  = "Dogwoodglade-Attempt"
	HeaderDeadline = "Dogwoodglade-Deadline-Milliseconds"
)

// ConnectionLostError reports that the request failed, or that its context ended, before the whole response was
// received. The task may have run.
type ConnectionLostError struct {
	Address string
	Attempt task.AttemptID
	Cause   error
}

// Error implements error.
func (e *ConnectionLostError) Error() string {
	return fmt.Sprintf("run %s on %s: no complete response from the backend server: %v", e.Attempt, e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *ConnectionLostError) Unwrap() error { return e.Cause }

// DialError reports that no connection to the backend server could be opened. The task did not run.
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

// ResultTooLargeError reports a result of more than MaxResultBytes. The task ran.
type ResultTooLargeError struct {
	Address string
	Attempt task.AttemptID
}

// Error implements error.
func (e *ResultTooLargeError) Error() string {
	return fmt.Sprintf("run %s on %s: the result exceeds %d bytes", e.Attempt, e.Address, MaxResultBytes)
}

// Client runs tasks on backend servers.
type Client struct{ http *http.Client }

// NewClient returns a client and a function that closes its idle connections. The client keeps up to
// idleConnections idle connections to each backend server. It does not limit the connections in use: the executor
// does, and a cancellation must not wait for a connection. If dial is nil, the network is used.
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
		// Following a redirect would send the task a second time, so the task fails with the status of the redirect.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return &Client{http: client}, transport.CloseIdleConnections
}

// Cancel asks the backend server to stop a task. It does not wait for the end of the task, which is when Run returns.
func (c *Client) Cancel(ctx context.Context, address string, a task.AttemptID) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+PathCancel, http.NoBody)
	if err != nil {
		return errors.Wrapf(err, "cancel %s", a)
	}
	setAttemptHeaders(request.Header, a)
	response, err := c.http.Do(request)
	if err != nil {
		return errors.Wrapf(err, "cancel %s", a)
	}
	return errors.Wrapf(response.Body.Close(), "cancel %s", a)
}

func setAttemptHeaders(header http.Header, a task.AttemptID) {
	header.Set(HeaderCustomer, a.Task.Job.Customer)
	header.Set(HeaderKey, a.Task.Job.Key)
	header.Set(HeaderTask, strconv.Itoa(a.Task.Index))
	header.Set(HeaderAttempt, strconv.Itoa(a.Number))
}

// Run sends the task to the backend server and waits for its result. If the context ends first, the outcome is
// unknown.
func (c *Client) Run(ctx context.Context, address string, s task.Start) (task.Result, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+PathTask,
		bytes.NewReader(s.Body))
	if err != nil {
		return task.Result{}, errors.Wrapf(err, "run %s", s.Attempt)
	}
	request.Header.Set("Content-Type", "application/octet-stream")
	setAttemptHeaders(request.Header, s.Attempt)
	request.Header.Set(HeaderDeadline, strconv.FormatInt(s.Deadline.Milliseconds(), 10))
	// http.Transport retries a POST only if it wrote no byte of it, so a task is never sent twice.
	response, err := c.http.Do(request)
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return task.Result{}, errors.WithStack(&DialError{Address: address, Attempt: s.Attempt, Cause: err})
	}
	if err != nil {
		return task.Result{}, errors.WithStack(&ConnectionLostError{Address: address, Attempt: s.Attempt, Cause: err})
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxResultBytes+1))
	if err != nil {
		return task.Result{}, errors.WithStack(&ConnectionLostError{Address: address, Attempt: s.Attempt, Cause: err})
	}
	if len(body) > MaxResultBytes {
		return task.Result{}, errors.WithStack(&ResultTooLargeError{Address: address, Attempt: s.Attempt})
	}
	return task.Result{Status: response.StatusCode, Body: body}, nil
}
