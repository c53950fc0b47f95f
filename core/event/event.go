// Package event defines the numbered events that processes record and merges them into one timeline.
//
// Every process records its events in a Recorder. The events of all processes are merged in the order of their
// stamps, which come from a hybrid logical clock, so that an effect never sorts before its cause even if the
// clocks of two hosts differ. If a process cannot be reached, its events are missing from the timeline; nothing
// else depends on them.
package event

import (
	"cmp"
	"slices"
	"time"
)

// Number identifies a kind of event. Numbers are never reused. docs/events.md lists all of them.
type Number int

// Events of submissions and jobs.
const (
	JobAccepted     Number = 1001
	JobResubmitted  Number = 1002
	JobAnswered     Number = 1003
	JobRefused      Number = 1004
	JobCancelled    Number = 1005
	JobRecovered    Number = 1006
	AnswerDelivered Number = 1007
	JobForwarded    Number = 1008
)

// Events of tasks.
const (
	TaskAsked        Number = 2001
	TaskSent         Number = 2002
	TaskStarted      Number = 2003
	TaskRefused      Number = 2004
	TaskEnded        Number = 2005
	TaskLost         Number = 2006
	TaskRetried      Number = 2007
	OutcomeReceived  Number = 2008
	OutcomeDiscarded Number = 2009
	TaskStopped      Number = 2010
	TaskBlamed       Number = 2011
	RunsMoved        Number = 2012
)

// Events of slots and admission.
const (
	SlotGranted      Number = 3001
	SlotReturned     Number = 3002
	SlotReleased     Number = 3003
	AskRefused       Number = 3004
	BackendEjected   Number = 3005
	BackendProbed    Number = 3006
	BackendRestored  Number = 3007
	AllocatorStarted Number = 3008
)

// Events of membership.
const (
	ProcessStarted   Number = 4001
	ProcessStopped   Number = 4002
	ProcessDraining  Number = 4003
	BackendAnnounced Number = 4004
	BackendLeaving   Number = 4005
	BackendLost      Number = 4006
	AgentConnected   Number = 4007
	AgentLost        Number = 4008
	AgentRegistered  Number = 4009
	EntryConnected   Number = 4010
	EntryLost        Number = 4011
	EntryRegistered  Number = 4012
	HomeChosen       Number = 4013
	BackendSilent    Number = 4014
	ConnectionLost   Number = 4015
)

// Events of ownership.
const (
	TakeoverStarted    Number = 5001
	ShardFenced        Number = 5002
	TakeoverCompleted  Number = 5003
	TakeoverIncomplete Number = 5004
	OwnerSuperseded    Number = 5005
	HandoverSent       Number = 5006
	HandoverReceived   Number = 5007
)

// Events of the tables and the platform.
const (
	EditAccepted     Number = 6001
	EditRefused      Number = 6002
	TablesAdopted    Number = 6003
	PlatformFailed   Number = 6004
	PlatformRestored Number = 6005

	DataCentreEvacuated Number = 6006
	EvacuationTakenBack Number = 6007

	WatcherChanged Number = 6008
	RouteNotFound  Number = 6009
)

// Events of the limits on clients.
const (
	ConnectionsClosed Number = 7001
	BodiesRefused     Number = 7002
)

// Event is one event of the timeline. Fields that do not apply are zero, except that Task is -1.
type Event struct {
	Stamp    Stamp
	Process  string // name of the process
	Number   Number
	Customer string `json:",omitempty"`
	Key      string `json:",omitempty"`
	Task     int
	Attempt  int    `json:",omitempty"`
	Epoch    string `json:",omitempty"`
	Peer     string `json:",omitempty"` // the other process or backend server
	Route    string `json:",omitempty"`
	State    string `json:",omitempty"` // state or reason, depending on Number
	Version  uint64 `json:",omitempty"` // table version
	Count    int    `json:",omitempty"`
	Limit    int    `json:",omitempty"` // maximum number of starts of each task of an accepted job
}

// Values of State in JobAccepted and TaskStarted events.
const (
	Idempotent    = "Idempotent"
	NonIdempotent = "NonIdempotent"
)

// IdempotenceState returns the State of JobAccepted and TaskStarted events of an idempotent or non-idempotent job.
func IdempotenceState(idempotent bool) string {
	if idempotent {
		return Idempotent
	}
	return NonIdempotent
}

// Stamp is a timestamp of a hybrid logical clock. Wall is in nanoseconds since 1970; Logical orders stamps of equal
// wall time.
type Stamp struct {
	Wall    int64
	Logical uint32
}

// Compare returns -1, 0 or +1 if s is earlier than, equal to or later than other.
func (s Stamp) Compare(other Stamp) int {
	return cmp.Or(cmp.Compare(s.Wall, other.Wall), cmp.Compare(s.Logical, other.Logical))
}

// Time returns the wall time of the stamp.
func (s Stamp) Time() time.Time { return time.Unix(0, s.Wall) }

// Merge merges the events of several processes into one timeline. Events with equal stamps are sorted by process
// name; events of one process with equal stamps keep their order.
func Merge(records ...[]Event) []Event {
	merged := slices.Concat(records...)
	slices.SortStableFunc(merged, func(a, b Event) int {
		return cmp.Or(a.Stamp.Compare(b.Stamp), cmp.Compare(a.Process, b.Process))
	})
	return merged
}

// Filter selects events of a timeline. Zero fields, except Task, select everything.
type Filter struct {
	Customer string
	Key      string
	Task     int // -1 selects every task
	Process  string
	Since    time.Time
	Until    time.Time
}

// Matches reports whether the filter selects e.
func (f Filter) Matches(e Event) bool {
	switch {
	case f.Customer != "" && f.Customer != e.Customer,
		f.Key != "" && f.Key != e.Key,
		f.Task >= 0 && f.Task != e.Task,
		f.Process != "" && f.Process != e.Process,
		!f.Since.IsZero() && e.Stamp.Time().Before(f.Since),
		!f.Until.IsZero() && e.Stamp.Time().After(f.Until):
		return false
	}
	return true
}

// Apply returns the events that the filter selects, in their original order.
func (f Filter) Apply(events []Event) []Event {
	return slices.DeleteFunc(slices.Clone(events), func(e Event) bool { return !f.Matches(e) })
}
