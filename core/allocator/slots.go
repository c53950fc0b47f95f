package allocator

import (
	"math/bits"
	"slices"
	"strconv"
	"strings"
	"time"

	"dogwoodglade/core/event"
)

const (
	maxSlots = 1024 // of a backend server, the bound of the pool's column

	// probeLevel is the bucket of the servers that wait for a probe. They come first: at a moderate load,
	// a server with few free slots would never get its probe.
	probeLevel = maxSlots + 1

	// startGrace is how long the start of a grant may be in transit before the agent's heartbeats list it.
	startGrace = time.Second

	shortMark = "/S/"
	longMark  = "/L/"
)

// grant is a slot in use. Rebuilt grants come from heartbeats; their owner and route are unknown.
type grant struct {
	id       string
	server   *server
	index    int       // in the server's grants
	owner    *owner    // nil if rebuilt
	customer *customer // nil if unknown
	route    *routeState
	class    class
	limited  bool // long work in an unreserved slot
	at       int64
	charge   float64
	listed   bool   // by a heartbeat
	mark     uint64 // of the last heartbeat that listed it
	probe    bool

	previousOfRoute, nextOfRoute *grant
}

// slotIndex finds the backend server with the most free slots in constant time: servers are kept in one
// bucket for each number of free slots.
type slotIndex struct {
	buckets [probeLevel + 1][]*server
	levels  [probeLevel/64 + 1]uint64 // bit set: the bucket is not empty
	cursor  int
}

// move puts the server into the bucket of a level, which is its number of free slots; 0 removes it.
func (x *slotIndex) move(s *server, level int) {
	if s.level == level {
		return
	}
	if s.level > 0 {
		bucket := x.buckets[s.level]
		end := len(bucket) - 1
		bucket[s.bucketAt] = bucket[end]
		bucket[s.bucketAt].bucketAt = s.bucketAt
		bucket[end] = nil
		x.buckets[s.level] = bucket[:end]
		if end == 0 {
			x.levels[s.level/64] &^= 1 << (s.level % 64)
		}
	}
	s.level = level
	if level > 0 {
		s.bucketAt = len(x.buckets[level])
		x.buckets[level] = append(x.buckets[level], s)
		x.levels[level/64] |= 1 << (level % 64)
	}
}

// below returns the highest level that is lower than the given one and not empty, or 0.
func (x *slotIndex) below(level int) int {
	mask := uint64(1)<<(level%64) - 1
	for word := level / 64; word >= 0; word-- {
		if set := x.levels[word] & mask; set != 0 {
			return word*64 + bits.Len64(set) - 1
		}
		mask = ^uint64(0)
	}
	return 0
}

// pick returns a server with the most free slots, if possible none of those to avoid, or nil. It passes
// over at most as many servers as are to be avoided. Servers with equally many free slots take turns.
func (x *slotIndex) pick(avoid []string) *server {
	x.cursor++
	var fallback *server
	for level := x.below(probeLevel + 1); level > 0; level = x.below(level) {
		bucket := x.buckets[level]
		for i := range bucket {
			s := bucket[(x.cursor+i)%len(bucket)]
			if !slices.Contains(avoid, s.id) {
				return s
			}
			if fallback == nil {
				fallback = s
			}
		}
	}
	return fallback
}

// grantSlot gives a slot of the server to the ask.
func (a *Allocator) grantSlot(k *ask, level access, s *server) {
	l := k.lane
	c, r := l.customer, l.route
	g := &grant{
		id:     a.newGrantID(c, r.class),
		server: s, owner: k.owner, customer: c, route: r, class: r.class, at: a.now,
		limited: r.class == long && level != reservedSlots,
		probe:   s.health.state == probing,
	}
	g.charge = a.charge(c, r)
	r.link(g)
	c.inUse++
	k.owner.grants++
	k.granted++
	a.attach(g)
	if g.probe {
		a.recordServer(event.BackendProbed, s, "")
	}
	a.place(s)
	a.granted++
	a.actions = append(a.actions, Grant{
		ID: g.id, Ask: k.id, Owner: k.owner.name, Allocator: a.self,
		Agent: s.agent, BackendServer: s.id, Incarnation: s.incarnation,
	})
	a.record(event.Event{
		Number: event.SlotGranted, Task: -1, Customer: c.name, Route: r.name, Peer: s.id, State: g.id,
	})
	a.shrink(k, 1)
}

