package dev

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodglade/io/backend"
)

// maxSampleRun limits the run time that a sample task can request.
const maxSampleRun = time.Minute

// sampleTask is the body of a task of the sample backend server. A body that is not JSON is returned unchanged.
type sampleTask struct {
	Text            string
	RunMilliseconds int64 // run time of the task
	Fail            bool
}

// sampleResult is the result of a task of the sample backend server.
type sampleResult struct {
	Text            string
	RunMilliseconds int64
	BackendServer   string
}

// SimulatedFailureError is the error of a sample task whose body requests a failure, and of every task of a
// failing server.
type SimulatedFailureError struct{ Task string }

// Error implements error.
func (e *SimulatedFailureError) Error() string {
	return fmt.Sprintf("run sample task %s: simulated failure", e.Task)
}

// RunSample returns the task handler of the sample backend server with the given ID.
func RunSample(id string) func(ctx context.Context, t backend.Task) ([]byte, error) {
	return func(ctx context.Context, t backend.Task) ([]byte, error) {
		var sample sampleTask
		if !json.Valid(t.Body) {
			return t.Body, nil
		}
		if err := json.Unmarshal(t.Body, &sample); err != nil {
			return nil, errors.Wrapf(err, "decode sample task %s", t.Attempt)
		}
		run := min(time.Duration(sample.RunMilliseconds)*time.Millisecond, maxSampleRun)
		select {
		case <-time.After(run):
		case <-ctx.Done():
			return nil, errors.Wrapf(ctx.Err(), "run sample task %s", t.Attempt)
		}
		if sample.Fail {
			return nil, errors.WithStack(&SimulatedFailureError{Task: t.Attempt.String()})
		}
		body, err := json.Marshal(sampleResult{
			Text: sample.Text, RunMilliseconds: run.Milliseconds(), BackendServer: id,
		})
		return body, errors.Wrap(err, "encode sample result")
	}
}
