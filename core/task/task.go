// Package task owns the identities of jobs, tasks and attempts, and the messages by which a task starts.
//
// Owners and agents both use it. It decides nothing.
package task

import (
	"strconv"
	"time"

	"dogwoodglade/core/shard"
)

// JobID identifies a submission. A resubmission carries the same JobID.
type JobID struct {
	Customer string
	Key      string
}

// Shard returns the key shard that deduplicates the submission.
func (id JobID) Shard() shard.ID { return shard.Of(id.Customer, id.Key) }

// String formats the job for logs.
func (id JobID) String() string { return id.Customer + "/" + id.Key }

// ID identifies a task of a job.
type ID struct {
	Job   JobID
	Index int
}

// AttemptID identifies one attempt to run a task. Attempts count from 1.
type AttemptID struct {
	Task   ID
	Number int
}

// String formats the attempt for logs.
func (a AttemptID) String() string {
	return a.Task.Job.String() + "#" + strconv.Itoa(a.Task.Index) + "/" + strconv.Itoa(a.Number)
}

// Result is what a backend server answered: its HTTP status and body.
type Result struct {
	Status int
	Body   []byte
}

// Succeeded reports whether the backend server ran the task without failure.
func (r Result) Succeeded() bool { return r.Status >= 200 && r.Status < 300 }

// Start asks an agent to run one attempt of a task on a backend server.
type Start struct {
	Attempt       AttemptID
	TaskCount     int // number of tasks of the job
	Route         string
	Digest        string // of the bodies of the job, so that a successor recognises a reused key
	Idempotent    bool
	Epoch         shard.Epoch
	Owner         string // name of the entry that gets the outcome
	Allocator     string // name of the entry that gets the release
	BackendServer string
	Incarnation   string // of the backend server
	Grant         string // ID of the slot grant
	Deadline      time.Duration
	Body          []byte
}

// Refusal says why an agent refused a start. A refused start did not run and will not run, except that
// RefusedDuplicate says that an earlier copy of the same start was accepted.
type Refusal string

// Refusals of a start.
const (
	Accepted             Refusal = ""
	RefusedEpoch         Refusal = "EpochSuperseded"
	RefusedSlots         Refusal = "NoFreeSlot"
	RefusedLeaving       Refusal = "Leaving"
	RefusedBackendServer Refusal = "UnknownBackendServer"
	RefusedDuplicate     Refusal = "AlreadyStarted" // the attempt itself is on record
	RefusedConflict      Refusal = "TaskStarted"    // another attempt of the task is on record
	RefusedReconciled    Refusal = "Reconciled"     // the owner was told that the attempt can no longer start
	RefusedUnregistered  Refusal = "NotRegistered"
	RefusedDeadline      Refusal = "DeadlineExceeded"
	RefusedUnreachable   Refusal = "AgentUnreachable" // the owner could not send the start
)

// RecordState is the state of a start record.
type RecordState string

// States of a start record. Ended covers every result of the backend server. Lost means that the backend
// server was lost while the task ran, so that its effect is unknown. Evicted means that the task ended and
// the body of its result was dropped to bound the agent's memory; the status is kept.
const (
	Running RecordState = "Running"
	Ended   RecordState = "Ended"
	Lost    RecordState = "Lost"
	Evicted RecordState = "Evicted"
)

// Record is an agent's memory of one started attempt.
type Record struct {
	Attempt    AttemptID
	TaskCount  int
	Route      string
	Digest     string
	Idempotent bool
	Epoch      shard.Epoch
	Agent      string
	State      RecordState
	Result     Result
	RunTime    time.Duration
}
