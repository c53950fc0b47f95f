package job

import (
	"time"

	"dogwoodglade/core/task"
)

// ConfirmTimeout is how long an agent may take to confirm the owner's epoch.
const ConfirmTimeout = time.Second

// MaxConfirmTries is the number of agents asked to confirm the owner's epoch for one answer.
const MaxConfirmTries = 3

// confirmation is the question of a job that is about to be answered NotRun.
type confirmation struct {
	first  int // question of the first try
	latest int
	tries  int
	until  time.Time
}

// startConfirmation ends a job of which nothing started. Before the owner answers NotRun, one agent confirms
// that the owner's epoch is current. Then no other owner took a submission of the key before the
// confirmation that it may start:
//
//   - An earlier owner: if this one took the key with complete recovery, every agent refuses the earlier
//     owner's starts, and those before have records. Otherwise this one took the key with a ticket of its own
//     epoch, which an earlier owner refuses.
//   - A successor by takeover: with complete recovery, it fenced every agent of the registry, so the agent
//     would have refused this owner. Without it, it takes only keys with tickets of its own epoch, which this
//     owner refuses, and all submissions of a key carry the same ticket.
//   - A successor by planned handover does not fence, but it forwards the keys that are open here, and a key
//     is open until it is answered. If this owner fails, the successor fences the agents first.
//   - An agent that registered after a takeover has read the successor's epoch. A drained agent whose records
//     are read instead of being fenced does not confirm.
//
// A recovery that is complete because the retention window elapsed, or because the row of an agent that no
// entry heard for as long was removed, has fenced less. It rests on the assumption of core/ownership that no
// superseded owner still reaches such an agent, on which the starts rest as well.
//
// The key is then forgotten, so a submission taken after the answer runs like a new one.
func (o *Owner) startConfirmation(now time.Time, w *work) {
	o.questions++
	if w.confirm == nil {
		w.confirm = &confirmation{first: o.questions}
	}
	w.confirm.tries++
	w.confirm.latest = o.questions
	w.confirm.until = now.Add(ConfirmTimeout)
	o.act(ConfirmEpoch{Shard: o.id, Epoch: o.epoch, Job: w.id, Question: o.questions})
}

// Confirmed takes the reply to ConfirmEpoch. The caller reports RefusedUnreachable if it could not send it.
// A reply to a question of an earlier submission of the key, or of an earlier owner in this process, is
// ignored: a successor may have taken the key since.
func (o *Owner) Confirmed(now time.Time, c ConfirmEpoch, why task.Refusal) []Action {
	o.observe(now)
	w := o.jobs[c.Job]
	if w == nil || !w.open() || w.confirm == nil || c.Epoch != o.epoch || c.Question < w.confirm.first {
		return nil
	}
	switch {
	case why == task.Accepted && !w.started():
		o.answer(now, w, NotRun, *w.verdict)
	case why == task.Accepted:
		o.answer(now, w, OutcomeUnknown, verdict{reason: ReasonBackendServerLost})
	case why == task.RefusedEpoch && !o.draining:
		o.stepDown(now)
	case c.Question == w.confirm.latest:
		o.retryConfirmation(now, w)
	}
	return o.flush()
}

func (o *Owner) retryConfirmation(now time.Time, w *work) {
	if w.confirm.tries < MaxConfirmTries {
		o.startConfirmation(now, w)
		return
	}
	o.answer(now, w, OutcomeUnknown, verdict{reason: ReasonOwnerUnavailable})
}

func (o *Owner) expireConfirmation(now time.Time, w *work) {
	if !now.Before(w.confirm.until) {
		o.retryConfirmation(now, w)
	}
}

// release forgets a job that was answered NotRun. Its attempt numbers stay used for the retention window,
// because a late refusal or cancellation must not reach an attempt of a later submission.
func (o *Owner) release(now time.Time, w *work) {
	delete(o.jobs, w.id)
	if w.lastNumber() > 0 {
		o.released[w.id] = w
		o.keep(now, w)
	}
}

// lastNumber returns the highest attempt number used for the key.
func (w *work) lastNumber() int {
	n := w.base
	for i := range w.parts {
		n = max(n, w.parts[i].number)
	}
	return n
}

// continueNumbers makes the attempts of the job count on from those of an earlier submission of the key.
func (w *work) continueNumbers(earlier *work) {
	w.base = earlier.lastNumber()
	for i := range w.parts {
		w.parts[i].number = w.base
	}
}
