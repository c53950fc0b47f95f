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

// dialled handles the connections that this entry opened to other entries. This entry sends on them; the
// other entry sends on the connection that it opened itself.
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
	d.allocators.entryDisconnected(p.Name)
}

// Connected implements inner.Handler for connections that others opened.
func (e *Entry) Connected(p *inner.Peer) {
	if p.Role == inner.RoleEntry {
		e.connector.AddDiscovered(p.Address)
		return
	}
	now := time.Now()
	previousRun, previousPeer := e.directory.addAgent(p, now)
	if previousPeer != nil {
		go previousPeer.Close()
	}
	if previousRun != nil {
		e.handleAgentLoss(*previousRun)
	}
	e.record(event.Event{Number: event.AgentConnected, Task: -1, Peer: p.Name})
	p.Entries(e.entryAddresses())
	e.background.start(func(ctx context.Context) { e.reconcile(ctx, p) })
	e.withOwnership(func(now time.Time) []ownership.Action {
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
	e.withOwnership(func(now time.Time) []ownership.Action {
		return e.ownership.state.AgentLost(now, p.Name, p.Incarnation)
	})
}

// reconcile asks an agent for the outcomes of the attempts that were sent to it before this connection.
func (e *Entry) reconcile(ctx context.Context, p *inner.Peer) {
	ids := e.inFlight(p.Name)
	if len(ids) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, agentHeartbeatTimeout)
	defer cancel()
	reply, err := p.Reconcile(ctx, ids)
	if err != nil {
		p.Close()
		return
	}
	e.eachOwner(func(now time.Time, o *job.Owner) []job.Action {
		return o.Reconciled(now, p.Name, reply.Started, reply.NotStarted)
	})
}

func (e *Entry) handleAgentLoss(r agentRun) {
	e.record(event.Event{Number: event.AgentLost, Task: -1, Peer: r.agent})
	e.eachOwner(func(now time.Time, o *job.Owner) []job.Action { return o.AgentLost(now, r.agent) })
}

// resolveLostAgent ends the attempts that were sent to an agent that is gone. An agent that drained has
// stored its start records and can start no more tasks. For any other agent, the outcome of the attempts is
// unknown.
func (e *Entry) resolveLostAgent(ctx context.Context, r agentRun) {
	ids := e.inFlight(r.agent)
	if len(ids) == 0 {
		e.handleAgentLoss(r)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	records, drained := e.readStartRecords(ctx, r)
	if !drained {
		e.handleAgentLoss(r)
		return
	}
	started, notStarted := matchRecords(ids, records)
	e.eachOwner(func(now time.Time, o *job.Owner) []job.Action {
		return o.Reconciled(now, r.agent, started, notStarted)
	})
}

// readStartRecords returns the start records that an agent stored when it drained. It reports false if it
// finds none.
func (e *Entry) readStartRecords(ctx context.Context, r agentRun) (records []task.Record, drained bool) {
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

// matchRecords splits attempts into those with a record, which started, and those without one, which did not.
func matchRecords(ids []task.AttemptID, records []task.Record) (started []task.Record, notStarted []task.AttemptID) {
	byID := map[task.AttemptID]task.Record{}
	for _, r := range records {
		byID[r.Attempt] = r
	}
	for _, id := range ids {
		if r, ok := byID[id]; ok {
			started = append(started, r)
		} else {
			notStarted = append(notStarted, id)
		}
	}
	return started, notStarted
}

// inFlight returns the attempts that were sent to an agent and whose outcome this entry does not know.
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

// tickPeers sends pings to entries and heartbeats to agents, closes the connections of agents whose
// heartbeats have stopped, and resolves the agents that are lost.
func (e *Entry) tickPeers(now time.Time) {
	e.ping(now)
	for _, p := range e.directory.connectedAgents() {
		p.EntryHeartbeat()
	}
	timedOut, lost := e.directory.expire(now)
	for _, p := range timedOut {
		go p.Close()
	}
	for _, r := range lost {
		e.background.start(func(ctx context.Context) { e.resolveLostAgent(ctx, r) })
	}
}

// ping sends the same ping to all connected entries, because it carries corrections for peers that claim a
// superseded epoch, and the ownership state machine discards the corrections once they are in a ping.
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
	e.withOwnership(func(now time.Time) []ownership.Action {
		return e.ownership.state.ReceivePing(now, ping)
	})
}

// PullTables implements inner.PeerHandler.
func (e *Entry) PullTables(_ *inner.Peer, since table.Versions) table.PullResponse {
	return e.tables.PullTables(since)
}

// Heartbeat implements inner.AgentEventHandler.
func (e *Entry) Heartbeat(p *inner.Peer, servers []allocator.BackendServer) {
	e.directory.recordHeartbeat(p, servers, time.Now())
	for _, s := range servers {
		if a := e.allocators.getOrCreate(e, s.Pool); a != nil {
			a.withState(e, func(now time.Time, a *allocator.Allocator) []allocator.Action {
				return a.Announce(now, s)
			})
		}
	}
}
