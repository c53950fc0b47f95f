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

// slotRequest is a request to an allocator that has not been granted in full.
type slotRequest struct {
	id          string
	sequence    int
	job         *trackedJob
	taskIndexes []int // tasks that wait for a slot
	avoid       []string
}

// grantID identifies a grant across all allocators.
type grantID struct{ allocator, id string }

// requestDueSlots requests slots for the tasks whose delay has passed. Tasks that avoid the same backend
// servers share one request.
func (o *Owner) requestDueSlots(now time.Time, j *trackedJob) {
	if !j.open() || j.failure != nil {
		return
	}
	var requests []*slotRequest
	for i := range j.tasks {
		ts := &j.tasks[i]
		if ts.phase != delayed || ts.dueAt.After(now) {
			continue
		}
		ts.phase = requested
		k := slices.IndexFunc(requests, func(req *slotRequest) bool { return slices.Equal(req.avoid, ts.avoid) })
		if k < 0 {
			k = len(requests)
			o.slotRequestCount++
			id := fmt.Sprintf("%d.%d.%d", o.shardID, o.epoch.Counter, o.slotRequestCount)
			requests = append(requests, &slotRequest{
				id: id, sequence: o.slotRequestCount, job: j, avoid: slices.Clone(ts.avoid),
			})
		}
		requests[k].taskIndexes = append(requests[k].taskIndexes, i)
	}
	for _, req := range requests {
		o.slotRequests[req.id] = req
		j.slotRequests = append(j.slotRequests, req)
		o.sendSlotRequest(now, req)
	}
}

func (o *Owner) sendSlotRequest(now time.Time, req *slotRequest) {
	j := req.job
	ev := o.newEvent(event.TaskAsked, j)
	ev.Count = len(req.taskIndexes)
	o.recordEvent(ev)
	o.addAction(RequestSlots{Pool: j.pool, Request: allocator.SlotRequest{
		ID: req.id, Owner: o.name, Customer: j.id.Customer, Route: j.route, Count: len(req.taskIndexes),
		Age: now.Sub(j.accepted), Deadline: j.deadline.Sub(now), Avoid: slices.Clone(req.avoid),
	}})
}

// removeSlotRequest removes a request that was granted in full, withdrawn or refused.
func (o *Owner) removeSlotRequest(req *slotRequest) {
	delete(o.slotRequests, req.id)
	req.job.slotRequests = slices.DeleteFunc(req.job.slotRequests, func(other *slotRequest) bool { return other == req })
}

// withdrawSlotRequests withdraws all slot requests of a job. Tasks that have not started are not scheduled any
// more.
func (o *Owner) withdrawSlotRequests(j *trackedJob) {
	for _, req := range slices.Clone(j.slotRequests) {
		o.addAction(WithdrawSlotRequest{Pool: j.pool, RequestID: req.id})
		o.removeSlotRequest(req)
	}
	for i := range j.tasks {
		if ts := &j.tasks[i]; ts.phase == requested || ts.phase == delayed {
			ts.phase = idle
		}
	}
}

// withdrawTaskSlot withdraws the slot request for one task.
func (o *Owner) withdrawTaskSlot(j *trackedJob, index int) {
	for _, req := range slices.Clone(j.slotRequests) {
		k := slices.Index(req.taskIndexes, index)
		if k < 0 {
			continue
		}
		req.taskIndexes = slices.Delete(req.taskIndexes, k, k+1)
		o.addAction(WithdrawSlotRequest{Pool: j.pool, RequestID: req.id, Count: 1})
		if len(req.taskIndexes) == 0 {
			o.removeSlotRequest(req)
		}
	}
}

// SlotGranted starts the next waiting task of the slot request in the granted slot, or returns the grant.
func (o *Owner) SlotGranted(now time.Time, g allocator.Grant) []Action {
	o.initStartTime(now)
	id := grantID{allocator: g.Allocator, id: g.ID}
	if _, repeated := o.grants[id]; repeated {
		return nil
	}
	req := o.slotRequests[g.RequestID]
	if req == nil || !now.Before(req.job.deadline) {
		o.addAction(ReturnGrant{Allocator: g.Allocator, Grant: g.ID})
		return o.takeActions()
	}
	index := req.taskIndexes[0]
	req.taskIndexes = req.taskIndexes[1:]
	if len(req.taskIndexes) == 0 {
		o.removeSlotRequest(req)
	}
	if !o.recoveryComplete && !o.fencedAgents[g.Agent] {
		// An agent that this owner has not fenced may still accept starts from the previous owner.
		o.addAction(ReturnGrant{Allocator: g.Allocator, Grant: g.ID})
		o.requeueTask(now, req.job, index, g.BackendServer)
		o.requestDueSlots(now, req.job)
		return o.takeActions()
	}
	o.grants[id] = struct{}{}
	o.sendStart(now, req.job, index, g)
	return o.takeActions()
}

