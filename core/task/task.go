// Package task defines the IDs of jobs, tasks and attempts, and the messages that owners and agents exchange to
// run tasks.
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

// AttemptID identifies one attempt to run a task. The attempts of a task are numbered from 1.
type AttemptID struct {
	Task   ID
	Number int
}

// String formats the attempt for logs.
func (a AttemptID) String() string {
	return a.Task.Job.String() + "#" + strconv.Itoa(a.Task.Index) + "/" + strconv.Itoa(a.Number)
}

// Result is the response of a backend server: its HTTP status and body.
type Result struct {
	Status int
	Body   []byte
}

// Succeeded reports whether the status is a success (2xx).
func (r Result) Succeeded() bool { return r.Status >= 200 && r.Status < 300 }

// Start is a request to an agent to run one attempt of a task on a backend server.
type Start struct {
	Attempt       AttemptID
	TaskCount     int // number of tasks of the job
	Route         string
	Digest        string // hash of the job's bodies, by which a successor detects a reused key
	Idempotent    bool
	Epoch         shard.Epoch
	Owner         string // name of the entry to which the outcome is sent
	Allocator     string // name of the entry to which the release of the slot is sent
	BackendServer string
	Incarnation   string // of the backend server
	Grant         string // ID of the slot grant
	Deadline      time.Duration
	Body          []byte
}

// Refusal is the reason why a start was refused, or Accepted. A refused start did not run and will not run. The
// exception is RefusedAlreadyStarted: an earlier copy of the same start was accepted. Replies to a request to confirm
// an owner's epoch use the same values.
type Refusal string

// Refusals of a start.
const (
	Accepted                    Refusal = ""
	RefusedEpochSuperseded      Refusal = "EpochSuperseded"
	RefusedNoFreeSlot           Refusal = "NoFreeSlot"
	RefusedLeaving              Refusal = "Leaving"
	RefusedUnknownBackendServer Refusal = "UnknownBackendServer"
	// RefusedAlreadyStarted means that the agent has a record of this attempt.
	RefusedAlreadyStarted Refusal = "AlreadyStarted"
	// RefusedTaskStarted means that the agent has a record of another attempt of the task, which does not allow
	// this one.
	RefusedTaskStarted Refusal = "TaskStarted"
	// RefusedBlocked means that an earlier refusal, cancellation or reconciliation blocks this attempt: the owner
	// was told that it did not run, or cancelled it before it arrived.
	RefusedBlocked          Refusal = "Reconciled"
	RefusedNotRegistered    Refusal = "NotRegistered"
	RefusedDeadlineExceeded Refusal = "DeadlineExceeded"
	RefusedAgentUnreachable Refusal = "AgentUnreachable" // the owner could not send the start
)

// RecordState is the state of a start record.
type RecordState string

// States of a start record. Ended means that the backend server returned a result, whatever its status. Lost means
// that the backend server was lost while the task ran, so the effect of the task is unknown. Evicted means that the
// task ended and its result body was dropped to limit the agent's memory use; the status is kept.
const (
	Running RecordState = "Running"
	Ended   RecordState = "Ended"
	Lost    RecordState = "Lost"
	Evicted RecordState = "Evicted"
)

// Record is the start record that an agent keeps for an attempt.
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
