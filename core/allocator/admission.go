package allocator

import (
	"math"
	"time"

	"dogwoodglade/core/event"
)

const (
	// warmUpTime is the time after the first call, or after an empty pool got a server, during which waits are
	// not predicted: the capacity is known only after the first heartbeat of each agent.
	warmUpTime = time.Second

	// An overload begins when the queueing delay stays above overloadDelay for overloadMinDuration, or when a
	// request cannot meet its deadline. A brief delay is no sign of overload: jobs of many tasks cause one even at
	// a moderate load.
	overloadDelay       = 400 * time.Millisecond
	overloadMinDuration = 1000 * time.Millisecond
	// overloadLoad is the offered load above which a long delay counts as an overload.
	overloadLoad = 1.5
	// overloadDelayLimit is the queueing delay allowed during an overload. It is long enough to keep the slots
	// busy, short enough for short deadlines, and such a queue drains within 1 s at 80% load.
	overloadDelayLimit = 150 * time.Millisecond
	// requestDelayFactor is the delay allowed during an overload as a multiple of the delay that one request
	// causes. If work arrives in a few large jobs, a longer queue is needed to keep the slots busy until the
	// next job.
	requestDelayFactor = 1.5
	// An overload ends when the delay is at most recoveryDelayFraction of the allowed delay and the offered
	// load is at most recoveryLoad.
	recoveryDelayFraction = 0.25
	recoveryLoad          = 1.1
	// offeredLoadWindow is the time constant of the exponential decay of offered work.
	offeredLoadWindow = 2 * time.Second

	// minLongShare is the smallest share of the unreserved slots that predictions assume for long work. Long work
	// gets some of these slots however much short work there is, because older requests are served first.
	minLongShare = 0.25

	// waitSafetyFactor allows for run times that are longer than predicted.
	waitSafetyFactor = 1.2

	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	// overheadLimit caps each sample of the overhead, which is the time between grant and release less the run
	// time.
	overheadLimit = 50 * time.Millisecond
	// overheadWeight is the weight of the latest sample in the mean overhead.
	overheadWeight = 1.0 / 64
)

// overload detects that the offered load has exceeded the capacity for some time.
type overload struct {
	work        float64 // offered work, in seconds of slot time, decayed with offeredLoadWindow
	squaredWork float64 // sum of the squares of the requests' work, decayed likewise
	decayedAt   int64   // time of the latest decay
	aboveSince  int64   // when the delay rose above its limit; 0 while it is below
	active      bool
}

// waitForecast is the predicted wait of a request.
type waitForecast struct {
	first          time.Duration // until its first slot, caused by the work ahead of it
	last           time.Duration // until its last slot
	limitedByQuota bool          // the customer's quota causes the wait, not the load
}

// addOfferedWork adds the work of a new request to the offered load.
func (a *Allocator) addOfferedWork(c *customer, work time.Duration) {
	a.decayOfferedWork()
	a.overload.work += work.Seconds()
	a.overload.squaredWork += work.Seconds() * work.Seconds()
	c.offeredWork, c.offeredAt = a.offeredWork(c)+work.Seconds(), a.now
}

// offeredWork returns the recent work of a customer, in seconds of slot time, decayed with offeredLoadWindow.
func (a *Allocator) offeredWork(c *customer) float64 {
	return c.offeredWork * math.Exp(-float64(a.now-c.offeredAt)/float64(offeredLoadWindow))
}

// withinShare reports whether the customer offers no more work than its share of the slots can serve. Such a
// customer does not cause the overload, and its work is refused only if it would miss its deadline.
func (a *Allocator) withinShare(c *customer) bool {
	return a.options.Fairness && a.offeredWork(c)/offeredLoadWindow.Seconds() <= a.fairSlots(c, a.capacity)
}

func (a *Allocator) decayOfferedWork() {
	o := &a.overload
	if elapsed := a.now - o.decayedAt; elapsed > 0 {
		decay := math.Exp(-float64(elapsed) / float64(offeredLoadWindow))
		o.work *= decay
		o.squaredWork *= decay
		o.decayedAt = a.now
	}
}

// delay returns the time needed to serve the queue at the present capacity.
func (a *Allocator) delay() time.Duration {
	if a.capacity == 0 {
		return 0
	}
	return a.slotTime(a.totals.allWork(), a.totals.allTasks()) / time.Duration(a.capacity)
}

