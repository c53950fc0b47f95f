// Package job implements the state machine for the jobs of one key shard: it deduplicates submissions, collects the
// results of the tasks, and handles retries, cancellation and answers.
//
// An entry holds one Owner for each shard that it owns and calls it under that shard's lock. An Owner does no
// I/O: each method takes the current time and an event, and returns the actions that the caller must perform.
// The caller reports the failure of an agent or an allocator as an event. If the owner itself fails, its
// successor rebuilds the jobs from the agents' start records.
package job

import (
	"time"

	"dogwoodglade/core/shard"
	"dogwoodglade/core/task"
)

// Submission is a caller's request to run a job of parallel tasks. A single request is a job of one task.
type Submission struct {
	ID         task.JobID
	Route      string
	Idempotent *bool         // nil means the route's default
	Deadline   time.Duration // time left until the caller no longer needs the answer; 0 means the route's deadline
	Ticket     shard.Ticket
	Bodies     [][]byte // one per task
}

// State is the state of an answer.
type State string

// States of an answer. Only Lookup returns Pending. After NotRun the owner forgets the key, so the same
// submission can be sent again and then runs.
const (
	Pending        State = "Pending"
	Complete       State = "Complete"
	Failed         State = "Failed"
	NotRun         State = "NotRun"
	OutcomeUnknown State = "OutcomeUnknown"
)

// Reason is the reason why a submission did not complete.
type Reason string

// Reasons for answers whose state is not Complete.
const (
	ReasonNone              Reason = ""
	ReasonTaskFailed        Reason = "TaskFailed"
	ReasonCancelled         Reason = "Cancelled"
	ReasonDeadlineExceeded  Reason = "DeadlineExceeded"
	ReasonOverloaded        Reason = "Overloaded"
	ReasonQuotaExceeded     Reason = "QuotaExceeded"
	ReasonUnknownRoute      Reason = "UnknownRoute"
	ReasonNoTasks           Reason = "NoTasks"
	ReasonTooManyTasks      Reason = "TooManyTasks"
	ReasonBodyTooLarge      Reason = "BodyTooLarge"
	ReasonEmptyPool         Reason = "EmptyPool"
	ReasonBackendServerLost Reason = "BackendServerLost"
	ReasonResultEvicted     Reason = "ResultEvicted"
	ReasonTicketRequired    Reason = "TicketRequired"
	ReasonTicketSuperseded  Reason = "TicketSuperseded"
	ReasonOwnerUnavailable  Reason = "OwnerUnavailable"
	ReasonOwnerSuperseded   Reason = "OwnerSuperseded"
	ReasonDraining          Reason = "Draining"
	ReasonKeyReused         Reason = "KeyReused"
	ReasonNotFound          Reason = "NotFound"
	ReasonBusy              Reason = "Busy" // an entry has no memory for the request; nothing is known about the key
)

// Answer is the response to a submission. Results holds one result per task if the state is Complete, and is
// empty otherwise, so that no caller sees a partial answer.
type Answer struct {
	ID         task.JobID
	State      State
	Reason     Reason
	Results    []task.Result
	RetryAfter time.Duration
	Ticket     shard.Ticket // for the customer's next submission to the same shard
}
