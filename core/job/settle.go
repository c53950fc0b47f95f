package job

import (
	"slices"
	"time"

	"dogwoodglade/core/event"
	"dogwoodglade/core/task"
)

// DefaultRetryAfter is the retry delay sent to callers whose job was not run, unless the allocator gives one.
const DefaultRetryAfter = time.Second

// maxAnsweredWaiters limits the waiters of a job that are kept to recognise repeated messages. A key may be submitted again
// any number of times; messages are repeated at once if at all.
const maxAnsweredWaiters = 128

// failJob records that a job cannot complete, and drops its waiting tasks. Running tasks of an idempotent job are
// stopped. Those of a non-idempotent job may finish, because stopping them would leave their effects unknown.
func (o *Owner) failJob(j *trackedJob, f failure) {
	if j.failure != nil {
		return
	}
	j.failure = &f
	o.withdrawSlotRequests(j)
	if j.idempotent {
		o.cancelAttempts(j)
	}
}

func (o *Owner) cancelAttempts(j *trackedJob) {
	for i, ts := range j.tasks {
		for _, a := range ts.attempts {
			if a.outstanding() {
				o.addAction(CancelTask{Agent: a.agent, Attempt: j.attemptID(i, a.number)})
			}
		}
	}
}

// tryAnswer answers a job if its answer is certain.
func (o *Owner) tryAnswer(now time.Time, j *trackedJob) {
	switch {
	case j.answer != nil || j.confirmation != nil:
	case j.allTasksDone() && (j.failure == nil || j.failure.reason == ReasonBackendServerLost):
		// The outcome of an attempt that was reported as lost may still arrive and complete the job.
		o.answerJob(now, j, Complete, failure{})
	case j.failure != nil:
		o.tryAnswerFailed(now, j)
	}
}

// tryAnswerFailed answers a job that cannot complete, if its answer is certain. NotRun is certain only after all
// replies to its starts have arrived, and the effects of a non-idempotent job only after its running tasks have
// ended.
func (o *Owner) tryAnswerFailed(now time.Time, j *trackedJob) {
	switch {
	case j.idempotent && j.started():
		o.answerJob(now, j, Failed, *j.failure)
	case j.anyOutstanding():
	case !j.started():
		o.startConfirmation(now, j)
	case !j.idempotent && j.anyEffectUnknown():
		o.answerJob(now, j, OutcomeUnknown, failure{reason: ReasonBackendServerLost})
	default:
		o.answerJob(now, j, Failed, *j.failure)
	}
}

func (j *trackedJob) anyEffectUnknown() bool {
	for i := range j.tasks {
		if j.tasks[i].effectUnknown() {
			return true
		}
	}
	return false
}

// expireDeadline handles a job whose deadline has passed: it answers the job with what is known by then, or starts
// the confirmation if no task has started.
func (o *Owner) expireDeadline(now time.Time, j *trackedJob) {
	o.failJob(j, failure{reason: ReasonDeadlineExceeded})
	o.cancelAttempts(j)
	missing := j.recovered && !o.recoveryComplete && !j.allTasksDone()
	switch {
	case !j.idempotent && (missing || j.anyEffectUnknown()):
		o.answerJob(now, j, OutcomeUnknown, failure{reason: ReasonDeadlineExceeded})
	case j.started() || j.anyOutstanding() || missing:
		o.answerJob(now, j, Failed, *j.failure)
	default:
		o.startConfirmation(now, j)
	}
}

// answerJob sets the answer of a job and replies to its waiters.
func (o *Owner) answerJob(now time.Time, j *trackedJob, state State, f failure) {
	a := &Answer{ID: j.id, State: state, Reason: f.reason}
	if state == NotRun {
		a.RetryAfter = f.retryAfter
		if a.RetryAfter == 0 {
			a.RetryAfter = DefaultRetryAfter
		}
	}
	if state == Complete {
		a.Results = make([]task.Result, len(j.tasks))
		for i := range j.tasks {
			a.Results[i] = j.tasks[i].result
		}
	}
	j.answer, j.bodies = a, nil
	ev := o.newEvent(event.JobAnswered, j)
	ev.State, ev.Count = string(state), len(j.waiters)
	o.recordEvent(ev)
	waiters := j.waiters
	j.waiters = nil
	for _, waiter := range waiters {
		o.reply(j, waiter)
	}
	if state == NotRun {
		o.releaseKey(now, j)
		return
	}
	o.retainAnswer(now, j)
}

func (o *Owner) reply(j *trackedJob, waiter string) {
	if len(j.answeredWaiters) == maxAnsweredWaiters {
		j.answeredWaiters = slices.Delete(j.answeredWaiters, 0, maxAnsweredWaiters/2)
	}
	j.answeredWaiters = append(j.answeredWaiters, waiter)
	o.addAction(Reply{Waiter: waiter, Answer: o.withTicket(*j.answer)})
}

// withTicket returns the answer with a ticket for the next submission.
func (o *Owner) withTicket(a Answer) Answer {
	a.Ticket = o.IssueTicket()
	return a
}

// retainAnswer keeps an answer for resubmissions, and drops the oldest result bodies beyond MaxAnswerBytes.
func (o *Owner) retainAnswer(now time.Time, j *trackedJob) {
	o.scheduleExpiry(now, j)
	if j.answer.State != Complete {
		o.dropResults(j)
		return
	}
	o.retain(j)
	for o.retainedBytes > MaxAnswerBytes {
		o.evictOldest()
	}
}

func (j *trackedJob) resultBytes() int {
	n := 0
	for _, ts := range j.tasks {
		n += len(ts.result.Body)
	}
	return n
}

// dropResults drops the result bodies of a job and marks their attempts as evicted.
func (o *Owner) dropResults(j *trackedJob) {
	for i := range j.tasks {
		ts := &j.tasks[i]
		if len(ts.result.Body) == 0 {
			continue
		}
		ts.result.Body = nil
		for k := range ts.attempts {
			if ts.attempts[k].state == succeeded {
				ts.attempts[k].state = evicted
			}
		}
	}
}

// expiry is the time at which a job may be removed.
type expiry struct {
	job *trackedJob
	at  time.Time
}

// scheduleExpiry makes a job expire after the retention window.
func (o *Owner) scheduleExpiry(now time.Time, j *trackedJob) {
	j.expires = now.Add(RetentionWindow)
	o.expiries = append(o.expiries, expiry{job: j, at: j.expires})
}

// removeExpired removes jobs whose retention window has passed. If a job was answered after its expiry was
// scheduled, it has a second, later entry in expiries.
func (o *Owner) removeExpired(now time.Time) {
	n := 0
	for ; n < len(o.expiries) && !now.Before(o.expiries[n].at); n++ {
		j := o.expiries[n].job
		if j.open() || now.Before(j.expires) {
			continue
		}
		if o.jobs[j.id] == j {
			o.forget(j)
		}
		if o.releasedJobs[j.id] == j {
			o.forgetReleased(j)
		}
	}
	clear(o.expiries[:n])
	o.expiries = o.expiries[n:]
	n = 0
	for ; n < len(o.answersWithBodies) && !now.Before(o.answersWithBodies[n].expires); n++ {
		o.retainedBytes -= o.answersWithBodies[n].resultBytes()
		o.answerBudget.add(-o.answersWithBodies[n].resultBytes())
	}
	clear(o.answersWithBodies[:n])
	o.answersWithBodies = o.answersWithBodies[n:]
}
