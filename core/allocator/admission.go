package allocator

import (
	"math"
	"time"

	"dogwoodglade/core/event"
)

const (
	// warmUp follows the first call and the return of an empty pool: a new allocator learns its capacity
	// from the first heartbeat of each agent, and predicts nothing before that.
	warmUp = time.Second

	// overloadDelay and overloadAfter define an overload: the delay stays above the one for the other, or
	// deadlines cannot be met. Jobs of many tasks cause such a delay for a moment at a moderate load.
	overloadDelay = 400 * time.Millisecond
	overloadAfter = 1000 * time.Millisecond
	// overloadDemand is the offered load above which a delay counts as overload.
	overloadDemand = 1.5
	// overloadHold is the delay allowed in an overload. It keeps the slots busy, lets short deadlines be
	// met, and drains within 1 s at 80% load.
	overloadHold = 150 * time.Millisecond
	// askDelays is the delay allowed in an overload in multiples of the delay by one ask: demand in few
	// large jobs needs a longer queue to keep the slots busy until the next job.
	askDelays = 1.5
	// recoveredShare of the allowed delay, at an offered load of at most recoveredDemand, ends an overload.
	recoveredShare  = 0.25
	recoveredDemand = 1.1
	// demandWindow is the time constant of the offered load.
	demandWindow = 2 * time.Second

	// leastLongShare of the unreserved slots is what long work gets, by its age, however much short work there
	// is.
	leastLongShare = 0.25

	// waitMargin allows for run times that turn out longer than predicted.
	waitMargin = 1.2

	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	// overheadLimit bounds the time between grant and release that is not run time.
	overheadLimit = 50 * time.Millisecond
	// overheadWeight is the weight of the latest grant in the mean of that time.
	overheadWeight = 1.0 / 64
)

// overload detects a demand beyond the capacity that lasts.
type overload struct {
	demand     float64 // offered work, in seconds of slot time, decayed with demandWindow
	squares    float64 // sum of the squares of the asks' work, decayed likewise
	at         int64   // of the latest decay
	aboveSince int64   // 0 while the delay is short
	active     bool
}

// forecast is the predicted wait of an ask.
type forecast struct {
	ahead time.Duration // until its first slot, as far as other work delays it
	last  time.Duration // until its last slot
	quota bool          // the customer's quota decides, not the demand
}

// offer counts the work of a new ask.
func (a *Allocator) offer(c *customer, work time.Duration) {
	a.decayDemand()
	a.overload.demand += work.Seconds()
	a.overload.squares += work.Seconds() * work.Seconds()
	c.offered, c.offeredAt = a.offeredBy(c)+work.Seconds(), a.now
}

// offeredBy is the recent work of a customer, in seconds of slot time, decayed with demandWindow.
func (a *Allocator) offeredBy(c *customer) float64 {
	return c.offered * math.Exp(-float64(a.now-c.offeredAt)/float64(demandWindow))
}

// withinShare reports whether the customer offers no more work than its part of the slots can serve. Such a
// customer does not cause the overload, and its work is refused only if it would miss its deadline.
func (a *Allocator) withinShare(c *customer) bool {
	return a.options.Fairness && a.offeredBy(c)/demandWindow.Seconds() <= a.slotsFor(c, a.capacity)
}

func (a *Allocator) decayDemand() {
	o := &a.overload
	if elapsed := a.now - o.at; elapsed > 0 {
		decay := math.Exp(-float64(elapsed) / float64(demandWindow))
		o.demand *= decay
		o.squares *= decay
		o.at = a.now
	}
}

// delay is the time until the queue is served at the present capacity.
func (a *Allocator) delay() time.Duration {
	if a.capacity == 0 {
		return 0
	}
	return a.slotTime(a.total.allWork(), a.total.allTasks()) / time.Duration(a.capacity)
}

// slotTime is the time that work holds slots, with the messages before and after.
func (a *Allocator) slotTime(work int64, tasks int) time.Duration {
	return time.Duration(work) + time.Duration(tasks)*a.overhead
}

// assess renews the overload state.
func (a *Allocator) assess() {
	a.decayDemand()
	o := &a.overload
	delay := a.delay()
	if o.active {
		o.active = a.offered() > recoveredDemand || float64(delay) > recoveredShare*float64(a.delayLimit(a.overall.mean))
		o.aboveSince = 0
		return
	}
	switch {
	case delay <= max(overloadDelay, a.delayLimit(a.overall.mean)):
		o.aboveSince = 0
	case o.aboveSince == 0:
		o.aboveSince = a.now
	case a.now-o.aboveSince >= int64(overloadAfter):
		o.active = a.offered() > overloadDemand
	}
}

// offered is the offered load as a multiple of the capacity.
func (a *Allocator) offered() float64 {
	return a.overload.demand / demandWindow.Seconds() / float64(max(a.capacity, 1))
}

// delayLimit is the delay allowed in an overload. Work that runs longer needs a longer queue to keep the
// slots busy.
func (a *Allocator) delayLimit(mean time.Duration) time.Duration {
	limit := max(overloadHold, mean/2)
	if o := &a.overload; o.demand > 0 && a.capacity > 0 {
		perAsk := o.squares / o.demand / float64(a.capacity) // weighted by work
		limit = max(limit, time.Duration(askDelays*perAsk*float64(time.Second)))
	}
	return limit
}

