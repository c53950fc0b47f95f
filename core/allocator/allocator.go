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

// sweepInterval is the time between sweeps over everything that the allocator remembers.
const sweepInterval = time.Second

// Allocator decides which ask gets which slot of one pool. It is not safe for concurrent use.
type Allocator struct {
	self    string
	pool    pool.Pool
	options Options
	record  func(event.Event)
	actions []Action
	now     int64 // nanoseconds since 1970; 0 before the first call

	// Grant IDs.
	prefix        string
	grantSequence uint64
	scratch       []byte

	// Queue.
	owners    map[string]*owner
	customers map[string]*customer
	routes    map[string]*routeState
	overall   estimator
	overhead  time.Duration // mean time between grant and release that is not run time
	deadlines indexedHeap[*ask]
	sequence  uint64
	queued    int // tasks
	waiting   int // asks

	// Fairness between customers.
	eligible [accessCount]indexedHeap[*customer]
	ripening indexedHeap[*customer]
	total    total
	virtual  float64

	// Backend servers and their grants.
	servers    map[string]*server
	agents     map[string]map[string]*server
	silence    indexedHeap[*server]
	slots      slotIndex
	grants     map[string]*grant
	reclaimed  map[string]int64 // grants ended without a release, by time
	heartbeats uint64
	members    int // servers that are present and not leaving
	capacity   int // slots that may be granted
	free       int
	longInUse  int
	// limitedInUse counts the grants of long work in unreserved slots.
	limitedInUse int
	emptySince   int64
	warmSince    int64 // when the pool got its first server, or the allocator started
	sweptAt      int64

	// Ejection and admission control.
	ejected  indexedHeap[*server]
	probed   indexedHeap[*server]
	rateSum  float64 // of the servers' failure rates
	overload overload

	granted, released, returned uint64
	refused                     map[Reason]uint64
}

// New returns the allocator of a pool at the entry named self, with every mechanism on.
func New(self string, p pool.Pool, record func(event.Event)) *Allocator {
	return NewWithOptions(self, p, record, DefaultOptions())
}

// NewWithOptions returns an allocator with the given mechanisms.
func NewWithOptions(self string, p pool.Pool, record func(event.Event), options Options) *Allocator {
	if record == nil {
		record = func(event.Event) {}
	}
	a := &Allocator{
		self: self, pool: p.Defaults(), options: options, record: record,
		owners:    map[string]*owner{},
		customers: map[string]*customer{},
		routes:    map[string]*routeState{},
		deadlines: newDeadlineHeap(),
		servers:   map[string]*server{},
		agents:    map[string]map[string]*server{},
		silence:   newSilenceHeap(),
		grants:    map[string]*grant{},
		reclaimed: map[string]int64{},
		ejected:   newEjectedHeap(func(s *server) *int { return &s.ejectedAt }),
		probed:    newEjectedHeap(func(s *server) *int { return &s.probedAt }),
		refused:   map[Reason]uint64{},
	}
	a.initFairness()
	return a
}

// SetPool adopts a changed row of the pool.
func (a *Allocator) SetPool(now time.Time, p pool.Pool) []Action {
	a.advance(now)
	a.pool = p.Defaults()
	for _, s := range sortedServers(a.servers) {
		a.place(s)
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

// Ask adds the demand to the queue. An ask with the ID of one that waits replaces it.
func (a *Allocator) Ask(now time.Time, q Ask) []Action {
	admitted, granted := false, 0
	if old := a.ownerOf(q.Owner).asks[q.ID]; old != nil { // before it expires, which would end both
		admitted, granted = q.Count <= old.count && q.Deadline > 0, old.granted
		a.shrink(old, old.count)
	}
	a.advance(now)
	if q.Count > 0 && (admitted || a.admit(q)) {
		a.push(q, granted)
	}
	return a.dispatch()
}

// Withdraw takes back slots of an ask, or all that remain if count is 0.
func (a *Allocator) Withdraw(now time.Time, owner, id string, count int) []Action {
	a.advance(now)
	if o := a.owners[owner]; o != nil && o.asks[id] != nil && count >= 0 {
		k := o.asks[id]
		if count == 0 || count > k.count {
			count = k.count
		}
		a.shrink(k, count)
	}
	return a.dispatch()
}

// Return frees the slot of a grant that was not used.
func (a *Allocator) Return(now time.Time, id string) []Action {
	a.advance(now)
	if g, ok := a.grants[id]; ok {
		a.returned++
		a.end(g, 0)
		a.recordServer(event.SlotReturned, g.server, id)
	}
	return a.dispatch()
}

// Release frees the slot of a grant whose task ended, and learns from its outcome. Releases of unknown
// grants are duplicates, or belong to an incarnation that was replaced.
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
		a.observe(route, r.Outcome, r.RunTime)
	}
	used := 0.0
	if r.Outcome != Unused {
		used = time.Duration(a.now - g.at).Seconds()
		a.observeOverhead(g, r.RunTime)
	}
	probe := g.probe
	a.end(g, used)
	a.judge(g.server, r.Outcome, probe)
	a.record(event.Event{
		Number: event.SlotReleased, Task: -1, Route: r.Route, Peer: r.BackendServer, State: string(r.Outcome),
	})
	return a.dispatch()
}

