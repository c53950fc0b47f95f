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

// origin is the wall-clock time at which a simulation starts.
var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// allocatorPolicy is the policy of the dispatcher: core/allocator runs at one entry, owners send it slot
// requests, and agents report released slots.
type allocatorPolicy struct {
	sim          *simulation
	options      allocator.Options
	entry        int                             // index of the entry that runs the allocator
	pools        map[string]*allocator.Allocator // by pool; nil while no entry runs the allocator
	epoch        int                             // number of allocator failures; older messages are lost
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
		p := &allocatorPolicy{
			sim: sim, options: options, slotRequests: map[string]*slotRequest{}, byJob: map[*job][]*slotRequest{},
		}
		p.createAllocators()
		for _, s := range sim.servers {
			p.callAllocator(benchPool, func(a *allocator.Allocator) []allocator.Action {
				return a.Announce(p.now(), p.announcement(s)) // the allocator knows all backend servers when the trace begins
			})
			first := heartbeatPeriod * time.Duration(s.index+1) / time.Duration(len(sim.servers))
			sim.every(first, heartbeatPeriod, func() { p.heartbeat(s) })
		}
		sim.every(tickPeriod, tickPeriod, func() {
			for _, name := range []string{benchPool, emptyPool} {
				p.callAllocator(name, func(a *allocator.Allocator) []allocator.Action { return a.Tick(p.now()) })
			}
		})
		if at := sim.trace.faults.allocatorFailsAt; at > 0 {
			sim.after(at, p.failAllocator)
		}
		return p
	}
}

func entryName(index int) string { return "entry-" + strconv.Itoa(index) }

func (p *allocatorPolicy) now() time.Time { return origin.Add(p.sim.now) }

func (p *allocatorPolicy) createAllocators() {
	p.pools = map[string]*allocator.Allocator{}
	for _, name := range []string{benchPool, emptyPool} {
		p.pools[name] = allocator.NewWithOptions(entryName(p.entry), pool.New(name), func(event.Event) {}, p.options)
	}
}

// failAllocator stops the allocator. After allocatorTimeout the next entry takes over, and the owners send
// their open slot requests again.
func (p *allocatorPolicy) failAllocator() {
	p.pools = nil
	p.epoch++
	p.sim.after(allocatorTimeout, func() {
		p.entry = (p.entry + 1) % p.sim.site.entries
		p.createAllocators()
		for _, id := range slices.Sorted(maps.Keys(p.slotRequests)) {
			p.sendRequest(p.slotRequests[id])
		}
	})
}

// callAllocator calls the allocator of a pool and delivers the grants and refusals that it returns.
func (p *allocatorPolicy) callAllocator(name string, call func(*allocator.Allocator) []allocator.Action) {
	if p.pools == nil {
		return
	}
	for _, action := range call(p.pools[name]) {
		switch action := action.(type) {
		case allocator.Grant:
			p.sendUnlessLocal(action.Owner, func() { p.handleGrant(name, action) })
		case allocator.Refusal:
			p.sendUnlessLocal(action.Owner, func() { p.handleRefusal(action) })
		}
	}
}

// sendUnlessLocal delivers a message between an owner and the allocator, without delay if the owner is the
// entry that runs the allocator.
func (p *allocatorPolicy) sendUnlessLocal(owner string, deliver func()) {
	if owner == entryName(p.entry) {
		deliver()
		return
	}
	p.sim.send(deliver)
}

// sendToAllocator calls the allocator on behalf of an owner. The message is lost if the allocator fails
// before it arrives.
func (p *allocatorPolicy) sendToAllocator(owner, pool string, call func(*allocator.Allocator) []allocator.Action) {
	epoch := p.epoch
	p.sendUnlessLocal(owner, func() {
		if epoch == p.epoch {
			p.callAllocator(pool, call)
		}
	})
}

func (p *allocatorPolicy) place(j *job, tasks []*task) {
	p.lastID++
	request := &slotRequest{id: "ask-" + strconv.Itoa(p.lastID), job: j, tasks: tasks, avoid: tasks[0].avoid}
	p.slotRequests[request.id] = request
	p.byJob[j] = append(p.byJob[j], request)
	p.sendRequest(request)
}

// sendRequest sends a slot request to the allocator, for the first time or after a new entry took over.
func (p *allocatorPolicy) sendRequest(request *slotRequest) {
	j := request.job
	message := allocator.SlotRequest{
		ID: request.id, Owner: entryName(j.owner), Customer: j.customer, Route: j.route, Count: len(request.tasks),
		Age: p.sim.now - j.arrival, Deadline: j.arrival + j.deadline - p.sim.now, Avoid: request.avoid,
	}
	p.sendToAllocator(entryName(j.owner), request.pool(), func(al *allocator.Allocator) []allocator.Action {
		return al.RequestSlots(p.now(), message)
	})
}

