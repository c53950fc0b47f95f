package entry

import (
	"maps"
	"slices"
	"sync"
	"time"

	"dogwoodglade/core/allocator"
	"dogwoodglade/io/inner"
)

// directory holds the connections of an entry by the name of the peer.
type directory struct {
	mu       sync.Mutex
	entries  map[string]*inner.Peer // connections that this entry dialled
	agents   map[string]*agentState
	serverOf map[string]string // pool by backend server
}

// agentState is what an entry knows about an agent.
type agentState struct {
	peer        *inner.Peer // nil while the agent is not connected
	incarnation string
	heard       time.Time
	lostAt      time.Time // when the connection was lost
}

func (d *directory) init() {
	d.entries = map[string]*inner.Peer{}
	d.agents = map[string]*agentState{}
	d.serverOf = map[string]string{}
}

func (d *directory) entry(name string) *inner.Peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.entries[name]
}

func (d *directory) agent(name string) *inner.Peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	if a := d.agents[name]; a != nil {
		return a.peer
	}
	return nil
}

// connectedEntries returns the entries to which this entry has a connection.
func (d *directory) connectedEntries() []*inner.Peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Collect(maps.Values(d.entries))
}

// connectedAgents returns the agents that are connected, ordered by name.
func (d *directory) connectedAgents() []*inner.Peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	var peers []*inner.Peer
	for _, name := range slices.Sorted(maps.Keys(d.agents)) {
		if p := d.agents[name].peer; p != nil {
			peers = append(peers, p)
		}
	}
	return peers
}

func (d *directory) addEntry(p *inner.Peer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entries[p.Name] = p
}

func (d *directory) removeEntry(p *inner.Peer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.entries[p.Name] == p {
		delete(d.entries, p.Name)
	}
}

// addAgent replaces the agent's connection. It returns the earlier run of the agent, if one was known.
func (d *directory) addAgent(p *inner.Peer, now time.Time) (replaced *registration, old *inner.Peer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.agents[p.Name]
	d.agents[p.Name] = &agentState{peer: p, incarnation: p.Incarnation, heard: now}
	switch {
	case before == nil:
		return nil, nil
	case before.incarnation == p.Incarnation:
		return nil, before.peer
	}
	return &registration{p.Name, before.incarnation}, before.peer
}

// removeAgent notes the loss of a connection. It reports false if the connection was replaced before.
func (d *directory) removeAgent(p *inner.Peer, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.agents[p.Name]
	if a == nil || a.peer != p {
		return false
	}
	a.peer, a.lostAt = nil, now
	return true
}

// heard notes a heartbeat and the pools of the agent's backend servers.
func (d *directory) heard(p *inner.Peer, servers []allocator.BackendServer, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if a := d.agents[p.Name]; a != nil && a.peer == p {
		a.heard = now
	}
	for _, s := range servers {
		d.serverOf[s.ID] = s.Pool
	}
}

func (d *directory) poolOf(backendServer string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.serverOf[backendServer]
}

// expire returns the connections of silent agents, and forgets and returns the agents whose tasks are lost.
func (d *directory) expire(now time.Time) (silent []*inner.Peer, lost []registration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, a := range d.agents {
		switch {
		case a.peer != nil && now.Sub(a.heard) > agentSilence:
			silent = append(silent, a.peer)
		case a.peer == nil && now.Sub(a.lostAt) > agentLossTimeout:
			lost = append(lost, registration{name, a.incarnation})
			delete(d.agents, name)
		}
	}
	return silent, lost
}
