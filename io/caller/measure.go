package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"dogwoodglade/core/job"
	"dogwoodglade/core/task"
)

// measuredJob is a job of which only the fields that identify it have been decoded.
type measuredJob struct {
	Customer, Key, Route shortText
	Tasks                taskSizes
}

// shortText is a text that is not decoded if it is much longer than any name or key.
type shortText string

// maxShortText is the longest key in bytes, with each character escaped.
const maxShortText = 6*maxKeyBytes + 2

// UnmarshalJSON implements json.Unmarshaler.
func (s *shortText) UnmarshalJSON(data []byte) error {
	if len(data) > maxShortText {
		return nil
	}
	return json.Unmarshal(data, (*string)(s))
}

// taskSizes are the number of tasks, at most route.LimitMaxTasks + 1, and a lower bound of the largest body in bytes.
type taskSizes struct {
	count, largest int
	decoded        bool
}

// UnmarshalJSON implements json.Unmarshaler.
func (s *taskSizes) UnmarshalJSON(data []byte) error {
	if s.decoded {
		return errors.WithStack(&FieldError{Field: "Tasks", Want: "given once"})
	}
	tasks, err := decodeTasks[taskSize](data)
	*s = taskSizes{count: len(tasks), decoded: true}
	for _, t := range tasks {
		s.largest = max(s.largest, t.bytes())
	}
	return err
}

// taskSize is a task of which only the lengths have been decoded.
type taskSize struct{ Text, Data textSize }

func (t taskSize) bytes() int {
	if t.Data > 0 {
		return int(t.Data)/4*3 - 2 // less by the padding
	}
	return int(t.Text)
}

// textSize is a lower bound of the length of a decoded text in bytes.
type textSize int

// UnmarshalJSON implements json.Unmarshaler.
func (s *textSize) UnmarshalJSON(data []byte) error {
	// An escape sequence is one character of six bytes at most.
	*s = textSize(max(len(data)-2-5*bytes.Count(data, []byte{'\\'}), 0))
	return nil
}

// measureAbove is the size of a body in bytes from which its tasks are measured before it is decoded.
const measureAbove = 64 << 10

// tooLargeError returns why a job cannot run on its route, or nil if it may. A job that the owner knows may have been accepted
// under earlier limits, and is served. Nothing large is decoded.
func (h *handler) tooLargeError(ctx context.Context, m measuredJob) error {
	tasks, bytes, ok := h.dispatcher.TaskLimits(string(m.Route))
	id := task.JobID{Customer: string(m.Customer), Key: string(m.Key)}
	tooLarge := ok && (m.Tasks.count > tasks || m.Tasks.largest > bytes)
	if validID := validateID(id) == nil; tooLarge && validID && h.dispatcher.Lookup(ctx, id).Reason == job.ReasonNotFound {
		return errors.WithStack(&TooLargeError{MaxTasks: tasks, MaxBody: bytes})
	}
	return nil
}

// TooLargeError reports a job with more or larger tasks than its route allows.
type TooLargeError struct {
	MaxTasks int
	MaxBody  int // bytes of a task
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("read request: the route allows %d tasks of %d bytes each", e.MaxTasks, e.MaxBody)
}