func (o *Owner) sendStart(now time.Time, j *trackedJob, index int, g allocator.Grant) {
	ts := &j.tasks[index]
	ts.lastNumber++
	ts.phase = active
	if len(ts.attempts) == 0 && ts.requeues == 0 {
		o.budgets.Deposit(j.pool, j.retryBudget)
	}
	ts.attempts = append(ts.attempts, attempt{
		number: ts.lastNumber, epoch: o.epoch, agent: g.Agent, server: g.BackendServer,
		grant: grantID{allocator: g.Allocator, id: g.ID},
	})
	ev := o.newEvent(event.TaskSent, j)
	ev.Task, ev.Attempt, ev.Peer = index, ts.lastNumber, g.Agent
	o.recordEvent(ev)
	o.addAction(SendStart{Agent: g.Agent, Start: task.Start{
		Attempt: j.attemptID(index, ts.lastNumber), TaskCount: len(j.tasks), Route: j.route, Digest: j.digest,
		Idempotent: j.idempotent, Epoch: o.epoch, Owner: o.name, Allocator: g.Allocator,
		BackendServer: g.BackendServer, Incarnation: g.Incarnation, Grant: g.ID,
		Deadline: j.deadline.Sub(now), Body: j.bodies[index],
	}})
}

// requeueTask schedules a new slot request for a task whose granted slot was not used or whose start certainly did
// not run: the first time immediately, then with backoff.
func (o *Owner) requeueTask(now time.Time, j *trackedJob, index int, avoid string) {
	ts := &j.tasks[index]
	ts.phase, ts.dueAt = delayed, now
	if ts.requeues > 0 {
		ts.dueAt = now.Add(retry.Backoff(ts.requeues, o.random))
	}
	ts.requeues++
	if avoid != "" && !slices.Contains(ts.avoid, avoid) {
		ts.avoid = append(ts.avoid, avoid)
	}
}

// SlotRequestRefused fails the job of a refused slot request, because the job can no longer complete.
func (o *Owner) SlotRequestRefused(now time.Time, r allocator.Refusal) []Action {
	o.initStartTime(now)
	req := o.slotRequests[r.RequestID]
	if req == nil {
		return nil
	}
	j := req.job
	ev := o.newEvent(event.AskRefused, j)
	ev.State, ev.Count = string(r.Reason), len(req.taskIndexes)
	o.recordEvent(ev)
	for _, index := range req.taskIndexes {
		j.tasks[index].phase = idle
	}
	o.removeSlotRequest(req)
	o.failJob(j, failure{reason: reasonForRefusal(r.Reason), retryAfter: r.RetryAfter})
	o.tryAnswer(now, j)
	return o.takeActions()
}

func reasonForRefusal(r allocator.Reason) Reason {
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

// AllocatorLost sends the open slot requests of the pool again, for the pool's next allocator.
func (o *Owner) AllocatorLost(now time.Time, pool string) []Action {
	o.initStartTime(now)
	var requests []*slotRequest
	for _, req := range o.slotRequests {
		if req.job.pool == pool {
			requests = append(requests, req)
		}
	}
	slices.SortFunc(requests, func(a, b *slotRequest) int { return a.sequence - b.sequence })
	for _, req := range requests {
		o.sendSlotRequest(now, req)
	}
	return o.takeActions()
}

func (o *Owner) sortedJobs() []*trackedJob {
	jobs := make([]*trackedJob, 0, len(o.jobs))
	for _, j := range o.jobs {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(a, b *trackedJob) int {
		if c := strings.Compare(a.id.Customer, b.id.Customer); c != 0 {
			return c
		}
		return strings.Compare(a.id.Key, b.id.Key)
	})
	return jobs
}
