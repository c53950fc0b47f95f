package allocator_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dogwoodglade/core/allocator"
	eventlog "dogwoodglade/core/event"
	"dogwoodglade/core/pool"
)

// machine is a model of everything outside the allocator, with its own account of slots and asks.
type machine struct {
	t       *rapid.T
	a       *allocator.Allocator
	pool    pool.Pool
	now     time.Time
	servers map[string]*modelServer
	grants  map[string]modelGrant
	asks    map[string]*allocator.Ask // by owner and ID, with the count that is left
	ejected map[string]bool
	next    int
}

type modelServer struct {
	allocator.BackendServer
	run       int
	announced []string // incarnations, oldest first
	heard     time.Time
	lost      bool
}

type modelGrant struct {
	allocator.Grant
	customer string
}

func newMachine(t *rapid.T) *machine {
	m := &machine{
		t: t, now: epoch, servers: map[string]*modelServer{}, grants: map[string]modelGrant{},
		asks: map[string]*allocator.Ask{}, ejected: map[string]bool{},
	}
	m.pool = pool.New("p").WithQueueLimit(30).WithQuota("limited", 3).WithShare("heavy", 3).
		WithReservedSlots(rapid.SampledFrom([]float64{0, 0.2, 1}).Draw(t, "reserved")).
		WithLongThreshold(200 * time.Millisecond)
	on := func(name string) bool { return rapid.IntRange(0, 4).Draw(t, name) > 0 }
	options := allocator.DefaultOptions().WithFairness(on("fairness")).WithClasses(on("classes")).
		WithAdmission(on("admission")).WithEjection(on("ejection"))
	m.a = allocator.NewWithOptions("entry1", m.pool, func(e eventlog.Event) {
		switch e.Number {
		case eventlog.BackendEjected:
			m.ejected[e.Peer] = true
		case eventlog.BackendProbed, eventlog.BackendRestored:
			delete(m.ejected, e.Peer)
		}
	}, options)
	return m
}

// act checks each action against the model.
func (m *machine) act(actions []allocator.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case allocator.Grant:
			m.granted(action)
		case allocator.Refuse:
			m.take(action.Owner, action.Ask, action.Count)
		}
	}
}

func (m *machine) granted(g allocator.Grant) {
	customer := m.take(g.Owner, g.Ask, 1).Customer
	s := m.servers[g.BackendServer]
	switch _, again := m.grants[g.ID]; {
	case s == nil || s.lost || s.Leaving || g.Incarnation != s.Incarnation || g.Agent != s.Agent:
		m.t.Fatalf("granted %+v on an absent server", g)
	case m.now.Sub(s.heard) >= 2*time.Second:
		m.t.Fatalf("granted %+v on a silent server", g)
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
		m.t.Fatalf("%d grants in %d slots, %d grants in a quota of %d", inUse, s.Slots, ofCustomer, quota)
	}
}

func (m *machine) take(owner, id string, count int) *allocator.Ask {
	k := m.asks[owner+"/"+id]
	if k == nil || k.Count < count {
		m.t.Fatalf("ask %s of %s: %d more slots ended than asked for, have %+v", id, owner, count, k)
	}
	if k.Count -= count; k.Count == 0 {
		delete(m.asks, owner+"/"+id)
	}
	return k
}

// draw chooses one of the values, or skips the step if there is none.
func draw[V any](m *machine, name string, values map[string]V) V {
	if len(values) == 0 {
		m.t.Skip("nothing to choose from")
	}
	return values[rapid.SampledFrom(slices.Sorted(maps.Keys(values))).Draw(m.t, name)]
}

// restart replaces a server, with which its tasks end.
func (m *machine) restart(s *modelServer) {
	s.run++
	s.Incarnation = fmt.Sprint(s.run)
	maps.DeleteFunc(m.grants, func(_ string, g modelGrant) bool { return g.BackendServer == s.ID })
}

func (m *machine) heartbeat(s *modelServer) {
	s.heard, s.lost, s.Grants = m.now, false, nil
	if !slices.Contains(s.announced, s.Incarnation) {
		s.announced = append(s.announced, s.Incarnation)
	}
	for id, g := range m.grants {
		if g.BackendServer == s.ID {
			s.Grants = append(s.Grants, id)
		}
	}
	slices.Sort(s.Grants)
	m.act(m.a.Announce(m.now, s.BackendServer))
}

func (m *machine) Announce(t *rapid.T) {
	m.t = t
	id := rapid.SampledFrom([]string{"s1", "s2", "s3"}).Draw(t, "server")
	s := m.servers[id]
	if s == nil {
		slots := rapid.IntRange(1, 6).Draw(t, "slots")
		s = &modelServer{BackendServer: allocator.BackendServer{ID: id, Agent: "agent-" + id, Pool: "p", Slots: slots}}
		m.servers[id] = s
	}
	if s.run == 0 || rapid.IntRange(0, 5).Draw(t, "restart") == 0 {
		m.restart(s)
	}
	s.Leaving = rapid.IntRange(0, 4).Draw(t, "leaving") == 0
	m.heartbeat(s)
	if len(s.announced) > 1 && rapid.Bool().Draw(t, "outdated") {
		old := s.BackendServer
		old.Incarnation, old.Leaving, old.Slots = s.announced[0], false, 6
		m.act(m.a.Announce(m.now, old))
	}
}

