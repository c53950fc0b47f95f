package allocator

import (
	"math"
	"time"
)

const (
	// headroomDeviations of the number of running short tasks, taken as Poisson, are kept free for further
	// short work, up to the reserved number of slots.
	headroomDeviations = 3
	// patienceShare of its run time is what long work waits for a slot beyond that headroom. Free slots keep
	// short work from waiting; long work gains little from a start that much earlier.
	patienceShare = 0.25
	// backlogPatience is added for each second of queued long work per slot, so that an excess of long work
	// waits for its own slots.
	backlogPatience = 1.5
	// nominalRunTime is the charge for a task, in seconds, while no run time is known.
	nominalRunTime = 0.1
	// correctionLimit bounds the charge for a task in multiples of its estimate, so that a straggler does
	// not use up its customer's share.
	correctionLimit = 4
	// creditSeconds bounds how far a customer that could not be served falls behind the virtual time, in
	// seconds of the pool's capacity.
	creditSeconds = 0.4
)

// demand is the queued work of a customer in one class.
type demand struct {
	lanes indexedHeap[*lane]
	tasks int
	work  int64 // estimated run time of the tasks, in nanoseconds
}

// head returns the oldest ask, or nil.
func (d *demand) head() *ask {
	if d.lanes.len() == 0 {
		return nil
	}
	return d.lanes.top().asks.top()
}

// customer is what the allocator knows of a customer. Customers are served in the order of their virtual
// time, which grows with the slot time that they use divided by their weight.
type customer struct {
	name   string
	suffix [classCount]string // of grant IDs
	weight int
	quota  int // 0 is unlimited
	lanes  map[*routeState]*lane
	demand [classCount]demand
	inUse  int

	offered   float64 // recent work, in seconds of slot time at offeredAt
	offeredAt int64
	virtual   float64

	eligible bool // has work and is below its quota
	counted  total
	heads    [accessCount]*ask // the oldest ask with that access
	ripensAt int64             // when the oldest long work gets the next access

	accessAt   [accessCount]int // positions in heaps
	ripeningAt int
}

// access is what work may use of the free slots. Each kind of work that has one access has all before it.
type access int

const (
	// spareSlots are free beyond the headroom of short work. Any work may use them.
	spareSlots access = iota
	// unreservedSlots may be used by short work, and by long work that waited for a part of its run time.
	unreservedSlots
	// reservedSlots may be used by short work, and by long work that waited for LongMaxWait.
	reservedSlots
	accessCount
)

// total sums over customers. Weight, tasks and work are those of the eligible customers.
type total struct {
	weight int
	active int // weight of customers with work or grants
	tasks  [classCount]int
	work   [classCount]int64
}

func (t *total) add(other total, sign int) {
	t.weight += sign * other.weight
	t.active += sign * other.active
	for c := range classCount {
		t.tasks[c] += sign * other.tasks[c]
		t.work[c] += int64(sign) * other.work[c]
	}
}

func (t *total) allWork() int64 { return t.work[short] + t.work[long] }

func (t *total) allTasks() int { return t.tasks[short] + t.tasks[long] }

