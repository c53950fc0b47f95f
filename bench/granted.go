package bench

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"dogwoodglade/core/allocator"
	"dogwoodglade/core/event"
	"dogwoodglade/core/pool"
)

// Periods and time-outs of the processes around the allocator (docs/design.md, sections 3, 4 and 12).
const (
	tickPeriod      = 50 * time.Millisecond
	heartbeatPeriod = 500 * time.Millisecond
	silenceLimit    = time.Second // after which entries replace an allocator
)

// benchPool and emptyPool are the pools of the traces. No backend server announces itself for emptyPool.
const (
	benchPool = "bench"
	emptyPool = "empty"
)

// origin is the start of simulated time.
var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// granted is the policy of the project: the decision code of core/allocator at one entry, with owners that
// ask and agents that release.
type granted struct {
	w       *world
	options allocator.Options
	entry   int                             // the allocator's entry
	pools   map[string]*allocator.Allocator // nil while no entry is the allocator
	epoch   int                             // grows with each allocator; messages to an earlier one are lost
	asks    map[string]*ask
	byJob   map[*job][]*ask
	lastID  int
}

// ask is a demand of an owner with the tasks that wait for its grants.
type ask struct {
	id    string
	job   *job
	tasks []*work
	avoid []string
}

func (a *ask) pool() string {
	if a.job.never {
		return emptyPool
	}
	return benchPool
}

func newGranted(options allocator.Options) func(*world) policy {
	return func(w *world) policy {
		g := &granted{w: w, options: options, asks: map[string]*ask{}, byJob: map[*job][]*ask{}}
		g.createAllocators()
		for _, s := range w.servers {
			g.act(benchPool, func(a *allocator.Allocator) []allocator.Action {
				return a.Announce(g.now(), g.describe(s)) // the pool is known when the trace begins
			})
			first := heartbeatPeriod * time.Duration(s.index+1) / time.Duration(len(w.servers))
			w.every(first, heartbeatPeriod, func() { g.heartbeat(s) })
		}
		w.every(tickPeriod, tickPeriod, func() {
			for _, name := range []string{benchPool, emptyPool} {
				g.act(name, func(a *allocator.Allocator) []allocator.Action { return a.Tick(g.now()) })
			}
		})
		if at := w.trace.fault.allocatorLostAt; at > 0 {
			w.after(at, g.loseAllocators)
		}
		return g
	}
}

func entryName(index int) string { return "entry-" + strconv.Itoa(index) }

func (g *granted) now() time.Time { return origin.Add(g.w.now) }

func (g *granted) createAllocators() {
	g.pools = map[string]*allocator.Allocator{}
	for _, name := range []string{benchPool, emptyPool} {
		g.pools[name] = allocator.NewWithOptions(entryName(g.entry), pool.New(name), func(event.Event) {}, g.options)
	}
}

// loseAllocators stops the entry that is the allocator. The others notice its silence, the next entry takes
// its place, and the owners ask again.
func (g *granted) loseAllocators() {
	g.pools = nil
	g.epoch++
	g.w.after(silenceLimit, func() {
		g.entry = (g.entry + 1) % g.w.site.entries
		g.createAllocators()
		for _, id := range slices.Sorted(maps.Keys(g.asks)) {
			g.send(g.asks[id])
		}
	})
}

// act calls the allocator of a pool and delivers the actions that it returns.
func (g *granted) act(name string, call func(*allocator.Allocator) []allocator.Action) {
	if g.pools == nil {
		return
	}
	for _, action := range call(g.pools[name]) {
		switch action := action.(type) {
		case allocator.Grant:
			g.between(action.Owner, func() { g.granted(name, action) })
		case allocator.Refusal:
			g.between(action.Owner, func() { g.refused(action) })
		}
	}
}

// between delivers a message between an owner and the allocator, which may be the same entry.
func (g *granted) between(owner string, deliver func()) {
	if owner == entryName(g.entry) {
		deliver()
		return
	}
	g.w.send(deliver)
}

// toAllocator calls the allocator from an owner, unless the allocator is lost on the way.
func (g *granted) toAllocator(owner, pool string, call func(*allocator.Allocator) []allocator.Action) {
	epoch := g.epoch
	g.between(owner, func() {
		if epoch == g.epoch {
			g.act(pool, call)
		}
	})
}

func (g *granted) place(j *job, tasks []*work) {
	g.lastID++
	a := &ask{id: "ask-" + strconv.Itoa(g.lastID), job: j, tasks: tasks, avoid: tasks[0].avoid}
	g.asks[a.id] = a
	g.byJob[j] = append(g.byJob[j], a)
	g.send(a)
}

