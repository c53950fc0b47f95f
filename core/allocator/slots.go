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
	maxSlots = 1024 // of a backend server; the limit of the Slots column of a pool

	// probeBucket is the bucket of the servers that wait for a probe. It ranks above all others: such a server counts
	// as having one free slot, and at a moderate load the servers with more free slots would get all grants.
	probeBucket = maxSlots + 1

	// startTransitLimit is how long the start message for a grant may be in transit. After that, the agent's
	// heartbeats must list the grant.
	startTransitLimit = time.Second

	shortSeparator = "/S/"
	longSeparator  = "/L/"
)

// grant is a slot in use. The owner and the route of a grant that was rebuilt from a heartbeat are unknown.
type grant struct {
	id            string
	server        *server
	index         int       // position in the server's grants
	owner         *owner    // nil if rebuilt
	customer      *customer // nil if unknown
	route         *routeState
	class         class
	unreserved    bool // long work in an unreserved slot
	grantedAt     int64
	charge        float64
	listed        bool   // whether a heartbeat has listed it
	lastHeartbeat uint64 // number of the last heartbeat that listed it
	probe         bool

	previousOfRoute, nextOfRoute *grant
}

// slotIndex finds the backend server with the most free slots in constant time. It has one bucket of servers for
// each number of free slots.
type slotIndex struct {
	buckets  [probeBucket + 1][]*server
	occupied [probeBucket/64 + 1]uint64 // bitmap of the buckets that are not empty
	cursor   int
}

// move moves the server to a bucket, which is its number of free slots or probeBucket. Bucket 0 removes it.
func (x *slotIndex) move(s *server, target int) {
	if s.bucket == target {
		return
	}
	if s.bucket > 0 {
		bucket := x.buckets[s.bucket]
		end := len(bucket) - 1
		bucket[s.bucketIndex] = bucket[end]
		bucket[s.bucketIndex].bucketIndex = s.bucketIndex
		bucket[end] = nil
		x.buckets[s.bucket] = bucket[:end]
		if end == 0 {
			x.occupied[s.bucket/64] &^= 1 << (s.bucket % 64)
		}
	}
	s.bucket = target
	if target > 0 {
		s.bucketIndex = len(x.buckets[target])
		x.buckets[target] = append(x.buckets[target], s)
		x.occupied[target/64] |= 1 << (target % 64)
	}
}

// nextBelow returns the highest non-empty bucket below the given one, or 0.
func (x *slotIndex) nextBelow(bucket int) int {
	mask := uint64(1)<<(bucket%64) - 1
	for word := bucket / 64; word >= 0; word-- {
		if set := x.occupied[word] & mask; set != 0 {
			return word*64 + bits.Len64(set) - 1
		}
		mask = ^uint64(0)
	}
	return 0
}

