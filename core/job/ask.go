package job

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"dogwoodglade/core/allocator"
	"dogwoodglade/core/event"
	"dogwoodglade/core/retry"
	"dogwoodglade/core/task"
)

// standing is an ask that waits for grants.
type standing struct {
	id    string
	seq   int
	work  *work
	tasks []int // indexes of the tasks that wait
	avoid []string
}

// grantID identifies a grant among all allocators.
type grantID struct{ allocator, id string }

// askDue asks for slots for the tasks whose delay is over, in one ask for each list of backend servers to
// avoid.
func (o *Owner) askDue(now time.Time, w *work) {
	if !w.open() || w.verdict != nil {
		return
	}
	var asks []*standing
	for i := range w.parts {
		p := &w.parts[i]
		if p.phase != delayed || p.due.After(now) {
			continue
		}
		p.phase = asked
		k := slices.IndexFunc(asks, func(a *standing) bool { return slices.Equal(a.avoid, p.avoid) })
		if k < 0 {
			k = len(asks)
			o.askCount++
			id := fmt.Sprintf("%d.%d.%d", o.id, o.epoch.Counter, o.askCount)
			asks = append(asks, &standing{id: id, seq: o.askCount, work: w, avoid: slices.Clone(p.avoid)})
		}
		asks[k].tasks = append(asks[k].tasks, i)
	}
	for _, a := range asks {
		o.asks[a.id] = a
		w.asks = append(w.asks, a)
		o.sendAsk(now, a)
	}
}

func (o *Owner) sendAsk(now time.Time, a *standing) {
	w := a.work
	ev := o.event(event.TaskAsked, w)
	ev.Count = len(a.tasks)
	o.record(ev)
	o.act(AskSlots{Pool: w.pool, Ask: allocator.Ask{
		ID: a.id, Owner: o.self, Customer: w.id.Customer, Route: w.route, Count: len(a.tasks),
		Age: now.Sub(w.accepted), Deadline: w.deadline.Sub(now), Avoid: slices.Clone(a.avoid),
	}})
}

// forget removes an ask that waits for nothing more.
func (o *Owner) forget(a *standing) {
	delete(o.asks, a.id)
	a.work.asks = slices.DeleteFunc(a.work.asks, func(other *standing) bool { return other == a })
}

// withdraw gives up all asks of a job and drops the tasks that wait.
func (o *Owner) withdraw(w *work) {
	for _, a := range slices.Clone(w.asks) {
		o.act(WithdrawAsk{Pool: w.pool, Ask: a.id})
		o.forget(a)
	}
	for i := range w.parts {
		if p := &w.parts[i]; p.phase == asked || p.phase == delayed {
			p.phase = held
		}
	}
}

// withdrawTask gives up the slot that one task waits for.
func (o *Owner) withdrawTask(w *work, index int) {
	for _, a := range slices.Clone(w.asks) {
		k := slices.Index(a.tasks, index)
		if k < 0 {
			continue
		}
		a.tasks = slices.Delete(a.tasks, k, k+1)
		o.act(WithdrawAsk{Pool: w.pool, Ask: a.id, Count: 1})
		if len(a.tasks) == 0 {
			o.forget(a)
		}
	}
}

// Granted sends the next waiting task of the ask to the granted slot, or returns the grant.
func (o *Owner) Granted(now time.Time, g allocator.Grant) []Action {
	o.observe(now)
	id := grantID{allocator: g.Allocator, id: g.ID}
	if _, repeated := o.grants[id]; repeated {
		return nil
	}
	a := o.asks[g.Ask]
	if a == nil || !now.Before(a.work.deadline) {
		o.act(ReturnGrant{Allocator: g.Allocator, Grant: g.ID})
		return o.flush()
	}
	index := a.tasks[0]
	a.tasks = a.tasks[1:]
	if len(a.tasks) == 0 {
		o.forget(a)
	}
	if !o.complete && !o.fenced[g.Agent] {
		// An agent that was not fenced may still accept starts of the previous owner.
		o.act(ReturnGrant{Allocator: g.Allocator, Grant: g.ID})
		o.requeue(now, a.work, index, g.BackendServer)
		o.askDue(now, a.work)
		return o.flush()
	}
	o.grants[id] = struct{}{}
	o.send(now, a.work, index, g)
	return o.flush()
}

