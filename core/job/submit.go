package job

import (
	"slices"
	"time"

	"dogwoodglade/core/event"
	"dogwoodglade/core/shard"
	"dogwoodglade/core/table"
	"dogwoodglade/core/task"
)

// Submit takes a submission or a resubmission. The waiter gets exactly one Reply; a waiter that repeats
// itself while the job is in memory gets no second one.
func (o *Owner) Submit(now time.Time, s Submission, waiter string, t table.Snapshot) []Action {
	o.observe(now)
	if w := o.jobs[s.ID]; w != nil {
		o.resubmit(now, w, s, waiter, t)
	} else {
		o.accept(now, s, waiter, t)
	}
	return o.flush()
}

// accept takes the submission of a key that is not in memory.
func (o *Owner) accept(now time.Time, s Submission, waiter string, t table.Snapshot) {
	if reason := o.refusal(s); reason != ReasonNone {
		o.refuse(s.ID, waiter, OutcomeUnknown, reason)
		return
	}
	w := &work{id: s.ID, route: s.Route, digest: digest(s.Bodies), parts: make([]part, len(s.Bodies))}
	if reason := w.adopt(now, s, t); reason != ReasonNone {
		o.refuse(s.ID, waiter, Failed, reason)
		return
	}
	if earlier := o.released[s.ID]; earlier != nil {
		w.continueNumbers(earlier)
		delete(o.released, s.ID)
	}
	o.jobs[s.ID] = w
	ev := o.event(event.JobAccepted, w)
	ev.Count, ev.Version = len(w.parts), t.Versions.Routes
	ev.Limit, ev.State = w.limit, event.StateOf(w.idempotent)
	o.record(ev)
	o.join(w, waiter)
	o.begin(now, w)
}

// refusal says why the owner may not be the first to start a submission. Another owner may have started
// it, so such a submission is never reported as not run.
func (o *Owner) refusal(s Submission) Reason {
	ticket := s.Ticket
	if ticket.Shard != o.id {
		ticket = shard.Ticket{}
	}
	switch {
	case s.ID.Shard() != o.id:
		return ReasonOwnerUnavailable
	case o.superseded:
		return ReasonOwnerSuperseded
	case o.draining:
		return ReasonDraining
	case o.epoch.Less(ticket.Epoch):
		// Callers hold tickets, so one alone does not end the open jobs. The entry checks its ownership
		// when it sees this reason.
		return ReasonOwnerSuperseded
	case o.complete || ticket.Epoch == o.epoch:
		return ReasonNone
	case ticket.IsZero():
		return ReasonTicketRequired
	}
	return ReasonTicketSuperseded
}

// resubmit takes the submission of a key in memory.
func (o *Owner) resubmit(now time.Time, w *work, s Submission, waiter string, t table.Snapshot) {
	o.record(o.event(event.JobResubmitted, w))
	if w.route != s.Route || len(w.parts) != len(s.Bodies) || w.digest != digest(s.Bodies) {
		o.refuse(s.ID, waiter, Failed, ReasonKeyReused)
		return
	}
	if w.answer == nil && !w.submitted {
		if o.superseded || o.draining {
			o.refuse(s.ID, waiter, OutcomeUnknown, o.refusal(s))
			return
		}
		if reason := w.adopt(now, s, t); reason != ReasonNone {
			o.refuse(s.ID, waiter, Failed, reason)
			return
		}
		o.join(w, waiter)
		o.begin(now, w)
		return
	}
	o.join(w, waiter)
}

// begin starts the work on a job that got its submission. Tasks on record are not started again.
func (o *Owner) begin(now time.Time, w *work) {
	o.queue = append(o.queue, w)
	for i := range w.parts {
		o.advance(now, w, i)
	}
	o.settle(now, w)
	o.askDue(now, w)
}

// join adds a waiter, or answers it if the job is answered.
func (o *Owner) join(w *work, waiter string) {
	if slices.Contains(w.waiters, waiter) || slices.Contains(w.served, waiter) {
		return
	}
	if w.answer != nil {
		o.reply(w, waiter)
		return
	}
	w.waiters = append(w.waiters, waiter)
}

// refuse answers a waiter without touching any job.
func (o *Owner) refuse(id task.JobID, waiter string, state State, reason Reason) {
	o.record(event.Event{
		Number: event.JobRefused, Customer: id.Customer, Key: id.Key, Task: -1,
		Epoch: o.epoch.String(), State: string(reason),
	})
	o.act(Reply{Waiter: waiter, Answer: o.complement(Answer{ID: id, State: state, Reason: reason})})
}
