package allocator

import (
	"math"
	"time"
)

const (
	// headroomDeviations sets the headroom, the number of slots kept free for further short work: this many standard
	// deviations of the number of running short tasks, which is assumed to be Poisson distributed, but at most the
	// number of reserved slots.
	headroomDeviations = 3
	// spareWaitFraction is the time for which long work waits for a slot beyond the headroom before it may use the
	// headroom, as a fraction of its run time. Short work does not have to wait while the headroom is free, and long
	// work gains little from starting that much earlier.
	spareWaitFraction = 0.25
	// spareWaitPerBacklog is the additional wait, in seconds, for each second of queued long work per slot, so
	// that an excess of long work does not take the slots kept free for short work.
	spareWaitPerBacklog = 1.5
	// nominalRunTime is the charge for a task, in seconds, while there is no estimate of its run time.
	nominalRunTime = 0.1
	// maxChargeFactor limits the charge for a task to a multiple of its estimated run time, so that a straggler
	// does not use up its customer's share.
	maxChargeFactor = 4
	// maxCreditSeconds limits how far a customer that could not be served lags behind the pool's virtual time,
	// in seconds of the pool's capacity.
	maxCreditSeconds = 0.4
)

// demand is the queued work of a customer in one class.
type demand struct {
	lanes indexedHeap[*lane]
	tasks int
	work  int64 // estimated run time of the tasks, in nanoseconds
}

// head returns the oldest request, or nil.
func (d *demand) head() *queuedRequest {
	if d.lanes.len() == 0 {
		return nil
	}
	return d.lanes.top().requests.top()
}

// customer holds the queued work and the grants of a customer. Customers are served in the order of their
// virtual time, which grows by the slot time that they use divided by their weight.
type customer struct {
	name   string
	suffix [classCount]string // of its grant IDs, by class
	weight int
	quota  int // 0 is unlimited
	lanes  map[*routeState]*lane
	demand [classCount]demand
	inUse  int

	offeredWork float64 // recent work, in seconds of slot time, decayed up to offeredAt
	offeredAt   int64
	virtualTime float64

	eligible     bool // has queued work and is below its quota
	contribution totals
	heads        [tierCount]*queuedRequest // oldest request that may use a slot of the tier
	promoteAt    int64                     // when the oldest long work may use the next tier; 0 if it waits for none

	eligibleIndex  [tierCount]int // positions in heaps
	promotionIndex int
}

// slotTier ranks the free slots by who may use them. Work that may use a tier may also use those before it.
type slotTier int

const (
	// spareSlots are the slots beyond the headroom for short work. Any work may use them.
	spareSlots slotTier = iota
	// unreservedSlots may be used by short work, and by long work that has waited for spareSlotWait.
	unreservedSlots
	// reservedSlots may be used by short work, and by long work that has waited for LongMaxWait.
	reservedSlots
	tierCount
)

// totals holds sums over customers. Weight, tasks and work include only the eligible customers.
type totals struct {
	weight int
	active int // weight of customers with work or grants
	tasks  [classCount]int
	work   [classCount]int64
}

func (t *totals) add(other totals, sign int) {
	t.weight += sign * other.weight
	t.active += sign * other.active
	for c := range classCount {
		t.tasks[c] += sign * other.tasks[c]
		t.work[c] += int64(sign) * other.work[c]
	}
}

func (t *totals) allWork() int64 { return t.work[short] + t.work[long] }

func (t *totals) allTasks() int { return t.tasks[short] + t.tasks[long] }

func (a *Allocator) customerOf(name string) *customer {
	c, ok := a.customers[name]
	if !ok {
		c = &customer{
			name: name,
			suffix: [classCount]string{
				short: shortSeparator + name,
				long:  longSeparator + name,
			},
			weight: a.pool.Share(name),
			quota:  a.pool.Quota(name),
			lanes:  map[*routeState]*lane{},
		}
		for i := range c.demand {
			c.demand[i].lanes = newLaneHeap()
		}
		a.customers[name] = c
	}
	return c
}

// initFairness creates a heap of customers for each tier, ordered by virtual time, then by the age of the oldest
// request.
func (a *Allocator) initFairness() {
	fair := a.options.Fairness
	for i := range a.eligible {
		a.eligible[i] = newHeap(func(x, y *customer) bool {
			if fair && x.virtualTime != y.virtualTime {
				return x.virtualTime < y.virtualTime
			}
			return x.heads[i].before(y.heads[i])
		}, func(c *customer) *int { return &c.eligibleIndex[i] })
	}
	a.promotions = newHeap(func(x, y *customer) bool {
		if x.promoteAt != y.promoteAt {
			return x.promoteAt < y.promoteAt
		}
		return x.name < y.name
	}, func(c *customer) *int { return &c.promotionIndex })
}

