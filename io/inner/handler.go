package inner

import (
	"context"
	"encoding/json"
	"maps"

	"github.com/cockroachdb/errors"

	"dogwoodglade/core/allocator"
	"dogwoodglade/core/job"
	"dogwoodglade/core/shard"
	"dogwoodglade/core/task"
)

// EntryHandler handles all messages that an entry receives.
type EntryHandler interface {
	Handler
	JobHandler
	SlotHandler
	AgentEventHandler
	PeerHandler
}

// AgentHandler handles all messages that an agent receives.
type AgentHandler interface {
	Handler
	StartHandler
	FenceHandler
	RelayHandler
}

// JobHandler handles job requests that an entry received from a client and sends to the owner of the key.
type JobHandler interface {
	Submit(ctx context.Context, p *Peer, s job.Submission) (OwnerReply, error)
	Lookup(ctx context.Context, p *Peer, id task.JobID) (OwnerReply, error)
	CancelJob(ctx context.Context, p *Peer, id task.JobID) (OwnerReply, error)
	IssueTicket(ctx context.Context, p *Peer, id task.JobID) (OwnerReply, error)
}

// SlotHandler handles the messages between owners and allocators. Its methods must not wait for the peer.
type SlotHandler interface {
	RequestSlots(p *Peer, pool string, request allocator.SlotRequest)
	WithdrawSlotRequest(p *Peer, pool, requestID string, count int)
	ReturnGrant(p *Peer, pool, grant string)
	Grant(p *Peer, g allocator.Grant)
	RefuseSlotRequest(p *Peer, r allocator.Refusal)
	ReleaseSlot(p *Peer, r allocator.Release)
}

// StartHandler handles the messages of an owner to an agent. Its methods must not wait for the peer.
type StartHandler interface {
	Start(p *Peer, s task.Start)
	CancelTask(p *Peer, a task.AttemptID, epoch shard.Epoch)
	// EntryHeartbeat receives a heartbeat of the entry.
	EntryHeartbeat(p *Peer)
}

// AgentEventHandler handles the messages of an agent to an entry. Its methods must not wait for the peer.
type AgentEventHandler interface {
	StartReply(p *Peer, a task.AttemptID, refusal task.Refusal)
	Outcome(p *Peer, r task.Record)
	Heartbeat(p *Peer, servers []allocator.BackendServer)
}

// methodsOf returns the methods of the interface that the handler implements.
func methodsOf(h Handler) methods {
	result := methods{}
	switch h := h.(type) {
	case EntryHandler:
		maps.Copy(result, jobMethods(h))
		maps.Copy(result, slotMethods(h))
		maps.Copy(result, agentEventMethods(h))
		maps.Copy(result, peerMethods(h))
	case BatchEntryHandler:
		maps.Copy(result, batchEntryMethods(h))
	case BatchAgentHandler:
		maps.Copy(result, batchAgentMethods(h))
	case AgentHandler:
		maps.Copy(result, startMethods(h))
		maps.Copy(result, fenceMethods(h))
		maps.Copy(result, relayMethods(h))
	}
	return result
}

func decodeParams(message json.RawMessage, params any) error {
	return errors.Wrap(json.Unmarshal(message, params), "decode message")
}

// notificationMethod returns a method that handles a notification.
func notificationMethod(handle func(p *Peer, message json.RawMessage) error) method {
	return method{handle: func(_ context.Context, p *Peer, message json.RawMessage) (any, error) {
		return nil, handle(p, message)
	}}
}

// callMethod returns a method that handles a call.
func callMethod(handle func(ctx context.Context, p *Peer, message json.RawMessage) (any, error)) method {
	return method{isCall: true, handle: handle}
}
