package batch

import "time"

// Outcome is how a job ended: Completed, Failed, NotRun, Unknown or Cancelled.
type Outcome interface{ outcome() }

// Completed says that every task succeeded.
type Completed struct{}

// Failed says that a task failed as often as its route allows.
type Failed struct {
	Task     TaskID
	Attempts int
}

// NotRun says that no task of the job started, and none will unless the job is submitted again.
type NotRun struct {
	Reason     Reason
	RetryAfter time.Duration // when a new submission has a chance
}

// Unknown says that tasks may have run and that the job was given up. It may be submitted again.
type Unknown struct{ Reason Reason }

// Cancelled says that the caller cancelled the job or went away.
type Cancelled struct{}

func (Completed) outcome() {}
func (Failed) outcome()    {}
func (NotRun) outcome()    {}
func (Unknown) outcome()   {}
func (Cancelled) outcome() {}

// Reason is why a job was refused or given up.
type Reason string

// Reasons of NotRun and Unknown.
const (
	Overloaded       Reason = "Overloaded"       // the queue is longer than the job can wait
	NoServer         Reason = "NoServer"         // no backend server of the pool is known
	TooLarge         Reason = "TooLarge"         // no backend server has what a task asks for
	DeadlinePassed   Reason = "DeadlinePassed"   // it can no longer be answered while the caller waits
	PeerLost         Reason = "PeerLost"         // the entry that ran the job was lost
	Draining         Reason = "Draining"         // the entry is stopping
	NoConfiguration  Reason = "NoConfiguration"  // the entry has no routes yet
	NotSupported     Reason = "NotSupported"     // the job asks for something that is not built
	AlreadySubmitted Reason = "AlreadySubmitted" // a newer submission of the same job replaced this one
)

// Name returns the name of an outcome for logs.
func Name(o Outcome) string {
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
