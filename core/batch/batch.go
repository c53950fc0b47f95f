// Package batch defines batch jobs: their steps of parallel tasks, the resources that each task needs, and their
// outcomes.
//
// The entry that accepts a batch job runs it while the caller waits for the answer. Batch jobs are not stored: if the
// entry is lost, the runs of the job are stopped, and the caller submits it again.
package batch

import (
	"cmp"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodglade/core/resource"
)

// Limits of a job.
const (
	MaxSteps = 64
	MaxTasks = 4096 // over all steps
	// MaxDemand is the limit of each resource of a task. It is beyond any host, and keeps sums over many tasks in range.
	MaxDemand = 1 << 20
	// MaxPriority is the least urgent priority that is told apart. It bounds the number of counters by priority.
	MaxPriority = 9
)

// JobID identifies a job. The caller chooses it, and a resubmission has the same one.
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

// Step is a group of parallel tasks with the same demand. It starts when the steps that it depends on are done.
type Step struct {
	Count        int
	Demand       resource.Amount // of each task
	Estimate     time.Duration   `json:",omitempty"` // run time of a task as declared by the caller; approximate
	After        []int           `json:",omitempty"` // indexes of the steps that have to be done before this one starts
	Label        string          `json:",omitempty"` // label that the backend server must have
	Rack         string          `json:",omitempty"` // label of the rack in which the tasks run fastest
	MaxPerServer int             `json:",omitempty"` // concurrent tasks of the step on a backend server; 0 means no limit
}

// Job is a job as submitted by its caller, with the limits of its route. It is treated as immutable.
type Job struct {
	ID       JobID
	Route    string
	Pool     string
	Version  uint64        `json:",omitempty"` // of the configuration from which route and pool were chosen
	Priority int           `json:",omitempty"` // 0 is the most urgent; those beyond MaxPriority are equal
	Attempts int           // failed runs of a task after which the job fails
	Stretch  float64       // target time from submission to answer, as a multiple of the job's run time; see Target
	Target   time.Duration // added to Stretch times the run time
	Timeout  time.Duration `json:"Patience"` // how long the caller waits for the answer
	// Returning means that the caller has submitted the job before, and lost time with that.
	Returning bool   `json:",omitempty"`
	Spec      string // passed to every task unchanged
	Steps     []Step
}

// WithTimeout returns a copy of the job with the given Timeout.
func (j Job) WithTimeout(d time.Duration) Job {
	j.Timeout = d
	return j
}

// TaskCount returns the number of tasks over all steps.
func (j Job) TaskCount() int {
	n := 0
	for _, s := range j.Steps {
		n += s.Count
	}
	return n
}

// InvalidJobError reports a job that cannot be run as submitted.
type InvalidJobError struct {
	Job    JobID
	Reason string
}

// Error implements error.
func (e *InvalidJobError) Error() string { return fmt.Sprintf("job %s: %s", e.Job, e.Reason) }

// Validate returns the first error in the job as an InvalidJobError.
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
			return invalid("step %d has a negative demand", i)
		case max(s.Demand.Processor, s.Demand.Memory, s.Demand.Accelerators) > MaxDemand:
			return invalid("step %d has a demand of %v, want at most %d of each resource", i, s.Demand, MaxDemand)
		case s.Estimate < 0 || s.MaxPerServer < 0:
			return invalid("step %d has a negative estimate or limit", i)
		}
		for _, dependency := range s.After {
			// A step may only depend on earlier ones, so that no cycle is possible.
			if dependency < 0 || dependency >= i {
				return invalid("step %d waits for step %d, want an earlier one", i, dependency)
			}
		}
		tasks += s.Count
	}
	if tasks > MaxTasks {
		return invalid("it has %d tasks, want at most %d", tasks, MaxTasks)
	}
	return nil
}
