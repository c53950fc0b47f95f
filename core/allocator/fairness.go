package allocator

const (
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
	name    string
	suffix  [classCount]string // of grant IDs
	weight  int
	quota   int // 0 is unlimited
	lanes   map[*routeState]*lane
	demand  [classCount]demand
	inUse   int
	virtual float64

	eligible bool // has work and is below its quota
	counted  total
	head     *ask // the oldest ask
	reserved *ask // the oldest ask that may use reserved slots
	longHead *ask // the oldest ask of long work

	eligibleAt, reservedAt, agingAt int // positions in heaps
}

// total sums the demand of the eligible customers.
type total struct {
	weight int
	tasks  [classCount]int
	work   [classCount]int64
}

func (t *total) add(other total, sign int) {
	t.weight += sign * other.weight
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

// customerHeap orders customers by virtual time, then by the age of the ask that the heap is about.
func (a *Allocator) customerHeap(of func(*customer) *ask, at func(*customer) *int) indexedHeap[*customer] {
	fair := a.options.Fairness
	return newHeap(func(x, y *customer) bool {
		if fair && x.virtual != y.virtual {
			return x.virtual < y.virtual
		}
		return of(x).before(of(y))
	}, at)
}

func (a *Allocator) initFairness() {
	a.eligible = a.customerHeap(
		func(c *customer) *ask { return c.head },
		func(c *customer) *int { return &c.eligibleAt })
	a.reserved = a.customerHeap(
		func(c *customer) *ask { return c.reserved },
		func(c *customer) *int { return &c.reservedAt })
	a.aging = newHeap(
		func(x, y *customer) bool { return x.longHead.before(y.longHead) },
		func(c *customer) *int { return &c.agingAt })
}

// refresh renews the place of a customer among all customers after its queue or its grants changed.
func (a *Allocator) refresh(c *customer) {
	shortHead, longHead := c.demand[short].head(), c.demand[long].head()
	aged := longHead != nil && a.now-longHead.arrival >= int64(a.pool.LongMaxWait)
	c.head, c.longHead = older(shortHead, longHead), longHead
	c.reserved = shortHead
	if aged {
		c.reserved = c.head
	}
	eligible := c.head != nil && !c.atQuota()
	if eligible && !c.eligible {
		c.virtual = max(c.virtual, a.virtual)
	}
	c.eligible = eligible
	a.total.add(c.counted, -1)
	c.counted = total{}
	if eligible {
		c.counted = total{weight: c.weight}
		for i := range c.demand {
			c.counted.tasks[i], c.counted.work[i] = c.demand[i].tasks, c.demand[i].work
		}
	}
	a.total.add(c.counted, 1)
	a.eligible.set(c, eligible)
	a.reserved.set(c, eligible && c.reserved != nil)
	a.aging.set(c, longHead != nil && !aged)
}

func (c *customer) atQuota() bool { return c.quota > 0 && c.inUse >= c.quota }

func older(x, y *ask) *ask {
	if x == nil || (y != nil && y.before(x)) {
		return y
	}
	return x
}

// age lets long work that waited for LongMaxWait use reserved slots.
func (a *Allocator) age() {
	for a.aging.len() > 0 {
		c := a.aging.top()
		if a.now-c.longHead.arrival < int64(a.pool.LongMaxWait) {
			return
		}
		a.refresh(c)
	}
}

// next returns the ask that the next free slot goes to, or nil. When the unreserved slots are used up by
// long work, only short and aged work remains.
func (a *Allocator) next() *ask {
	if a.longInUse < a.longLimit() {
		if c := a.eligible.top(); c != nil {
			return c.head
		}
		return nil
	}
	if c := a.reserved.top(); c != nil {
		return c.reserved
	}
	return nil
}

// longLimit is the number of slots that long work may use.
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
		if c.head == nil && c.inUse == 0 && c.virtual <= a.virtual {
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
