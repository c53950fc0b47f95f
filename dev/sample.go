package dev

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodglade/io/backend"
)

// maxSampleRun is the longest run time that the sample backend server accepts.
const maxSampleRun = time.Minute

// sampleTask is the body of a task of the sample backend server. Another body is returned as it is.
type sampleTask struct {
	Text            string
	RunMilliseconds int64 // time to run
	Fail            bool
}

// sampleResult is the result of a task of the sample backend server.
type sampleResult struct {
	Text            string
	RunMilliseconds int64
	BackendServer   string
}

// FailedError is the failure of a sample task that asks to fail.
type FailedError struct{ Task string }

// Error implements error.
func (e *FailedError) Error() string {
	return fmt.Sprintf("run sample task %s: it asks to fail", e.Task)
}

// RunSample returns the function that runs the tasks of the sample backend server with the given ID.
func RunSample(id string) func(ctx context.Context, t backend.Task) ([]byte, error) {
	return func(ctx context.Context, t backend.Task) ([]byte, error) {
		var sample sampleTask
		if !json.Valid(t.Body) {
			return t.Body, nil
		}
		if err := json.Unmarshal(t.Body, &sample); err != nil {
			return nil, errors.Wrapf(err, "read sample task %s", t.Attempt)
		}
		run := min(time.Duration(sample.RunMilliseconds)*time.Millisecond, maxSampleRun)
		select {
		case <-time.After(run):
		case <-ctx.Done():
			return nil, errors.Wrapf(ctx.Err(), "run sample task %s", t.Attempt)
		}
		if sample.Fail {
			return nil, errors.WithStack(&FailedError{Task: t.Attempt.String()})
		}
		body, err := json.Marshal(sampleResult{
			Text: sample.Text, RunMilliseconds: run.Milliseconds(), BackendServer: id,
		})
		return body, errors.Wrap(err, "encode sample result")
	}
}
