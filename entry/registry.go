package entry

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"dogwoodglade/core/ownership"
	"dogwoodglade/io/inner"
	"dogwoodglade/io/store"
)

// registryInterval is the time between two clean-ups of the registry of agents.
const registryInterval = time.Minute

// registration identifies one run of an agent.
type registration struct{ agent, incarnation string }

// cleanRegistry removes the rows of agents that were missed for the retention window. Their start records
// are no longer in force, and their rows would keep recoveries incomplete.
func (e *Entry) cleanRegistry(now time.Time) {
	ctx, cancel := context.WithTimeout(e.background.ctx, platformTimeout)
	defer cancel()
	rows, err := e.options.Platform.List(ctx, store.AgentPrefix)
	if err != nil {
		return
	}
	missed := map[registration]time.Time{}
	for _, row := range rows {
		var a ownership.AgentRow
		if json.Unmarshal(row.Value, &a) != nil {
			continue
		}
		r := registration{a.Agent, a.Incarnation}
		if e.hears(ctx, r) {
			continue
		}
		since, ok := e.missed[r]
		if !ok {
			since = now
		}
		missed[r] = since
		if now.Sub(since) >= ownership.RetentionWindow {
			e.removeAgentRow(ctx, row, a)
		}
	}
	e.missed = missed
}

// hears reports whether the agent is connected to this entry or to a peer. A peer that does not answer
// counts as connected to it.
func (e *Entry) hears(ctx context.Context, r registration) bool {
	if e.ConnectedTo(r.agent, r.incarnation) {
		return true
	}
	return slices.ContainsFunc(e.directory.connectedEntries(), func(p *inner.Peer) bool {
		connected, err := p.ConnectedTo(ctx, r.agent, r.incarnation)
		return err != nil || connected
	})
}

// ConnectedTo implements inner.PeerHandler.
func (e *Entry) ConnectedTo(agent, incarnation string) bool {
	p := e.directory.agent(agent)
	return p != nil && p.Incarnation == incarnation
}

func (e *Entry) removeAgentRow(ctx context.Context, row store.Row, a ownership.AgentRow) {
	if a.Records != "" && e.options.Platform.DeleteObject(ctx, a.Records) != nil {
		return
	}
	// A failure is repeated by the next clean-up.
	_, _ = e.options.Platform.Commit(ctx, store.Transaction{
		Checks: []store.Check{{Key: row.Key, Version: row.Version}},
		Writes: []store.Write{{Key: row.Key, Delete: true}},
	})
}
