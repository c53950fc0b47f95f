package allocator_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dogwoodglade/core/allocator"
	"dogwoodglade/core/event"
	"dogwoodglade/core/pool"
)

// model simulates the agents and owners of an allocator, and keeps its own account of the slots and requests.
type model struct {
	t           *rapid.T
	a           *allocator.Allocator
	pool        pool.Pool
	now         time.Time
	servers     map[string]*modelServer
	grants      map[string]modelGrant
	requests    map[string]*allocator.SlotRequest // by owner and ID; Count is the number of slots not yet granted
	ejected     map[string]bool
	nextRequest int
}

type modelServer struct {
	allocator.BackendServer
	restarts              int
	announcedIncarnations []string // incarnations, oldest first
	lastHeartbeat         time.Time
	lost                  bool
}

type modelGrant struct {
	allocator.Grant
	customer string
}

func newModel(t *rapid.T) *model {
	m := &model{
		t: t, now: epoch, servers: map[string]*modelServer{}, grants: map[string]modelGrant{},
		requests: map[string]*allocator.SlotRequest{}, ejected: map[string]bool{},
	}
	m.pool = pool.New("p").WithQueueLimit(30).WithQuota("limited", 3).WithShare("heavy", 3).
		WithReservedSlots(rapid.SampledFrom([]float64{0, 0.2, 1}).Draw(t, "reserved")).
		WithLongThreshold(200 * time.Millisecond)
	on := func(name string) bool { return rapid.IntRange(0, 4).Draw(t, name) > 0 }
	options := allocator.DefaultOptions().WithFairness(on("fairness")).WithClasses(on("classes")).
		WithAdmission(on("admission")).WithEjection(on("ejection"))
	m.a = allocator.NewWithOptions("entry1", m.pool, func(e event.Event) {
		switch e.Number {
		case event.BackendEjected:
			m.ejected[e.Peer] = true
		case event.BackendProbed, event.BackendRestored:
			delete(m.ejected, e.Peer)
		}
	}, options)
	return m
}

// apply checks each action against the model and updates the model.
func (m *model) apply(actions []allocator.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case allocator.Grant:
			m.checkGrant(action)
		case allocator.Refusal:
			m.consume(action.Owner, action.RequestID, action.Count)
		}
	}
}

func (m *model) checkGrant(g allocator.Grant) {
	customer := m.consume(g.Owner, g.RequestID, 1).Customer
	s := m.servers[g.BackendServer]
	switch _, again := m.grants[g.ID]; {
	case s == nil || s.lost || s.Leaving || g.Incarnation != s.Incarnation || g.Agent != s.Agent:
		m.t.Fatalf("granted %+v on an unavailable server", g)
	case m.now.Sub(s.lastHeartbeat) >= 2*time.Second:
		m.t.Fatalf("granted %+v on a server without a heartbeat for 2 s", g)
	case m.ejected[s.ID]:
		m.t.Fatalf("granted %+v on an ejected server", g)
	case again:
		m.t.Fatalf("granted %s twice", g.ID)
	}
	m.grants[g.ID] = modelGrant{Grant: g, customer: customer}
	inUse, ofCustomer := 0, 0
	for _, other := range m.grants {
		if other.BackendServer == g.BackendServer {
			inUse++
		}
		if other.customer == customer {
			ofCustomer++
		}
	}
	if quota := m.pool.Quota(customer); inUse > s.Slots || (quota > 0 && ofCustomer > quota) {
		m.t.Fatalf("%d grants in %d slots of the server, %d grants in the customer's quota of %d",
			inUse, s.Slots, ofCustomer, quota)
	}
}

func (m *model) consume(owner, id string, count int) *allocator.SlotRequest {
	req := m.requests[owner+"/"+id]
	if req == nil || req.Count < count {
		m.t.Fatalf("request %s of %s: %d slots ended, more than are queued: %+v", id, owner, count, req)
	}
	if req.Count -= count; req.Count == 0 {
		delete(m.requests, owner+"/"+id)
	}
	return req
}

