package executor

import (
	"time"

	"dogwoodglade/core/allocator"
	"dogwoodglade/core/event"
	"dogwoodglade/core/task"
)

// Start decides on a start. A refused attempt can never start later, so that a delayed copy of the message
// does not run what the owner was told had not run.
func (e *Executor) Start(now time.Time, s task.Start) (task.Refusal, []Action) {
	why := e.refusal(now, s)
	if why == task.Accepted {
		return why, []Action{e.accept(now, s)}
	}
	// A fence stays, a duplicate is on record, and a reconciled attempt is already barred.
	if why != task.RefusedEpoch && why != task.RefusedDuplicate && why != task.RefusedReconciled {
		e.bar(now, s.Attempt)
	}
	ev := e.event(event.TaskRefused, s.Attempt)
	ev.State, ev.Epoch, ev.Peer = string(why), s.Epoch.String(), s.Owner
	e.record(ev)
	return why, nil
}

func (e *Executor) refusal(now time.Time, s task.Start) task.Refusal {
	if !e.registered {
		return task.RefusedUnregistered
	}
	if why := e.recordRefusal(s); why != task.Accepted {
		return why
	}
	if s.Epoch.Less(e.fences[s.Attempt.Task.Job.Shard()]) {
		return task.RefusedEpoch
	}
	b, ok := e.servers[s.BackendServer]
	switch {
	case s.Deadline <= 0:
		return task.RefusedDeadline
	case e.draining:
		return task.RefusedLeaving
	case !ok || b.Incarnation != s.Incarnation:
		return task.RefusedBackendServer
	case b.leaving(now):
		return task.RefusedLeaving
	case len(b.running) >= b.capacity():
		return task.RefusedSlots
	}
	return task.Accepted
}

// recordRefusal refuses what the start records and the barred attempts forbid.
func (e *Executor) recordRefusal(s task.Start) task.Refusal {
	if _, ok := e.barred[s.Attempt]; ok {
		return task.RefusedReconciled
	}
	why := task.Accepted
	for _, earlier := range e.ofTask(s.Attempt.Task) {
		if earlier.Attempt == s.Attempt {
			return task.RefusedDuplicate
		}
		if !s.Idempotent || !earlier.Idempotent || !mayFollow(earlier.Record) {
			why = task.RefusedConflict
		}
	}
	return why
}

// mayFollow reports whether another attempt of an idempotent task may start after this one.
func mayFollow(r task.Record) bool {
	return r.State == task.Lost || r.State != task.Running && !r.Result.Succeeded()
}

func (e *Executor) accept(now time.Time, s task.Start) Action {
	b := e.servers[s.BackendServer]
	r := &start{
		Record: task.Record{
			Attempt: s.Attempt, TaskCount: s.TaskCount, Route: s.Route, Digest: s.Digest,
			Idempotent: s.Idempotent, Epoch: s.Epoch, Agent: e.agent, State: task.Running,
		},
		owner: s.Owner, allocator: s.Allocator, grant: s.Grant,
		server: s.BackendServer, inc: s.Incarnation, startedAt: now,
	}
	e.add(r)
	b.running[r] = struct{}{}
	e.running++
	ev := e.event(event.TaskStarted, s.Attempt)
	ev.Epoch, ev.Peer, ev.Route = s.Epoch.String(), s.BackendServer, s.Route
	ev.State = event.StateOf(s.Idempotent)
	e.record(ev)
	return Run{Start: s, Address: b.Address}
}

// Ended takes the result of a running attempt. The backend server has ended the request.
func (e *Executor) Ended(now time.Time, a task.AttemptID, result task.Result) []Action {
	r := e.find(a)
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
	return e.finish(now, r, outcome, event.TaskEnded)
}

// Lost takes the loss of the backend server of a running attempt: its effect is unknown.
func (e *Executor) Lost(now time.Time, a task.AttemptID) []Action {
	r := e.find(a)
	if r == nil || r.State != task.Running {
		return nil
	}
	return e.lose(now, r)
}

func (e *Executor) lose(now time.Time, r *start) []Action {
	r.State = task.Lost
	return e.finish(now, r, allocator.Errored, event.TaskLost)
}

func (e *Executor) finish(now time.Time, r *start, o allocator.Outcome, n event.Number) []Action {
	r.endedAt, r.RunTime = now, now.Sub(r.startedAt)
	if b := e.servers[r.server]; b != nil {
		delete(b.running, r)
	}
	e.running--
	ev := e.event(n, r.Attempt)
	ev.Epoch, ev.Peer, ev.State = r.Epoch.String(), r.server, string(o)
	e.record(ev)
	outcome := r.Record
	e.retain(r)
	return []Action{
		SendOutcome{Owner: r.owner, Record: outcome},
		SendRelease{Allocator: r.allocator, Release: allocator.Release{
			BackendServer: r.server, Incarnation: r.inc, Grant: r.grant, Route: r.Route,
			Outcome: o, RunTime: r.RunTime,
		}},
	}
}

// Cancel stops an attempt that runs, and bars one that was not started.
func (e *Executor) Cancel(now time.Time, a task.AttemptID) []Action {
	r := e.find(a)
	if r == nil {
		e.bar(now, a)
		return nil
	}
	if r.State != task.Running || r.cancelled {
		return nil
	}
	r.cancelled = true
	return []Action{Stop{Attempt: a}}
}

func (e *Executor) event(n event.Number, a task.AttemptID) event.Event {
	return event.Event{
		Number: n, Customer: a.Task.Job.Customer, Key: a.Task.Job.Key, Task: a.Task.Index, Attempt: a.Number,
	}
}
