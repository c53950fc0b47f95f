package allocator

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"dogwoodglade/core/event"
	"dogwoodglade/core/pool"
)

// sweepInterval is the time between the removals of stale servers, routes, customers and owners.
const sweepInterval = time.Second

// Allocator assigns the slots of one pool to slot requests. It is not safe for concurrent use.
type Allocator struct {
	self    string
	pool    pool.Pool
	options Options
	record  func(event.Event)
	actions []Action
	now     int64 // Unix time in nanoseconds; 0 before the first call

	// Grant IDs.
	prefix        string
	grantSequence uint64
	scratch       []byte

	// Queue.
	owners          map[string]*owner
	customers       map[string]*customer
	routes          map[string]*routeState
	poolEstimate    estimator
	meanOverhead    time.Duration // mean time between grant and release, less the run time
	byLatestStart   indexedHeap[*queuedRequest]
	requestSequence uint64
	queuedTasks     int
	queuedRequests  int

	// Fairness between customers.
	eligible    [tierCount]indexedHeap[*customer]
	promotions  indexedHeap[*customer]
	totals      totals
	virtualTime float64

	// Backend servers and their grants.
	servers     map[string]*server
	agents      map[string]map[string]*server
	byHeartbeat indexedHeap[*server]
	slots       slotIndex
	grants      map[string]*grant
	reclaimed   map[string]int64 // time at which each grant was ended without a release, by grant ID
	heartbeats  uint64
	members     int // servers that are present and not leaving, ejected ones included
	capacity    int // slots that may be granted
	free        int
	longInUse   int
	// unreservedLongInUse counts the grants of long work in unreserved slots.
	unreservedLongInUse int
	emptySince          int64
	warmUpStart         int64 // when the pool last got its first server, or the allocator started
	lastSweep           int64

	// Ejection and admission control.
	ejected        indexedHeap[*server]
	probing        indexedHeap[*server]
	failureRateSum float64 // over the members
	overload       overload

	granted, released, returned uint64
	refused                     map[Reason]uint64
}

// New returns an allocator for a pool, run by the entry named self, with default options.
func New(self string, p pool.Pool, record func(event.Event)) *Allocator {
	return NewWithOptions(self, p, record, DefaultOptions())
}

// NewWithOptions is like New, with the given options. A nil record discards the events.
func NewWithOptions(self string, p pool.Pool, record func(event.Event), options Options) *Allocator {
	if record == nil {
		record = func(event.Event) {}
	}
	a := &Allocator{
		self: self, pool: p.WithDefaults(), options: options, record: record,
		owners:        map[string]*owner{},
		customers:     map[string]*customer{},
		routes:        map[string]*routeState{},
		byLatestStart: newLatestStartHeap(),
		servers:       map[string]*server{},
		agents:        map[string]map[string]*server{},
		byHeartbeat:   newHeartbeatHeap(),
		grants:        map[string]*grant{},
		reclaimed:     map[string]int64{},
		ejected:       newEjectionHeap(func(s *server) *int { return &s.ejectedIndex }),
		probing:       newEjectionHeap(func(s *server) *int { return &s.probingIndex }),
		refused:       map[Reason]uint64{},
	}
	a.initFairness()
	return a
}

// SetPool applies a changed pool configuration.
func (a *Allocator) SetPool(now time.Time, p pool.Pool) []Action {
	a.advance(now)
	a.pool = p.WithDefaults()
	for _, s := range sortedServers(a.servers) {
		a.reindex(s)
	}
	a.limitEjected()
	for _, r := range a.routes {
		a.reclassify(r)
	}
	for _, c := range a.customers {
		c.weight, c.quota = a.pool.Share(c.name), a.pool.Quota(c.name)
		a.refresh(c)
	}
	return a.dispatch()
}

// RequestSlots queues a slot request, unless admission control refuses it. A request with the ID of a queued one
// replaces it.
func (a *Allocator) RequestSlots(now time.Time, req SlotRequest) []Action {
	admitted, granted := false, 0
	// A request for no more slots than remain of the old one needs no new admission.
	//
	// The old request is removed before advance, which may refuse it as expired: the owner would take this refusal
	// for one of the new request, which has the same ID.
	if old := a.ownerOf(req.Owner).requests[req.ID]; old != nil {
		admitted, granted = req.Count <= old.remaining && req.Deadline > 0, old.granted
		a.shrink(old, old.remaining)
	}
	a.advance(now)
	if req.Count > 0 && (admitted || a.admit(req)) {
		a.enqueue(req, granted)
	}
	return a.dispatch()
}

// Withdraw cancels the given number of a request's slots, or all that remain if count is 0.
func (a *Allocator) Withdraw(now time.Time, owner, id string, count int) []Action {
	a.advance(now)
	if o := a.owners[owner]; o != nil && o.requests[id] != nil && count >= 0 {
		req := o.requests[id]
		if count == 0 || count > req.remaining {
			count = req.remaining
		}
		a.shrink(req, count)
	}
	return a.dispatch()
}

