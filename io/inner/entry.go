package inner

import (
	"context"
	"encoding/json"

	"dogwoodglade/core/ownership"
	"dogwoodglade/core/table"
)

const (
	methodPing       = "Ping"
	methodHandover   = "Handover"
	methodPullTables = "PullTables"
)

// PeerHandler receives the messages between entries.
type PeerHandler interface {
	Ping(p *Peer, ping ownership.Ping)
	Handover(ctx context.Context, p *Peer, h ownership.Handover) (ownership.HandoverReply, error)
	PullTables(ctx context.Context, p *Peer, have table.Versions) (table.Snapshot, error)
}

type pingParams struct{ Ping ownership.Ping }

type handoverParams struct{ Handover ownership.Handover }

type pullTablesParams struct{ Have table.Versions }

// Ping tells the peer that this entry is alive, and what it owns.
func (p *Peer) Ping(ping ownership.Ping) bool { return p.notify(methodPing, pingParams{Ping: ping}) }

// Handover passes a shard to the peer.
func (p *Peer) Handover(ctx context.Context, h ownership.Handover) (ownership.HandoverReply, error) {
	var reply ownership.HandoverReply
	err := p.call(ctx, methodHandover, handoverParams{Handover: h}, &reply)
	return reply, err
}

// PullTables returns the peer's tables if they are newer than the given versions.
func (p *Peer) PullTables(ctx context.Context, have table.Versions) (table.Snapshot, error) {
	var reply table.Snapshot
	err := p.call(ctx, methodPullTables, pullTablesParams{Have: have}, &reply)
	return reply, err
}

func peerMethods(h PeerHandler) methods {
	return methods{
		methodPing: notificationOf(func(p *Peer, message json.RawMessage) error {
			var params pingParams
			if err := decode(message, &params); err != nil {
				return err
			}
			h.Ping(p, params.Ping)
			return nil
		}),
		methodHandover: callOf(func(ctx context.Context, p *Peer, message json.RawMessage) (any, error) {
			var params handoverParams
			if err := decode(message, &params); err != nil {
				return nil, err
			}
			return h.Handover(ctx, p, params.Handover)
		}),
		methodPullTables: callOf(func(ctx context.Context, p *Peer, message json.RawMessage) (any, error) {
			var params pullTablesParams
			if err := decode(message, &params); err != nil {
				return nil, err
			}
			return h.PullTables(ctx, p, params.Have)
		}),
	}
}
