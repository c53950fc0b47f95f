package allocator

import (
	"maps"
	"slices"
	"strings"
	"time"

	"dogwoodglade/core/event"
)

const (
	// heartbeatTimeout is the time without an announcement after which a backend server gets no grants.
	heartbeatTimeout = 2 * time.Second
	// serverRetention is how long the grants of a server without heartbeats count against quotas: if only the
	// connection was lost, its tasks may still be running.
	serverRetention = 10 * time.Second
	// incarnationRetention is how long replaced incarnations are remembered. The agents keep their start records
	// for the same time.
	incarnationRetention = 10 * time.Minute
	reclaimedRetention   = time.Minute
	routeRetention       = 10 * time.Minute
)

// server is a backend server.
type server struct {
	id                   string
	agent                string
	incarnation          string
	announcedSlots       int
	slots                int
	leaving              bool
	present              bool // announced within heartbeatTimeout, and its agent is connected
	lastHeartbeat        int64
	grants               []*grant
	longGrants           int              // number of grants of long work
	unreservedLong       int              // number of those in unreserved slots
	replacedIncarnations map[string]int64 // time at which each earlier incarnation was replaced
	health               health
	contribution         serverContribution

	bucket, bucketIndex int // position in the slot index

	heartbeatIndex, ejectedIndex, probingIndex int // positions in heaps
}

// serverContribution is what a server adds to the totals of the pool.
type serverContribution struct {
	members        int // 1 if present and not leaving
	capacity       int
	free           int
	long           int
	unreservedLong int
}

func newHeartbeatHeap() indexedHeap[*server] {
	return newHeap(
		func(x, y *server) bool {
			if x.lastHeartbeat != y.lastHeartbeat {
				return x.lastHeartbeat < y.lastHeartbeat
			}
			return x.id < y.id
		},
		func(s *server) *int { return &s.heartbeatIndex })
}

// applyAnnouncement updates the announced server. It returns nil if the announcement comes from a replaced
// incarnation or names another pool.
func (a *Allocator) applyAnnouncement(b BackendServer) *server {
	s, known := a.servers[b.ID]
	if b.Pool != "" && b.Pool != a.pool.Name {
		if known && s.incarnation == b.Incarnation {
			a.setPresent(s, false)
		}
		return nil
	}
	if !known {
		s = &server{id: b.ID, incarnation: b.Incarnation, replacedIncarnations: map[string]int64{}}
		a.servers[b.ID] = s
	}
	if s.incarnation != b.Incarnation {
		if _, old := s.replacedIncarnations[b.Incarnation]; old {
			return nil
		}
		a.startIncarnation(s, b.Incarnation)
	}
	if s.agent != b.Agent {
		a.setAgent(s, b.Agent)
	}
	s.announcedSlots = b.Slots
	s.lastHeartbeat = a.now
	if b.Leaving && !s.leaving {
		a.recordServer(event.BackendLeaving, s, "")
	}
	s.leaving = b.Leaving
	a.setPresent(s, true)
	return s
}

// startIncarnation records that a server restarted. The tasks of the previous incarnation ended with it. A
// server that was ejected is probed before it gets more work.
func (a *Allocator) startIncarnation(s *server, incarnation string) {
	for len(s.grants) > 0 {
		a.removeGrant(s.grants[len(s.grants)-1])
	}
	s.replacedIncarnations[s.incarnation] = a.now
	s.incarnation = incarnation
	a.resetHealth(s)
}

func (a *Allocator) setAgent(s *server, agent string) {
	delete(a.agents[s.agent], s.id)
	if a.agents[agent] == nil {
		a.agents[agent] = map[string]*server{}
	}
	a.agents[agent][s.id] = s
	s.agent = agent
}

func (a *Allocator) setPresent(s *server, present bool) {
	switch {
	case present == s.present:
	case present:
		a.recordServer(event.BackendAnnounced, s, s.incarnation)
	case !s.leaving:
		a.recordServer(event.BackendLost, s, s.incarnation)
	}
	s.present = present
	a.byHeartbeat.set(s, present)
	a.reindex(s)
}

// reindex updates a server's position in the slot index and the ejection heaps, and its part of the totals.
func (a *Allocator) reindex(s *server) {
	s.slots = s.announcedSlots
	if a.pool.Slots > 0 {
		s.slots = a.pool.Slots
	}
	s.slots = min(max(s.slots, 0), maxSlots)
	var current serverContribution
	if s.present && !s.leaving {
		current = serverContribution{
			members: 1, capacity: s.slots, free: max(s.slots-len(s.grants), 0),
			long: s.longGrants, unreservedLong: s.unreservedLong,
		}
		switch s.health.state {
		case healthy:
		case ejected:
			current = serverContribution{members: 1}
		case probing:
			current.capacity, current.long, current.unreservedLong = min(s.slots, 1), 0, 0
			current.free = min(current.free, 1)
			if s.health.probe != nil {
				current.free = 0
			}
		}
	}
	old := s.contribution
	s.contribution = current
	if a.members == 0 && current.members > 0 {
		a.warmUpStart = a.now
	}
	a.members += current.members - old.members
	a.capacity += current.capacity - old.capacity
	a.free += current.free - old.free
	a.longInUse += current.long - old.long
	a.unreservedLongInUse += current.unreservedLong - old.unreservedLong
	if current.members != old.members && a.members == 0 {
		a.emptySince = a.now
	}
	bucket := current.free
	if bucket > 0 && s.health.state == probing {
		bucket = probeBucket
	}
	a.slots.move(s, bucket)
	a.ejected.set(s, current.members > 0 && s.health.state == ejected)
	a.probing.set(s, current.members > 0 && s.health.state == probing)
}

// expireHeartbeats makes the servers unavailable that were not announced within heartbeatTimeout.
func (a *Allocator) expireHeartbeats() {
	for a.byHeartbeat.len() > 0 && a.now-a.byHeartbeat.top().lastHeartbeat >= int64(heartbeatTimeout) {
		a.setPresent(a.byHeartbeat.top(), false)
		a.limitEjected()
	}
}

// dropAbsentServers ends the grants of servers that have been absent for serverRetention. It also removes servers,
// replaced incarnations and reclaimed grants once no outdated announcement of them is expected any more.
func (a *Allocator) dropAbsentServers() {
	for _, s := range sortedServers(a.servers) {
		for incarnation, at := range s.replacedIncarnations {
			if a.now-at > int64(incarnationRetention) {
				delete(s.replacedIncarnations, incarnation)
			}
		}
		if s.present || a.now-s.lastHeartbeat < int64(serverRetention) {
			continue
		}
		for len(s.grants) > 0 {
			a.reclaimGrant(s.grants[len(s.grants)-1])
		}
		if a.now-s.lastHeartbeat >= int64(incarnationRetention) {
			a.dropServer(s)
		}
	}
	for id, at := range a.reclaimed {
		if a.now-at > int64(reclaimedRetention) {
			delete(a.reclaimed, id)
		}
	}
}

// sortedServers returns the servers in the order of their IDs, so that loops over them are reproducible.
func sortedServers(servers map[string]*server) []*server {
	return slices.SortedFunc(maps.Values(servers), func(x, y *server) int { return strings.Compare(x.id, y.id) })
}

func (a *Allocator) dropServer(s *server) {
	delete(a.servers, s.id)
	delete(a.agents[s.agent], s.id)
	if len(a.agents[s.agent]) == 0 {
		delete(a.agents, s.agent)
	}
}

func (a *Allocator) recordServer(number event.Number, s *server, state string) {
	a.record(event.Event{Number: number, Task: -1, Peer: s.id, State: state})
}
