package job

import (
	"time"

	"dogwoodglade/core/event"
	"dogwoodglade/core/task"
)

// DefaultRetryAfter is the delay asked of callers whose job was not run, if the allocator names none.
const DefaultRetryAfter = time.Second

// fail notes that a job cannot complete and drops its waiting tasks. Running tasks of an idempotent job are
// stopped; those of another job finish, because stopping them would make their effects unknown.
func (o *Owner) fail(w *work, v verdict) {
	if w.verdict != nil {
		return
	}
	w.verdict = &v
	o.withdraw(w)
	if w.idempotent {
		o.cancelAttempts(w)
	}
}

func (o *Owner) cancelAttempts(w *work) {
	for i, p := range w.parts {
		for _, a := range p.attempts {
			if a.outstanding() {
				o.act(CancelTask{Agent: a.agent, Attempt: w.attemptID(i, a.number)})
			}
		}
	}
}

// settle answers a job as soon as its answer is certain.
func (o *Owner) settle(now time.Time, w *work) {
	switch {
	case w.answer != nil || w.confirm != nil:
	case w.allDone() && (w.verdict == nil || w.verdict.reason == ReasonBackendServerLost):
		// A lost attempt may turn out to have ended.
		o.answer(now, w, Complete, verdict{})
	case w.verdict != nil:
		o.settleFailed(now, w)
	}
}

// settleFailed answers a job that cannot complete. An outstanding reply to a start decides whether the job
// was not run; the effects of a job that is not idempotent are known only when its running tasks ended.
func (o *Owner) settleFailed(now time.Time, w *work) {
	switch {
	case w.idempotent && w.started():
		o.answer(now, w, Failed, *w.verdict)
	case w.outstanding():
	case !w.started():
		o.startConfirmation(now, w)
	case !w.idempotent && w.anyUnknown():
		o.answer(now, w, OutcomeUnknown, verdict{reason: ReasonBackendServerLost})
	default:
		o.answer(now, w, Failed, *w.verdict)
	}
}

func (w *work) anyUnknown() bool {
	for i := range w.parts {
		if w.parts[i].unknown() {
			return true
		}
	}
	return false
}

// expireDeadline answers a job at its deadline with what is certain by then.
func (o *Owner) expireDeadline(now time.Time, w *work) {
	o.fail(w, verdict{reason: ReasonDeadlineExceeded})
	o.cancelAttempts(w)
	missing := w.recovered && !o.complete && !w.allDone()
	switch {
	case !w.idempotent && (missing || w.anyUnknown()):
		o.answer(now, w, OutcomeUnknown, verdict{reason: ReasonDeadlineExceeded})
	case w.started() || w.outstanding() || missing:
		o.answer(now, w, Failed, *w.verdict)
	default:
		o.startConfirmation(now, w)
	}
}

// answer ends a job and replies to its waiters.
func (o *Owner) answer(now time.Time, w *work, state State, v verdict) {
	a := &Answer{ID: w.id, State: state, Reason: v.reason}
	if state == NotRun {
		a.RetryAfter = v.retryAfter
		if a.RetryAfter == 0 {
			a.RetryAfter = DefaultRetryAfter
		}
	}
	if state == Complete {
		a.Results = make([]task.Result, len(w.parts))
		for i := range w.parts {
			a.Results[i] = w.parts[i].result
		}
	}
	w.answer, w.bodies = a, nil
	ev := o.event(event.JobAnswered, w)
	ev.State, ev.Count = string(state), len(w.waiters)
	o.record(ev)
	waiters := w.waiters
	w.waiters = nil
	for _, waiter := range waiters {
		o.reply(w, waiter)
	}
	if state == NotRun {
		o.release(now, w)
		return
	}
	o.retain(now, w)
}

func (o *Owner) reply(w *work, waiter string) {
	w.served = append(w.served, waiter)
	o.act(Reply{Waiter: waiter, Answer: o.complement(*w.answer)})
}

// complement adds a ticket to an answer.
func (o *Owner) complement(a Answer) Answer {
	a.Ticket = o.IssueTicket()
	return a
}

// retain keeps an answer for resubmissions. The oldest result bodies over the bound are dropped.
func (o *Owner) retain(now time.Time, w *work) {
	o.keep(now, w)
	if w.answer.State != Complete {
		o.dropResults(w)
		return
	}
	o.answers = append(o.answers, w)
	o.answerBytes += w.resultBytes()
	for o.answerBytes > MaxAnswerBytes {
		oldest := o.answers[0]
		o.answers = o.answers[1:]
		o.answerBytes -= oldest.resultBytes()
		o.dropResults(oldest)
		oldest.answer = &Answer{ID: oldest.id, State: Failed, Reason: ReasonResultEvicted}
	}
}

func (w *work) resultBytes() int {
	n := 0
	for _, p := range w.parts {
		n += len(p.result.Body)
	}
	return n
}

// dropResults drops the bodies of results, so that the attempts count as evicted.
func (o *Owner) dropResults(w *work) {
	for i := range w.parts {
		p := &w.parts[i]
		if len(p.result.Body) == 0 {
			continue
		}
		p.result.Body = nil
		for k := range p.attempts {
			if p.attempts[k].state == succeeded {
				p.attempts[k].state = evicted
			}
		}
	}
}

// expiry says when a job may be dropped.
type expiry struct {
	work *work
	at   time.Time
}

// keep makes a job expire after the retention window.
func (o *Owner) keep(now time.Time, w *work) {
	w.expires = now.Add(RetentionWindow)
	o.retained = append(o.retained, expiry{work: w, at: w.expires})
}

// expireRetained drops jobs whose retention window has passed. A job that was answered since it was kept
// has a later entry.
func (o *Owner) expireRetained(now time.Time) {
	n := 0
	for ; n < len(o.retained) && !now.Before(o.retained[n].at); n++ {
		w := o.retained[n].work
		if w.open() || now.Before(w.expires) {
			continue
		}
		if o.jobs[w.id] == w {
			delete(o.jobs, w.id)
		}
		if o.released[w.id] == w {
			delete(o.released, w.id)
		}
	}
	clear(o.retained[:n])
	o.retained = o.retained[n:]
	n = 0
	for ; n < len(o.answers) && !now.Before(o.answers[n].expires); n++ {
		o.answerBytes -= o.answers[n].resultBytes()
	}
	clear(o.answers[:n])
	o.answers = o.answers[n:]
}
