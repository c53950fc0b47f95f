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

// Periods and timeouts of the entries and agents that use the allocator (docs/design.md, sections 3, 4 and 12).
const (
	tickPeriod       = 50 * time.Millisecond
	heartbeatPeriod  = 500 * time.Millisecond
	allocatorTimeout = time.Second // from the failure of the allocator until another entry takes over
)

// benchPool and emptyPool are the pools of the traces. emptyPool has no backend servers.
const (
	benchPool = "bench"
	emptyPool = "empty"
)

// origin is the time of day at which a simulation starts.
var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// allocatorPolicy is the policy of the dispatcher: core/allocator runs at one entry, owners send it slot
// requests, and agents report released slots.
type allocatorPolicy struct {
	sim          *simulation
	options      allocator.Options
	entry        int                             // index of the entry that runs the allocator
	pools        map[string]*allocator.Allocator // by pool; nil while no entry runs the allocator
	epoch        int                             // number of allocator failures; messages sent in an earlier epoch are lost
	slotRequests map[string]*slotRequest
	byJob        map[*job][]*slotRequest
	lastID       int
}

// slotRequest is a request of an owner for slots, with the tasks that wait for them.
type slotRequest struct {
	id    string
	job   *job
	tasks []*task
	avoid []string
}

func (request *slotRequest) pool() string {
	if request.job.emptyPool {
		return emptyPool
	}
	return benchPool
}

func newAllocatorPolicy(options allocator.Options) func(*simulation) policy {
	return func(sim *simulation) policy {
		g := &allocatorPolicy{sim: sim, options: options, slotRequests: map[string]*slotRequest{}, byJob: map[*job][]*slotRequest{}}
		g.createAllocators()
		for _, s := range sim.servers {
			g.callAllocator(benchPool, func(a *allocator.Allocator) []allocator.Action {
				return a.Announce(g.now(), g.announcement(s)) // the allocator knows all backend servers when the trace begins
			})
			first := heartbeatPeriod * time.Duration(s.index+1) / time.Duration(len(sim.servers))
			sim.every(first, heartbeatPeriod, func() { g.heartbeat(s) })
		}
		sim.every(tickPeriod, tickPeriod, func() {
			for _, name := range []string{benchPool, emptyPool} {
				g.callAllocator(name, func(a *allocator.Allocator) []allocator.Action { return a.Tick(g.now()) })
			}
		})
		if at := sim.trace.faults.allocatorFailsAt; at > 0 {
			sim.after(at, g.failAllocator)
		}
		return g
	}
}

func entryName(index int) string { return "entry-" + strconv.Itoa(index) }

func (g *allocatorPolicy) now() time.Time { return origin.Add(g.sim.now) }

func (g *allocatorPolicy) createAllocators() {
	g.pools = map[string]*allocator.Allocator{}
	for _, name := range []string{benchPool, emptyPool} {
		g.pools[name] = allocator.NewWithOptions(entryName(g.entry), pool.New(name), func(event.Event) {}, g.options)
	}
}

// failAllocator stops the allocator. After allocatorTimeout the next entry takes over, and the owners send
// their open slot requests again.
func (g *allocatorPolicy) failAllocator() {
	g.pools = nil
	g.epoch++
	g.sim.after(allocatorTimeout, func() {
		g.entry = (g.entry + 1) % g.sim.site.entries
		g.createAllocators()
		for _, id := range slices.Sorted(maps.Keys(g.slotRequests)) {
			g.sendRequest(g.slotRequests[id])
		}
	})
}

// callAllocator calls the allocator of a pool and delivers the grants and refusals that it returns.
func (g *allocatorPolicy) callAllocator(name string, call func(*allocator.Allocator) []allocator.Action) {
	if g.pools == nil {
		return
	}
	for _, action := range call(g.pools[name]) {
		switch action := action.(type) {
		case allocator.Grant:
			g.sendUnlessLocal(action.Owner, func() { g.handleGrant(name, action) })
		case allocator.Refusal:
			g.sendUnlessLocal(action.Owner, func() { g.handleRefusal(action) })
		}
	}
}

// sendUnlessLocal delivers a message between an owner and the allocator, without delay if the owner is the
// entry that runs the allocator.
func (g *allocatorPolicy) sendUnlessLocal(owner string, deliver func()) {
	if owner == entryName(g.entry) {
		deliver()
		return
	}
	g.sim.send(deliver)
}

// sendToAllocator calls the allocator on behalf of an owner. The message is lost if the allocator fails
// before it arrives.
func (g *allocatorPolicy) sendToAllocator(owner, pool string, call func(*allocator.Allocator) []allocator.Action) {
	epoch := g.epoch
	g.sendUnlessLocal(owner, func() {
		if epoch == g.epoch {
			g.callAllocator(pool, call)
		}
	})
}

func (g *allocatorPolicy) place(j *job, tasks []*task) {
	g.lastID++
	request := &slotRequest{id: "ask-" + strconv.Itoa(g.lastID), job: j, tasks: tasks, avoid: tasks[0].avoid}
	g.slotRequests[request.id] = request
	g.byJob[j] = append(g.byJob[j], request)
	g.sendRequest(request)
}