// handleGrant starts a waiting task in the granted slot, or returns the grant if no task waits for it.
func (p *allocatorPolicy) handleGrant(pool string, grant allocator.Grant) {
	request, ok := p.slotRequests[grant.RequestID]
	if !ok {
		p.sim.countWasted(2) // the grant and its return
		p.returnGrant(grant.Owner, pool, grant.ID)
		return
	}
	t := request.tasks[0]
	request.tasks = request.tasks[1:]
	if len(request.tasks) == 0 {
		p.removeRequest(request)
	}
	t.grant = grant
	p.sim.startTask(p.server(grant.BackendServer), t)
}

func (p *allocatorPolicy) returnGrant(owner, pool, grant string) {
	p.sendToAllocator(owner, pool, func(a *allocator.Allocator) []allocator.Action {
		return a.Return(p.now(), grant)
	})
}

// handleRefusal closes the job whose slot request the allocator refused.
func (p *allocatorPolicy) handleRefusal(r allocator.Refusal) {
	if request, ok := p.slotRequests[r.RequestID]; ok {
		p.removeRequest(request)
		p.sim.refuseJob(request.job)
	}
}

func (p *allocatorPolicy) removeRequest(request *slotRequest) {
	delete(p.slotRequests, request.id)
	p.byJob[request.job] = slices.DeleteFunc(p.byJob[request.job], func(other *slotRequest) bool {
		return other == request
	})
	if len(p.byJob[request.job]) == 0 {
		delete(p.byJob, request.job)
	}
}

// jobClosed withdraws the slot requests of the job.
func (p *allocatorPolicy) jobClosed(j *job) {
	for _, request := range slices.Clone(p.byJob[j]) {
		p.removeRequest(request)
		p.sim.countWasted(1)
		p.sendToAllocator(entryName(j.owner), request.pool(), func(al *allocator.Allocator) []allocator.Action {
			return al.Withdraw(p.now(), entryName(j.owner), request.id, 0)
		})
	}
}

func (p *allocatorPolicy) server(id string) *server {
	return p.sim.servers[slices.IndexFunc(p.sim.servers, func(s *server) bool { return s.id() == id })]
}

// handleStart runs the task if the agent has a free slot, and otherwise refuses it.
func (p *allocatorPolicy) handleStart(s *server, t *task) {
	if s.free > 0 {
		p.sim.runTask(s, t)
		return
	}
	grant := t.grant
	p.sim.refuseStart(t, func() {
		p.returnGrant(grant.Owner, benchPool, grant.ID)
		if t.job.state == open {
			p.place(t.job, []*task{t})
		}
	})
}

// slotFreed reports the free slot to the allocator that granted it.
func (p *allocatorPolicy) slotFreed(s *server, t *task, o allocator.Outcome) {
	release := allocator.Release{
		BackendServer: s.id(), Incarnation: incarnation, Grant: t.grant.ID, Route: t.job.route,
		Outcome: o, RunTime: t.ended - t.started,
	}
	to := t.grant.Allocator
	p.sim.send(func() {
		if to == entryName(p.entry) {
			p.callAllocator(benchPool, func(a *allocator.Allocator) []allocator.Action { return a.Release(p.now(), release) })
		}
	})
}

// heartbeat sends the state of a backend server to the allocator.
func (p *allocatorPolicy) heartbeat(s *server) {
	b := p.announcement(s)
	p.sim.after(p.sim.site.oneWayDelay, func() {
		p.callAllocator(benchPool, func(a *allocator.Allocator) []allocator.Action { return a.Announce(p.now(), b) })
	})
}

// incarnation is the incarnation of every backend server, because none restarts in the traces.
const incarnation = "1"

func (p *allocatorPolicy) announcement(s *server) allocator.BackendServer {
	b := allocator.BackendServer{
		ID: s.id(), Agent: "agent-" + strconv.Itoa(s.index), Incarnation: incarnation, Pool: benchPool,
		DataCentre: "dc-" + strconv.Itoa(s.index%p.sim.site.entries), Slots: p.sim.site.slots,
	}
	for t := range s.running {
		b.Grants = append(b.Grants, t.grant.ID)
	}
	slices.Sort(b.Grants)
	return b
}
