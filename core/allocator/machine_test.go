package allocator_test

import (
	"fmt"
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
	grants  map[string]*modelGrant
	asks    map[string]*modelAsk // by owner and ID
	ejected map[string]bool
	next    int
}

type modelServer struct {
	id, agent   string
	incarnation int
	announced   []int // incarnations, oldest first
	slots       int
	usable      bool // announced, not leaving, its agent not lost
	heard       time.Time
}

type modelGrant struct {
	allocator.Grant
	customer string
	owned    bool
}

type modelAsk struct {
	owner, id, customer string
	left                int
}

func newMachine(t *rapid.T) *machine {
	m := &machine{
		t: t, now: epoch, servers: map[string]*modelServer{}, grants: map[string]*modelGrant{},
		asks: map[string]*modelAsk{}, ejected: map[string]bool{},
	}
	m.pool = pool.New("p").WithQueueLimit(30).WithQuota("limited", 3).WithShare("heavy", 3).
		WithReservedSlots(rapid.SampledFrom([]float64{0, 0.2, 1}).Draw(t, "reserved")).
		WithLongThreshold(200 * time.Millisecond)
	on := func(name string) bool { return rapid.IntRange(0, 4).Draw(t, name) > 0 }
	options := allocator.DefaultOptions().WithFairness(on("fairness")).WithClasses(on("classes")).
		WithAdmission(on("admission")).WithEjection(on("ejection"))
	m.a = allocator.NewWithOptions("entry1", m.pool, m.record, options)
	return m
}

func (m *machine) record(e eventlog.Event) {
	switch e.Number {
	case eventlog.BackendEjected:
		m.ejected[e.Peer] = true
	case eventlog.BackendProbed, eventlog.BackendRestored:
		delete(m.ejected, e.Peer)
	}
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
	k := m.take(g.Owner, g.Ask, 1)
	s := m.servers[g.BackendServer]
	switch {
	case s == nil || !s.usable || g.Incarnation != fmt.Sprint(s.incarnation) || g.Agent != s.agent:
		m.t.Fatalf("granted %+v on an absent server", g)
	case m.now.Sub(s.heard) >= 2*time.Second:
		m.t.Fatalf("granted %+v on a silent server", g)
	case m.ejected[s.id]:
		m.t.Fatalf("granted %+v on an ejected server", g)
	case m.grants[g.ID] != nil:
		m.t.Fatalf("granted %s twice", g.ID)
	}
	m.grants[g.ID] = &modelGrant{Grant: g, customer: k.customer, owned: true}
	inUse, ofCustomer := 0, 0
	for _, other := range m.grants {
		if other.BackendServer == g.BackendServer {
			inUse++
		}
		if other.customer == k.customer {
			ofCustomer++
		}
	}
	if inUse > s.slots {
		m.t.Fatalf("%s has %d grants in %d slots", s.id, inUse, s.slots)
	}
	if quota := m.pool.Quota(k.customer); quota > 0 && ofCustomer > quota {
		m.t.Fatalf("%s has %d grants, its quota is %d", k.customer, ofCustomer, quota)
	}
}

func (m *machine) take(owner, id string, count int) *modelAsk {
	k := m.asks[owner+"/"+id]
	if k == nil || k.left < count {
		m.t.Fatalf("ask %s of %s: %d more slots ended than asked for, have %+v", id, owner, count, k)
	}
	if k.left -= count; k.left == 0 {
		delete(m.asks, owner+"/"+id)
	}
	return k
}

func (m *machine) drawKey(name string, keys []string) string {
	if len(keys) == 0 {
		m.t.Skip("nothing to choose from")
	}
	slices.Sort(keys)
	return rapid.SampledFrom(keys).Draw(m.t, name)
}

