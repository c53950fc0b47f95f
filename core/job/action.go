package job

import (
	"dogwoodglade/core/allocator"
	"dogwoodglade/core/shard"
	"dogwoodglade/core/task"
)

// Action is what an owner asks its caller to do.
type Action interface{ isAction() }

// AskSlots sends an ask to the allocator of the pool. An ask with the same ID replaces the one before.
type AskSlots struct {
	Pool string
	Ask  allocator.Ask
}

// WithdrawAsk gives up slots of an ask.
type WithdrawAsk struct {
	Pool  string
	Ask   string
	Count int // 0 withdraws all that remain
}

// ReturnGrant gives a grant back to its allocator. No task uses it.
type ReturnGrant struct {
	Allocator string
	Grant     string
}

// SendStart sends a start to an agent. The caller reports its fate: StartRefused if the agent refused it or
// it was not sent, Outcome if the agent accepted it, and AgentLost or Reconciled if no reply came.
type SendStart struct {
	Agent string
	Start task.Start
}

// CancelTask asks an agent to stop an attempt, or to bar it if it has not arrived.
type CancelTask struct {
	Agent   string
	Attempt task.AttemptID
}

// ConfirmEpoch asks an agent whether the owner's epoch is still accepted, for a job that is about to be
// answered NotRun. The caller sends it to a registered agent that it is connected to, another one each time
// if it can, and reports the reply with Confirmed.
type ConfirmEpoch struct {
	Shard    shard.ID
	Epoch    shard.Epoch
	Job      task.JobID
	Question int // distinguishes the questions of one owner
}

// Reply sends the answer to a waiter. Each waiter gets one.
type Reply struct {
	Waiter string
	Answer Answer
}

func (AskSlots) isAction()     {}
func (WithdrawAsk) isAction()  {}
func (ReturnGrant) isAction()  {}
func (SendStart) isAction()    {}
func (CancelTask) isAction()   {}
func (ConfirmEpoch) isAction() {}
func (Reply) isAction()        {}