// slotTime returns the time for which work holds slots, including the messages before and after each task.
func (a *Allocator) slotTime(work int64, tasks int) time.Duration {
	return time.Duration(work) + time.Duration(tasks)*a.meanOverhead
}

// updateOverload starts or ends the overload state.
func (a *Allocator) updateOverload() {
	a.decayOfferedWork()
	o := &a.overload
	delay := a.delay()
	if o.active {
		o.active = a.offeredLoad() > recoveryLoad ||
			float64(delay) > recoveryDelayFraction*float64(a.delayLimit(a.poolEstimate.mean))
		o.aboveSince = 0
		return
	}
	switch {
	case delay <= max(overloadDelay, a.delayLimit(a.poolEstimate.mean)):
		o.aboveSince = 0
	case o.aboveSince == 0:
		o.aboveSince = a.now
	case a.now-o.aboveSince >= int64(overloadMinDuration):
		o.active = a.offeredLoad() > overloadLoad
	}
}

// offeredLoad returns the offered load as a multiple of the capacity.
func (a *Allocator) offeredLoad() float64 {
	return a.overload.work / offeredLoadWindow.Seconds() / float64(max(a.capacity, 1))
}

// delayLimit returns the delay allowed during an overload for work with the given mean run time. Work that
// runs longer needs a longer queue to keep the slots busy.
func (a *Allocator) delayLimit(mean time.Duration) time.Duration {
	limit := max(overloadDelayLimit, mean/2)
	if o := &a.overload; o.work > 0 && a.capacity > 0 {
		perRequest := o.squaredWork / o.work / float64(a.capacity) // mean weighted by work
		limit = max(limit, time.Duration(requestDelayFactor*perRequest*float64(time.Second)))
	}
	return limit
}

// predictWait predicts the wait of a request that is not in the queue.
func (a *Allocator) predictWait(c *customer, r *routeState, count int, arrival int64) waitForecast {
	if a.capacity == 0 {
		return waitForecast{}
	}
	rest := max(count-a.immediateSlots(c, r), 0)
	ownWork := a.slotTime(r.mean.Nanoseconds()*int64(rest), rest)
	var f waitForecast
	f.first = a.classWait(c, r, arrival, 0)
	f.last = a.classWait(c, r, arrival, ownWork)
	if c.quota > 0 && count > c.quota-c.inUse {
		work := a.slotTime(c.demand[short].work+c.demand[long].work, c.demand[short].tasks+c.demand[long].tasks)
		work = time.Duration(float64(work) * c.olderFraction(a.now, arrival))
		overQuota := max(count-max(c.quota-c.inUse, 0), 0)
		bound := (work + a.slotTime(r.mean.Nanoseconds()*int64(overQuota), overQuota)) / time.Duration(c.quota)
		if bound > f.last {
			f.last, f.limitedByQuota = bound, true
		}
	}
	return f
}

// classWait returns the time needed to serve the work ahead of a request and the given work of the request
// itself. Short work waits for all work or, in the reserved slots, only for short work. Long work competes
// with long work for the unreserved slots that short work leaves free, and with all work once it has waited
// for LongMaxWait.
func (a *Allocator) classWait(c *customer, r *routeState, arrival int64, ownWork time.Duration) time.Duration {
	unreserved := a.longLimit()
	all := a.shareWait(c, arrival, ownWork, a.capacity, short, long)
	if r.class == long {
		untilMaxWait := max(a.pool.LongMaxWait-time.Duration(a.now-arrival), 0)
		slots := max(unreserved-a.shortInUse(), int(minLongShare*float64(unreserved)))
		return min(max(all, a.shareWait(c, arrival, ownWork, slots, long, long)), all+untilMaxWait)
	}
	if reserved := a.capacity - unreserved; reserved > 0 {
		return min(all, a.shareWait(c, arrival, ownWork, reserved, short, short))
	}
	return all
}

// shareWait returns the time in which the customer's share of the given number of slots serves ownWork after the
// customer's queued work of a range of classes that is older than the arrival. Without fairness, all customers
// share one queue.
func (a *Allocator) shareWait(
	c *customer, arrival int64, ownWork time.Duration, slots int, from, to class,
) time.Duration {
	var total, ownQueued time.Duration
	for i := from; i <= to; i++ {
		total += a.slotTime(a.totals.work[i], a.totals.tasks[i])
		ownQueued += a.slotTime(c.demand[i].work, c.demand[i].tasks)
	}
	if !a.options.Fairness {
		older := 1.0
		if first := a.eligible[spareSlots].top(); first != nil {
			older = olderFraction(first.heads[spareSlots].arrival, a.now, arrival)
		}
		return time.Duration((float64(total)*older + float64(ownWork)) / float64(max(slots, 1)))
	}
	work := float64(ownQueued)*c.olderFraction(a.now, arrival) + float64(ownWork)
	return time.Duration(work / a.fairSlots(c, slots))
}

