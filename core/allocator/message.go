// Package allocator assigns the slots of one pool to the tasks that wait for them.
//
// It holds the queue of slot requests, the grants in use, the run time estimates and the health of the backend
// servers. It does no I/O: the entry that is the allocator of the pool passes it messages and carries out the
// actions that it returns. Its state is soft: a successor rebuilds it from the heartbeats of the agents and the
// repeated requests of the owners.
package allocator

import "time"

// SlotRequest is an owner's request for slots of a pool. It stays queued until all its slots are granted, withdrawn or
// refused.
type SlotRequest struct {
	ID       string // unique within the owner's process
	Owner    string // name of the entry that makes the request
	Customer string
	Route    string
	Count    int           // slots still needed
	Age      time.Duration // since the entry accepted the submission
	Deadline time.Duration // time left until the caller no longer needs the answer
	Avoid    []string      // backend servers on which the task failed before
}

// BackendServer is the state of a backend server as announced by its agent.
type BackendServer struct {
	ID          string
	Agent       string // name of the agent that announced it
	Incarnation string // unique to each start of the backend server's process
	Pool        string
	DataCentre  string
	Slots       int
	Leaving     bool
	Grants      []string // IDs of the grants in use
}

// Outcome is the result of a grant, from which the health of the backend server is derived.
type Outcome string

// Outcomes of a grant.
const (
	Succeeded Outcome = "Succeeded"
	Errored   Outcome = "Errored" // the backend server failed the task or was lost
	Cancelled Outcome = "Cancelled"
	Unused    Outcome = "Unused" // the task was not started
)

// Release reports that the task of a grant has ended and its slot is free.
type Release struct {
	BackendServer string
	Incarnation   string
	Grant         string
	Route         string
	Outcome       Outcome
	RunTime       time.Duration
}

// Action is a message that the caller of the allocator must send to an owner: a Grant or a Refusal.
type Action interface{ isAction() }

// Grant assigns one slot of a backend server to a slot request.
type Grant struct {
	ID            string
	RequestID     string `json:"Ask"`
	Owner         string
	Allocator     string // name of the entry that granted the slot
	Agent         string
	BackendServer string
	Incarnation   string
}

// Refusal ends a slot request whose remaining slots will not be granted. No task has started in them.
type Refusal struct {
	RequestID  string `json:"Ask"`
	Owner      string
	Count      int
	Reason     Reason
	RetryAfter time.Duration
}

// Reason states why a slot request was refused.
type Reason string

// Reasons for refusing a slot request.
const (
	Overloaded       Reason = "Overloaded"
	DeadlineExceeded Reason = "DeadlineExceeded"
	QuotaExceeded    Reason = "QuotaExceeded"
	EmptyPool        Reason = "EmptyPool"
	UnknownPool      Reason = "UnknownPool"
)

func (Grant) isAction()   {}
func (Refusal) isAction() {}
