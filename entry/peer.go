package entry

import (
	"context"
	"encoding/json"
	"time"

	"dogwoodglade/core/allocator"
	"dogwoodglade/core/event"
	"dogwoodglade/core/job"
	"dogwoodglade/core/ownership"
	"dogwoodglade/core/table"
	"dogwoodglade/core/task"
	"dogwoodglade/io/inner"
	"dogwoodglade/io/store"
)

// dialled handles the connections that this entry opened to other entries. It sends on them; the other
// entry sends on the connection that it opened itself.
type dialled struct{ inbound }

// Connected implements inner.Handler.
func (d dialled) Connected(p *inner.Peer) {
	if p.Role != inner.RoleEntry || p.Incarnation == d.incarnation {
		return
	}
	d.directory.addEntry(p)
	d.record(event.Event{Number: event.EntryConnected, Task: -1, Peer: p.Name})
	d.ping(time.Now())
	addresses := d.entryAddresses()
	for _, agent := range d.directory.connectedAgents() {
		agent.Entries(addresses)
	}
}

// Disconnected implements inner.Handler.
func (d dialled) Disconnected(p *inner.Peer) {
	d.directory.removeEntry(p)
	d.tables.ForgetPeer(p.Name)
	d.allocators.lose(p.Name)
}

// Connected implements inner.Handler for connections that others opened.
func (e *Entry) Connected(p *inner.Peer) {
	if p.Role == inner.RoleEntry {
		e.connector.Learn(p.Address)
		return
	}
	now := time.Now()
	replaced, old := e.directory.addAgent(p, now)
	if old != nil {
		go old.Close()
	}
	if replaced != nil {
		e.agentLost(*replaced)
	}
	e.record(event.Event{Number: event.AgentConnected, Task: -1, Peer: p.Name})
	p.Entries(e.entryAddresses())
	e.background.start(func(ctx context.Context) { e.reconcile(ctx, p) })
	e.decideOwnership(func(now time.Time) []ownership.Action {
		return e.ownership.state.AgentConnected(now, p.Name, p.Incarnation)
	})
}

// Disconnected implements inner.Handler for connections that others opened.
func (e *Entry) Disconnected(p *inner.Peer) {
	if p.Role == inner.RoleEntry {
		e.allocators.each(e, func(now time.Time, a *allocator.Allocator) []allocator.Action {
			return a.OwnerLost(now, p.Name)
		})
		return
	}
	if !e.directory.removeAgent(p, time.Now()) || e.closing.Load() {
		return
	}
	e.allocators.each(e, func(now time.Time, a *allocator.Allocator) []allocator.Action {
		return a.AgentLost(now, p.Name)
	})
	e.decideOwnership(func(now time.Time) []ownership.Action {
		return e.ownership.state.AgentLost(now, p.Name, p.Incarnation)
	})
}

// reconcile asks an agent for the fate of the attempts that were sent to it before its connection.
func (e *Entry) reconcile(ctx context.Context, p *inner.Peer) {
	ids := e.inFlight(p.Name)
	if len(ids) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, agentSilence)
	defer cancel()
	reply, err := p.Reconcile(ctx, ids)
	if err != nil {
		p.Close()
		return
	}
	e.eachOwner(func(now time.Time, o *job.Owner) []job.Action {
		return o.Reconciled(now, p.Name, reply.Found, reply.Unseen)
	})
}

func (e *Entry) agentLost(r registration) {
	e.record(event.Event{Number: event.AgentLost, Task: -1, Peer: r.agent})
	e.eachOwner(func(now time.Time, o *job.Owner) []job.Action { return o.AgentLost(now, r.agent) })
}

