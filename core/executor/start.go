package executor

import (
	"time"

	"dogwoodglade/core/allocator"
	"dogwoodglade/core/event"
	"dogwoodglade/core/task"
)

// Start accepts or refuses a start. A refused attempt can never start later, because the owner was told that it
// did not run and a delayed copy of the message may still arrive.
func (e *Executor) Start(now time.Time, s task.Start) (task.Refusal, []Action) {
	refusal := e.refusal(now, s)
	if refusal == task.Accepted {
		return refusal, []Action{e.acceptStart(now, s)}
	}
	// These three refusals need no block: the fence, the start record or an earlier block prevents a later start.
	if refusal != task.RefusedEpochSuperseded && refusal != task.RefusedAlreadyStarted && refusal != task.RefusedBlocked {
		e.block(now, s.Attempt)
	}
	ev := e.newEvent(event.TaskRefused, s.Attempt)
	ev.State, ev.Epoch, ev.Peer = string(refusal), s.Epoch.String(), s.Owner
	e.recordEvent(ev)
	return refusal, nil
}

func (e *Executor) refusal(now time.Time, s task.Start) task.Refusal {
	if !e.registered {
		return task.RefusedNotRegistered
	}
	if refusal := e.refusalByRecords(s); refusal != task.Accepted {
		return refusal
	}
	if s.Epoch.Less(e.fences[s.Attempt.Task.Job.Shard()]) {
		return task.RefusedEpochSuperseded
	}
	b, ok := e.servers[s.BackendServer]
	switch {
	case s.Deadline <= 0:
		return task.RefusedDeadlineExceeded
	case e.draining:
		return task.RefusedLeaving
	case !ok || b.Incarnation != s.Incarnation:
		return task.RefusedUnknownBackendServer
	case b.isLeaving(now):
		return task.RefusedLeaving
	case len(b.running) >= b.capacity(), e.full():
		return task.RefusedNoFreeSlot
	}
	return task.Accepted
}

// refusalByRecords returns why the start records or the blocked attempts do not allow the start, if so.
func (e *Executor) refusalByRecords(s task.Start) task.Refusal {
	if _, ok := e.blocked[s.Attempt]; ok {
		return task.RefusedBlocked
	}
	refusal := task.Accepted
	for _, earlier := range e.attemptsOf(s.Attempt.Task) {
		if earlier.Attempt == s.Attempt {
			return task.RefusedAlreadyStarted
		}
		if !s.Idempotent || !earlier.Idempotent || !allowsNextAttempt(earlier.Record) {
			refusal = task.RefusedTaskStarted
		}
	}
	return refusal
}

// allowsNextAttempt reports whether another attempt of an idempotent task may start after this one.
func allowsNextAttempt(r task.Record) bool {
	return r.State == task.Lost || r.State != task.Running && !r.Result.Succeeded()
}

func (e *Executor) acceptStart(now time.Time, s task.Start) Action {
	b := e.servers[s.BackendServer]
	r := &startRecord{
		Record: task.Record{
			Attempt: s.Attempt, TaskCount: s.TaskCount, Route: s.Route, Digest: s.Digest,
			Idempotent: s.Idempotent, Epoch: s.Epoch, Agent: e.agent, State: task.Running,
		},
		owner: s.Owner, allocator: s.Allocator, grant: s.Grant,
		server: s.BackendServer, incarnation: s.Incarnation, startedAt: now,
	}
	e.addRecord(r)
	b.running[r] = struct{}{}
	e.running++
	ev := e.newEvent(event.TaskStarted, s.Attempt)
	ev.Epoch, ev.Peer, ev.Route = s.Epoch.String(), s.BackendServer, s.Route
	ev.State = event.IdempotenceState(s.Idempotent)
	e.recordEvent(ev)
	return Run{Start: s, Address: b.Address}
}

// AttemptEnded handles the result of a running attempt, whose request to the backend server has ended.
func (e *Executor) AttemptEnded(now time.Time, a task.AttemptID, result task.Result) []Action {
	r := e.findRecord(a)
	if r == nil || r.State != task.Running {
		return nil
	}
	r.State, r.Result = task.Ended, result
	outcome := allocator.Errored
	switch {
	case result.Succeeded():
		outcome = allocator.Succeeded
	case r.cancelled:
		outcome = allocator.Cancelled
	}
	return e.finishAttempt(now, r, outcome, event.TaskEnded)
}

// AttemptLost handles the loss of the backend server of a running attempt, whose effect is then unknown.
func (e *Executor) AttemptLost(now time.Time, a task.AttemptID) []Action {
	r := e.findRecord(a)
	if r == nil || r.State != task.Running {
		return nil
	}
	return e.markLost(now, r)
}

func (e *Executor) markLost(now time.Time, r *startRecord) []Action {
	r.State = task.Lost
	return e.finishAttempt(now, r, allocator.Errored, event.TaskLost)
}

func (e *Executor) finishAttempt(now time.Time, r *startRecord, o allocator.Outcome, n event.Number) []Action {
	r.endedAt, r.RunTime = now, now.Sub(r.startedAt)
	if b := e.servers[r.server]; b != nil {
		delete(b.running, r)
	}
	e.running--
	ev := e.newEvent(n, r.Attempt)
	ev.Epoch, ev.Peer, ev.State = r.Epoch.String(), r.server, string(o)
	e.recordEvent(ev)
	outcome := r.Record
	e.retainRecord(r)
	return []Action{
		SendOutcome{Owner: r.owner, Record: outcome},
		SendRelease{Allocator: r.allocator, Release: allocator.Release{
			BackendServer: r.server, Incarnation: r.incarnation, Grant: r.grant, Route: r.Route,
			Outcome: o, RunTime: r.RunTime,
		}},
	}
}

// Cancel stops a running attempt, and blocks one that has not started.
func (e *Executor) Cancel(now time.Time, a task.AttemptID) []Action {
	r := e.findRecord(a)
	if r == nil {
		e.block(now, a)
		return nil
	}
	if r.State != task.Running || r.cancelled {
		return nil
	}
	r.cancelled = true
	return []Action{Stop{Attempt: a}}
}

func (e *Executor) newEvent(n event.Number, a task.AttemptID) event.Event {
	return event.Event{
		Number: n, Customer: a.Task.Job.Customer, Key: a.Task.Job.Key, Task: a.Task.Index, Attempt: a.Number,
	}
}
