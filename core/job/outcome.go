package job

import (
	"slices"
	"time"

	"dogwoodglade/core/event"
	"dogwoodglade/core/retry"
	"dogwoodglade/core/task"
)

// StartRefused takes the refusal of a start: the attempt did not run and will not run.
func (o *Owner) StartRefused(now time.Time, a task.AttemptID, why task.Refusal) []Action {
	o.observe(now)
	w := o.jobs[a.Task.Job]
	if w == nil || a.Task.Index < 0 || a.Task.Index >= len(w.parts) {
		return nil
	}
	p := &w.parts[a.Task.Index]
	for k := range p.attempts {
		if p.attempts[k].number == a.Number && p.attempts[k].state == sent {
			o.refused(now, w, a.Task.Index, k, why)
			break
		}
	}
	return o.flush()
}

func (o *Owner) refused(now time.Time, w *work, index, k int, why task.Refusal) {
	p := &w.parts[index]
	att := p.attempts[k]
	ev := o.event(event.TaskRefused, w)
	ev.Task, ev.Attempt, ev.Peer, ev.State = index, att.number, att.agent, string(why)
	o.record(ev)
	if why == task.RefusedDuplicate {
		p.attempts[k].state = running
		return
	}
	p.attempts = append(p.attempts[:k:k], p.attempts[k+1:]...)
	p.foreign = p.foreign || why == task.RefusedConflict
	delete(o.grants, att.grant)
	o.act(ReturnGrant{Allocator: att.grant.allocator, Grant: att.grant.id})
	if why == task.RefusedEpoch && !o.draining {
		o.stepDown(now)
		return
	}
	if !w.open() || p.done {
		return
	}
	if w.verdict == nil && !p.outstanding() {
		if p.foreign && !w.idempotent {
			o.fail(w, verdict{reason: ReasonBackendServerLost})
		} else {
			o.requeue(now, w, index, avoided(why, att.server))
		}
	}
	o.settle(now, w)
	o.askDue(now, w)
}

// avoided returns the backend server to avoid after a refusal. A full one may have a free slot a moment
// later, and may be the only one of the pool.
func avoided(why task.Refusal, server string) string {
	if why == task.RefusedSlots || why == task.RefusedDeadline {
		return ""
	}
	return server
}

// Outcome takes the state of an attempt from its agent: Running when the start was accepted, and its end.
func (o *Owner) Outcome(now time.Time, r task.Record) []Action {
	o.observe(now)
	o.apply(now, r)
	return o.flush()
}

func (o *Owner) apply(now time.Time, r task.Record) {
	w := o.jobs[r.Attempt.Task.Job]
	if w == nil {
		w = o.remember(now, r)
	}
	index := r.Attempt.Task.Index
	if w == nil || index < 0 || index >= len(w.parts) {
		return
	}
	p := &w.parts[index]
	k := p.find(r.Attempt.Number, r.Agent)
	if k < 0 {
		k = o.addRecorded(w, p, r)
	}
	if !p.attempts[k].update(r) {
		o.record(o.event(event.OutcomeDiscarded, w))
		return
	}
	att := p.attempts[k]
	if att.outstanding() {
		return
	}
	delete(o.grants, att.grant)
	ev := o.event(event.OutcomeReceived, w)
	ev.Task, ev.Attempt, ev.Peer, ev.State = index, att.number, att.agent, string(r.State)
	o.record(ev)
	if w.answer != nil {
		return
	}
	if att.state == succeeded && !p.done {
		o.finish(w, index, r.Result)
	} else {
		o.advance(now, w, index)
	}
	o.settle(now, w)
	o.askDue(now, w)
}

// addRecorded adds an attempt that an earlier owner started.
func (o *Owner) addRecorded(w *work, p *part, r task.Record) int {
	p.attempts = append(p.attempts, attempt{
		number: r.Attempt.Number, epoch: r.Epoch, agent: r.Agent, state: sent,
	})
	p.number = max(p.number, r.Attempt.Number)
	w.recovered = true
	if p.phase == asked || p.phase == delayed {
		o.withdrawTask(w, r.Attempt.Task.Index)
		p.phase = active
	}
	return len(p.attempts) - 1
}