func keysOf[V any](values map[string]V) []string {
	keys := make([]string, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	return keys
}

// drop ends the grants of a server that is gone.
func (m *machine) drop(server string) {
	for id, g := range m.grants {
		if g.BackendServer == server {
			delete(m.grants, id)
		}
	}
}

func (m *machine) announcement(s *modelServer) allocator.BackendServer {
	b := allocator.BackendServer{
		ID: s.id, Agent: s.agent, Incarnation: fmt.Sprint(s.incarnation), Pool: "p", Slots: s.slots, Leaving: !s.usable,
	}
	for id, g := range m.grants {
		if g.BackendServer == s.id {
			b.Grants = append(b.Grants, id)
		}
	}
	return b
}

func (m *machine) announce(s *modelServer) {
	s.heard = m.now
	if !slices.Contains(s.announced, s.incarnation) {
		s.announced = append(s.announced, s.incarnation)
	}
	m.act(m.a.Announce(m.now, m.announcement(s)))
}

func (m *machine) Announce(t *rapid.T) {
	m.t = t
	id := rapid.SampledFrom([]string{"s1", "s2", "s3"}).Draw(t, "server")
	s := m.servers[id]
	if s == nil {
		s = &modelServer{id: id, agent: "agent-" + id, incarnation: 1, slots: rapid.IntRange(1, 6).Draw(t, "slots")}
		m.servers[id] = s
	}
	if rapid.IntRange(0, 5).Draw(t, "restart") == 0 {
		m.drop(id)
		s.incarnation++
	}
	s.usable = rapid.IntRange(0, 4).Draw(t, "leaving") > 0
	m.announce(s)
	if len(s.announced) > 1 && rapid.Bool().Draw(t, "outdated") {
		old := m.announcement(s)
		old.Incarnation, old.Leaving, old.Slots = fmt.Sprint(s.announced[0]), false, 6
		m.act(m.a.Announce(m.now, old))
	}
}

func (m *machine) AgentLost(t *rapid.T) {
	m.t = t
	s := m.servers[m.drawKey("server", keysOf(m.servers))]
	m.drop(s.id)
	s.usable = false
	s.incarnation++ // the host was replaced
	m.act(m.a.AgentLost(m.now, s.agent))
}

func (m *machine) Ask(t *rapid.T) {
	m.t = t
	owner := rapid.SampledFrom([]string{"owner1", "owner2"}).Draw(t, "owner")
	q := allocator.Ask{
		Owner:    owner,
		Customer: rapid.SampledFrom([]string{"plain", "limited", "heavy"}).Draw(t, "customer"),
		Route:    rapid.SampledFrom([]string{"fast", "slow"}).Draw(t, "route"),
		Count:    rapid.IntRange(1, 8).Draw(t, "count"),
		Age:      time.Duration(rapid.IntRange(0, 6000).Draw(t, "age")) * time.Millisecond,
		Deadline: time.Duration(rapid.IntRange(0, 8000).Draw(t, "deadline")) * time.Millisecond,
		Avoid:    rapid.SliceOfN(rapid.SampledFrom([]string{"s1", "s2"}), 0, 2).Draw(t, "avoid"),
	}
	if len(m.asks) > 0 && rapid.IntRange(0, 5).Draw(t, "replace") == 0 {
		k := m.asks[m.drawKey("ask", keysOf(m.asks))]
		q.Owner, q.ID, q.Customer = k.owner, k.id, k.customer
	} else {
		m.next++
		q.ID = fmt.Sprint("ask", m.next)
	}
	m.asks[q.Owner+"/"+q.ID] = &modelAsk{owner: q.Owner, id: q.ID, customer: q.Customer, left: q.Count}
	m.act(m.a.Ask(m.now, q))
}

func (m *machine) Withdraw(t *rapid.T) {
	m.t = t
	k := m.asks[m.drawKey("ask", keysOf(m.asks))]
	count := rapid.IntRange(0, k.left).Draw(t, "count")
	taken := count
	if count == 0 {
		taken = k.left
	}
	m.take(k.owner, k.id, taken)
	m.act(m.a.Withdraw(m.now, k.owner, k.id, count))
}

func (m *machine) End(t *rapid.T) {
	m.t = t
	g := m.grants[m.drawKey("grant", keysOf(m.grants))]
	delete(m.grants, g.ID)
	if rapid.IntRange(0, 5).Draw(t, "return") == 0 {
		m.act(m.a.Return(m.now, g.ID))
		return
	}
	route := rapid.SampledFrom([]string{"fast", "slow"}).Draw(t, "route")
	outcomes := []allocator.Outcome{allocator.Succeeded, allocator.Cancelled, allocator.Unused}
	if g.BackendServer == "s3" {
		outcomes = []allocator.Outcome{allocator.Errored}
	}
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
	for key, k := range m.asks {
		if k.owner == owner {
			delete(m.asks, key)
		}
	}
	m.act(m.a.OwnerLost(m.now, owner))
}

func (m *machine) Pass(t *rapid.T) {
	m.t = t
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "milliseconds")) * time.Millisecond)
	for _, id := range slices.Sorted(slices.Values(keysOf(m.servers))) {
		if s := m.servers[id]; s.usable && rapid.IntRange(0, 9).Draw(t, "heartbeat") > 0 {
			m.announce(s)
		}
	}
	m.act(m.a.Tick(m.now))
}

// Check compares the account of the allocator with the model.
func (m *machine) Check(t *rapid.T) {
	left := 0
	for _, k := range m.asks {
		left += k.left
	}
	stats := m.a.Stats()
	if stats.QueuedTasks != left || stats.QueuedAsks != len(m.asks) {
		t.Fatalf("got %d tasks of %d asks in the queue, want %d of %d",
			stats.QueuedTasks, stats.QueuedAsks, left, len(m.asks))
	}
	if stats.QueuedTasks > m.pool.QueueLimit {
		t.Fatalf("got %d tasks in a queue of at most %d", stats.QueuedTasks, m.pool.QueueLimit)
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
