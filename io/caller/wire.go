package caller

import (
	"encoding/json"
	"unicode/utf8"

	"github.com/cockroachdb/errors"

	"dogwoodglade/core/job"
	"dogwoodglade/core/route"
	"dogwoodglade/core/shard"
	"dogwoodglade/core/task"
)

// payload is the JSON form of a task or result body: Text if it is valid UTF-8, otherwise Data in base64.
type payload struct {
	Text string `json:",omitempty"`
	Data []byte `json:",omitempty"`
}

func newPayload(body []byte) payload {
	if utf8.Valid(body) {
		return payload{Text: string(body)}
	}
	return payload{Data: body}
}

func (p payload) bytes() []byte {
	if p.Data != nil {
		return p.Data
	}
	return []byte(p.Text)
}

// jobRequest is the body of POST /v1/jobs.
type jobRequest struct {
	Customer             string
	Key                  string
	Route                string
	Idempotent           *bool  `json:",omitempty"`
	DeadlineMilliseconds int64  `json:",omitempty"`
	Ticket               string `json:",omitempty"`
	Tasks                payloads
}

// payloads are the tasks of a job.
type payloads []payload

// UnmarshalJSON implements json.Unmarshaler.
func (p *payloads) UnmarshalJSON(data []byte) (err error) {
	if *p != nil {
		return errors.WithStack(&FieldError{Field: "Tasks", Want: "given once"})
	}
	*p, err = decodeTasks[payload](data)
	return err
}

// decodeTasks decodes a list of tasks. More than route.LimitMaxTasks cannot be served, so it keeps only one more: an empty
// task takes many times the memory of its text.
func decodeTasks[T any](data []byte) ([]T, error) {
	var elements [route.LimitMaxTasks + 1]element[T]
	if err := json.Unmarshal(data, &elements); err != nil {
		return nil, err
	}
	tasks := []T{}
	for _, e := range elements {
		if e.present {
			tasks = append(tasks, e.value)
		}
	}
	return tasks, nil
}

// element is an element of a list that is decoded into an array, which may be longer.
type element[T any] struct {
	value   T
	present bool
}

// UnmarshalJSON implements json.Unmarshaler.
func (e *element[T]) UnmarshalJSON(data []byte) error {
	e.present = true
	return json.Unmarshal(data, &e.value)
}

// ticketRequest is the body of POST /v1/tickets.
type ticketRequest struct {
	Customer string
	Key      string
}

// jobResponse is the body of responses that report the state of a job.
type jobResponse struct {
	Customer string
	Key      string
	State    job.State
	Reason   job.Reason   `json:",omitempty"`
	Message  string       `json:",omitempty"`
	Results  []taskResult `json:",omitempty"`
	Ticket   string       `json:",omitempty"`
}

type taskResult struct {
	Status int
	payload
}

// errorResponse is the body of the response to an invalid request, or to one rejected for lack of memory.
type errorResponse struct {
	Error   string
	Message string
}

// FieldError reports an invalid field of a request.
type FieldError struct {
	Field string
	Want  string
}

// Error implements error.
func (e *FieldError) Error() string { return "read request: " + e.Field + " must be " + e.Want }

const (
	maxKeyBytes             = 256
	maxRouteBytes           = 64
	maxDeadlineMilliseconds = int64(route.LimitDeadline / 1e6)
)

func validateID(id task.JobID) error {
	if !route.ValidName(id.Customer) {
		return &FieldError{Field: "Customer", Want: "1 to 64 letters, digits, dots, dashes or underscores"}
	}
	if id.Key == "" || len(id.Key) > maxKeyBytes || !utf8.ValidString(id.Key) {
		return &FieldError{Field: "Key", Want: "1 to 256 bytes of UTF-8, the same for each resubmission"}
	}
	return nil
}

func (r jobRequest) toSubmission() (job.Submission, error) {
	id := task.JobID{Customer: r.Customer, Key: r.Key}
	if err := validateID(id); err != nil {
		return job.Submission{}, errors.WithStack(err)
	}
	if len(r.Route) > maxRouteBytes {
		return job.Submission{}, errors.WithStack(&FieldError{Field: "Route", Want: "at most 64 bytes"})
	}
	if r.DeadlineMilliseconds < 0 || r.DeadlineMilliseconds > maxDeadlineMilliseconds {
		return job.Submission{}, errors.WithStack(&FieldError{Field: "DeadlineMilliseconds", Want: "0 to 300000"})
	}
	if len(r.Tasks) == 0 {
		return job.Submission{}, errors.WithStack(&FieldError{Field: "Tasks", Want: "a list of 1 or more tasks"})
	}
	ticket, err := shard.ParseTicket(r.Ticket)
	if err != nil {
		return job.Submission{}, err
	}
	bodies := make([][]byte, len(r.Tasks))
	for i, t := range r.Tasks {
		bodies[i] = t.bytes()
	}
	return job.Submission{
		ID:         id,
		Route:      r.Route,
		Idempotent: r.Idempotent,
		Deadline:   milliseconds(r.DeadlineMilliseconds),
		Ticket:     ticket,
		Bodies:     bodies,
	}, nil
}

// newJobResponse returns the response for an answer, without its results, which encodeAnswer adds.
func newJobResponse(a job.Answer) jobResponse {
	return jobResponse{
		Customer: a.ID.Customer, Key: a.ID.Key, State: a.State, Reason: a.Reason,
		Message: messageFor(a), Ticket: a.Ticket.String(),
	}
}