func (a *Allocator) customerOf(name string) *customer {
	c, ok := a.customers[name]
	if !ok {
		c = &customer{
			name: name,
			suffix: [classCount]string{
				short: shortMark + name,
				long:  longMark + name,
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

// initFairness makes a heap of customers for each access, in the order of virtual time, then of age.
func (a *Allocator) initFairness() {
	fair := a.options.Fairness
	for i := range a.eligible {
		a.eligible[i] = newHeap(func(x, y *customer) bool {
			if fair && x.virtual != y.virtual {
				return x.virtual < y.virtual
			}
			return x.heads[i].before(y.heads[i])
		}, func(c *customer) *int { return &c.accessAt[i] })
	}
	a.ripening = newHeap(func(x, y *customer) bool {
		if x.ripensAt != y.ripensAt {
			return x.ripensAt < y.ripensAt
		}
		return x.name < y.name
	}, func(c *customer) *int { return &c.ripeningAt })
}

// refresh renews the place of a customer among all customers after its queue or its grants changed.
func (a *Allocator) refresh(c *customer) {
	shortHead, longHead := c.demand[short].head(), c.demand[long].head()
	both := older(shortHead, longHead)
	c.heads = [accessCount]*ask{both, shortHead, shortHead}
	c.ripensAt = 0
	if longHead != nil {
		patience := a.patience(longHead.lane.route)
		for i, wait := range [...]time.Duration{unreservedSlots: patience, reservedSlots: a.pool.LongMaxWait} {
			if at := longHead.arrival + int64(wait); at <= a.now {
				c.heads[i] = both
			} else if c.ripensAt == 0 {
				c.ripensAt = at
			}
		}
	}
	eligible := both != nil && !c.atQuota()
	if eligible && !c.eligible {
		c.virtual = max(c.virtual, a.virtual)
	}
	c.eligible = eligible
	a.recount(c)
	for i := range a.eligible {
		a.eligible[i].set(c, eligible && c.heads[i] != nil)
	}
	a.ripening.set(c, c.ripensAt != 0)
}

// recount renews the customer's part in the totals.
func (a *Allocator) recount(c *customer) {
	a.total.add(c.counted, -1)
	c.counted = total{}
	if c.inUse > 0 || c.heads[spareSlots] != nil {
		c.counted.active = c.weight
	}
	if c.eligible {
		c.counted.weight = c.weight
		for i := range c.demand {
			c.counted.tasks[i], c.counted.work[i] = c.demand[i].tasks, c.demand[i].work
		}
	}
	a.total.add(c.counted, 1)
}

// patience is how long work of a long route waits for spare slots before it takes any unreserved one.
func (a *Allocator) patience(r *routeState) time.Duration {
	patience := patienceShare * float64(r.mean)
	if a.capacity > 0 {
		patience += backlogPatience * float64(a.total.work[long]) / float64(a.capacity)
	}
	return time.Duration(min(patience, float64(a.pool.LongMaxWait)))
}

func (c *customer) atQuota() bool { return c.quota > 0 && c.inUse >= c.quota }

func older(x, y *ask) *ask {
	if x == nil || (y != nil && y.before(x)) {
		return y
	}
	return x
}

// ripen gives long work the accesses that it has waited for.
func (a *Allocator) ripen() {
	for a.ripening.len() > 0 && a.ripening.top().ripensAt <= a.now {
		a.refresh(a.ripening.top())
	}
}

// next returns the ask that the next free slot goes to, or nil, and its access.
func (a *Allocator) next() (*ask, access) {
	level := reservedSlots
	switch {
	case a.limitedInUse >= a.longLimit():
	case a.free > a.headroom():
		level = spareSlots
	default:
		level = unreservedSlots
	}
	if c := a.eligible[level].top(); c != nil {
		return c.heads[level], level
	}
	return nil, level
}

// headroom is the number of slots to be kept free for the fluctuation of short work.
func (a *Allocator) headroom() int {
	return min(a.capacity-a.longLimit(), int(headroomDeviations*math.Sqrt(float64(a.shortInUse()))))
}

func (a *Allocator) shortInUse() int { return max(a.capacity-a.free-a.longInUse, 0) }

// longLimit is the number of slots that are not reserved for short work.
func (a *Allocator) longLimit() int {
	return a.capacity - int(float64(a.capacity)**a.pool.ReservedSlots)
}

// charge moves the customer's virtual time for a grant and returns the charge, in seconds.
func (a *Allocator) charge(c *customer, r *routeState) float64 {
	cost := r.mean.Seconds()
	if cost == 0 {
		cost = nominalRunTime
	}
	credit := creditSeconds * float64(a.capacity)
	c.virtual = max(c.virtual, a.virtual-credit)
	a.virtual = max(a.virtual, c.virtual)
	c.virtual += cost / float64(c.weight)
	return cost
}

// correct replaces the charge for a grant by the slot time that it used.
func (a *Allocator) correct(g *grant, used float64) {
	if g.customer != nil && g.charge > 0 {
		g.customer.virtual += (min(used, correctionLimit*g.charge) - g.charge) / float64(g.customer.weight)
	}
}

// forgetIdle drops customers and routes that carry no information.
func (a *Allocator) forgetIdle() {
	for _, r := range a.routes {
		if a.now-r.used > int64(routeRetention) && r.running == 0 && !r.queued() {
			for _, l := range r.lanes {
				delete(l.customer.lanes, r)
			}
			delete(a.routes, r.name)
		}
	}
	for _, c := range a.customers {
		if c.heads[spareSlots] == nil && c.inUse == 0 && c.virtual <= a.virtual {
			for r := range c.lanes {
				r.dropLane(c)
			}
			delete(a.customers, c.name)
		}
	}
	for _, o := range a.owners {
		if len(o.asks) == 0 && o.grants == 0 {
			delete(a.owners, o.name)
		}
	}
}

func (r *routeState) queued() bool {
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