// predict forecasts the wait of an ask that is not in the queue.
func (a *Allocator) predict(c *customer, r *routeState, count int, arrival int64) forecast {
	if a.capacity == 0 {
		return forecast{}
	}
	rest := max(count-a.atOnce(c, r), 0)
	own := a.slotTime(r.mean.Nanoseconds()*int64(rest), rest)
	var f forecast
	f.ahead = a.classWait(c, r, arrival, 0)
	f.last = a.classWait(c, r, arrival, own)
	if c.quota > 0 && count > c.quota-c.inUse {
		work := a.slotTime(c.demand[short].work+c.demand[long].work, c.demand[short].tasks+c.demand[long].tasks)
		work = time.Duration(float64(work) * c.olderShare(a.now, arrival))
		mine := max(count-max(c.quota-c.inUse, 0), 0)
		bound := (work + a.slotTime(r.mean.Nanoseconds()*int64(mine), mine)) / time.Duration(c.quota)
		if bound > f.last {
			f.last, f.quota = bound, true
		}
	}
	return f
}

// classWait is the wait for the work ahead of an ask and for own work of the ask itself. Short work waits
// for all work or, in the reserved slots, for short work. Long work waits for all work and, in the
// unreserved slots that short work leaves to it, for long work, until it has waited for LongMaxWait.
func (a *Allocator) classWait(c *customer, r *routeState, arrival int64, own time.Duration) time.Duration {
	unreserved := a.longLimit()
	all := a.shareWait(c, arrival, own, a.capacity, short, long)
	if r.class == long {
		untilAged := max(a.pool.LongMaxWait-time.Duration(a.now-arrival), 0)
		slots := max(unreserved-a.shortInUse(), int(leastLongShare*float64(unreserved)))
		return min(max(all, a.shareWait(c, arrival, own, slots, long, long)), all+untilAged)
	}
	if reserved := a.capacity - unreserved; reserved > 0 {
		return min(all, a.shareWait(c, arrival, own, reserved, short, short))
	}
	return all
}

// shareWait is the time that the customer's part of the given number of slots needs for its work of a
// range of classes. Without fairness, all customers' work is one queue.
func (a *Allocator) shareWait(
	c *customer, arrival int64, own time.Duration, slots int, from, to class,
) time.Duration {
	var total, mine time.Duration
	for i := from; i <= to; i++ {
		total += a.slotTime(a.total.work[i], a.total.tasks[i])
		mine += a.slotTime(c.demand[i].work, c.demand[i].tasks)
	}
	if !a.options.Fairness {
		older := 1.0
		if first := a.eligible[spareSlots].top(); first != nil {
			older = olderShare(first.heads[spareSlots].arrival, a.now, arrival)
		}
		return time.Duration((float64(total)*older + float64(own)) / float64(max(slots, 1)))
	}
	return time.Duration((float64(mine)*c.olderShare(a.now, arrival) + float64(own)) / a.slotsFor(c, slots))
}

