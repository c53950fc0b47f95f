package job

import (
	"time"

	"dogwoodglade/core/task"
)

// BarTimeout is how long an agent may take to record that a job was not run.
const BarTimeout = time.Second

// MaxBarTries is the number of agents asked to record that a job was not run.
const MaxBarTries = 3

// startBar ends a job of which nothing started. The answer NotRun must stay true although a successor that
// this owner does not know of may get a resubmission at the same time. One agent therefore records it
// first: the agent refuses if it was fenced by a successor, and shows the record to a later one.
func (o *Owner) startBar(now time.Time, w *work) {
	if w.bar == nil {
		w.bar = &bar{}
	}
	w.bar.tries++
	w.bar.until = now.Add(BarTimeout)
	o.act(BarJob{Record: w.barRecord(o.epoch)})
}

// Barred takes the reply to BarJob. The caller reports RefusedUnreachable if it could not send it.
func (o *Owner) Barred(now time.Time, id task.JobID, why task.Refusal) []Action {
	o.observe(now)
	w := o.jobs[id]
	if w == nil || w.bar == nil || !w.open() {
		return nil
	}
	switch {
	case why == task.Accepted && !w.started():
		o.answer(now, w, NotRun, *w.verdict)
	case why == task.Accepted || why == task.RefusedConflict:
		o.answer(now, w, OutcomeUnknown, verdict{reason: ReasonBackendServerLost})
	case why == task.RefusedEpoch && !o.draining:
		o.stepDown(now)
	default:
		o.retryBar(now, w)
	}
	return o.flush()
}

func (o *Owner) retryBar(now time.Time, w *work) {
	if w.bar.tries < MaxBarTries {
		o.startBar(now, w)
		return
	}
	o.answer(now, w, OutcomeUnknown, verdict{reason: ReasonOwnerUnavailable})
}

func (o *Owner) expireBar(now time.Time, w *work) {
	if !now.Before(w.bar.until) {
		o.retryBar(now, w)
	}
}

// takeBar takes the record of an earlier owner that a job was not run.
func (o *Owner) takeBar(now time.Time, r task.Record) {
	if o.jobs[r.Attempt.Task.Job] != nil {
		return
	}
	w := o.remember(now, r)
	if w == nil {
		return
	}
	w.verdict = &verdict{reason: Reason(r.Result.Body)}
	o.answer(now, w, NotRun, *w.verdict)
}
