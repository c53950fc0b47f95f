package job

import (
	"slices"
	"time"

	"dogwoodglade/core/event"
	"dogwoodglade/core/shard"
	"dogwoodglade/core/table"
	"dogwoodglade/core/task"
)

// Submit handles a submission or a resubmission. The waiter gets exactly one Reply, even if its message is
// repeated while the job is in memory.
func (o *Owner) Submit(now time.Time, s Submission, waiter string, t table.Snapshot) []Action {
	o.initStartTime(now)
	if j := o.jobs[s.ID]; j != nil {
		o.resubmit(now, j, s, waiter, t)
	} else {
		o.acceptNew(now, s, waiter, t)
	}
	return o.takeActions()
}

// acceptNew handles the submission of a key that is not in memory.
func (o *Owner) acceptNew(now time.Time, s Submission, waiter string, t table.Snapshot) {
	if reason := o.refusalReason(s); reason != ReasonNone {
		o.replyRefused(s.ID, waiter, OutcomeUnknown, reason)
		return
	}
	if !o.recordBudget.admits(s.ID.Customer, recordBytes(s)) {
		o.replyRefused(s.ID, waiter, OutcomeUnknown, ReasonBusy)
		return
	}
	j := &trackedJob{id: s.ID, route: s.Route, digest: digest(s.Bodies), tasks: make([]taskState, len(s.Bodies))}
	if reason := j.applySubmission(now, s, t); reason != ReasonNone {
		o.replyRefused(s.ID, waiter, Failed, reason)
		return
	}
	if earlier := o.releasedJobs[s.ID]; earlier != nil {
		j.continueAttemptNumbers(earlier)
		o.forgetReleased(earlier)
	}
	o.keep(j)
	ev := o.newEvent(event.JobAccepted, j)
	ev.Count, ev.Version = len(j.tasks), t.Versions.Routes
	ev.Limit, ev.State = j.maxAttempts, event.IdempotenceState(j.idempotent)
	o.recordEvent(ev)
	o.addWaiter(j, waiter)
	o.startTasks(now, j)
}

// refusalReason returns why the owner must not accept a new submission, or ReasonNone. Another owner may have
// started a refused submission, so it is never reported as not run.
func (o *Owner) refusalReason(s Submission) Reason {
	ticket := s.Ticket
	if ticket.Shard != o.shardID {
		ticket = shard.Ticket{}
	}
	switch {
	case s.ID.Shard() != o.shardID:
		return ReasonOwnerUnavailable
	case o.superseded:
		return ReasonOwnerSuperseded
	case o.draining:
		return ReasonDraining
	case o.epoch.Less(ticket.Epoch):
		// The ticket has a newer epoch, but tickets come from callers and are not trusted, so the open jobs
		// continue. The entry checks its ownership when it sees this reason.
		return ReasonOwnerSuperseded
	case o.recoveryComplete || ticket.Epoch == o.epoch:
		return ReasonNone
	case ticket.IsZero():
		return ReasonTicketRequired
	}
	return ReasonTicketSuperseded
}

// resubmit handles the submission of a key that is in memory.
func (o *Owner) resubmit(now time.Time, j *trackedJob, s Submission, waiter string, t table.Snapshot) {
	o.recordEvent(o.newEvent(event.JobResubmitted, j))
	if j.route != s.Route || len(j.tasks) != len(s.Bodies) || j.digest != digest(s.Bodies) {
		o.replyRefused(s.ID, waiter, Failed, ReasonKeyReused)
		return
	}
	if j.answer == nil && !j.submitted {
		if o.superseded || o.draining {
			o.replyRefused(s.ID, waiter, OutcomeUnknown, o.refusalReason(s))
			return
		}
		if reason := j.applySubmission(now, s, t); reason != ReasonNone {
			o.replyRefused(s.ID, waiter, Failed, reason)
			return
		}
		o.addWaiter(j, waiter)
		o.startTasks(now, j)
		return
	}
	o.addWaiter(j, waiter)
}

// startTasks schedules the tasks of a job whose submission has arrived. Tasks with a start record are not started
// again.
func (o *Owner) startTasks(now time.Time, j *trackedJob) {
	o.openJobs = append(o.openJobs, j)
	for i := range j.tasks {
		o.scheduleTask(now, j, i)
	}
	o.tryAnswer(now, j)
	o.requestDueSlots(now, j)
}

// addWaiter adds a waiter to a job, or replies to it if the job is answered.
func (o *Owner) addWaiter(j *trackedJob, waiter string) {
	if slices.Contains(j.waiters, waiter) || slices.Contains(j.answeredWaiters, waiter) {
		return
	}
	if j.answer != nil {
		o.reply(j, waiter)
		return
	}
	j.waiters = append(j.waiters, waiter)
}

// replyRefused refuses a request and replies to its waiter. It changes no job.
func (o *Owner) replyRefused(id task.JobID, waiter string, state State, reason Reason) {
	o.recordEvent(event.Event{
		Number: event.JobRefused, Customer: id.Customer, Key: id.Key, Task: -1,
		Epoch: o.epoch.String(), State: string(reason),
	})
	a := Answer{ID: id, State: state, Reason: reason}
	if reason == ReasonBusy {
		a.RetryAfter = DefaultRetryAfter
	}
	o.addAction(Reply{Waiter: waiter, Answer: o.withTicket(a)})
}