func (m *machine) AgentLost(t *rapid.T) {
	m.t = t
	s := draw(m, "server", m.servers)
	m.restart(s)
	s.lost = true
	m.act(m.a.AgentLost(m.now, s.Agent))
}

func (m *machine) Ask(t *rapid.T) {
	m.t = t
	m.next++
	q := allocator.Ask{
		ID:       fmt.Sprint("ask", m.next),
		Owner:    rapid.SampledFrom([]string{"owner1", "owner2"}).Draw(t, "owner"),
		Customer: rapid.SampledFrom([]string{"plain", "limited", "heavy"}).Draw(t, "customer"),
		Route:    rapid.SampledFrom([]string{"fast", "slow"}).Draw(t, "route"),
		Count:    rapid.IntRange(1, 8).Draw(t, "count"),
		Age:      time.Duration(rapid.IntRange(0, 6000).Draw(t, "age")) * time.Millisecond,
		Deadline: time.Duration(rapid.IntRange(0, 8000).Draw(t, "deadline")) * time.Millisecond,
		Avoid:    rapid.SliceOfN(rapid.SampledFrom([]string{"s1", "s2"}), 0, 2).Draw(t, "avoid"),
	}
	if len(m.asks) > 0 && rapid.IntRange(0, 5).Draw(t, "replace") == 0 {
		k := draw(m, "ask", m.asks)
		q.Owner, q.ID, q.Customer = k.Owner, k.ID, k.Customer
	}
	left := q
	m.asks[q.Owner+"/"+q.ID] = &left
	m.act(m.a.Ask(m.now, q))
}

func (m *machine) Withdraw(t *rapid.T) {
	m.t = t
	k := draw(m, "ask", m.asks)
	count := rapid.IntRange(0, k.Count).Draw(t, "count")
	if taken := count; taken > 0 {
		m.take(k.Owner, k.ID, taken)
	} else {
		m.take(k.Owner, k.ID, k.Count)
	}
	m.act(m.a.Withdraw(m.now, k.Owner, k.ID, count))
}

func (m *machine) End(t *rapid.T) {
	m.t = t
	g := draw(m, "grant", m.grants)
	delete(m.grants, g.ID)
	if rapid.IntRange(0, 5).Draw(t, "return") == 0 {
		m.act(m.a.Return(m.now, g.ID))
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
	m.act(m.a.Release(m.now, r))
	m.act(m.a.Release(m.now, r)) // a duplicate has no effect
}

func (m *machine) OwnerLost(t *rapid.T) {
	m.t = t
	owner := rapid.SampledFrom([]string{"owner1", "owner2"}).Draw(t, "owner")
	maps.DeleteFunc(m.asks, func(_ string, k *allocator.Ask) bool { return k.Owner == owner })
	m.act(m.a.OwnerLost(m.now, owner))
}

func (m *machine) Pass(t *rapid.T) {
	m.t = t
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "milliseconds")) * time.Millisecond)
	for _, id := range slices.Sorted(maps.Keys(m.servers)) {
		if s := m.servers[id]; !s.lost && rapid.IntRange(0, 9).Draw(t, "heartbeat") > 0 {
			m.heartbeat(s)
		}
	}
	m.act(m.a.Tick(m.now))
}

// Check compares the account of the allocator with the model.
func (m *machine) Check(t *rapid.T) {
	left := 0
	for _, k := range m.asks {
		left += k.Count
	}
	stats := m.a.Stats()
	if stats.QueuedTasks != left || stats.QueuedAsks != len(m.asks) || left > m.pool.QueueLimit {
		t.Fatalf("got %d tasks of %d asks in the queue, want %d of %d, at most %d tasks",
			stats.QueuedTasks, stats.QueuedAsks, left, len(m.asks), m.pool.QueueLimit)
	}
	if limit := int(float64(stats.BackendServers) * *m.pool.MaxEjectedShare); stats.Ejected > limit {
		t.Fatalf("got %d ejected servers, want at most %d", stats.Ejected, limit)
	}
}

// Any order of messages could grant a slot twice or on a server that must get no work, exceed a quota, or
// lose an ask so that its caller waits for ever.
func TestAnyOrderOfMessagesKeepsTheAccounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"": m.Check, "Announce": m.Announce, "AgentLost": m.AgentLost, "Ask": m.Ask, "AskMore": m.Ask,
			"Withdraw": m.Withdraw, "End": m.End, "EndMore": m.End, "OwnerLost": m.OwnerLost, "Pass": m.Pass,
		})
		m.t = t
		m.now = m.now.Add(10 * time.Second)
		m.act(m.a.Tick(m.now))
		if len(m.asks) > 0 {
			t.Fatalf("%d asks did not end after their deadlines", len(m.asks))
		}
	})
}