// newGrantID returns an ID that no other allocator uses. It ends with class and customer, so that a
// successor can rebuild the quotas from the heartbeats.
func (a *Allocator) newGrantID(c *customer, of class) string {
	a.grantSequence++
	a.scratch = append(a.scratch[:0], a.prefix...)
	a.scratch = strconv.AppendUint(a.scratch, a.grantSequence, 36)
	a.scratch = append(a.scratch, c.suffix[of]...)
	return string(a.scratch)
}

// parseGrantID returns the class and the customer of a grant of any allocator.
func parseGrantID(id string) (of class, customer string, ok bool) {
	at := strings.LastIndexByte(id, '/')
	if at < len(shortMark)-1 {
		return short, "", false
	}
	switch id[at-2 : at+1] {
	case shortMark:
		return short, id[at+1:], true
	case longMark:
		return long, id[at+1:], true
	}
	return short, "", false
}

func (a *Allocator) attach(g *grant) {
	s := g.server
	g.index = len(s.grants)
	s.grants = append(s.grants, g)
	s.countLong(g, 1)
	if g.probe {
		s.health.probe = g
	}
	a.grants[g.id] = g
}

func (s *server) countLong(g *grant, sign int) {
	if g.class == long {
		s.long += sign
	}
	if g.limited {
		s.limited += sign
	}
}

// changeClass adapts a running grant to the new class of its route.
func (a *Allocator) changeClass(g *grant, to class) {
	g.server.countLong(g, -1)
	g.class, g.limited = to, to == long
	g.server.countLong(g, 1)
	a.place(g.server)
}

// detach ends a grant and frees its slot. The caller places the server.
func (a *Allocator) detach(g *grant) {
	s := g.server
	end := len(s.grants) - 1
	s.grants[g.index] = s.grants[end]
	s.grants[g.index].index = g.index
	s.grants[end] = nil
	s.grants = s.grants[:end]
	s.countLong(g, -1)
	if s.health.probe == g {
		s.health.probe = nil
	}
	delete(a.grants, g.id)
	if g.route != nil {
		g.route.unlink(g)
	}
	if g.owner != nil {
		g.owner.grants--
	}
	if g.customer != nil {
		g.customer.inUse--
		a.refresh(g.customer)
	}
}

// reclaim ends a grant without a release. A heartbeat that lists it later brings it back.
func (a *Allocator) reclaim(g *grant) {
	a.reclaimed[g.id] = a.now
	a.detach(g)
	a.recordServer(event.SlotReturned, g.server, g.id)
}

// reconcile compares the grants of a server with those that its heartbeat lists.
func (a *Allocator) reconcile(s *server, listed []string) {
	a.heartbeats++
	for _, id := range listed {
		g, ok := a.grants[id]
		if !ok {
			g = a.rebuild(s, id)
		}
		if g != nil {
			g.listed, g.mark = true, a.heartbeats
		}
	}
	for i := len(s.grants) - 1; i >= 0; i-- {
		g := s.grants[i]
		if g.mark == a.heartbeats {
			continue
		}
		since := g.at
		if g.owner != nil {
			since = max(since, g.owner.lostAt)
		}
		if g.listed || a.now-since >= int64(startGrace) {
			a.reclaim(g)
		}
	}
}

// rebuild takes over a grant that another allocator gave, or that this one reclaimed too early. Any other
// grant of this allocator was released after the heartbeat was made.
func (a *Allocator) rebuild(s *server, id string) *grant {
	if _, ok := a.reclaimed[id]; !ok && a.prefix != "" && strings.HasPrefix(id, a.prefix) {
		return nil
	}
	delete(a.reclaimed, id)
	g := &grant{id: id, server: s, at: a.now}
	if of, name, ok := parseGrantID(id); ok {
		if a.options.Classes {
			g.class, g.limited = of, of == long
		}
		g.customer = a.customerOf(name)
		g.customer.inUse++
		a.refresh(g.customer)
	}
	a.attach(g)
	return g
}
