package inner

import (
	"context"
	"encoding/json"
	"time"

	"dogwoodglade/core/shard"
	"dogwoodglade/core/task"
)

const (
	methodFence     = "Fence"
	methodReconcile = "Reconcile"
	methodVote      = "Vote"
	methodEntries   = "Entries"
	methodConfirm   = "Confirm"
)

// FenceHandler handles the messages with which an entry fences an agent and recovers its state.
type FenceHandler interface {
	Fence(p *Peer, fences []shard.Fence) FenceReply
	// Confirm returns RefusedEpochSuperseded if the epoch of the fence has been superseded. It changes no state.
	Confirm(p *Peer, f shard.Fence) task.Refusal
	Reconcile(p *Peer, ids []task.AttemptID) ReconcileReply
	// Vote returns the time since the agent last heard from each of the named entries. The caller counts the replies of
	// the agents as votes on whether an entry has failed.
	Vote(p *Peer, entries []string) []time.Duration
	// Entries receives the addresses of the entries of the agent's region.
	Entries(p *Peer, addresses []string)
}

// FenceReply is an agent's reply to Fence. Epochs holds the agent's epochs of the fenced shards after the call, and
// Records its start records of those shards.
type FenceReply struct {
	Epochs  []shard.Fence
	Records []task.Record
}

// ReconcileReply lists the attempts that the agent has started, and those that it has not started and will never start.
type ReconcileReply struct {
	Started    []task.Record    `json:"Found"`
	NotStarted []task.AttemptID `json:"Unseen"`
}

type fenceParams struct{ Fences []shard.Fence }

type confirmParams struct{ Fence shard.Fence }

type confirmResult struct{ Refusal task.Refusal }

type reconcileParams struct{ Attempts []task.AttemptID }

type voteParams struct{ Entries []string }

type voteResult struct {
	SinceContact []time.Duration `json:"Silence"`
}

type entriesParams struct{ Addresses []string }

// Fence raises the agent's epochs of the shards and returns its start records of them.
func (p *Peer) Fence(ctx context.Context, fences []shard.Fence) (FenceReply, error) {
	var reply FenceReply
	err := p.call(ctx, methodFence, fenceParams{Fences: fences}, &reply)
	return reply, err
}

// Confirm asks the agent whether the epoch is still current.
func (p *Peer) Confirm(ctx context.Context, f shard.Fence) (task.Refusal, error) {
	var reply confirmResult
	err := p.call(ctx, methodConfirm, confirmParams{Fence: f}, &reply)
	return reply.Refusal, err
}

// Reconcile asks the agent, after a lost connection, which of the attempts it has started.
func (p *Peer) Reconcile(ctx context.Context, ids []task.AttemptID) (ReconcileReply, error) {
	var reply ReconcileReply
	err := p.call(ctx, methodReconcile, reconcileParams{Attempts: ids}, &reply)
	return reply, err
}

// Vote asks the agent for the time since it last heard from each of the entries.
func (p *Peer) Vote(ctx context.Context, entries []string) ([]time.Duration, error) {
	var reply voteResult
	err := p.call(ctx, methodVote, voteParams{Entries: entries}, &reply)
	return reply.SinceContact, err
}

// Entries sends the agent the addresses of the entries.
func (p *Peer) Entries(addresses []string) bool {
	return p.notify(methodEntries, entriesParams{Addresses: addresses})
}

func fenceMethods(h FenceHandler) methods {
	return methods{
		methodFence: callMethod(func(_ context.Context, p *Peer, message json.RawMessage) (any, error) {
			var params fenceParams
			if err := decodeParams(message, &params); err != nil {
				return nil, err
			}
			return h.Fence(p, params.Fences), nil
		}),
		methodConfirm: callMethod(func(_ context.Context, p *Peer, message json.RawMessage) (any, error) {
			var params confirmParams
			if err := decodeParams(message, &params); err != nil {
				return nil, err
			}
			return confirmResult{Refusal: h.Confirm(p, params.Fence)}, nil
		}),
		methodReconcile: callMethod(func(_ context.Context, p *Peer, message json.RawMessage) (any, error) {
			var params reconcileParams
			if err := decodeParams(message, &params); err != nil {
				return nil, err
			}
			return h.Reconcile(p, params.Attempts), nil
		}),
		methodVote: callMethod(func(_ context.Context, p *Peer, message json.RawMessage) (any, error) {
			var params voteParams
			if err := decodeParams(message, &params); err != nil {
				return nil, err
			}
			return voteResult{SinceContact: h.Vote(p, params.Entries)}, nil
		}),
		methodEntries: notificationMethod(func(p *Peer, message json.RawMessage) error {
			var params entriesParams
			if err := decodeParams(message, &params); err != nil {
				return err
			}
			h.Entries(p, params.Addresses)
			return nil
		}),
	}
}
