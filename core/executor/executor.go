// Package executor implements the state machine of an agent, which decides which tasks may start.
//
// It holds the fences of the key shards, the start records of the retention window, the slots of the backend
// servers that announced themselves to the agent, and the state of the agent's drain. The agent calls it for each
// message. Starts of a superseded owner are refused. If an owner fails, its successor recovers the jobs from these
// start records.
package executor

import (
	"time"

	"dogwoodglade/core/allocator"
	"dogwoodglade/core/event"
	"dogwoodglade/core/shard"
	"dogwoodglade/core/task"
)

// RetentionWindow is how long an agent keeps a start record. Within it, callers may resubmit the key.
const RetentionWindow = 10 * time.Minute

// HeartbeatTimeout is how long a backend server may go without a heartbeat before it gets no new tasks.
const HeartbeatTimeout = 3 * time.Second

// DefaultConnections is the limit of concurrent requests to a backend server whose announcement gives none.
const DefaultConnections = 64

// MaxResultBytes limits the total size of the result bodies in start records. The memory limit of the whole agent is
// 32 MB.
const MaxResultBytes = 12 << 20

// Executor is the state machine of one agent. It is not safe for concurrent use.
type Executor struct {
	agent       string
	recordEvent func(event.Event)

	registered   bool
	registeredAt time.Time
	draining     bool
	fences       [shard.Count]shard.Epoch // lowest accepted epoch of each shard
	lastContact  map[string]time.Time     // time of the last message, by name of the entry
	servers      map[string]*backendServer

	records       [shard.Count]map[task.ID][]*startRecord
	blocked       map[task.AttemptID]struct{} // attempts that did not start and must never start
	blockedOrder  []blockedAttempt
	ended         []*startRecord // in order of endedAt
	nextEviction  int            // index in ended; the result bodies before it were evicted
	retainedBytes int
	running       int
	maxRecords    int // 0 has no limit
}

// startRecord is a start record with the data that the agent needs to finish the attempt.
type startRecord struct {
	task.Record
	owner       string
	allocator   string
	grant       string
	server      string
	incarnation string // of the backend server
	startedAt   time.Time
	endedAt     time.Time
	cancelled   bool
}

type blockedAttempt struct {
	attempt task.AttemptID
	at      time.Time
}

// RecordBytes is the memory of a start record, without its result and long names.
const RecordBytes = 800

// SetMaxRecords limits the start records that are kept. Beyond it, starts are refused as if all slots were in use: a task
// whose record were forgotten early could start twice.
func (e *Executor) SetMaxRecords(n int) { e.maxRecords = n }

// full reports whether there is no memory for another start record.
func (e *Executor) full() bool {
	return e.maxRecords > 0 && e.running+len(e.ended) >= e.maxRecords
}

// Action is what the executor asks the agent to do.
type Action interface{ isAction() }

// Run sends an accepted start to its backend server.
type Run struct {
	Start   task.Start
	Address string
}

// Stop cancels the request of a running attempt at its backend server. The attempt keeps its slot until
// AttemptEnded or AttemptLost reports that the backend server no longer runs it.
type Stop struct{ Attempt task.AttemptID }

// SendOutcome sends the record of an attempt that is no longer running to the owner of the job.
type SendOutcome struct {
	Owner  string
	Record task.Record
}

// SendRelease tells the allocator that granted a slot that the slot is free.
type SendRelease struct {
	Allocator string
	Release   allocator.Release
}

// SendHeartbeat sends a heartbeat to all entries immediately.
type SendHeartbeat struct{}

func (Run) isAction()           {}
func (Stop) isAction()          {}
func (SendOutcome) isAction()   {}
func (SendRelease) isAction()   {}
func (SendHeartbeat) isAction() {}

// New returns the executor of an agent that is not registered yet.
func New(agent string, recordEvent func(event.Event)) *Executor {
	return &Executor{
		agent:       agent,
		recordEvent: recordEvent,
		lastContact: map[string]time.Time{},
		servers:     map[string]*backendServer{},
		blocked:     map[task.AttemptID]struct{}{},
	}
}

// Register makes the executor accept starts. The epochs are those of the Shards row, indexed by shard. The row
// must be read after the agent's registration was written: an owner that read the registry too early to fence
// this agent has then already written its epoch to the row.
func (e *Executor) Register(now time.Time, epochs []shard.Epoch) {
	for id, epoch := range epochs {
		if id < shard.Count {
			e.raiseEpoch(shard.Fence{Shard: shard.ID(id), Epoch: epoch})
		}
	}
	if !e.registered {
		e.registered, e.registeredAt = true, now
		e.recordEvent(event.Event{Number: event.AgentRegistered, Task: -1})
	}
}

// Fence raises the epochs of shards for the named owner and returns their start records. Attempts that still run
// report their outcome to that owner from then on. A fence with a lower epoch than an earlier one is ignored and
// returns no records.
func (e *Executor) Fence(now time.Time, owner string, fences []shard.Fence) []task.Record {
	e.RecordOwnerContact(now, owner)
	var found []task.Record
	fenced := 0
	for _, f := range fences {
		if f.Shard < 0 || f.Shard >= shard.Count || !e.raiseEpoch(f) {
			continue
		}
		fenced++
		e.forEachRecord(f.Shard, func(r *startRecord) {
			if r.State == task.Running {
				r.owner = owner
			}
			found = append(found, r.Record)
		})
	}
	if fenced > 0 {
		e.recordEvent(event.Event{Number: event.ShardFenced, Task: -1, Peer: owner, Count: fenced})
	}
	sortRecords(found)
	return found
}

// raiseEpoch raises the epoch of a shard, and reports false if an earlier epoch was higher. Only fences and the
// Shards row raise it. A start does not, because after a planned handover the successor starts tasks under its
// higher epoch while the draining owner finishes its open jobs under the lower one.
func (e *Executor) raiseEpoch(f shard.Fence) bool {
	if f.Epoch.Less(e.fences[f.Shard]) {
		return false
	}
	e.fences[f.Shard] = f.Epoch
	return true
}

// RecordOwnerContact records the time of a message from the named entry.
func (e *Executor) RecordOwnerContact(now time.Time, owner string) { e.lastContact[owner] = now }

// TimeSinceOwnerContact returns the time since the last message from the named entry. If there was none, it returns
// the time since the agent's registration, so that an agent that just started does not vote for a takeover.
func (e *Executor) TimeSinceOwnerContact(now time.Time, owner string) time.Duration {
	last, ok := e.lastContact[owner]
	if !ok {
		if !e.registered {
			return 0
		}
		last = e.registeredAt
	}
	return max(now.Sub(last), 0)
}

// Drain makes the executor refuse all further starts, and sends a heartbeat that says so. Running tasks finish.
func (e *Executor) Drain(time.Time) []Action {
	if e.draining {
		return nil
	}
	e.draining = true
	e.recordEvent(event.Event{Number: event.ProcessDraining, Task: -1, Count: e.running})
	return []Action{SendHeartbeat{}}
}

// Drained reports whether the agent is draining and no task is running.
func (e *Executor) Drained() bool { return e.draining && e.running == 0 }

// Tick marks backend servers whose heartbeats have stopped, so that they get no new tasks, and removes data that
// is older than the retention window.
func (e *Executor) Tick(now time.Time) []Action {
	var actions []Action
	if e.expireServers(now) {
		actions = append(actions, SendHeartbeat{})
	}
	e.expireRecords(now)
	for owner, last := range e.lastContact {
		if now.Sub(last) >= RetentionWindow {
			delete(e.lastContact, owner)
		}
	}
	return actions
}