// draw chooses one of the values, or skips the step if there is none.
func draw[V any](m *model, name string, values map[string]V) V {
	if len(values) == 0 {
		m.t.Skip("no value to choose from")
	}
	return values[rapid.SampledFrom(slices.Sorted(maps.Keys(values))).Draw(m.t, name)]
}

// restart starts a new incarnation of a server. The tasks of the old one end.
func (m *model) restart(s *modelServer) {
	s.restarts++
	s.Incarnation = fmt.Sprint(s.restarts)
	maps.DeleteFunc(m.grants, func(_ string, g modelGrant) bool { return g.BackendServer == s.ID })
}

func (m *model) heartbeat(s *modelServer) {
	s.lastHeartbeat, s.lost, s.Grants = m.now, false, nil
	if !slices.Contains(s.announcedIncarnations, s.Incarnation) {
		s.announcedIncarnations = append(s.announcedIncarnations, s.Incarnation)
	}
	for id, g := range m.grants {
		if g.BackendServer == s.ID {
			s.Grants = append(s.Grants, id)
		}
	}
	slices.Sort(s.Grants)
	m.apply(m.a.Announce(m.now, s.BackendServer))
}

func (m *model) Announce(t *rapid.T) {
	m.t = t
	id := rapid.SampledFrom([]string{"s1", "s2", "s3"}).Draw(t, "server")
	s := m.servers[id]
	if s == nil {
		slots := rapid.IntRange(1, 6).Draw(t, "slots")
		s = &modelServer{BackendServer: allocator.BackendServer{ID: id, Agent: "agent-" + id, Pool: "p", Slots: slots}}
		m.servers[id] = s
	}
	if s.restarts == 0 || rapid.IntRange(0, 5).Draw(t, "restart") == 0 {
		m.restart(s)
	}
	s.Leaving = rapid.IntRange(0, 4).Draw(t, "leaving") == 0
	m.heartbeat(s)
	if len(s.announcedIncarnations) > 1 && rapid.Bool().Draw(t, "outdated") {
		old := s.BackendServer
		old.Incarnation, old.Leaving, old.Slots = s.announcedIncarnations[0], false, 6
		m.apply(m.a.Announce(m.now, old))
	}
}

func (m *model) AgentLost(t *rapid.T) {
	m.t = t
	s := draw(m, "server", m.servers)
	m.restart(s)
	s.lost = true
	m.apply(m.a.AgentLost(m.now, s.Agent))
}

func (m *model) Request(t *rapid.T) {
	m.t = t
	m.nextRequest++
	req := allocator.SlotRequest{
		ID:       fmt.Sprint("request", m.nextRequest),
		Owner:    rapid.SampledFrom([]string{"owner1", "owner2"}).Draw(t, "owner"),
		Customer: rapid.SampledFrom([]string{"plain", "limited", "heavy"}).Draw(t, "customer"),
		Route:    rapid.SampledFrom([]string{"fast", "slow"}).Draw(t, "route"),
		Count:    rapid.IntRange(1, 8).Draw(t, "count"),
		Age:      time.Duration(rapid.IntRange(0, 6000).Draw(t, "age")) * time.Millisecond,
		Deadline: time.Duration(rapid.IntRange(0, 8000).Draw(t, "deadline")) * time.Millisecond,
		Avoid:    rapid.SliceOfN(rapid.SampledFrom([]string{"s1", "s2"}), 0, 2).Draw(t, "avoid"),
	}
	if len(m.requests) > 0 && rapid.IntRange(0, 5).Draw(t, "replace") == 0 {
		old := draw(m, "replaced request", m.requests)
		req.Owner, req.ID, req.Customer = old.Owner, old.ID, old.Customer
	}
	left := req
	m.requests[req.Owner+"/"+req.ID] = &left
	m.apply(m.a.RequestSlots(m.now, req))
}

