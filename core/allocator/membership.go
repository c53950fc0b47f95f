package allocator

import (
	"maps"
	"slices"
	"strings"
	"time"

	"dogwoodglade/core/event"
)

const (
	// agentSilence is the silence after which a backend server gets no grants.
	agentSilence = 2 * time.Second
	// serverRetention is how long the grants of a silent server count against quotas: its tasks may run
	// on if only the connection was lost.
	serverRetention = 10 * time.Second
	// incarnationRetention is how long replaced incarnations are remembered, as long as the agents' start
	// records.
	incarnationRetention = 10 * time.Minute
	reclaimedRetention   = time.Minute
	routeRetention       = 10 * time.Minute
)

// server is a backend server.
type server struct {
	id          string
	agent       string
	incarnation string
	announced   int
	slots       int
	leaving     bool
	present     bool // heard within agentSilence
	heard       int64
	grants      []*grant
	long        int              // grants of long work
	limited     int              // of them, those in unreserved slots
	replaced    map[string]int64 // earlier incarnations, by the time of their replacement
	health      health
	counted     counted

	level, bucketAt int // place in the slot index

	heardAt, ejectedAt, probedAt int // positions in heaps
}

// counted is the part of a server in the totals of the pool.
type counted struct {
	members  int // 1 if present and not leaving
	capacity int
	free     int
	long     int
	limited  int
}

func newSilenceHeap() indexedHeap[*server] {
	return newHeap(
		func(x, y *server) bool {
			if x.heard != y.heard {
				return x.heard < y.heard
			}
			return x.id < y.id
		},
		func(s *server) *int { return &s.heardAt })
}

// adopt takes over an announcement. It returns nil if the announcement is outdated or of another pool.
func (a *Allocator) adopt(b BackendServer) *server {
	s, known := a.servers[b.ID]
	if b.Pool != "" && b.Pool != a.pool.Name {
		if known && s.incarnation == b.Incarnation {
			a.setPresent(s, false)
		}
		return nil
	}
	if !known {
		s = &server{id: b.ID, incarnation: b.Incarnation, replaced: map[string]int64{}}
		a.servers[b.ID] = s
	}
	if s.incarnation != b.Incarnation {
		if _, old := s.replaced[b.Incarnation]; old {
			return nil
		}
		a.replace(s, b.Incarnation)
	}
	if s.agent != b.Agent {
		a.assign(s, b.Agent)
	}
	s.announced = b.Slots
	s.heard = a.now
	if b.Leaving && !s.leaving {
		a.recordServer(event.BackendLeaving, s, "")
	}
	s.leaving = b.Leaving
	a.setPresent(s, true)
	return s
}

// replace starts a new incarnation of a server. The tasks of the old one ended with it. A server that was
// ejected is probed before it gets more work.
func (a *Allocator) replace(s *server, incarnation string) {
	for len(s.grants) > 0 {
		a.detach(s.grants[len(s.grants)-1])
	}
	s.replaced[s.incarnation] = a.now
	s.incarnation = incarnation
	a.renewHealth(s)
}

func (a *Allocator) assign(s *server, agent string) {
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
	a.silence.set(s, present)
	a.place(s)
}

// place renews the place of a server in the slot index and its part in the totals.
func (a *Allocator) place(s *server) {
	s.slots = s.announced
	if a.pool.Slots > 0 {
		s.slots = a.pool.Slots
	}
	s.slots = min(max(s.slots, 0), maxSlots)
	var now counted
	if s.present && !s.leaving {
		now = counted{members: 1, capacity: s.slots, free: max(s.slots-len(s.grants), 0), long: s.long, limited: s.limited}
		switch s.health.state {
		case healthy:
		case ejected:
			now = counted{members: 1}
		case probing:
			now.capacity, now.long, now.limited = min(s.slots, 1), 0, 0
			now.free = min(now.free, 1)
			if s.health.probe != nil {
				now.free = 0
			}
		}
	}
	old := s.counted
	s.counted = now
	if a.members == 0 && now.members > 0 {
		a.warmSince = a.now
	}
	a.members += now.members - old.members
	a.capacity += now.capacity - old.capacity
	a.free += now.free - old.free
	a.longInUse += now.long - old.long
	a.limitedInUse += now.limited - old.limited
	if now.members != old.members && a.members == 0 {
		a.emptySince = a.now
	}
	level := now.free
	if level > 0 && s.health.state == probing {
		level = probeLevel
	}
	a.slots.move(s, level)
	a.ejected.set(s, now.members > 0 && s.health.state == ejected)
	a.probed.set(s, now.members > 0 && s.health.state == probing)
}

// silenceServers takes the servers out that were not announced in time.
func (a *Allocator) silenceServers() {
	for a.silence.len() > 0 && a.now-a.silence.top().heard >= int64(agentSilence) {
		a.setPresent(a.silence.top(), false)
		a.limitEjected()
	}
}

// forgetServers ends the grants of servers that stay away, and drops what outdated announcements can no
// longer contradict.
func (a *Allocator) forgetServers() {
	for _, s := range sortedServers(a.servers) {
		for incarnation, at := range s.replaced {
			if a.now-at > int64(incarnationRetention) {
				delete(s.replaced, incarnation)
			}
		}
		if s.present || a.now-s.heard < int64(serverRetention) {
			continue
		}
		for len(s.grants) > 0 {
			a.reclaim(s.grants[len(s.grants)-1])
		}
		if a.now-s.heard >= int64(incarnationRetention) {
			a.dropServer(s)
		}
	}
	for id, at := range a.reclaimed {
		if a.now-at > int64(reclaimedRetention) {
			delete(a.reclaimed, id)
		}
	}
}

// sortedServers gives loops over servers a reproducible order.
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
