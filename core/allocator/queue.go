package allocator

import "time"

// owner is an entry that requests slots. An entry that reconnects gets a new owner value.
type owner struct {
	name     string
	requests map[string]*queuedRequest
	grants   int
	lostAt   int64 // 0 while the owner is connected
}

// queuedRequest is a slot request in the queue. Times are in nanoseconds since 1970.
type queuedRequest struct {
	id        string
	owner     *owner
	lane      *lane
	remaining int // slots not yet granted
	granted   int
	arrival   int64
	deadline  int64
	// latestStart is the time at which the request is refused, because a task that starts later misses the
	// deadline.
	latestStart int64
	avoid       []string
	sequence    uint64

	laneIndex, latestStartIndex int // positions in heaps
}

func (req *queuedRequest) before(other *queuedRequest) bool {
	if req.arrival != other.arrival {
		return req.arrival < other.arrival
	}
	return req.sequence < other.sequence
}

func newRequestHeap() indexedHeap[*queuedRequest] {
	return newHeap((*queuedRequest).before, func(req *queuedRequest) *int { return &req.laneIndex })
}

func newLatestStartHeap() indexedHeap[*queuedRequest] {
	return newHeap(
		func(a, b *queuedRequest) bool {
			if a.latestStart != b.latestStart {
				return a.latestStart < b.latestStart
			}
			return a.sequence < b.sequence
		},
		func(req *queuedRequest) *int { return &req.latestStartIndex })
}

// lane is the queue of one customer's requests for one route, oldest first. All of them have the route's class.
type lane struct {
	customer  *customer
	route     *routeState
	requests  indexedHeap[*queuedRequest]
	tasks     int
	heapIndex int // position in the customer's heap of lanes
}

func newLaneHeap() indexedHeap[*lane] {
	return newHeap(
		func(a, b *lane) bool { return a.requests.top().before(b.requests.top()) },
		func(l *lane) *int { return &l.heapIndex })
}

// laneOf returns the lane of a customer for a route, and creates it if needed.
func (a *Allocator) laneOf(c *customer, r *routeState) *lane {
	if l, ok := c.lanes[r]; ok {
		return l
	}
	l := &lane{customer: c, route: r, requests: newRequestHeap()}
	c.lanes[r] = l
	r.lanes = append(r.lanes, l)
	return l
}

// addWork adds the work of a lane to its customer's demand, and removeWork subtracts it again. The class and the
// mean run time of the route and the requests of the lane may change only while the work is not included.
func (c *customer) addWork(l *lane) {
	d := &c.demand[l.route.class]
	d.tasks += l.tasks
	d.work += int64(l.tasks) * int64(l.route.mean)
	d.lanes.set(l, l.requests.len() > 0)
}

func (c *customer) removeWork(l *lane) {
	d := &c.demand[l.route.class]
	d.tasks -= l.tasks
	d.work -= int64(l.tasks) * int64(l.route.mean)
	d.lanes.set(l, false)
}

// changeTasks changes the number of tasks of a lane without changing the order of its requests.
func (c *customer) changeTasks(l *lane, change int) {
	l.tasks += change
	d := &c.demand[l.route.class]
	d.tasks += change
	d.work += int64(change) * int64(l.route.mean)
}

func (a *Allocator) ownerOf(name string) *owner {
	o, ok := a.owners[name]
	if !ok {
		o = &owner{name: name, requests: map[string]*queuedRequest{}}
		a.owners[name] = o
	}
	return o
}

// enqueue adds a request to the queue. Granted is the number of its slots that were granted before.
func (a *Allocator) enqueue(req SlotRequest, granted int) {
	a.requestSequence++
	l := a.laneOf(a.customerOf(req.Customer), a.routeOf(req.Route))
	queued := &queuedRequest{
		id:        req.ID,
		owner:     a.ownerOf(req.Owner),
		lane:      l,
		remaining: req.Count,
		granted:   granted,
		arrival:   a.now - int64(max(req.Age, 0)),
		deadline:  addTime(a.now, req.Deadline),
		avoid:     req.Avoid,
		sequence:  a.requestSequence,
	}
	queued.latestStart = queued.deadline
	if a.options.Admission && a.hasEstimate(l.route) {
		queued.latestStart -= int64(a.medianRunTime(l.route))
	}
	l.customer.removeWork(l)
	l.requests.set(queued, true)
	l.tasks += queued.remaining
	l.customer.addWork(l)
	queued.owner.requests[queued.id] = queued
	a.byLatestStart.set(queued, true)
	a.queuedTasks += queued.remaining
	a.queuedRequests++
	a.refresh(l.customer)
}

// addTime adds a duration to a time and returns the latest possible time on overflow.
func addTime(now int64, d time.Duration) int64 {
	const latest = 1<<63 - 1
	if int64(d) > latest-now {
		return latest
	}
	return now + int64(d)
}

// shrink removes slots from a request, and removes the request from the queue when none remain.
func (a *Allocator) shrink(req *queuedRequest, slots int) {
	l := req.lane
	req.remaining -= slots
	a.queuedTasks -= slots
	if req.remaining > 0 {
		l.customer.changeTasks(l, -slots)
		a.refresh(l.customer)
		return
	}
	l.customer.removeWork(l)
	l.requests.set(req, false)
	l.tasks -= slots
	l.customer.addWork(l)
	delete(req.owner.requests, req.id)
	a.byLatestStart.set(req, false)
	a.queuedRequests--
	a.refresh(l.customer)
}

// refuse refuses the remaining slots of a queued request and removes it.
func (a *Allocator) refuse(req *queuedRequest, reason Reason, retryAfter time.Duration) {
	count := req.remaining
	a.emitRefusal(SlotRequest{
		ID: req.id, Owner: req.owner.name, Customer: req.lane.customer.name, Route: req.lane.route.name, Count: count,
	}, reason, retryAfter)
	a.shrink(req, count)
}

// expire refuses the requests whose latest start has passed.
func (a *Allocator) expire() {
	for a.byLatestStart.len() > 0 && a.byLatestStart.top().latestStart <= a.now {
		a.refuse(a.byLatestStart.top(), DeadlineExceeded, a.retryAfter(0))
	}
}