// update reports whether the record changed the attempt. Messages may arrive twice or late: an attempt that
// ended does not run again, and only a lost one may still turn out to have ended.
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

// finish takes the result of a task. Other attempts of the task are no longer needed.
func (o *Owner) finish(w *work, index int, result task.Result) {
	p := &w.parts[index]
	p.done, p.result = true, result
	if p.phase == asked {
		o.withdrawTask(w, index)
	}
	p.phase = held
	for _, a := range p.attempts {
		if a.outstanding() && w.idempotent {
			o.act(CancelTask{Agent: a.agent, Attempt: w.attemptID(index, a.number)})
		}
	}
}

// advance decides what a task without a result and without an outstanding attempt waits for.
func (o *Owner) advance(now time.Time, w *work, index int) {
	p := &w.parts[index]
	if p.done || !w.open() || w.verdict != nil {
		return
	}
	if p.outstanding() {
		p.phase = active
		return
	}
	if p.phase == asked || p.phase == delayed {
		return
	}
	recovering := w.recovered && !o.complete
	if len(p.attempts) == 0 {
		p.phase, p.due = delayed, now
		if recovering {
			p.phase = held
		}
		return
	}
	if slices.ContainsFunc(p.attempts, func(a attempt) bool { return a.state == evicted }) {
		o.fail(w, verdict{reason: ReasonResultEvicted})
		return
	}
	last := p.attempts[len(p.attempts)-1]
	reason := ReasonTaskFailed
	if last.state == lost {
		reason = ReasonBackendServerLost
	}
	switch {
	case w.idempotent && recovering && len(p.attempts) < w.limit:
		p.phase = held
	case len(p.attempts) < w.limit && o.budgets.Take(w.pool, w.retryShare):
		o.retry(now, w, index, last.server)
	default:
		o.fail(w, verdict{reason: reason})
	}
}

func (o *Owner) retry(now time.Time, w *work, index int, avoid string) {
	p := &w.parts[index]
	p.phase, p.due = delayed, now.Add(retry.Backoff(len(p.attempts), o.random))
	if avoid != "" {
		p.avoid = append(p.avoid, avoid)
	}
	ev := o.event(event.TaskRetried, w)
	ev.Task, ev.Attempt = index, p.number
	o.record(ev)
}

// AgentLost takes the loss of an agent: the fate of the attempts that it may run is unknown.
func (o *Owner) AgentLost(now time.Time, agent string) []Action {
	o.observe(now)
	for _, id := range o.InFlight(agent) {
		w := o.jobs[id.Task.Job]
		p := &w.parts[id.Task.Index]
		r := w.record(id.Task.Index, p.attempts[p.find(id.Number, agent)])
		r.State = task.Lost
		o.apply(now, r)
	}
	return o.flush()
}

// InFlight returns the attempts that the agent may run, in order.
func (o *Owner) InFlight(agent string) []task.AttemptID {
	var ids []task.AttemptID
	for _, w := range o.sortedJobs() {
		for i, p := range w.parts {
			for _, a := range p.attempts {
				if a.agent == agent && a.outstanding() {
					ids = append(ids, w.attemptID(i, a.number))
				}
			}
		}
	}
	return ids
}

// Reconciled takes what an agent knows of the attempts that InFlight named. It is valid only from the
// process that got the starts: if the agent has a new incarnation, the caller reports AgentLost.
func (o *Owner) Reconciled(now time.Time, agent string, found []task.Record, unseen []task.AttemptID) []Action {
	o.observe(now)
	for _, r := range found {
		o.apply(now, r)
	}
	for _, id := range unseen {
		w := o.jobs[id.Task.Job]
		if w == nil || id.Task.Index < 0 || id.Task.Index >= len(w.parts) {
			continue
		}
		p := &w.parts[id.Task.Index]
		k := p.find(id.Number, agent)
		switch {
		case k < 0:
		case p.attempts[k].state == sent:
			o.refused(now, w, id.Task.Index, k, task.RefusedReconciled)
		case p.attempts[k].state == running:
			// The agent accepted the start and has dropped its record.
			r := w.record(id.Task.Index, p.attempts[k])
			r.State = task.Lost
			o.apply(now, r)
		}
	}
	return o.flush()
}