// sendRequest sends a slot request to the allocator, for the first time or after a new entry took over.
func (g *allocatorPolicy) sendRequest(request *slotRequest) {
	j := request.job
	message := allocator.SlotRequest{
		ID: request.id, Owner: entryName(j.owner), Customer: j.customer, Route: j.route, Count: len(request.tasks),
		Age: g.sim.now - j.arrival, Deadline: j.arrival + j.deadline - g.sim.now, Avoid: request.avoid,
	}
	g.sendToAllocator(entryName(j.owner), request.pool(), func(al *allocator.Allocator) []allocator.Action {
		return al.RequestSlots(g.now(), message)
	})
}

// handleGrant starts a waiting task in the granted slot, or returns the grant if no task waits for it.
func (g *allocatorPolicy) handleGrant(pool string, grant allocator.Grant) {
	request, ok := g.slotRequests[grant.RequestID]
	if !ok {
		g.sim.countWasted(2) // the grant and its return
		g.returnGrant(grant.Owner, pool, grant.ID)
		return
	}
	t := request.tasks[0]
	request.tasks = request.tasks[1:]
	if len(request.tasks) == 0 {
		g.removeRequest(request)
	}
	t.grant = grant
	g.sim.startTask(g.server(grant.BackendServer), t)
}

func (g *allocatorPolicy) returnGrant(owner, pool, grant string) {
	g.sendToAllocator(owner, pool, func(a *allocator.Allocator) []allocator.Action {
		return a.Return(g.now(), grant)
	})
}

// handleRefusal closes the job whose slot request the allocator refused.
func (g *allocatorPolicy) handleRefusal(r allocator.Refusal) {
	if request, ok := g.slotRequests[r.RequestID]; ok {
		g.removeRequest(request)
		g.sim.refuseJob(request.job)
	}
}

func (g *allocatorPolicy) removeRequest(request *slotRequest) {
	delete(g.slotRequests, request.id)
	g.byJob[request.job] = slices.DeleteFunc(g.byJob[request.job], func(other *slotRequest) bool { return other == request })
	if len(g.byJob[request.job]) == 0 {
		delete(g.byJob, request.job)
	}
}

// jobClosed withdraws the slot requests of the job.
func (g *allocatorPolicy) jobClosed(j *job) {
	for _, request := range slices.Clone(g.byJob[j]) {
		g.removeRequest(request)
		g.sim.countWasted(1)
		g.sendToAllocator(entryName(j.owner), request.pool(), func(al *allocator.Allocator) []allocator.Action {
			return al.Withdraw(g.now(), entryName(j.owner), request.id, 0)
		})
	}
}

func (g *allocatorPolicy) server(id string) *server {
	return g.sim.servers[slices.IndexFunc(g.sim.servers, func(s *server) bool { return s.id() == id })]
}

// handleStart runs the task if the agent has a free slot, and otherwise refuses it.
func (g *allocatorPolicy) handleStart(s *server, t *task) {
	if s.free > 0 {
		g.sim.runTask(s, t)
		return
	}
	grant := t.grant
	g.sim.refuseStart(t, func() {
		g.returnGrant(grant.Owner, benchPool, grant.ID)
		if t.job.state == open {
			g.place(t.job, []*task{t})
		}
	})
}

// slotFreed reports the free slot to the allocator that granted it.
func (g *allocatorPolicy) slotFreed(s *server, t *task, o allocator.Outcome) {
	release := allocator.Release{
		BackendServer: s.id(), Incarnation: incarnation, Grant: t.grant.ID, Route: t.job.route,
		Outcome: o, RunTime: t.ended - t.started,
	}
	to := t.grant.Allocator
	g.sim.send(func() {
		if to == entryName(g.entry) {
			g.callAllocator(benchPool, func(a *allocator.Allocator) []allocator.Action { return a.Release(g.now(), release) })
		}
	})
}

// heartbeat sends the state of a backend server to the allocator.
func (g *allocatorPolicy) heartbeat(s *server) {
	b := g.announcement(s)
	g.sim.after(g.sim.site.oneWayDelay, func() {
		g.callAllocator(benchPool, func(a *allocator.Allocator) []allocator.Action { return a.Announce(g.now(), b) })
	})
}

// incarnation is that of every backend server. None restarts in the traces.
const incarnation = "1"

func (g *allocatorPolicy) announcement(s *server) allocator.BackendServer {
	b := allocator.BackendServer{
		ID: s.id(), Agent: "agent-" + strconv.Itoa(s.index), Incarnation: incarnation, Pool: benchPool,
		DataCentre: "dc-" + strconv.Itoa(s.index%g.sim.site.entries), Slots: g.sim.site.slots,
	}
	for t := range s.running {
		b.Grants = append(b.Grants, t.grant.ID)
	}
	slices.Sort(b.Grants)
	return b
}
