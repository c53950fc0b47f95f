package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodglade/core/job"
	"dogwoodglade/core/shard"
	"dogwoodglade/core/task"
)

// Client calls the HTTP API of an entry.
type Client struct {
	address string
	http    *http.Client
}

// NewClient returns a client of the entry at address, in the form host:port. If client is nil, the default
// transport is used.
func NewClient(address string, client *http.Client) *Client {
	if client == nil {
		client = &http.Client{}
	}
	return &Client{address: address, http: client}
}

// RequestError reports a response without a job state, such as the rejection of an invalid request.
type RequestError struct {
	Status  int
	Type    string
	Message string
}

// Error implements error.
func (e *RequestError) Error() string {
	return fmt.Sprintf("send request: status %d %s: %s", e.Status, e.Type, e.Message)
}

// Submit sends a submission and waits for the outcome of its job. An error means that no outcome was received. The
// submission may still have been accepted; a resubmission with the same key returns the outcome.
func (c *Client) Submit(ctx context.Context, s job.Submission) (job.Answer, error) {
	request := jobRequest{
		Customer: s.ID.Customer, Key: s.ID.Key, Route: s.Route, Idempotent: s.Idempotent,
		// Rounded up, because 0 selects the deadline of the route.
		DeadlineMilliseconds: (s.Deadline + time.Millisecond - 1).Milliseconds(), Ticket: s.Ticket.String(),
	}
	for _, body := range s.Bodies {
		request.Tasks = append(request.Tasks, newPayload(body))
	}
	return c.call(ctx, http.MethodPost, "/v1/jobs", request)
}

// Lookup returns the state of a job.
func (c *Client) Lookup(ctx context.Context, id task.JobID) (job.Answer, error) {
	return c.call(ctx, http.MethodGet, jobURLPath(id), nil)
}

// Cancel cancels a job.
func (c *Client) Cancel(ctx context.Context, id task.JobID) (job.Answer, error) {
	return c.call(ctx, http.MethodDelete, jobURLPath(id), nil)
}

// IssueTicket requests a ticket for the key.
func (c *Client) IssueTicket(ctx context.Context, id task.JobID) (shard.Ticket, error) {
	a, err := c.call(ctx, http.MethodPost, "/v1/tickets", ticketRequest(id))
	return a.Ticket, err
}

func jobURLPath(id task.JobID) string {
	return "/v1/jobs/" + escapePathSegment(id.Customer) + "/" + escapePathSegment(id.Key)
}

// escapePathSegment also escapes dots, because path cleaning removes the segments "." and "..".
func escapePathSegment(s string) string { return strings.ReplaceAll(url.PathEscape(s), ".", "%2E") }

func (c *Client) call(ctx context.Context, method, path string, body any) (job.Answer, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return job.Answer{}, errors.Wrap(err, "send request")
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, bytes.NewReader(data))
	if err != nil {
		return job.Answer{}, errors.Wrap(err, "send request")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return job.Answer{}, errors.Wrap(err, "send request")
	}
	defer response.Body.Close()
	return readResponse(response)
}

func readResponse(response *http.Response) (job.Answer, error) {
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return job.Answer{}, errors.Wrap(err, "read response")
	}
	var decoded struct {
		jobResponse
		errorResponse
	}
	if err := json.Unmarshal(data, &decoded.jobResponse); err != nil || decoded.State == "" {
		_ = json.Unmarshal(data, &decoded.errorResponse)
		return job.Answer{}, errors.WithStack(&RequestError{
			Status: response.StatusCode, Type: decoded.Error, Message: decoded.errorResponse.Message,
		})
	}
	ticket, err := shard.ParseTicket(decoded.Ticket)
	if err != nil {
		return job.Answer{}, err
	}
	a := job.Answer{
		ID:    task.JobID{Customer: decoded.Customer, Key: decoded.Key},
		State: decoded.State, Reason: decoded.Reason, Ticket: ticket,
	}
	if seconds := response.Header.Get("Retry-After"); seconds != "" {
		a.RetryAfter, _ = time.ParseDuration(seconds + "s")
	}
	for _, r := range decoded.Results {
		a.Results = append(a.Results, task.Result{Status: r.Status, Body: r.bytes()})
	}
	return a, nil
}
