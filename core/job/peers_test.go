package job_test

import (
	"slices"
	"strconv"
	"time"

	"dogwoodglade/core/allocator"
	"dogwoodglade/core/executor"
	"dogwoodglade/core/job"
	"dogwoodglade/core/task"
)

func (w *world) runOwner(o *owner, actions []job.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case job.AskSlots:
			w.send(o.name, "allocator", "ask", func() { w.replaceAsk(ask{o, a.Ask}) })
		case job.WithdrawAsk:
			w.send(o.name, "allocator", "withdraw", func() { w.withdraw(o, a) })
		case job.ReturnGrant:
		case job.SendStart:
			w.sendStart(o, a)
		case job.CancelTask:
			to := w.agent(a.Agent)
			w.send(o.name, to.name, "cancel", func() { w.runAgent(to, to.Cancel(w.now, a.Attempt)) })
		case job.ConfirmEpoch:
			w.confirm(o, a)
		case job.Reply:
			w.reply(a)
			if w.fault == secondReply {
				w.reply(a)
			}
		}
	}
}

func (w *world) replaceAsk(a ask) {
	w.asks = slices.DeleteFunc(w.asks, func(b ask) bool { return b.owner == a.owner && b.ID == a.ID })
	w.asks = append(w.asks, a)
}

func (w *world) withdraw(o *owner, a job.WithdrawAsk) {
	for i := range w.asks {
		if w.asks[i].owner == o && w.asks[i].ID == a.Ask {
			w.asks[i].Count -= max(a.Count, 1)
			if a.Count == 0 || w.asks[i].Count <= 0 {
				w.asks = slices.Delete(w.asks, i, i+1)
				return
			}
		}
	}
}

// grant grants a slot of the agent to an ask, whether the slot is free or not.
func (w *world) grant(i int, a *agent) {
	k := w.asks[i]
	w.withdraw(k.owner, job.WithdrawAsk{Ask: k.ID, Count: 1})
	w.grants++
	g := allocator.Grant{
		ID: strconv.Itoa(w.grants), Ask: k.ID, Owner: k.owner.name, Allocator: "allocator", Agent: a.name,
		BackendServer: "b" + a.name, Incarnation: strconv.Itoa(a.inc),
	}
	w.send("allocator", k.owner.name, "grant", func() { w.runOwner(k.owner, k.owner.Granted(w.now, g)) })
}

func (w *world) refuseAsk(i int) {
	k := w.asks[i]
	w.asks = slices.Delete(w.asks, i, i+1)
	r := allocator.Refuse{Ask: k.ID, Owner: k.owner.name, Count: k.Count, Reason: allocator.Overloaded}
	w.send("allocator", k.owner.name, "refuse", func() { w.runOwner(k.owner, k.owner.AskRefused(w.now, r)) })
}

func (w *world) sendStart(o *owner, s job.SendStart) {
	a := w.agent(s.Agent)
	refused := func(why task.Refusal) { w.runOwner(o, o.StartRefused(w.now, s.Start.Attempt, why)) }
	if a.dead {
		w.send("net", o.name, "unreachable", func() { refused(task.RefusedUnreachable) })
		return
	}
	w.via[startID{s.Start.Attempt, s.Start.Epoch}] = o.taken[s.Start.Attempt.Task.Job]
	w.send(o.name, a.name, "start", func() {
		why, actions := a.Start(w.now, s.Start)
		w.runAgent(a, actions)
		if w.fault == startTwice && why == task.RefusedDuplicate {
			w.checkStart(s.Start)
		}
		r := task.Record{Attempt: s.Start.Attempt, Epoch: s.Start.Epoch, Agent: a.name, State: task.Running}
		if w.fault == earlyResult {
			r.State, r.Result = task.Ended, task.Result{Status: 200}
		}
		w.send(a.name, o.name, "reply", func() {
			if why != task.Accepted {
				refused(why)
				return
			}
			w.runOwner(o, o.Outcome(w.now, r))
		})
	})
	if w.fault == earlyRefusal {
		w.send("net", o.name, "early refusal", func() { refused(task.RefusedSlots) })
	}
}

func (w *world) runAgent(a *agent, actions []executor.Action) {
	for _, action := range actions {
		switch x := action.(type) {
		case executor.Run:
			w.checkStart(x.Start)
			w.check(!a.left && !a.exited && !a.Drained(), "%v started on a leaving backend server", x.Start.Attempt)
			w.check(a.silent.IsZero() || w.now.Sub(a.silent) < 3*time.Second+tick, "%v started on a silent one", x.Start.Attempt)
			a.running = append(a.running, x.Start)
		case executor.SendOutcome:
			a.running = slices.DeleteFunc(a.running, func(s task.Start) bool { return s.Attempt == x.Record.Attempt })
			w.outcome(a, x)
		case executor.Stop, executor.SendRelease, executor.SendHeartbeat:
		}
	}
}

func (w *world) outcome(a *agent, x executor.SendOutcome) {
	r := x.Record
	if w.fault == swappedResults && r.Result.Succeeded() {
		r.Attempt.Task.Index = (r.Attempt.Task.Index + 1) % r.TaskCount
	}
	w.send(a.name, x.Owner, "outcome", func() {
		o := w.owners[slices.IndexFunc(w.owners, func(o *owner) bool { return o.name == x.Owner })]
		w.runOwner(o, o.Outcome(w.now, r))
	})
}
