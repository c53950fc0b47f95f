// Package allocator shares the slots of one pool among the work that waits for them.
//
// It owns the queue of asks, the grants in use, the estimates of run times and the judgement of backend
// servers. The entry that is the allocator of the pool calls it. Its state is soft: a successor rebuilds it
// from the heartbeats of the agents and the asks of the owners.
package allocator

import "time"

// Ask is an owner's standing demand for slots of a pool. It stands until it is granted in full, withdrawn
// or refused.
type Ask struct {
	ID       string // unique to the owner's process
	Owner    string // name of the entry that asks
	Customer string
	Route    string
	Count    int           // slots still wanted
	Age      time.Duration // since the entry accepted the submission
	Deadline time.Duration // time left until the caller no longer needs the answer
	Avoid    []string      // backend servers that failed this task before
}

// BackendServer is a backend server as its agent announces it.
type BackendServer struct {
	ID          string
	Agent       string // name of the agent beside it
	Incarnation string // unique to one run of the backend server
	Pool        string
	DataCentre  string
	Slots       int
	Leaving     bool
	Grants      []string // grants in use, by ID
}

// Outcome is the result of a grant for the judgement of backend servers.
type Outcome string

// Outcomes of a grant.
const (
	Succeeded Outcome = "Succeeded"
	Errored   Outcome = "Errored" // the backend server failed the task or was lost
	Cancelled Outcome = "Cancelled"
	Unused    Outcome = "Unused" // the task was not started
)

// Release reports that the slot of a grant is free again.
type Release struct {
	BackendServer string
	Incarnation   string
	Grant         string
	Route         string
	Outcome       Outcome
	RunTime       time.Duration
}

// Action is what the allocator asks its caller to do: a Grant or a Refuse.
type Action interface{ isAction() }

// Grant gives one slot of a backend server to an ask.
type Grant struct {
	ID            string
	Ask           string
	Owner         string
	Allocator     string // name of the entry that granted it
	Agent         string
	BackendServer string
	Incarnation   string
}

// Refuse ends an ask whose remaining slots will not be granted. Nothing of them ran.
type Refuse struct {
	Ask        string
	Owner      string
	Count      int
	Reason     Reason
	RetryAfter time.Duration
}

// Reason says why an ask was refused.
type Reason string

// Reasons of a refused ask.
const (
	Overloaded       Reason = "Overloaded"
	DeadlineExceeded Reason = "DeadlineExceeded"
	QuotaExceeded    Reason = "QuotaExceeded"
	EmptyPool        Reason = "EmptyPool"
	UnknownPool      Reason = "UnknownPool"
)

func (Grant) isAction()  {}
func (Refuse) isAction() {}
