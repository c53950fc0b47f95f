package batch

import "time"

// Outcome is how a job ended: Completed, Failed, NotRun, Unknown or Cancelled.
type Outcome interface{ outcome() }

// Completed means that every task succeeded.
type Completed struct{}

// Failed means that a task failed as often as the route allows, or that too many backend servers crashed under it.
type Failed struct {
	Task     TaskID
	Attempts int
	Crashes  int // backend servers that crashed under the task, if that is why the job failed
}

// NotRun means that no task of the job has started, and none will unless the job is submitted again.
type NotRun struct {
	Reason     Reason
	RetryAfter time.Duration // delay after which a new submission may be accepted
}

// Unknown means that the job was abandoned after tasks may have run. It may be submitted again.
type Unknown struct{ Reason Reason }

// Cancelled means that the caller cancelled the job or disconnected.
type Cancelled struct{}

func (Completed) outcome() {}
func (Failed) outcome()    {}
func (NotRun) outcome()    {}
func (Unknown) outcome()   {}
func (Cancelled) outcome() {}

// Reason is why a job was refused or abandoned.
type Reason string

// Reasons for NotRun and Unknown.
const (
	Overloaded       Reason = "Overloaded"       // the predicted wait is too long for the job
	NoServer         Reason = "NoServer"         // no backend server of the pool is known
	TooLarge         Reason = "TooLarge"         // no backend server is large enough for a task
	DeadlinePassed   Reason = "DeadlinePassed"   // the answer would come too late for the caller
	PeerLost         Reason = "PeerLost"         // the entry that ran the job was lost
	Draining         Reason = "Draining"         // the entry is stopping
	NoConfiguration  Reason = "NoConfiguration"  // the entry has no routes yet
	NotSupported     Reason = "NotSupported"     // the job requires a feature that is not implemented
	Busy             Reason = "Busy"             // too many callers have sent parts of requests, or jobs with many tasks
	Crashes          Reason = "Crashes"          // backend servers have crashed, and a task may be the cause
	AlreadySubmitted Reason = "AlreadySubmitted" // the refusing entry has forwarded the job to this one
)

// OutcomeName returns the name of an outcome for logs.
func OutcomeName(o Outcome) string {
	switch o := o.(type) {
	case Completed:
		return "Completed"
	case Failed:
		return "Failed"
	case NotRun:
		return "NotRun:" + string(o.Reason)
	case Unknown:
		return "Unknown:" + string(o.Reason)
	case Cancelled:
		return "Cancelled"
	}
	return "None"
}
