package job

import (
	"slices"
	"time"

	"dogwoodglade/core/event"
	"dogwoodglade/core/retry"
	"dogwoodglade/core/task"
)

// StartRefused handles the refusal of a start. The attempt did not run and will not run, unless the refusal is
// RefusedAlreadyStarted.
func (o *Owner) StartRefused(now time.Time, a task.AttemptID, refusal task.Refusal) []Action {
	o.initStartTime(now)
	j := o.jobs[a.Task.Job]
	if j == nil || a.Task.Index < 0 || a.Task.Index >= len(j.tasks) {
		return nil
	}
	ts := &j.tasks[a.Task.Index]
	for k := range ts.attempts {
		if ts.attempts[k].number == a.Number && ts.attempts[k].state == sent {
			o.handleRefusal(now, j, a.Task.Index, k, refusal)
			break
		}
	}
	return o.takeActions()
}

func (o *Owner) handleRefusal(now time.Time, j *trackedJob, index, k int, refusal task.Refusal) {
	ts := &j.tasks[index]
	att := ts.attempts[k]
	ev := o.newEvent(event.TaskRefused, j)
	ev.Task, ev.Attempt, ev.Peer, ev.State = index, att.number, att.agent, string(refusal)
	o.recordEvent(ev)
	if refusal == task.RefusedAlreadyStarted {
		ts.attempts[k].state = running
		return
	}
	ts.attempts = append(ts.attempts[:k:k], ts.attempts[k+1:]...)
	ts.unknownAttempt = ts.unknownAttempt || refusal == task.RefusedTaskStarted
	delete(o.grants, att.grant)
	o.addAction(ReturnGrant{Allocator: att.grant.allocator, Grant: att.grant.id})
	if refusal == task.RefusedEpochSuperseded && !o.draining {
		o.stepDown(now)
		return
	}
	if !j.open() || ts.done {
		return
	}
	if j.failure == nil && !ts.outstanding() {
		if ts.unknownAttempt && !j.idempotent {
			o.failJob(j, failure{reason: ReasonBackendServerLost})
		} else {
			o.requeueTask(now, j, index, serverToAvoid(refusal, att.server))
		}
	}
	o.tryAnswer(now, j)
	o.requestDueSlots(now, j)
}

// serverToAvoid returns the backend server that the next attempt should avoid after a refusal, if any. A full
// backend server is not avoided: it may soon have a free slot, and it may be the only one in the pool.
func serverToAvoid(refusal task.Refusal, server string) string {
	if refusal == task.RefusedNoFreeSlot || refusal == task.RefusedDeadlineExceeded {
		return ""
	}
	return server
}

// OutcomeReceived handles a record that an agent sent: Running when it accepted the start, another state when the
// attempt ended.
func (o *Owner) OutcomeReceived(now time.Time, r task.Record) []Action {
	o.initStartTime(now)
	o.applyRecord(now, r)
	return o.takeActions()
}

func (o *Owner) applyRecord(now time.Time, r task.Record) {
	j := o.jobs[r.Attempt.Task.Job]
	if j == nil {
		j = o.addRecoveredJob(now, r)
	}
	index := r.Attempt.Task.Index
	if j == nil || index < 0 || index >= len(j.tasks) {
		return
	}
	ts := &j.tasks[index]
	k := ts.findAttempt(r.Attempt.Number, r.Agent)
	if k < 0 {
		k = o.addRecordedAttempt(j, ts, r)
	}
	if !ts.attempts[k].update(r) {
		o.recordEvent(o.newEvent(event.OutcomeDiscarded, j))
		return
	}
	att := ts.attempts[k]
	if att.outstanding() {
		return
	}
	delete(o.grants, att.grant)
	ev := o.newEvent(event.OutcomeReceived, j)
	ev.Task, ev.Attempt, ev.Peer, ev.State = index, att.number, att.agent, string(r.State)
	o.recordEvent(ev)
	if j.answer != nil {
		return
	}
	if att.state == succeeded && !ts.done {
		o.completeTask(j, index, r.Result)
	} else {
		o.scheduleTask(now, j, index)
	}
	o.tryAnswer(now, j)
	o.requestDueSlots(now, j)
}

// addRecordedAttempt adds an attempt that an earlier owner started.
func (o *Owner) addRecordedAttempt(j *trackedJob, ts *taskState, r task.Record) int {
	ts.attempts = append(ts.attempts, attempt{
		number: r.Attempt.Number, epoch: r.Epoch, agent: r.Agent, state: sent,
	})
	ts.lastNumber = max(ts.lastNumber, r.Attempt.Number)
	j.recovered = true
	if ts.phase == requested || ts.phase == delayed {
		o.withdrawTaskSlot(j, r.Attempt.Task.Index)
		ts.phase = active
	}
	return len(ts.attempts) - 1
}

