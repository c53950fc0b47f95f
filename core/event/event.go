// Package event owns the numbered events of the project and the time line made of them.
//
// Every process records its events in a Recorder. The records of all processes merge into one order by
// their stamps, which come from a hybrid logical clock, so that an effect never sorts before its cause
// even if the clocks of two hosts differ. A process that cannot be reached leaves a gap in the time line;
// nothing else depends on it.
package event

import (
	"cmp"
	"slices"
	"time"
)

// Number identifies a kind of event. Numbers are never reused. docs/events.md is the catalogue.
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
)

// Event is one record of the time line. Fields that do not apply are zero; Task is -1 if it does not apply.
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
	State    string `json:",omitempty"` // state or reason, by kind of event
	Version  uint64 `json:",omitempty"` // table version
	Count    int    `json:",omitempty"`
	Limit    int    `json:",omitempty"` // starts allowed for each task of an accepted job
}

// States of JobAccepted and TaskStarted.
const (
	Idempotent    = "Idempotent"
	NonIdempotent = "NonIdempotent"
)

// StateOf returns the state of an event about a job that is idempotent or not.
func StateOf(idempotent bool) string {
	if idempotent {
		return Idempotent
	}
	return NonIdempotent
}

// Stamp is a time of the hybrid logical clock. Wall is in nanoseconds since 1970; Logical orders stamps
// of equal wall time.
type Stamp struct {
	Wall    int64
	Logical uint32
}

// Compare orders stamps.
func (s Stamp) Compare(other Stamp) int {
	return cmp.Or(cmp.Compare(s.Wall, other.Wall), cmp.Compare(s.Logical, other.Logical))
}

// Time returns the wall time of the stamp.
func (s Stamp) Time() time.Time { return time.Unix(0, s.Wall) }

// Merge merges the records of several processes into one time line. Equal stamps sort by process name, and
// the records of one process keep their order.
func Merge(records ...[]Event) []Event {
	merged := slices.Concat(records...)
	slices.SortStableFunc(merged, func(a, b Event) int {
		return cmp.Or(a.Stamp.Compare(b.Stamp), cmp.Compare(a.Process, b.Process))
	})
	return merged
}

// Filter selects events of a time line. Zero fields select everything.
type Filter struct {
	Customer string
	Key      string
	Task     int // -1 selects every task
	Process  string
	Since    time.Time
	Until    time.Time
}

// Matches reports whether the filter selects the event.
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

// Apply returns the selected events in their order.
func (f Filter) Apply(events []Event) []Event {
	return slices.DeleteFunc(slices.Clone(events), func(e Event) bool { return !f.Matches(e) })
}