// slotsFor is the part of the slots that a customer gets when it waits: its share, or what the others do
// not use if that is more.
func (a *Allocator) slotsFor(c *customer, slots int) float64 {
	active := a.total.active
	if c.counted.active == 0 {
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

// olderShare is the estimated share of the customer's queue that is older than an arrival.
func (c *customer) olderShare(now, arrival int64) float64 {
	if c.heads[spareSlots] == nil {
		return 1
	}
	return olderShare(c.heads[spareSlots].arrival, now, arrival)
}

func olderShare(oldest, now, arrival int64) float64 {
	if arrival >= now {
		return 1
	}
	return float64(max(arrival-oldest, 0)) / float64(now-oldest)
}

// admit decides whether an ask may wait. It refuses the ask, or other work in favour of it, as needed.
func (a *Allocator) admit(q Ask) bool {
	switch {
	case q.Deadline <= 0:
		a.refuseAsk(q, DeadlineExceeded, a.retryAfter(0))
		return false
	case a.isEmpty():
		a.refuseAsk(q, EmptyPool, a.retryAfter(a.pool.EmptyPoolWait))
		return false
	}
	c, r := a.customerOf(q.Customer), a.routeOf(q.Route)
	arrival := a.now - int64(max(q.Age, 0))
	a.offer(c, time.Duration(q.Count)*r.mean)
	if a.predicts() && q.Count > a.atOnce(c, r) {
		f := a.predict(c, r, q.Count, arrival)
		late := time.Duration(waitMargin*float64(f.last)) - (q.Deadline - a.allowance(r, q.Deadline))
		if !a.known(r) {
			late = 0
		}
		switch {
		case late > 0 && f.quota:
			a.refuseAsk(q, QuotaExceeded, a.retryAfter(late))
			return false
		case late > 0:
			a.overload.active = a.overload.active || a.offered() > overloadDemand
			a.refuseAsk(q, Overloaded, a.retryAfter(late))
			return false
		case a.overload.active && !c.atQuota() && !a.withinShare(c) && f.ahead > a.delayLimit(r.mean):
			a.refuseAsk(q, Overloaded, a.retryAfter(f.ahead))
			return false
		}
	}
	if !a.makeRoom(c, q.Count-a.atOnce(c, r)) {
		a.refuseAsk(q, Overloaded, a.retryAfter(a.delay()))
		return false
	}
	return true
}

// atOnce is the number of slots that new work can get without a wait.
func (a *Allocator) atOnce(c *customer, r *routeState) int {
	if a.total.weight > 0 {
		return 0
	}
	slots := a.free
	if c.quota > 0 {
		slots = min(slots, c.quota-c.inUse)
	}
	if r.class == long {
		limit := a.longLimit()
		slots = min(slots, limit-a.limitedInUse, a.free-a.headroom())
	}
	return max(slots, 0)
}

// makeRoom keeps the queue within its limit. Work that misses its deadline is refused first, then the
// youngest work of the customer that exceeds its share of the queue most.
func (a *Allocator) makeRoom(c *customer, count int) bool {
	for count > 0 && a.queued+count > a.pool.QueueLimit {
		if k := a.doomed(); k != nil {
			a.refuse(k, Overloaded, a.retryAfter(a.delay()))
			continue
		}
		k := a.youngestBeyondShare(c, count)
		if k == nil {
			return false
		}
		a.refuse(k, Overloaded, a.retryAfter(a.delay()))
	}
	return true
}

// doomed returns the ask with the earliest latest start if its predicted wait exceeds that.
func (a *Allocator) doomed() *ask {
	k := a.deadlines.top()
	if k == nil || !a.predicts() || a.capacity == 0 {
		return nil
	}
	wait := a.classWait(k.lane.customer, k.lane.route, k.arrival, 0)
	if addTime(a.now, wait) <= k.latestStart {
		return nil
	}
	return k
}

// youngestBeyondShare returns a young ask of the customer with the most queued tasks for its weight, or nil
// if that is the customer of the new ask.
func (a *Allocator) youngestBeyondShare(c *customer, count int) *ask {
	if !a.options.Fairness {
		return nil
	}
	var most *customer
	load := float64(c.tasks()+count) / float64(c.weight)
	for _, other := range a.customers {
		if other == c || other.heads[spareSlots] == nil {
			continue
		}
		l := float64(other.tasks()) / float64(other.weight)
		if l > load || (most != nil && l == load && other.name < most.name) {
			most, load = other, l
		}
	}
	if most == nil {
		return nil
	}
	d := &most.demand[long]
	if d.lanes.len() == 0 || most.demand[short].tasks > d.tasks {
		d = &most.demand[short]
	}
	return d.lanes.last().asks.last()
}

func (c *customer) tasks() int { return c.demand[short].tasks + c.demand[long].tasks }

// misses reports whether an ask of several tasks can no longer get its last slot in time. Granting only a
// part of it would waste the slots.
func (a *Allocator) misses(k *ask) bool {
	c, r := k.lane.customer, k.lane.route
	if k.granted > 0 || k.count <= a.free || !a.predicts() || !a.known(r) {
		return false
	}
	slots := a.capacity
	if r.class == long && k != c.heads[reservedSlots] {
		slots = a.longLimit()
	}
	rest := k.count - a.free
	wait := float64(a.slotTime(int64(rest)*int64(r.mean), rest)) / a.slotsFor(c, slots)
	return addTime(a.now, time.Duration(wait)) > k.latestStart
}

// predicts reports whether waits are predicted now.
func (a *Allocator) predicts() bool {
	return a.options.Admission && a.now-a.warmSince >= int64(warmUp)
}

// isEmpty reports whether the pool had no backend server for EmptyPoolWait.
func (a *Allocator) isEmpty() bool {
	return a.members == 0 && a.now-a.emptySince >= int64(a.pool.EmptyPoolWait)
}

// refuseEmpty refuses everything in the queue of an empty pool.
func (a *Allocator) refuseEmpty() {
	for a.isEmpty() && a.deadlines.len() > 0 {
		a.refuse(a.deadlines.top(), EmptyPool, a.retryAfter(a.pool.EmptyPoolWait))
	}
}

// retryAfter bounds the advice when to try again. In an overload, it grows with the offered load, so that
// repeated submissions do not add to it.
func (a *Allocator) retryAfter(d time.Duration) time.Duration {
	if a.overload.active {
		d = max(d, time.Duration(a.offered()*float64(time.Second)))
	}
	return min(max(d, minRetryAfter), maxRetryAfter)
}

func (a *Allocator) refuseAsk(q Ask, why Reason, retryAfter time.Duration) {
	a.refused[why] += uint64(q.Count)
	a.actions = append(a.actions, Refuse{
		Ask: q.ID, Owner: q.Owner, Count: q.Count, Reason: why, RetryAfter: retryAfter,
	})
	a.record(event.Event{
		Number: event.AskRefused, Task: -1, Customer: q.Customer, Route: q.Route, State: string(why),
		Peer: q.Owner, Count: q.Count,
	})
}
