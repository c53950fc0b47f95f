// Package job owns the jobs of one key shard: deduplication, assembly, retries, cancellation and answers.
//
// An entry calls it for each shard that the entry owns, under that shard's lock. It decides only: it takes
// the time and an event and returns actions. If an agent or an allocator fails, the caller reports that as
// an event; if the owner itself fails, its successor rebuilds the jobs from the agents' start records.
package job

import (
	"time"

	"dogwoodglade/core/shard"
	"dogwoodglade/core/task"
)

// Submission is a request of a caller: a job of parallel tasks, or a single request as a job of one task.
type Submission struct {
	ID         task.JobID
	Route      string
	Idempotent *bool         // nil takes the route's default
	Deadline   time.Duration // time left until the caller no longer needs the answer; 0 takes the route's
	Ticket     shard.Ticket
	Bodies     [][]byte // one per task
}

// State is the state of an answer.
type State string

// States of an answer. Pending is only seen by look-ups. After NotRun the owner forgets the key, so that the
// same submission may be sent again and runs.
const (
	Pending        State = "Pending"
	Complete       State = "Complete"
	Failed         State = "Failed"
	NotRun         State = "NotRun"
	OutcomeUnknown State = "OutcomeUnknown"
)

// Reason says why a submission did not complete.
type Reason string

// Reasons of answers that are not complete.
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
)

// Answer is what a caller gets for a submission. Results holds one result per task if the state is
// Complete, and is empty otherwise, so that no caller sees a partial answer.
type Answer struct {
	ID         task.JobID
	State      State
	Reason     Reason
	Results    []task.Result
	RetryAfter time.Duration
	Ticket     shard.Ticket // for the customer's next submission to the same shard
}