// Return frees the slot of a grant that its owner did not use.
func (a *Allocator) Return(now time.Time, id string) []Action {
	a.advance(now)
	if g, ok := a.grants[id]; ok {
		a.returned++
		a.endGrant(g, 0)
		a.recordServer(event.SlotReturned, g.server, id)
	}
	return a.dispatch()
}

// Release frees the slot of a grant whose task ended, and updates the run time estimate of the route and the
// health of the server. It ignores unknown grants: the release is a duplicate or comes from a replaced
// incarnation of the server.
func (a *Allocator) Release(now time.Time, r Release) []Action {
	a.advance(now)
	g, ok := a.grants[r.Grant]
	if !ok {
		return a.dispatch()
	}
	a.released++
	route := g.route
	if route == nil && r.Route != "" {
		route = a.routeOf(r.Route)
	}
	if route != nil && r.RunTime > 0 {
		a.observeRunTime(route, r.Outcome, r.RunTime)
	}
	used := 0.0
	if r.Outcome != Unused {
		used = time.Duration(a.now - g.grantedAt).Seconds()
		a.observeOverhead(g, r.RunTime)
	}
	probe := g.probe
	a.endGrant(g, used)
	a.recordOutcome(g.server, r.Outcome, probe)
	a.record(event.Event{
		Number: event.SlotReleased, Task: -1, Route: r.Route, Peer: r.BackendServer, State: string(r.Outcome),
	})
	return a.dispatch()
}

// observeOverhead updates the mean time for which a slot is held beyond the run time, because of the messages
// before and after it.
func (a *Allocator) observeOverhead(g *grant, runTime time.Duration) {
	if g.route == nil || runTime <= 0 {
		return
	}
	overhead := min(max(time.Duration(a.now-g.grantedAt)-runTime, 0), overheadLimit)
	a.meanOverhead += time.Duration(float64(overhead-a.meanOverhead) * overheadWeight)
}

// endGrant frees the slot of a grant and charges its customer for the slot time used, in seconds.
func (a *Allocator) endGrant(g *grant, used float64) {
	a.adjustCharge(g, used)
	a.removeGrant(g)
	a.reindex(g.server)
}

// Announce updates a backend server from its agent's announcement and reconciles the grants listed in it.
func (a *Allocator) Announce(now time.Time, b BackendServer) []Action {
	a.advance(now)
	if s := a.applyAnnouncement(b); s != nil {
		a.reconcileGrants(s, b.Grants)
		a.reindex(s)
		a.limitEjected()
	}
	return a.dispatch()
}

// AgentLost makes the backend servers of an agent unavailable until they are announced again.
func (a *Allocator) AgentLost(now time.Time, agent string) []Action {
	a.advance(now)
	for _, s := range sortedServers(a.agents[agent]) {
		a.setPresent(s, false)
	}
	a.limitEjected()
	return a.dispatch()
}

// OwnerLost removes the requests of an entry. Its grants stay in use until the agents no longer list them.
func (a *Allocator) OwnerLost(now time.Time, name string) []Action {
	a.advance(now)
	if o, ok := a.owners[name]; ok {
		o.lostAt = a.now
		delete(a.owners, name)
		bySequence := func(x, y *queuedRequest) int { return cmp.Compare(x.sequence, y.sequence) }
		for _, req := range slices.SortedFunc(maps.Values(o.requests), bySequence) {
			a.shrink(req, req.remaining)
		}
	}
	return a.dispatch()
}

// Tick advances the clock and does the periodic work.
func (a *Allocator) Tick(now time.Time) []Action {
	a.advance(now)
	if a.options.Classes {
		a.reclassifyCold()
	}
	if a.now-a.lastSweep >= int64(sweepInterval) {
		a.lastSweep = a.now
		a.dropAbsentServers()
		a.dropIdle()
		a.recomputeFailureRateSum()
	}
	return a.dispatch()
}

// advance moves the clock, which never runs backwards, and applies all timeouts that have passed.
func (a *Allocator) advance(now time.Time) {
	if a.prefix == "" {
		a.initialise(now.UnixNano())
	}
	a.now = max(a.now, now.UnixNano())
	a.expireHeartbeats()
	a.startProbes()
	a.expire()
	a.refuseIfEmpty()
	a.promoteLongWork()
	a.updateOverload()
}

func (a *Allocator) initialise(now int64) {
	incarnation := a.options.Incarnation
	if incarnation == "" {
		incarnation = strconv.FormatInt(now, 36)
	}
	a.prefix = a.self + "/" + a.pool.Name + "/" + incarnation + "/"
	a.warmUpStart, a.emptySince, a.lastSweep, a.overload.decayedAt = now, now, now, now
	a.record(event.Event{Number: event.AllocatorStarted, Task: -1, State: a.pool.Name})
}

// dispatch grants free slots to queued requests, and returns the actions collected during the call.
func (a *Allocator) dispatch() []Action {
	for a.free > 0 {
		req, tier := a.next()
		if req == nil {
			break
		}
		if a.willMissDeadline(req) {
			a.refuse(req, Overloaded, a.retryAfter(a.delay()))
			continue
		}
		a.grantSlot(req, tier, a.slots.pick(req.avoid))
	}
	a.expire()
	actions := a.actions
	a.actions = nil
	return actions
}
