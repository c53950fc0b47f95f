// Package batch owns the jobs that are answered when they end and are not kept: their steps of parallel
// tasks, what each task asks of a backend server, and their outcomes.
//
// The entry that took such a job from its caller runs it for as long as the caller waits. Nothing of it is
// stored: if the entry is lost its runs are stopped, and the caller submits the job again.
package batch

import (
	"cmp"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodglade/core/resource"
)

// Bounds of a job.
const (
	MaxSteps = 64
	MaxTasks = 4096 // of all steps together
)

// JobID identifies a job. The caller chooses it; a resubmission repeats it.
type JobID string

// TaskID identifies a task of a job.
type TaskID struct {
	Job   JobID
	Step  int
	Index int
}

// String returns the ID for logs.
func (t TaskID) String() string { return fmt.Sprintf("%s/%d/%d", t.Job, t.Step, t.Index) }

// Compare orders tasks by job, step and index.
func (t TaskID) Compare(other TaskID) int {
	return cmp.Or(cmp.Compare(t.Job, other.Job), cmp.Compare(t.Step, other.Step), cmp.Compare(t.Index, other.Index))
}

// Step is a group of parallel tasks with equal demands.
type Step struct {
	Count        int
	Demand       resource.Amount // of each task
	Estimate     time.Duration   `json:",omitempty"` // declared run time of a task; rough
	After        []int           `json:",omitempty"` // steps that must be done before this one starts
	Label        string          `json:",omitempty"` // that the backend server must have
	Rack         string          `json:",omitempty"` // label of the rack where the tasks run fastest
	MaxPerServer int             `json:",omitempty"` // tasks of the step at once on one backend server; 0 is no limit
}

// Job is a job as its caller submitted it, with the limits of its route. It is a value.
type Job struct {
	ID       JobID
	Route    string
	Pool     string
	Version  uint64 `json:",omitempty"` // of the configuration that chose route and pool
	Priority int    `json:",omitempty"` // 0 is the most urgent
	Attempts int    // runs of a task that may fail before the job fails
	Stretch  float64
	Target   time.Duration // allowed beyond Stretch times the run time of the job
	Patience time.Duration // how long the caller waits for the answer
	Spec     string        // passed to every task as it is
	Steps    []Step
}

// WithPatience returns a copy whose caller waits for d.
func (j Job) WithPatience(d time.Duration) Job {
	j.Patience = d
	return j
}

// Tasks returns the number of tasks of all steps.
func (j Job) Tasks() int {
	n := 0
	for _, s := range j.Steps {
		n += s.Count
	}
	return n
}

// InvalidJobError reports a job that cannot be run as it was submitted.
type InvalidJobError struct {
	Job    JobID
	Reason string
}

// Error implements error.
func (e *InvalidJobError) Error() string { return fmt.Sprintf("job %s: %s", e.Job, e.Reason) }

// Validate reports the first fault of the job as an InvalidJobError.
func (j Job) Validate() error {
	invalid := func(format string, values ...any) error {
		return errors.WithStack(&InvalidJobError{Job: j.ID, Reason: fmt.Sprintf(format, values...)})
	}
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return invalid("it has %d steps, want 1 to %d", len(j.Steps), MaxSteps)
	}
	tasks := 0
	for i, s := range j.Steps {
		switch {
		case s.Count < 1 || s.Count > MaxTasks:
			return invalid("step %d has %d tasks, want 1 to %d", i, s.Count, MaxTasks)
		case !s.Demand.Valid():
			return invalid("step %d asks for a negative amount", i)
		case s.Estimate < 0 || s.MaxPerServer < 0:
			return invalid("step %d has a negative estimate or limit", i)
		}
		for _, before := range s.After {
			// Steps may only wait for earlier ones, so no cycle is possible.
			if before < 0 || before >= i {
				return invalid("step %d waits for step %d, want an earlier one", i, before)
			}
		}
		tasks += s.Count
	}
	if tasks > MaxTasks {
		return invalid("it has %d tasks, want at most %d", tasks, MaxTasks)
	}
	return nil
}