// update applies a record to the attempt and reports whether it changed. Because messages can be duplicated or
// late, an ended attempt does not return to running, and only a lost attempt can still change to ended.
func (a *attempt) update(r task.Record) bool {
	state := running
	switch r.State {
	case task.Ended:
		state = failed
		if r.Result.Succeeded() {
			state = succeeded
		}
	case task.Evicted:
		state = failed
		if r.Result.Succeeded() {
			state = evicted
		}
	case task.Lost:
		state = lost
	case task.Running:
	}
	changes := a.state == sent || a.state == running && state != running ||
		a.state == lost && state != running && state != lost
	if changes {
		a.state, a.status, a.runTime = state, r.Result.Status, r.RunTime
	}
	return changes
}

// completeTask stores the result of a task. If the job is idempotent, it cancels the other attempts of the task, which
// are no longer needed.
func (o *Owner) completeTask(j *trackedJob, index int, result task.Result) {
	ts := &j.tasks[index]
	ts.done, ts.result = true, result
	if ts.phase == requested {
		o.withdrawTaskSlot(j, index)
	}
	ts.phase = idle
	for _, a := range ts.attempts {
		if a.outstanding() && j.idempotent {
			o.addAction(CancelTask{Agent: a.agent, Attempt: j.attemptID(index, a.number)})
		}
	}
}

// scheduleTask decides what a task without a result does next: wait for an outstanding attempt, start, retry, or
// fail its job.
func (o *Owner) scheduleTask(now time.Time, j *trackedJob, index int) {
	ts := &j.tasks[index]
	if ts.done || !j.open() || j.failure != nil {
		return
	}
	if ts.outstanding() {
		ts.phase = active
		return
	}
	if ts.phase == requested || ts.phase == delayed {
		return
	}
	recovering := j.recovered && !o.recoveryComplete
	if len(ts.attempts) == 0 {
		ts.phase, ts.dueAt = delayed, now
		if recovering {
			ts.phase = idle
		}
		return
	}
	if slices.ContainsFunc(ts.attempts, func(a attempt) bool { return a.state == evicted }) {
		o.failJob(j, failure{reason: ReasonResultEvicted})
		return
	}
	last := ts.attempts[len(ts.attempts)-1]
	reason := ReasonTaskFailed
	if last.state == lost {
		reason = ReasonBackendServerLost
	}
	switch {
	case j.idempotent && recovering && len(ts.attempts) < j.maxAttempts:
		ts.phase = idle
	case len(ts.attempts) < j.maxAttempts && o.budgets.Take(j.pool, j.retryBudget):
		o.retryTask(now, j, index, last.server)
	default:
		o.failJob(j, failure{reason: reason})
	}
}

func (o *Owner) retryTask(now time.Time, j *trackedJob, index int, avoid string) {
	ts := &j.tasks[index]
	ts.phase, ts.dueAt = delayed, now.Add(retry.Backoff(len(ts.attempts), o.random))
	if avoid != "" {
		ts.avoid = append(ts.avoid, avoid)
	}
	ev := o.newEvent(event.TaskRetried, j)
	ev.Task, ev.Attempt = index, ts.lastNumber
	o.recordEvent(ev)
}

// AgentLost handles the loss of an agent: the outcome of the attempts that it may have run is unknown.
func (o *Owner) AgentLost(now time.Time, agent string) []Action {
	o.initStartTime(now)
	for _, id := range o.InFlight(agent) {
		j := o.jobs[id.Task.Job]
		ts := &j.tasks[id.Task.Index]
		r := j.startRecord(id.Task.Index, ts.attempts[ts.findAttempt(id.Number, agent)])
		r.State = task.Lost
		o.applyRecord(now, r)
	}
	return o.takeActions()
}

// InFlight returns the outstanding attempts at the agent, in order of job, task and attempt.
func (o *Owner) InFlight(agent string) []task.AttemptID {
	var ids []task.AttemptID
	for _, j := range o.sortedJobs() {
		for i, ts := range j.tasks {
			for _, a := range ts.attempts {
				if a.agent == agent && a.outstanding() {
					ids = append(ids, j.attemptID(i, a.number))
				}
			}
		}
	}
	return ids
}

// Reconciled handles an agent's reply about the attempts that InFlight returned: the records of those that it started,
// and the IDs of those that it has no record of and will not start any more. Only the agent process that received the
// starts can reply: if the agent has a new incarnation, the caller reports AgentLost instead.
func (o *Owner) Reconciled(now time.Time, agent string, started []task.Record, notStarted []task.AttemptID) []Action {
	o.initStartTime(now)
	for _, r := range started {
		o.applyRecord(now, r)
	}
	for _, id := range notStarted {
		j := o.jobs[id.Task.Job]
		if j == nil || id.Task.Index < 0 || id.Task.Index >= len(j.tasks) {
			continue
		}
		ts := &j.tasks[id.Task.Index]
		k := ts.findAttempt(id.Number, agent)
		switch {
		case k < 0:
		case ts.attempts[k].state == sent:
			o.handleRefusal(now, j, id.Task.Index, k, task.RefusedBlocked)
		case ts.attempts[k].state == running:
			// The agent accepted the start and has since dropped its record.
			r := j.startRecord(id.Task.Index, ts.attempts[k])
			r.State = task.Lost
			o.applyRecord(now, r)
		}
	}
	return o.takeActions()
}
