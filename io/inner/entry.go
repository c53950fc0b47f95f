package inner

import (
	"context"
	"encoding/json"

	"dogwoodglade/core/ownership"
	"dogwoodglade/core/table"
)

// Method names on the wire and in metrics. Some differ from the names of the Go methods that send the message.
const (
	methodPing             = "Ping"
	methodHandover         = "Handover"
	methodPullTables       = "PullTables"
	methodIsAgentConnected = "ConnectedTo"
)

// PeerHandler handles the messages that entries send each other.
type PeerHandler interface {
	Ping(p *Peer, ping ownership.Ping, tables table.Notification)
	Handover(ctx context.Context, p *Peer, h ownership.Handover) (ownership.HandoverReply, error)
	PullTables(p *Peer, since table.Versions) table.PullResponse
	// IsAgentConnected reports whether the agent is connected to this entry with the given incarnation.
	IsAgentConnected(agent, incarnation string) bool
}

type pingParams struct {
	Ping   ownership.Ping
	Tables table.Notification
}

type handoverParams struct{ Handover ownership.Handover }

type agentConnectedParams struct {
	Agent       string
	Incarnation string
}

type agentConnectedResult struct{ Connected bool }

type pullTablesParams struct{ Since table.Versions }

// Ping sends the peer a heartbeat with the shards that this entry owns and its table versions.
func (p *Peer) Ping(ping ownership.Ping, tables table.Notification) bool {
	return p.notify(methodPing, pingParams{Ping: ping, Tables: tables})
}

// Handover transfers a shard to the peer.
func (p *Peer) Handover(ctx context.Context, h ownership.Handover) (ownership.HandoverReply, error) {
	var reply ownership.HandoverReply
	err := p.call(ctx, methodHandover, handoverParams{Handover: h}, &reply)
	return reply, err
}

// PullTables returns the peer's tables that are newer than the given versions.
func (p *Peer) PullTables(ctx context.Context, since table.Versions) (table.PullResponse, error) {
	var reply table.PullResponse
	err := p.call(ctx, methodPullTables, pullTablesParams{Since: since}, &reply)
	return reply, err
}

// IsAgentConnected reports whether the agent is connected to the peer with the given incarnation.
func (p *Peer) IsAgentConnected(ctx context.Context, agent, incarnation string) (bool, error) {
	var reply agentConnectedResult
	err := p.call(ctx, methodIsAgentConnected, agentConnectedParams{Agent: agent, Incarnation: incarnation}, &reply)
	return reply.Connected, err
}

func peerMethods(h PeerHandler) methods {
	return methods{
		methodPing: notificationMethod(func(p *Peer, message json.RawMessage) error {
			var params pingParams
			if err := decodeParams(message, &params); err != nil {
				return err
			}
			h.Ping(p, params.Ping, params.Tables)
			return nil
		}),
		methodHandover: callMethod(func(ctx context.Context, p *Peer, message json.RawMessage) (any, error) {
			var params handoverParams
			if err := decodeParams(message, &params); err != nil {
				return nil, err
			}
			return h.Handover(ctx, p, params.Handover)
		}),
		methodPullTables: callMethod(func(_ context.Context, p *Peer, message json.RawMessage) (any, error) {
			var params pullTablesParams
			if err := decodeParams(message, &params); err != nil {
				return nil, err
			}
			return h.PullTables(p, params.Since), nil
		}),
		methodIsAgentConnected: callMethod(func(_ context.Context, _ *Peer, message json.RawMessage) (any, error) {
			var params agentConnectedParams
			if err := decodeParams(message, &params); err != nil {
				return nil, err
			}
			return agentConnectedResult{Connected: h.IsAgentConnected(params.Agent, params.Incarnation)}, nil
		}),
	}
}