// settleLost ends what was sent to an agent that is gone. A drained agent left its start records, and can
// start nothing more; the fate of what ran on any other one is unknown.
func (e *Entry) settleLost(ctx context.Context, r registration) {
	ids := e.inFlight(r.agent)
	if len(ids) == 0 {
		e.agentLost(r)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	records, left := e.recordsOf(ctx, r)
	if !left {
		e.agentLost(r)
		return
	}
	found, unseen := match(ids, records)
	e.eachOwner(func(now time.Time, o *job.Owner) []job.Action {
		return o.Reconciled(now, r.agent, found, unseen)
	})
}

// recordsOf returns the start records that a drained agent left.
func (e *Entry) recordsOf(ctx context.Context, r registration) (records []task.Record, left bool) {
	rows, err := e.options.Platform.Get(ctx, store.AgentKey(r.agent, r.incarnation))
	if err != nil || len(rows) == 0 {
		return nil, false
	}
	var row ownership.AgentRow
	if json.Unmarshal(rows[0].Value, &row) != nil || !row.Left {
		return nil, false
	}
	data, err := e.options.Platform.GetObject(ctx, row.Records)
	if err != nil || json.Unmarshal(data, &records) != nil {
		return nil, false
	}
	return records, true
}

// match divides attempts into those with a record and those without one.
func match(ids []task.AttemptID, records []task.Record) (found []task.Record, unseen []task.AttemptID) {
	byID := map[task.AttemptID]task.Record{}
	for _, r := range records {
		byID[r.Attempt] = r
	}
	for _, id := range ids {
		if r, ok := byID[id]; ok {
			found = append(found, r)
		} else {
			unseen = append(unseen, id)
		}
	}
	return found, unseen
}

// inFlight returns the attempts at an agent whose end this entry does not know.
func (e *Entry) inFlight(agent string) []task.AttemptID {
	var ids []task.AttemptID
	e.eachOwner(func(_ time.Time, o *job.Owner) []job.Action {
		ids = append(ids, o.InFlight(agent)...)
		return nil
	})
	return ids
}

func (e *Entry) entryAddresses() []string {
	addresses := []string{e.innerAddress}
	for _, p := range e.directory.connectedEntries() {
		addresses = append(addresses, p.Address)
	}
	return addresses
}

// tickPeers tells peers that this entry is alive, and drops agents that are silent.
func (e *Entry) tickPeers(now time.Time) {
	e.ping(now)
	for _, p := range e.directory.connectedAgents() {
		p.Alive()
	}
	silent, lost := e.directory.expire(now)
	for _, p := range silent {
		go p.Close()
	}
	for _, r := range lost {
		e.background.start(func(ctx context.Context) { e.settleLost(ctx, r) })
	}
}

// ping sends one ping to all peers. It carries corrections for peers that claim a superseded epoch, and the
// ownership forgets them once they are in a ping.
func (e *Entry) ping(now time.Time) {
	e.ownership.mu.Lock()
	ping := e.ownership.state.Ping(now)
	e.ownership.mu.Unlock()
	notification := e.tables.Notification()
	for _, p := range e.directory.connectedEntries() {
		p.Ping(ping, notification)
	}
}

// Ping implements inner.PeerHandler.
func (e *Entry) Ping(p *inner.Peer, ping ownership.Ping, notification table.Notification) {
	e.tables.HandleNotification(p.Name, notification)
	e.decideOwnership(func(now time.Time) []ownership.Action {
		return e.ownership.state.ReceivePing(now, ping)
	})
}

// PullTables implements inner.PeerHandler.
func (e *Entry) PullTables(_ *inner.Peer, since table.Versions) table.PullResponse {
	return e.tables.PullTables(since)
}

// Heartbeat implements inner.AgentEventHandler.
func (e *Entry) Heartbeat(p *inner.Peer, servers []allocator.BackendServer) {
	e.directory.heard(p, servers, time.Now())
	for _, s := range servers {
		if a := e.allocators.of(e, s.Pool); a != nil {
			a.decide(e, func(now time.Time, a *allocator.Allocator) []allocator.Action {
				return a.Announce(now, s)
			})
		}
	}
}
