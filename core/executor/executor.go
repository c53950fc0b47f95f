// Package executor decides, on one agent, which tasks start.
//
// It owns the fences of the key shards, the start records of the retention window, the slots of the
// backend servers announced to the agent, and the agent's drain. The agent calls it for each message. An
// owner that was superseded is refused; an owner that dies leaves its records here for its successor.
package executor

import (
	"time"

	"dogwoodglade/core/allocator"
	"dogwoodglade/core/event"
	"dogwoodglade/core/shard"
	"dogwoodglade/core/task"
)

// RetentionWindow is how long an agent remembers a start. Callers may resubmit a key within it.
const RetentionWindow = 10 * time.Minute

// Silence is how long a backend server may be silent before it gets no new work.
const Silence = 3 * time.Second

// DefaultConnections is the number of concurrent requests to a backend server that announces none.
const DefaultConnections = 64

// MaxResultBytes bounds the result bodies kept in start records. An agent may use 32 MB in all.
const MaxResultBytes = 12 << 20

// Executor holds the starts of one agent. It is not safe for concurrent use.
type Executor struct {
	agent  string
	record func(event.Event)

	registered   bool
	registeredAt time.Time
	draining     bool
	fences       [shard.Count]shard.Epoch
	heard        map[string]time.Time
	servers      map[string]*server

	records     [shard.Count]map[task.ID][]*start
	barred      map[task.AttemptID]struct{} // attempts that were not started and never will be
	barredOrder []barredAttempt
	ended       []*start // in the order of their end
	firstBody   int      // index in ended before which no result body is left
	bodyBytes   int
	running     int
}

// start is a start record with what the agent needs to finish the attempt.
type start struct {
	task.Record
	owner     string
	allocator string
	grant     string
	server    string
	inc       string // incarnation of the backend server
	startedAt time.Time
	endedAt   time.Time
	cancelled bool
}

type barredAttempt struct {
	attempt task.AttemptID
	at      time.Time
}

// Action is what the executor asks the agent to do.
type Action interface{ isAction() }

// Run sends an accepted start to its backend server.
type Run struct {
	Start   task.Start
	Address string
}

// Stop ends the request of a running attempt at its backend server. The attempt keeps its slot until Ended
// or Lost reports that the backend server has ended it.
type Stop struct{ Attempt task.AttemptID }

// SendOutcome reports a record that is no longer running to the owner of the job.
type SendOutcome struct {
	Owner  string
	Record task.Record
}

// SendRelease reports a free slot to the allocator that granted it.
type SendRelease struct {
	Allocator string
	Release   allocator.Release
}

// SendHeartbeat sends the heartbeat to all entries at once.
type SendHeartbeat struct{}

func (Run) isAction()           {}
func (Stop) isAction()          {}
func (SendOutcome) isAction()   {}
func (SendRelease) isAction()   {}
func (SendHeartbeat) isAction() {}

// New returns the executor of an agent that has not registered.
func New(agent string, record func(event.Event)) *Executor {
	return &Executor{
		agent:   agent,
		record:  record,
		heard:   map[string]time.Time{},
		servers: map[string]*server{},
		barred:  map[task.AttemptID]struct{}{},
	}
}

// Registered opens the executor for starts. The epochs are those of the Shards row, by shard. The row must
// have been read after the agent's registration was written: an owner that read the registry too early to
// fence this agent had then written its epoch to the row.
func (e *Executor) Registered(now time.Time, epochs []shard.Epoch) {
	for id, epoch := range epochs {
		if id < shard.Count {
			e.raise(shard.Fence{Shard: shard.ID(id), Epoch: epoch})
		}
	}
	if !e.registered {
		e.registered, e.registeredAt = true, now
		e.record(event.Event{Number: event.AgentRegistered, Task: -1})
	}
}

// Fence raises the epochs of shards for the named owner and returns their start records. Attempts that
// still run report their outcome to that owner from then on. A fence that is lower than one seen before
// changes nothing and returns no records.
func (e *Executor) Fence(now time.Time, owner string, fences []shard.Fence) []task.Record {
	e.OwnerHeard(now, owner)
	var found []task.Record
	fenced := 0
	for _, f := range fences {
		if f.Shard < 0 || f.Shard >= shard.Count || !e.raise(f) {
			continue
		}
		fenced++
		e.eachOf(f.Shard, func(s *start) {
			if s.State == task.Running {
				s.owner = owner
			}
			found = append(found, s.Record)
		})
	}
	if fenced > 0 {
		e.record(event.Event{Number: event.ShardFenced, Task: -1, Peer: owner, Count: fenced})
	}
	sortRecords(found)
	return found
}

// raise reports whether the fence is at least as high as any seen before. Only fences and the Shards row
// raise it. A start does not: after a planned handover the successor starts tasks under its higher epoch
// while the draining owner finishes its open jobs under the lower one.
func (e *Executor) raise(f shard.Fence) bool {
	if f.Epoch.Less(e.fences[f.Shard]) {
		return false
	}
	e.fences[f.Shard] = f.Epoch
	return true
}

// OwnerHeard notes a message from the named entry.
func (e *Executor) OwnerHeard(now time.Time, owner string) { e.heard[owner] = now }

// OwnerSilence returns how long the named entry has been silent. An entry that was never heard counts from
// the agent's registration, so that an agent that just started does not vote for a takeover.
func (e *Executor) OwnerSilence(now time.Time, owner string) time.Duration {
	last, ok := e.heard[owner]
	if !ok {
		if !e.registered {
			return 0
		}
		last = e.registeredAt
	}
	return max(now.Sub(last), 0)
}

// Drain refuses all further starts and announces that at once. Running tasks finish.
func (e *Executor) Drain(time.Time) []Action {
	if e.draining {
		return nil
	}
	e.draining = true
	e.record(event.Event{Number: event.ProcessDraining, Task: -1, Count: e.running})
	return []Action{SendHeartbeat{}}
}

// Drained reports whether the agent drains and no task runs.
func (e *Executor) Drained() bool { return e.draining && e.running == 0 }

// Tick withholds new work from silent backend servers and drops what the retention window has passed.
func (e *Executor) Tick(now time.Time) []Action {
	var actions []Action
	if e.expireServers(now) {
		actions = append(actions, SendHeartbeat{})
	}
	e.expireRecords(now)
	for owner, last := range e.heard {
		if now.Sub(last) >= RetentionWindow {
			delete(e.heard, owner)
		}
	}
	return actions
}