// fairSlots returns the number of slots that a waiting customer gets: its weighted share, or what the other
// customers leave unused if that is more.
func (a *Allocator) fairSlots(c *customer, slots int) float64 {
	active := a.totals.active
	if c.contribution.active == 0 {
		active += c.weight
	}
	part := float64(c.weight) / float64(active)
	if a.capacity > 0 {
		others := max(a.capacity-a.free-c.inUse, 0)
		part = max(part, 1-float64(others)/float64(a.capacity))
	}
	if !a.options.Fairness {
		part = 1
	}
	return float64(max(slots, 1)) * part
}

// olderFraction estimates the fraction of the customer's queue that arrived before the given time.
func (c *customer) olderFraction(now, arrival int64) float64 {
	if c.heads[spareSlots] == nil {
		return 1
	}
	return olderFraction(c.heads[spareSlots].arrival, now, arrival)
}

// olderFraction estimates the fraction of the queued requests that arrived before the given arrival. It assumes that
// they arrived at a constant rate since the oldest one.
func olderFraction(oldest, now, arrival int64) float64 {
	if arrival >= now {
		return 1
	}
	return float64(max(arrival-oldest, 0)) / float64(now-oldest)
}

// admit decides whether a request may be queued. If not, it refuses the request. It may refuse queued requests
// to make room for it.
func (a *Allocator) admit(req SlotRequest) bool {
	switch {
	case req.Deadline <= 0:
		a.emitRefusal(req, DeadlineExceeded, a.retryAfter(0))
		return false
	case a.isEmpty():
		a.emitRefusal(req, EmptyPool, a.retryAfter(a.pool.EmptyPoolWait))
		return false
	}
	c, r := a.customerOf(req.Customer), a.routeOf(req.Route)
	arrival := a.now - int64(max(req.Age, 0))
	a.addOfferedWork(c, time.Duration(req.Count)*r.mean)
	if a.canPredict() && req.Count > a.immediateSlots(c, r) {
		f := a.predictWait(c, r, req.Count, arrival)
		late := time.Duration(waitSafetyFactor*float64(f.last)) - (req.Deadline - a.runTimeAllowance(r, req.Deadline))
		if !a.hasEstimate(r) {
			late = 0
		}
		switch {
		case late > 0 && f.limitedByQuota:
			a.emitRefusal(req, QuotaExceeded, a.retryAfter(late))
			return false
		case late > 0:
			a.overload.active = a.overload.active || a.offeredLoad() > overloadLoad
			a.emitRefusal(req, Overloaded, a.retryAfter(late))
			return false
		case a.overload.active && !c.atQuota() && !a.withinShare(c) && f.first > a.delayLimit(r.mean):
			a.emitRefusal(req, Overloaded, a.retryAfter(f.first))
			return false
		}
	}
	if !a.makeRoom(c, req.Count-a.immediateSlots(c, r)) {
		a.emitRefusal(req, Overloaded, a.retryAfter(a.delay()))
		return false
	}
	return true
}

// immediateSlots returns the number of slots that a new request can get without waiting.
func (a *Allocator) immediateSlots(c *customer, r *routeState) int {
	if a.totals.weight > 0 {
		return 0
	}
	slots := a.free
	if c.quota > 0 {
		slots = min(slots, c.quota-c.inUse)
	}
	if r.class == long {
		limit := a.longLimit()
		slots = min(slots, limit-a.unreservedLongInUse, a.free-a.headroom())
	}
	return max(slots, 0)
}

// makeRoom refuses queued requests until count more tasks fit into the queue, and reports whether they do. It
// refuses requests that will miss their deadline first, then recent ones of the customer that exceeds its share of
// the queue most.
func (a *Allocator) makeRoom(c *customer, count int) bool {
	for count > 0 && a.queuedTasks+count > a.pool.QueueLimit {
		if req := a.firstToMissDeadline(); req != nil {
			a.refuse(req, Overloaded, a.retryAfter(a.delay()))
			continue
		}
		req := a.recentBeyondShare(c, count)
		if req == nil {
			return false
		}
		a.refuse(req, Overloaded, a.retryAfter(a.delay()))
	}
	return true
}