// send states the demand of an ask that the allocator may not know.
func (g *granted) send(a *ask) {
	j := a.job
	message := allocator.SlotRequest{
		ID: a.id, Owner: entryName(j.owner), Customer: j.customer, Route: j.route, Count: len(a.tasks),
		Age: g.w.now - j.arrival, Deadline: j.arrival + j.deadline - g.w.now, Avoid: a.avoid,
	}
	g.toAllocator(entryName(j.owner), a.pool(), func(al *allocator.Allocator) []allocator.Action {
		return al.RequestSlots(g.now(), message)
	})
}

// granted uses a slot at the owner, or returns it if nothing waits for it.
func (g *granted) granted(pool string, grant allocator.Grant) {
	a, ok := g.asks[grant.RequestID]
	if !ok {
		g.w.waste(2) // the grant and its return
		g.giveBack(grant.Owner, pool, grant.ID)
		return
	}
	t := a.tasks[0]
	a.tasks = a.tasks[1:]
	if len(a.tasks) == 0 {
		g.forget(a)
	}
	t.grant = grant
	g.w.start(g.server(grant.BackendServer), t)
}

func (g *granted) giveBack(owner, pool, grant string) {
	g.toAllocator(owner, pool, func(a *allocator.Allocator) []allocator.Action {
		return a.Return(g.now(), grant)
	})
}

// refused closes the job whose ask the allocator refused.
func (g *granted) refused(r allocator.Refusal) {
	if a, ok := g.asks[r.RequestID]; ok {
		g.forget(a)
		g.w.refuse(a.job)
	}
}

func (g *granted) forget(a *ask) {
	delete(g.asks, a.id)
	g.byJob[a.job] = slices.DeleteFunc(g.byJob[a.job], func(other *ask) bool { return other == a })
	if len(g.byJob[a.job]) == 0 {
		delete(g.byJob, a.job)
	}
}

// abandon withdraws the asks of a closed job.
func (g *granted) abandon(j *job) {
	for _, a := range slices.Clone(g.byJob[j]) {
		g.forget(a)
		g.w.waste(1)
		g.toAllocator(entryName(j.owner), a.pool(), func(al *allocator.Allocator) []allocator.Action {
			return al.Withdraw(g.now(), entryName(j.owner), a.id, 0)
		})
	}
}

func (g *granted) server(id string) *server {
	return g.w.servers[slices.IndexFunc(g.w.servers, func(s *server) bool { return s.id() == id })]
}

// arrived starts a task at its agent, which refuses it without a free slot.
func (g *granted) arrived(s *server, t *work) {
	if s.free > 0 {
		g.w.run(s, t)
		return
	}
	grant := t.grant
	g.w.refuseStart(t, func() {
		g.giveBack(grant.Owner, benchPool, grant.ID)
		if t.job.state == open {
			g.place(t.job, []*work{t})
		}
	})
}

// released reports a free slot to the allocator that granted it.
func (g *granted) released(s *server, t *work, o allocator.Outcome) {
	release := allocator.Release{
		BackendServer: s.id(), Incarnation: incarnation, Grant: t.grant.ID, Route: t.job.route,
		Outcome: o, RunTime: t.ended - t.started,
	}
	to := t.grant.Allocator
	g.w.send(func() {
		if to == entryName(g.entry) {
			g.act(benchPool, func(a *allocator.Allocator) []allocator.Action { return a.Release(g.now(), release) })
		}
	})
}

// heartbeat announces a backend server to the allocator.
func (g *granted) heartbeat(s *server) {
	b := g.describe(s)
	g.w.after(g.w.site.oneWay, func() {
		g.act(benchPool, func(a *allocator.Allocator) []allocator.Action { return a.Announce(g.now(), b) })
	})
}

// incarnation of every backend server: none restarts in the traces.
const incarnation = "1"

func (g *granted) describe(s *server) allocator.BackendServer {
	b := allocator.BackendServer{
		ID: s.id(), Agent: "agent-" + strconv.Itoa(s.index), Incarnation: incarnation, Pool: benchPool,
		DataCentre: "dc-" + strconv.Itoa(s.index%g.w.site.entries), Slots: g.w.site.slots,
	}
	for t := range s.running {
		b.Grants = append(b.Grants, t.grant.ID)
	}
	slices.Sort(b.Grants)
	return b
}