// refresh updates a customer's heads, its positions in the heaps and its part of the totals after its queue or
// its grants changed.
func (a *Allocator) refresh(c *customer) {
	shortHead, longHead := c.demand[short].head(), c.demand[long].head()
	oldest := older(shortHead, longHead)
	c.heads = [tierCount]*queuedRequest{oldest, shortHead, shortHead}
	c.promoteAt = 0
	if longHead != nil {
		spareWait := a.spareSlotWait(longHead.lane.route)
		for i, wait := range [...]time.Duration{unreservedSlots: spareWait, reservedSlots: a.pool.LongMaxWait} {
			if at := longHead.arrival + int64(wait); at <= a.now {
				c.heads[i] = oldest
			} else if c.promoteAt == 0 {
				c.promoteAt = at
			}
		}
	}
	eligible := oldest != nil && !c.atQuota()
	if eligible && !c.eligible {
		c.virtualTime = max(c.virtualTime, a.virtualTime)
	}
	c.eligible = eligible
	a.updateTotals(c)
	for i := range a.eligible {
		a.eligible[i].set(c, eligible && c.heads[i] != nil)
	}
	a.promotions.set(c, c.promoteAt != 0)
}

// updateTotals updates the customer's part of the totals.
func (a *Allocator) updateTotals(c *customer) {
	a.totals.add(c.contribution, -1)
	c.contribution = totals{}
	if c.inUse > 0 || c.heads[spareSlots] != nil {
		c.contribution.active = c.weight
	}
	if c.eligible {
		c.contribution.weight = c.weight
		for i := range c.demand {
			c.contribution.tasks[i], c.contribution.work[i] = c.demand[i].tasks, c.demand[i].work
		}
	}
	a.totals.add(c.contribution, 1)
}

// spareSlotWait returns the time for which the work of a long route waits for a spare slot before it may use any
// unreserved one.
func (a *Allocator) spareSlotWait(r *routeState) time.Duration {
	wait := spareWaitFraction * float64(r.mean)
	if a.capacity > 0 {
		wait += spareWaitPerBacklog * float64(a.totals.work[long]) / float64(a.capacity)
	}
	return time.Duration(min(wait, float64(a.pool.LongMaxWait)))
}

func (c *customer) atQuota() bool { return c.quota > 0 && c.inUse >= c.quota }

func older(x, y *queuedRequest) *queuedRequest {
	if x == nil || (y != nil && y.before(x)) {
		return y
	}
	return x
}

// promoteLongWork gives long work access to the tiers for which it has waited long enough.
func (a *Allocator) promoteLongWork() {
	for a.promotions.len() > 0 && a.promotions.top().promoteAt <= a.now {
		a.refresh(a.promotions.top())
	}
}

// next returns the request that gets the next free slot, or nil, and the tier of that slot.
func (a *Allocator) next() (*queuedRequest, slotTier) {
	tier := reservedSlots
	switch {
	case a.unreservedLongInUse >= a.longLimit():
	case a.free > a.headroom():
		tier = spareSlots
	default:
		tier = unreservedSlots
	}
	if c := a.eligible[tier].top(); c != nil {
		return c.heads[tier], tier
	}
	return nil, tier
}

// headroom returns the number of slots to keep free for fluctuations of short work.
func (a *Allocator) headroom() int {
	return min(a.capacity-a.longLimit(), int(headroomDeviations*math.Sqrt(float64(a.shortInUse()))))
}

func (a *Allocator) shortInUse() int { return max(a.capacity-a.free-a.longInUse, 0) }

// longLimit returns the number of slots that are not reserved for short work.
func (a *Allocator) longLimit() int {
	return a.capacity - int(float64(a.capacity)**a.pool.ReservedSlots)
}

// charge advances the customer's virtual time by the estimated cost of a grant, and returns that cost in
// seconds.
func (a *Allocator) charge(c *customer, r *routeState) float64 {
	cost := r.mean.Seconds()
	if cost == 0 {
		cost = nominalRunTime
	}
	credit := maxCreditSeconds * float64(a.capacity)
	c.virtualTime = max(c.virtualTime, a.virtualTime-credit)
	a.virtualTime = max(a.virtualTime, c.virtualTime)
	c.virtualTime += cost / float64(c.weight)
	return cost
}

// adjustCharge replaces the estimated charge for a grant by the slot time used, in seconds.
func (a *Allocator) adjustCharge(g *grant, used float64) {
	if g.customer != nil && g.charge > 0 {
		g.customer.virtualTime += (min(used, maxChargeFactor*g.charge) - g.charge) / float64(g.customer.weight)
	}
}

// dropIdle removes routes that were not used for routeRetention, and customers and owners without requests or
// grants. A customer ahead of the pool's virtual time is kept, so that it does not lose its charge.
func (a *Allocator) dropIdle() {
	for _, r := range a.routes {
		if a.now-r.lastUsed > int64(routeRetention) && r.running == 0 && !r.hasQueuedTasks() {
			for _, l := range r.lanes {
				delete(l.customer.lanes, r)
			}
			delete(a.routes, r.name)
		}
	}
	for _, c := range a.customers {
		if c.heads[spareSlots] == nil && c.inUse == 0 && c.virtualTime <= a.virtualTime {
			for r := range c.lanes {
				r.dropLane(c)
			}
			delete(a.customers, c.name)
		}
	}
	for _, o := range a.owners {
		if len(o.requests) == 0 && o.grants == 0 {
			delete(a.owners, o.name)
		}
	}
}

func (r *routeState) hasQueuedTasks() bool {
	for _, l := range r.lanes {
		if l.tasks > 0 {
			return true
		}
	}
	return false
}

func (r *routeState) dropLane(c *customer) {
	for i, l := range r.lanes {
		if l.customer == c {
			r.lanes[i] = r.lanes[len(r.lanes)-1]
			r.lanes = r.lanes[:len(r.lanes)-1]
			return
		}
	}
}