func (o *Owner) send(now time.Time, w *work, index int, g allocator.Grant) {
	p := &w.parts[index]
	p.number++
	p.phase = active
	if len(p.attempts) == 0 && p.requeues == 0 {
		o.budgets.Started(w.pool, w.retryShare)
	}
	p.attempts = append(p.attempts, attempt{
		number: p.number, epoch: o.epoch, agent: g.Agent, server: g.BackendServer,
		grant: grantID{allocator: g.Allocator, id: g.ID},
	})
	ev := o.event(event.TaskSent, w)
	ev.Task, ev.Attempt, ev.Peer = index, p.number, g.Agent
	o.record(ev)
	o.act(SendStart{Agent: g.Agent, Start: task.Start{
		Attempt: w.attemptID(index, p.number), TaskCount: len(w.parts), Route: w.route, Digest: w.digest,
		Idempotent: w.idempotent, Epoch: o.epoch, Owner: o.self, Allocator: g.Allocator,
		BackendServer: g.BackendServer, Incarnation: g.Incarnation, Grant: g.ID,
		Deadline: w.deadline.Sub(now), Body: w.bodies[index],
	}})
}

// requeue asks again for a task whose start is proven not run: the first time at once, then with backoff.
func (o *Owner) requeue(now time.Time, w *work, index int, avoid string) {
	p := &w.parts[index]
	p.phase, p.due = delayed, now
	if p.requeues > 0 {
		p.due = now.Add(retry.Backoff(p.requeues, o.random))
	}
	p.requeues++
	if avoid != "" && !slices.Contains(p.avoid, avoid) {
		p.avoid = append(p.avoid, avoid)
	}
}

// AskRefused ends the job of a refused ask: it can no longer complete.
func (o *Owner) AskRefused(now time.Time, r allocator.Refuse) []Action {
	o.observe(now)
	a := o.asks[r.Ask]
	if a == nil {
		return nil
	}
	w := a.work
	ev := o.event(event.AskRefused, w)
	ev.State, ev.Count = string(r.Reason), len(a.tasks)
	o.record(ev)
	for _, index := range a.tasks {
		w.parts[index].phase = held
	}
	o.forget(a)
	o.fail(w, verdict{reason: refusalReason(r.Reason), retryAfter: r.RetryAfter})
	o.settle(now, w)
	return o.flush()
}

func refusalReason(r allocator.Reason) Reason {
	switch r {
	case allocator.DeadlineExceeded:
		return ReasonDeadlineExceeded
	case allocator.QuotaExceeded:
		return ReasonQuotaExceeded
	case allocator.EmptyPool:
		return ReasonEmptyPool
	case allocator.UnknownPool:
		return ReasonUnknownRoute
	case allocator.Overloaded:
	}
	return ReasonOverloaded
}

// AllocatorLost asks the pool's next allocator for everything that still waits.
func (o *Owner) AllocatorLost(now time.Time, pool string) []Action {
	o.observe(now)
	var asks []*standing
	for _, a := range o.asks {
		if a.work.pool == pool {
			asks = append(asks, a)
		}
	}
	slices.SortFunc(asks, func(a, b *standing) int { return a.seq - b.seq })
	for _, a := range asks {
		o.sendAsk(now, a)
	}
	return o.flush()
}

func (o *Owner) sortedJobs() []*work {
	all := make([]*work, 0, len(o.jobs))
	for _, w := range o.jobs {
		all = append(all, w)
	}
	slices.SortFunc(all, func(a, b *work) int {
		if c := strings.Compare(a.id.Customer, b.id.Customer); c != 0 {
			return c
		}
		return strings.Compare(a.id.Key, b.id.Key)
	})
	return all
}