// firstToMissDeadline returns the request with the earliest latestStart if it is predicted to start after that time,
// or nil.
func (a *Allocator) firstToMissDeadline() *queuedRequest {
	req := a.byLatestStart.top()
	if req == nil || !a.canPredict() || a.capacity == 0 {
		return nil
	}
	wait := a.classWait(req.lane.customer, req.lane.route, req.arrival, 0)
	if addTime(a.now, wait) <= req.latestStart {
		return nil
	}
	return req
}

// recentBeyondShare returns a recent request of the customer with the most queued tasks per weight, or nil if that
// is the customer of the new request. The last item of a heap is one of the newer ones, but not always the newest.
func (a *Allocator) recentBeyondShare(c *customer, count int) *queuedRequest {
	if !a.options.Fairness {
		return nil
	}
	var heaviest *customer
	load := float64(c.queuedTasks()+count) / float64(c.weight)
	for _, other := range a.customers {
		if other == c || other.heads[spareSlots] == nil {
			continue
		}
		otherLoad := float64(other.queuedTasks()) / float64(other.weight)
		if otherLoad > load || (heaviest != nil && otherLoad == load && other.name < heaviest.name) {
			heaviest, load = other, otherLoad
		}
	}
	if heaviest == nil {
		return nil
	}
	d := &heaviest.demand[long]
	if d.lanes.len() == 0 || heaviest.demand[short].tasks > d.tasks {
		d = &heaviest.demand[short]
	}
	return d.lanes.last().requests.last()
}

func (c *customer) queuedTasks() int { return c.demand[short].tasks + c.demand[long].tasks }

// willMissDeadline reports whether a request for several slots can no longer get the last one in time.
// Granting only some of them would waste these slots.
func (a *Allocator) willMissDeadline(req *queuedRequest) bool {
	c, r := req.lane.customer, req.lane.route
	if req.granted > 0 || req.remaining <= a.free || !a.canPredict() || !a.hasEstimate(r) {
		return false
	}
	slots := a.capacity
	if r.class == long && req != c.heads[reservedSlots] {
		slots = a.longLimit()
	}
	rest := req.remaining - a.free
	wait := float64(a.slotTime(int64(rest)*int64(r.mean), rest)) / a.fairSlots(c, slots)
	return addTime(a.now, time.Duration(wait)) > req.latestStart
}

// canPredict reports whether waits are predicted: admission control is on and the warm-up is over.
func (a *Allocator) canPredict() bool {
	return a.options.Admission && a.now-a.warmUpStart >= int64(warmUpTime)
}

// isEmpty reports whether the pool has had no backend server for EmptyPoolWait.
func (a *Allocator) isEmpty() bool {
	return a.members == 0 && a.now-a.emptySince >= int64(a.pool.EmptyPoolWait)
}

// refuseIfEmpty refuses all queued requests if the pool is empty.
func (a *Allocator) refuseIfEmpty() {
	for a.isEmpty() && a.byLatestStart.len() > 0 {
		a.refuse(a.byLatestStart.top(), EmptyPool, a.retryAfter(a.pool.EmptyPoolWait))
	}
}

// retryAfter returns the delay after which a caller may retry, within fixed bounds. During an overload it
// grows with the offered load, so that retries do not increase the load.
func (a *Allocator) retryAfter(d time.Duration) time.Duration {
	if a.overload.active {
		d = max(d, time.Duration(a.offeredLoad()*float64(time.Second)))
	}
	return min(max(d, minRetryAfter), maxRetryAfter)
}

// emitRefusal emits the refusal of a request, which need not be in the queue.
func (a *Allocator) emitRefusal(req SlotRequest, reason Reason, retryAfter time.Duration) {
	a.refused[reason] += uint64(req.Count)
	a.actions = append(a.actions, Refusal{
		RequestID: req.ID, Owner: req.Owner, Count: req.Count, Reason: reason, RetryAfter: retryAfter,
	})
	a.record(event.Event{
		Number: event.AskRefused, Task: -1, Customer: req.Customer, Route: req.Route, State: string(reason),
		Peer: req.Owner, Count: req.Count,
	})
}
