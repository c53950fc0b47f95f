package allocator

import "time"

// owner is an entry that asks, in one connection to it. After its loss, a new value takes its place.
type owner struct {
	name   string
	asks   map[string]*ask
	grants int
	lostAt int64 // 0 while the owner is connected
}

// ask is a standing ask in the queue. Times are in nanoseconds since 1970.
type ask struct {
	id       string
	owner    *owner
	lane     *lane
	count    int // slots still wanted
	granted  int
	arrival  int64
	deadline int64
	// latestStart is when the ask is refused because a task that starts later misses the deadline.
	latestStart int64
	avoid       []string
	sequence    uint64

	laneAt, deadlineAt int // positions in heaps
}

func (k *ask) before(other *ask) bool {
	if k.arrival != other.arrival {
		return k.arrival < other.arrival
	}
	return k.sequence < other.sequence
}

func newAskHeap() indexedHeap[*ask] {
	return newHeap((*ask).before, func(k *ask) *int { return &k.laneAt })
}

func newDeadlineHeap() indexedHeap[*ask] {
	return newHeap(
		func(a, b *ask) bool {
			if a.latestStart != b.latestStart {
				return a.latestStart < b.latestStart
			}
			return a.sequence < b.sequence
		},
		func(k *ask) *int { return &k.deadlineAt })
}

// lane holds the asks of one customer for one route, oldest first. All of them have the route's class.
type lane struct {
	customer *customer
	route    *routeState
	asks     indexedHeap[*ask]
	tasks    int
	at       int // position in the customer's heap of lanes
}

func newLaneHeap() indexedHeap[*lane] {
	return newHeap(
		func(a, b *lane) bool { return a.asks.top().before(b.asks.top()) },
		func(l *lane) *int { return &l.at })
}

// laneOf returns the lane of a customer for a route.
func (a *Allocator) laneOf(c *customer, r *routeState) *lane {
	if l, ok := c.lanes[r]; ok {
		return l
	}
	l := &lane{customer: c, route: r, asks: newAskHeap()}
	c.lanes[r] = l
	r.lanes = append(r.lanes, l)
	return l
}

// count adds the work of the lane to its customer's demand; uncount takes it out again. The lane may
// only change between the two.
func (c *customer) count(l *lane) {
	d := &c.demand[l.route.class]
	d.tasks += l.tasks
	d.work += int64(l.tasks) * int64(l.route.mean)
	d.lanes.set(l, l.asks.len() > 0)
}

func (c *customer) uncount(l *lane) {
	d := &c.demand[l.route.class]
	d.tasks -= l.tasks
	d.work -= int64(l.tasks) * int64(l.route.mean)
	d.lanes.set(l, false)
}

// resize changes the number of tasks of a lane whose order of asks stays the same.
func (c *customer) resize(l *lane, change int) {
	l.tasks += change
	d := &c.demand[l.route.class]
	d.tasks += change
	d.work += int64(change) * int64(l.route.mean)
}

func (a *Allocator) ownerOf(name string) *owner {
	o, ok := a.owners[name]
	if !ok {
		o = &owner{name: name, asks: map[string]*ask{}}
		a.owners[name] = o
	}
	return o
}

// push puts the demand into the queue. Some of its slots may have been granted before.
func (a *Allocator) push(q Ask, granted int) {
	a.sequence++
	l := a.laneOf(a.customerOf(q.Customer), a.routeOf(q.Route))
	k := &ask{
		id:       q.ID,
		owner:    a.ownerOf(q.Owner),
		lane:     l,
		count:    q.Count,
		granted:  granted,
		arrival:  a.now - int64(max(q.Age, 0)),
		deadline: addTime(a.now, q.Deadline),
		avoid:    q.Avoid,
		sequence: a.sequence,
	}
	k.latestStart = k.deadline
	if a.options.Admission && a.known(l.route) {
		k.latestStart -= int64(a.median(l.route))
	}
	l.customer.uncount(l)
	l.asks.set(k, true)
	l.tasks += k.count
	l.customer.count(l)
	k.owner.asks[k.id] = k
	a.deadlines.set(k, true)
	a.queued += k.count
	a.waiting++
	a.refresh(l.customer)
}

// addTime adds a duration to a time without overflow.
func addTime(now int64, d time.Duration) int64 {
	const latest = 1<<63 - 1
	if int64(d) > latest-now {
		return latest
	}
	return now + int64(d)
}

// shrink lowers the count of an ask and removes the ask when nothing of it remains.
func (a *Allocator) shrink(k *ask, by int) {
	l := k.lane
	k.count -= by
	a.queued -= by
	if k.count > 0 {
		l.customer.resize(l, -by)
		a.refresh(l.customer)
		return
	}
	l.customer.uncount(l)
	l.asks.set(k, false)
	l.tasks -= by
	l.customer.count(l)
	delete(k.owner.asks, k.id)
	a.deadlines.set(k, false)
	a.waiting--
	a.refresh(l.customer)
}

// refuse ends an ask in the queue.
func (a *Allocator) refuse(k *ask, why Reason, retryAfter time.Duration) {
	count := k.count
	a.refuseAsk(Ask{
		ID: k.id, Owner: k.owner.name, Customer: k.lane.customer.name, Route: k.lane.route.name, Count: count,
	}, why, retryAfter)
	a.shrink(k, count)
}

// expire refuses the asks that can no longer meet their deadline.
func (a *Allocator) expire() {
	for a.deadlines.len() > 0 && a.deadlines.top().latestStart <= a.now {
		a.refuse(a.deadlines.top(), DeadlineExceeded, a.retryAfter(0))
	}
}