// pick returns the server with the most free slots, or nil. It returns a server to avoid only if there is no
// other one, and skips at most as many servers as are to be avoided. Servers with equally many free slots are
// picked in rotation.
func (x *slotIndex) pick(avoid []string) *server {
	x.cursor++
	var fallback *server
	for number := x.nextBelow(probeBucket + 1); number > 0; number = x.nextBelow(number) {
		bucket := x.buckets[number]
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

// grantSlot grants a slot of the server to the request.
func (a *Allocator) grantSlot(req *queuedRequest, tier slotTier, s *server) {
	l := req.lane
	c, r := l.customer, l.route
	g := &grant{
		id:     a.newGrantID(c, r.class),
		server: s, owner: req.owner, customer: c, route: r, class: r.class, grantedAt: a.now,
		unreserved: r.class == long && tier != reservedSlots,
		probe:      s.health.state == probing,
	}
	g.charge = a.charge(c, r)
	r.addGrant(g)
	c.inUse++
	req.owner.grants++
	req.granted++
	a.addGrant(g)
	if g.probe {
		a.recordServer(event.BackendProbed, s, "")
	}
	a.reindex(s)
	a.granted++
	a.actions = append(a.actions, Grant{
		ID: g.id, RequestID: req.id, Owner: req.owner.name, Allocator: a.self,
		Agent: s.agent, BackendServer: s.id, Incarnation: s.incarnation,
	})
	a.record(event.Event{
		Number: event.SlotGranted, Task: -1, Customer: c.name, Route: r.name, Peer: s.id, State: g.id,
	})
	a.shrink(req, 1)
}

// newGrantID returns an ID that is unique across allocators. It ends with the class and the customer, so that a
// successor can rebuild the use of quotas from the heartbeats.
func (a *Allocator) newGrantID(c *customer, grantClass class) string {
	a.grantSequence++
	a.scratch = append(a.scratch[:0], a.prefix...)
	a.scratch = strconv.AppendUint(a.scratch, a.grantSequence, 36)
	a.scratch = append(a.scratch, c.suffix[grantClass]...)
	return string(a.scratch)
}

// parseGrantID returns the class and the customer from the ID of a grant by any allocator.
func parseGrantID(id string) (grantClass class, customer string, ok bool) {
	at := strings.LastIndexByte(id, '/')
	if at < len(shortSeparator)-1 {
		return short, "", false
	}
	switch id[at-2 : at+1] {
	case shortSeparator:
		return short, id[at+1:], true
	case longSeparator:
		return long, id[at+1:], true
	}
	return short, "", false
}

func (a *Allocator) addGrant(g *grant) {
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
		s.longGrants += sign
	}
	if g.unreserved {
		s.unreservedLong += sign
	}
}

// changeClass moves a running grant to the new class of its route.
func (a *Allocator) changeClass(g *grant, to class) {
	g.server.countLong(g, -1)
	g.class, g.unreserved = to, to == long
	g.server.countLong(g, 1)
	a.reindex(g.server)
}

// removeGrant ends a grant and frees its slot. The caller must call reindex for the server.
func (a *Allocator) removeGrant(g *grant) {
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
		g.route.removeGrant(g)
	}
	if g.owner != nil {
		g.owner.grants--
	}
	if g.customer != nil {
		g.customer.inUse--
		a.refresh(g.customer)
	}
}

// reclaimGrant ends a grant that was not released. A later heartbeat that lists the grant restores it.
func (a *Allocator) reclaimGrant(g *grant) {
	a.reclaimed[g.id] = a.now
	a.removeGrant(g)
	a.recordServer(event.SlotReturned, g.server, g.id)
}

// reconcileGrants rebuilds unknown grants that a server's heartbeat lists, and reclaims grants that it no longer
// lists or does not list in time.
func (a *Allocator) reconcileGrants(s *server, listed []string) {
	a.heartbeats++
	for _, id := range listed {
		g, ok := a.grants[id]
		if !ok {
			g = a.rebuildGrant(s, id)
		}
		if g != nil {
			g.listed, g.lastHeartbeat = true, a.heartbeats
		}
	}
	for i := len(s.grants) - 1; i >= 0; i-- {
		g := s.grants[i]
		if g.lastHeartbeat == a.heartbeats {
			continue
		}
		since := g.grantedAt
		if g.owner != nil {
			since = max(since, g.owner.lostAt)
		}
		if g.listed || a.now-since >= int64(startTransitLimit) {
			a.reclaimGrant(g)
		}
	}
}

// rebuildGrant adds a listed grant that another allocator made, or that this one reclaimed too early. It returns
// nil for any other grant of this allocator, which was released after the heartbeat was sent.
func (a *Allocator) rebuildGrant(s *server, id string) *grant {
	if _, ok := a.reclaimed[id]; !ok && a.prefix != "" && strings.HasPrefix(id, a.prefix) {
		return nil
	}
	delete(a.reclaimed, id)
	g := &grant{id: id, server: s, grantedAt: a.now}
	if grantClass, name, ok := parseGrantID(id); ok {
		if a.options.Classes {
			g.class, g.unreserved = grantClass, grantClass == long
		}
		g.customer = a.customerOf(name)
		g.customer.inUse++
		a.refresh(g.customer)
	}
	a.addGrant(g)
	return g
}