func (m *model) Withdraw(t *rapid.T) {
	m.t = t
	req := draw(m, "request", m.requests)
	count := rapid.IntRange(0, req.Count).Draw(t, "count")
	if taken := count; taken > 0 {
		m.consume(req.Owner, req.ID, taken)
	} else {
		m.consume(req.Owner, req.ID, req.Count)
	}
	m.apply(m.a.Withdraw(m.now, req.Owner, req.ID, count))
}

func (m *model) EndGrant(t *rapid.T) {
	m.t = t
	g := draw(m, "grant", m.grants)
	delete(m.grants, g.ID)
	if rapid.IntRange(0, 5).Draw(t, "return") == 0 {
		m.apply(m.a.Return(m.now, g.ID))
		return
	}
	outcomes := []allocator.Outcome{allocator.Succeeded, allocator.Cancelled, allocator.Unused}
	if g.BackendServer == "s3" {
		outcomes = []allocator.Outcome{allocator.Errored}
	}
	route := rapid.SampledFrom([]string{"fast", "slow"}).Draw(t, "route")
	r := allocator.Release{
		BackendServer: g.BackendServer, Incarnation: g.Incarnation, Grant: g.ID, Route: route,
		Outcome: rapid.SampledFrom(outcomes).Draw(t, "outcome"),
		RunTime: map[string]time.Duration{"fast": 50, "slow": 500}[route] * time.Millisecond,
	}
	m.apply(m.a.Release(m.now, r))
	m.apply(m.a.Release(m.now, r)) // a duplicate has no effect
}

func (m *model) OwnerLost(t *rapid.T) {
	m.t = t
	owner := rapid.SampledFrom([]string{"owner1", "owner2"}).Draw(t, "owner")
	maps.DeleteFunc(m.requests, func(_ string, req *allocator.SlotRequest) bool { return req.Owner == owner })
	m.apply(m.a.OwnerLost(m.now, owner))
}

func (m *model) AdvanceClock(t *rapid.T) {
	m.t = t
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "milliseconds")) * time.Millisecond)
	for _, id := range slices.Sorted(maps.Keys(m.servers)) {
		if s := m.servers[id]; !s.lost && rapid.IntRange(0, 9).Draw(t, "heartbeat") > 0 {
			m.heartbeat(s)
		}
	}
	m.apply(m.a.Tick(m.now))
}

// Check compares the state of the allocator with the model.
func (m *model) Check(t *rapid.T) {
	left := 0
	for _, req := range m.requests {
		left += req.Count
	}
	stats := m.a.Stats()
	if stats.QueuedTasks != left || stats.QueuedRequests != len(m.requests) || left > m.pool.QueueLimit {
		t.Fatalf("got %d tasks of %d requests in the queue, want %d of %d, at most %d tasks",
			stats.QueuedTasks, stats.QueuedRequests, left, len(m.requests), m.pool.QueueLimit)
	}
	if limit := int(float64(stats.BackendServers) * *m.pool.MaxEjectedShare); stats.Ejected > limit {
		t.Fatalf("got %d ejected servers, want at most %d", stats.Ejected, limit)
	}
}

// Guards against orders of messages in which the allocator grants a slot twice, grants one on a server that must
// get no work, exceeds a quota, or loses a request, so that its caller waits for ever.
func TestRandomMessageOrderKeepsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		// RequestMore and EndGrantMore make these two steps more frequent than the others.
		t.Repeat(map[string]func(*rapid.T){
			"": m.Check, "Announce": m.Announce, "AgentLost": m.AgentLost, "Request": m.Request, "RequestMore": m.Request,
			"Withdraw": m.Withdraw, "EndGrant": m.EndGrant, "EndGrantMore": m.EndGrant, "OwnerLost": m.OwnerLost,
			"AdvanceClock": m.AdvanceClock,
		})
		m.t = t
		m.now = m.now.Add(10 * time.Second)
		m.apply(m.a.Tick(m.now))
		if len(m.requests) > 0 {
			t.Fatalf("%d requests are still queued after their deadlines", len(m.requests))
		}
	})
}