// observeOverhead learns how long messages hold a slot before and after the run time.
func (a *Allocator) observeOverhead(g *grant, runTime time.Duration) {
	if g.route == nil || runTime <= 0 {
		return
	}
	extra := min(max(time.Duration(a.now-g.at)-runTime, 0), overheadLimit)
	a.overhead += time.Duration(float64(extra-a.overhead) * overheadWeight)
}

// end frees the slot of a grant that used the given slot time, in seconds.
func (a *Allocator) end(g *grant, used float64) {
	a.correct(g, used)
	a.detach(g)
	a.place(g.server)
}

// Announce adopts the state of a backend server and the grants that its agent lists.
func (a *Allocator) Announce(now time.Time, b BackendServer) []Action {
	a.advance(now)
	if s := a.adopt(b); s != nil {
		a.reconcile(s, b.Grants)
		a.place(s)
		a.limitEjected()
	}
	return a.dispatch()
}

// AgentLost takes the backend servers of an agent out until they are announced again.
func (a *Allocator) AgentLost(now time.Time, agent string) []Action {
	a.advance(now)
	for _, s := range sortedServers(a.agents[agent]) {
		a.setPresent(s, false)
	}
	a.limitEjected()
	return a.dispatch()
}

// OwnerLost drops the asks of an entry. Its grants stay in use until the agents no longer list them.
func (a *Allocator) OwnerLost(now time.Time, name string) []Action {
	a.advance(now)
	if o, ok := a.owners[name]; ok {
		o.lostAt = a.now
		delete(a.owners, name)
		bySequence := func(x, y *ask) int { return cmp.Compare(x.sequence, y.sequence) }
		for _, k := range slices.SortedFunc(maps.Values(o.asks), bySequence) {
			a.shrink(k, k.count)
		}
	}
	return a.dispatch()
}

// Tick lets time pass.
func (a *Allocator) Tick(now time.Time) []Action {
	a.advance(now)
	if a.options.Classes {
		a.reclassifyCold()
	}
	if a.now-a.sweptAt >= int64(sweepInterval) {
		a.sweptAt = a.now
		a.forgetServers()
		a.forgetIdle()
		a.sumRates()
	}
	return a.dispatch()
}

// advance moves the clock, which never runs backwards, and applies what falls due.
func (a *Allocator) advance(now time.Time) {
	if a.prefix == "" {
		a.start(now.UnixNano())
	}
	a.now = max(a.now, now.UnixNano())
	a.silenceServers()
	a.startProbes()
	a.expire()
	a.refuseEmpty()
	a.ripen()
	a.assess()
}

func (a *Allocator) start(now int64) {
	incarnation := a.options.Incarnation
	if incarnation == "" {
		incarnation = strconv.FormatInt(now, 36)
	}
	a.prefix = a.self + "/" + a.pool.Name + "/" + incarnation + "/"
	a.warmSince, a.emptySince, a.sweptAt, a.overload.at = now, now, now, now
	a.record(event.Event{Number: event.AllocatorStarted, Task: -1, State: a.pool.Name})
}

// dispatch grants free slots while there is work for them, and returns the actions of the call.
func (a *Allocator) dispatch() []Action {
	for a.free > 0 {
		k, level := a.next()
		if k == nil {
			break
		}
		if a.misses(k) {
			a.refuse(k, Overloaded, a.retryAfter(a.delay()))
			continue
		}
		a.grantSlot(k, level, a.slots.pick(k.avoid))
	}
	a.expire()
	actions := a.actions
	a.actions = nil
	return actions
}
