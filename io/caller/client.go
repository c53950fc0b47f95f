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

// Client sends submissions to an entry.
type Client struct {
	address string
	http    *http.Client
}

// NewClient returns a client of the entry at the address. A nil HTTP client uses the default transport.
func NewClient(address string, client *http.Client) *Client {
	if client == nil {
		client = &http.Client{}
	}
	return &Client{address: address, http: client}
}

// RequestError reports a request that the entry could not read.
type RequestError struct {
	Status  int
	Name    string
	Message string
}

// Error implements error.
func (e *RequestError) Error() string {
	return fmt.Sprintf("send request: status %d %s: %s", e.Status, e.Name, e.Message)
}

// Submit sends a submission and waits for the answer. An error means that the answer was not received; the
// submission may have been accepted, and a resubmission gets its answer.
func (c *Client) Submit(ctx context.Context, s job.Submission) (job.Answer, error) {
	request := jobRequest{
		Customer: s.ID.Customer, Key: s.ID.Key, Route: s.Route, Idempotent: s.Idempotent,
		// Rounded up, because 0 stands for the route's deadline.
		DeadlineMilliseconds: (s.Deadline + time.Millisecond - 1).Milliseconds(), Ticket: s.Ticket.String(),
	}
	for _, body := range s.Bodies {
		request.Tasks = append(request.Tasks, payloadOf(body))
	}
	return c.do(ctx, http.MethodPost, "/v1/jobs", request)
}

// Lookup asks for the state of a job.
func (c *Client) Lookup(ctx context.Context, id task.JobID) (job.Answer, error) {
	return c.do(ctx, http.MethodGet, jobPath(id), nil)
}

// Cancel cancels a job.
func (c *Client) Cancel(ctx context.Context, id task.JobID) (job.Answer, error) {
	return c.do(ctx, http.MethodDelete, jobPath(id), nil)
}

// IssueTicket asks for a ticket for the key.
func (c *Client) IssueTicket(ctx context.Context, id task.JobID) (shard.Ticket, error) {
	a, err := c.do(ctx, http.MethodPost, "/v1/tickets", ticketRequest(id))
	return a.Ticket, err
}

func jobPath(id task.JobID) string {
	return "/v1/jobs/" + pathSegment(id.Customer) + "/" + pathSegment(id.Key)
}

// pathSegment escapes dots too, because the segments "." and ".." would be removed from the path.
func pathSegment(s string) string { return strings.ReplaceAll(url.PathEscape(s), ".", "%2E") }

func (c *Client) do(ctx context.Context, method, path string, body any) (job.Answer, error) {
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
	return readAnswer(response)
}

func readAnswer(response *http.Response) (job.Answer, error) {
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return job.Answer{}, errors.Wrap(err, "read answer")
	}
	var w struct {
		answer
		errorBody
	}
	if err := json.Unmarshal(data, &w.answer); err != nil || w.State == "" {
		_ = json.Unmarshal(data, &w.errorBody)
		return job.Answer{}, errors.WithStack(&RequestError{
			Status: response.StatusCode, Name: w.Error, Message: w.errorBody.Message,
		})
	}
	ticket, err := shard.ParseTicket(w.Ticket)
	if err != nil {
		return job.Answer{}, err
	}
	a := job.Answer{
		ID:    task.JobID{Customer: w.Customer, Key: w.Key},
		State: w.State, Reason: w.Reason, Ticket: ticket,
	}
	if seconds := response.Header.Get("Retry-After"); seconds != "" {
		a.RetryAfter, _ = time.ParseDuration(seconds + "s")
	}
	for _, r := range w.Results {
		a.Results = append(a.Results, task.Result{Status: r.Status, Body: r.bytes()})
	}
	return a, nil
}
