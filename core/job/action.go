package job

import (
	"dogwoodglade/core/allocator"
	"dogwoodglade/core/shard"
	"dogwoodglade/core/task"
)

// Action is what an owner asks its caller to do.
type Action interface{ isAction() }

// RequestSlots sends a slot request to the pool's allocator. It replaces an earlier request with the same ID.
type RequestSlots struct {
	Pool    string
	Request allocator.SlotRequest
}

// WithdrawSlotRequest withdraws a slot request, in whole or in part.
type WithdrawSlotRequest struct {
	Pool      string
	RequestID string
	Count     int // number of slots; 0 withdraws all that were not granted yet
}

// ReturnGrant returns an unused grant to its allocator.
type ReturnGrant struct {
	Allocator string
	Grant     string
}

// SendStart sends a start to an agent. The caller must report the result: StartRefused if the agent refused the
// start or it could not be sent, OutcomeReceived if the agent accepted it, and AgentLost or Reconciled if no reply
// arrived.
type SendStart struct {
	Agent string
	Start task.Start
}

// CancelTask asks an agent to stop an attempt, or to refuse its start if that has not arrived yet.
type CancelTask struct {
	Agent   string
	Attempt task.AttemptID
}

// ConfirmEpoch asks an agent whether it still accepts the owner's epoch, for a job that is about to be answered
// NotRun. The caller sends it to a registered agent that it is connected to, if possible a different one each
// time, and passes the reply to ConfirmationReceived.
type ConfirmEpoch struct {
	Shard     shard.ID
	Epoch     shard.Epoch
	Job       task.JobID
	RequestID int // unique among the confirmation requests of one owner
}

// Reply sends the answer to a waiter, which is the caller's ID of a request that waits for the answer to a job. Each
// waiter gets exactly one Reply.
type Reply struct {
	Waiter string
	Answer Answer
}

func (RequestSlots) isAction()        {}
func (WithdrawSlotRequest) isAction() {}
func (ReturnGrant) isAction()         {}
func (SendStart) isAction()           {}
func (CancelTask) isAction()          {}
func (ConfirmEpoch) isAction()        {}
func (Reply) isAction()               {}
