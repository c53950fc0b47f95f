package job_test

import (
	"slices"
	"time"

	"dogwoodglade/core/job"
	"dogwoodglade/core/shard"
	"dogwoodglade/core/task"
)

func (w *world) next() int {
	w.events++
	return w.events
}

// take submits to an owner, and notes when it took the first submission of the key that it works on.
func (w *world) take(o *owner, s job.Submission, wt *waiter) {
	if a, ok := o.sticky[s.ID]; ok && w.fault == stickyNotRun {
		w.confirmed = w.next()
		w.reply(job.Reply{Waiter: wt.name, Answer: a})
		w.confirmed = 0
		return
	}
	w.runOwner(o, o.Submit(w.now, s, wt.name, w.tables))
	if wt.answers == 0 && o.taken[s.ID] == 0 {
		o.taken[s.ID] = w.next()
	}
}

// confirm asks a live agent for the owner's epoch. The confirmation counts from the agent's decision.
func (w *world) confirm(o *owner, c job.ConfirmEpoch) {
	live := slices.DeleteFunc(slices.Clone(w.agents), func(a *agent) bool { return a.dead })
	reply := func(from string, why task.Refusal) {
		at := w.next()
		w.send(from, o.name, "confirmed", func() {
			w.confirmed = at
			if w.fault == lateConfirm {
				c.Question = o.question
			}
			w.runOwner(o, o.Confirmed(w.now, c, why))
			w.confirmed = 0
		})
	}
	o.question = c.Question
	switch {
	case w.fault == noConfirmation:
		reply("net", task.Accepted)
	case len(live) == 0:
		reply("net", task.RefusedUnreachable)
	default:
		a := live[w.pick(len(live))]
		w.send(o.name, a.name, "confirm", func() {
			why := a.Confirm(shard.Fence{Shard: c.Shard, Epoch: c.Epoch})
			if w.fault == staleConfirm && why == task.RefusedEpoch {
				why = task.Accepted
			}
			reply(a.name, why)
		})
	}
}

// checkStart checks that a start is the only one of its attempt, one of those allowed for its task, and not
// promised away by an answer NotRun.
func (w *world) checkStart(s task.Start) {
	id := startID{s.Attempt, s.Epoch}
	w.check(!w.started[id], "attempt %v started twice", s.Attempt)
	w.started[id] = true
	w.starts[s.Attempt.Task]++
	limit := 1
	if w.jobs[s.Attempt.Task.Job].idempotent {
		limit = attempts
	}
	w.check(w.starts[s.Attempt.Task] <= limit, "task %v started %d times", s.Attempt, w.starts[s.Attempt.Task])
	w.check(w.via[id] >= w.notRun[s.Attempt.Task.Job],
		"%v started through a submission that was reported as not run", s.Attempt)
	w.logf("start %v", s.Attempt)
}

// checkNotRun checks that no start happened through a submission that an owner took before the confirmation,
// and keeps the confirmation for the starts to come.
func (w *world) checkNotRun(o *owner, a job.Answer) {
	w.check(w.confirmed > o.taken[a.ID], "%v was reported as not run on an earlier confirmation", a.ID)
	for id, at := range w.via {
		if id.attempt.Task.Job == a.ID && w.started[id] {
			w.check(at > w.confirmed, "%v was reported as not run after it started", id.attempt)
		}
	}
	w.notRun[a.ID] = max(w.notRun[a.ID], w.confirmed)
	delete(o.taken, a.ID)
	o.sticky[a.ID] = a
}

// retryNotRun checks that a key which the latest owner answered NotRun can complete when it is submitted again.
func (w *world) retryNotRun() {
	o := w.owners[len(w.owners)-1]
	if o.dead || len(o.unheard) > 0 {
		return
	}
	for _, id := range keys {
		if _, ok := o.sticky[id]; !ok || o.taken[id] != 0 {
			continue
		}
		w.addAgent()
		a := w.agents[len(w.agents)-1]
		w.deliverAll()
		w.asks = nil // an ask that was overtaken by its withdrawal is still here
		wt := w.submit(o, id, job.Submission{Route: "r"}, client{})
		w.deliverAll()
		for i := 0; i < 10 && len(w.asks) > 0; i++ {
			w.grant(0, a)
			w.deliverAll()
			if len(a.running) > 0 {
				w.end(a, a.running[0], 200)
			}
			w.deliverAll()
			w.advance(time.Second / 10)
		}
		w.check(wt.state == job.Complete, "the retry of %v after NotRun was answered %q", id, wt.state)
	}
}
