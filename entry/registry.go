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

// registryCleanUpInterval is the time between two clean-ups of the registry of agents.
const registryCleanUpInterval = time.Minute

// agentRun identifies one run of an agent.
type agentRun struct{ agent, incarnation string }

// cleanRegistry removes the rows of agents that no entry has been connected to for the retention window.
// Their start records have expired, and their rows would keep recoveries incomplete.
func (e *Entry) cleanRegistry(now time.Time) {
	ctx, cancel := context.WithTimeout(e.background.ctx, platformTimeout)
	defer cancel()
	rows, err := e.options.Platform.List(ctx, store.AgentPrefix)
	if err != nil {
		return
	}
	disconnectedSince := map[agentRun]time.Time{}
	for _, row := range rows {
		var a ownership.AgentRow
		if json.Unmarshal(row.Value, &a) != nil {
			continue
		}
		r := agentRun{a.Agent, a.Incarnation}
		if e.connectedToAnyEntry(ctx, r) {
			continue
		}
		since, ok := e.disconnectedSince[r]
		if !ok {
			since = now
		}
		disconnectedSince[r] = since
		if now.Sub(since) >= ownership.RetentionWindow {
			e.removeAgentRow(ctx, row, a)
		}
	}
	e.disconnectedSince = disconnectedSince
}

// connectedToAnyEntry reports whether the agent is connected to this entry or to a peer. It assumes so if a
// peer does not answer.
func (e *Entry) connectedToAnyEntry(ctx context.Context, r agentRun) bool {
	if e.IsAgentConnected(r.agent, r.incarnation) {
		return true
	}
	return slices.ContainsFunc(e.directory.connectedEntries(), func(p *inner.Peer) bool {
		connected, err := p.IsAgentConnected(ctx, r.agent, r.incarnation)
		return err != nil || connected
	})
}

// IsAgentConnected implements inner.PeerHandler.
func (e *Entry) IsAgentConnected(agent, incarnation string) bool {
	p := e.directory.agent(agent)
	return p != nil && p.Incarnation == incarnation
}

func (e *Entry) removeAgentRow(ctx context.Context, row store.Row, a ownership.AgentRow) {
	if a.Records != "" && e.options.Platform.DeleteObject(ctx, a.Records) != nil {
		return
	}
	// If this fails, the next clean-up tries again.
	_, _ = e.options.Platform.Commit(ctx, store.Transaction{
		Checks: []store.Check{{Key: row.Key, Version: row.Version}},
		Writes: []store.Write{{Key: row.Key, Delete: true}},
	})
}
