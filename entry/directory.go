package entry

import (
	"maps"
	"slices"
	"sync"
	"time"

	"dogwoodglade/core/allocator"
	"dogwoodglade/io/inner"
)

// directory holds an entry's connections by the name of the peer.
type directory struct {
	mu           sync.Mutex
	entries      map[string]*inner.Peer // on connections that this entry opened
	agents       map[string]*agentState
	poolByServer map[string]string
}

// agentState is what an entry knows about an agent.
type agentState struct {
	peer          *inner.Peer // nil while the agent is not connected
	incarnation   string
	lastHeartbeat time.Time
	lostAt        time.Time // when the connection was lost
}

func (d *directory) init() {
	d.entries = map[string]*inner.Peer{}
	d.agents = map[string]*agentState{}
	d.poolByServer = map[string]string{}
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

// addAgent replaces the connection of an agent. It returns the previous connection, if any, and the previous
// run of the agent if the new connection is from another run.
func (d *directory) addAgent(p *inner.Peer, now time.Time) (previousRun *agentRun, previousPeer *inner.Peer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	previous := d.agents[p.Name]
	d.agents[p.Name] = &agentState{peer: p, incarnation: p.Incarnation, lastHeartbeat: now}
	switch {
	case previous == nil:
		return nil, nil
	case previous.incarnation == p.Incarnation:
		return nil, previous.peer
	}
	return &agentRun{p.Name, previous.incarnation}, previous.peer
}

// removeAgent records the loss of a connection. It reports false if the connection had already been replaced.
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

// recordHeartbeat records the time of an agent's heartbeat and the pools of its backend servers.
func (d *directory) recordHeartbeat(p *inner.Peer, servers []allocator.BackendServer, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if a := d.agents[p.Name]; a != nil && a.peer == p {
		a.lastHeartbeat = now
	}
	for _, s := range servers {
		d.poolByServer[s.ID] = s.Pool
	}
}

func (d *directory) poolOf(backendServer string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.poolByServer[backendServer]
}

// expire returns the connections of agents whose heartbeats have stopped. It also removes and returns the
// agents that did not reconnect in time, whose tasks count as lost.
func (d *directory) expire(now time.Time) (timedOut []*inner.Peer, lost []agentRun) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, a := range d.agents {
		switch {
		case a.peer != nil && now.Sub(a.lastHeartbeat) > agentHeartbeatTimeout:
			timedOut = append(timedOut, a.peer)
		case a.peer == nil && now.Sub(a.lostAt) > agentReconnectTimeout:
			lost = append(lost, agentRun{name, a.incarnation})
			delete(d.agents, name)
		}
	}
	return timedOut, lost
}
