package inner

import (
	"encoding/json"

	"dogwoodglade/core/shard"
	"dogwoodglade/core/task"
)

// Method names on the wire and in metrics. Some differ from the names of the Go methods that send the message.
const (
	methodStart          = "Start"
	methodStartReply     = "StartReply"
	methodCancelTask     = "CancelTask"
	methodEntryHeartbeat = "Alive"
	methodOutcome        = "Outcome"
	methodHeartbeat      = "Heartbeat"
)

type startParams struct{ Start task.Start }

type startReplyParams struct {
	Attempt task.AttemptID
	Refusal task.Refusal
}

type cancelTaskParams struct {
	Attempt task.AttemptID
	Epoch   shard.Epoch
}

type entryHeartbeatParams struct{}

type outcomeParams struct{ Record task.Record }

// Start asks the agent to start an attempt. The agent answers with StartReply.
func (p *Peer) Start(s task.Start) bool { return p.notify(methodStart, startParams{Start: s}) }

// CancelTask asks the agent to stop an attempt. The epoch is that of the owner.
func (p *Peer) CancelTask(a task.AttemptID, epoch shard.Epoch) bool {
	return p.notify(methodCancelTask, cancelTaskParams{Attempt: a, Epoch: epoch})
}

// EntryHeartbeat sends a heartbeat of this entry to the agent.
func (p *Peer) EntryHeartbeat() bool { return p.notify(methodEntryHeartbeat, entryHeartbeatParams{}) }

// StartReply tells the owner whether an attempt was started.
func (p *Peer) StartReply(a task.AttemptID, refusal task.Refusal) bool {
	return p.notify(methodStartReply, startReplyParams{Attempt: a, Refusal: refusal})
}

// Outcome sends the record of an ended attempt to the owner.
func (p *Peer) Outcome(r task.Record) bool { return p.notify(methodOutcome, outcomeParams{Record: r}) }

func startMethods(h StartHandler) methods {
	return methods{
		methodStart: notificationMethod(func(p *Peer, message json.RawMessage) error {
			var params startParams
			if err := decodeParams(message, &params); err != nil {
				return err
			}
			h.Start(p, params.Start)
			return nil
		}),
		methodCancelTask: notificationMethod(func(p *Peer, message json.RawMessage) error {
			var params cancelTaskParams
			if err := decodeParams(message, &params); err != nil {
				return err
			}
			h.CancelTask(p, params.Attempt, params.Epoch)
			return nil
		}),
		methodEntryHeartbeat: notificationMethod(func(p *Peer, _ json.RawMessage) error {
			h.EntryHeartbeat(p)
			return nil
		}),
	}
}

func agentEventMethods(h AgentEventHandler) methods {
	return methods{
		methodStartReply: notificationMethod(func(p *Peer, message json.RawMessage) error {
			var params startReplyParams
			if err := decodeParams(message, &params); err != nil {
				return err
			}
			h.StartReply(p, params.Attempt, params.Refusal)
			return nil
		}),
		methodOutcome: notificationMethod(func(p *Peer, message json.RawMessage) error {
			var params outcomeParams
			if err := decodeParams(message, &params); err != nil {
				return err
			}
			h.Outcome(p, params.Record)
			return nil
		}),
		methodHeartbeat: heartbeatMethod(h),
	}
}
