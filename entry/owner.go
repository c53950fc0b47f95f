package entry

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"dogwoodglade/core/allocator"
	"dogwoodglade/core/job"
	"dogwoodglade/core/outbox"
	"dogwoodglade/core/shard"
	"dogwoodglade/core/task"
	"dogwoodglade/io/inner"
)

// ownedShard is a key shard that this entry owns, or that it hands over while the last keys are still open.
type ownedShard struct {
	mu             sync.Mutex // guards all but actions
	owner          *job.Owner // nil if this entry does not serve the shard
	epoch          shard.Epoch
	successorEpoch shard.Epoch  // epoch of the new owner, under which tasks start after a handover; zero before it
	reportedOpen   []task.JobID // keys that were open at the last progress report of a handover
	forwardTo      string       // previous owner, which finishes the keys in forwarded
	forwarded      map[task.JobID]struct{}

	actions outbox.Outbox[job.Action]
}

// setForwarded replaces the keys that the previous owner finishes. The caller must hold the lock.
func (s *ownedShard) setForwarded(to string, keys []task.JobID) {
	s.forwardTo, s.forwarded = to, map[task.JobID]struct{}{}
	for _, id := range keys {
		s.forwarded[id] = struct{}{}
	}
}

// previousOwner returns the entry that still finishes the key after a handover, or "". The caller must hold
// the lock until it has submitted the key, so that this entry does not accept a key that is open there.
func (s *ownedShard) previousOwner(id task.JobID) string {
	if _, ok := s.forwarded[id]; ok {
		return s.forwardTo
	}
	return ""
}

// currentEpoch returns the epoch under which this entry acts on the shard.
func (s *ownedShard) currentEpoch() shard.Epoch {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.successorEpoch.IsZero() {
		return s.successorEpoch
	}
	return s.epoch
}

// withOwner runs call on the shard's owner with the lock held, then performs the returned actions in order.
// It reports whether this entry serves the shard.
func (e *Entry) withOwner(id shard.ID, call func(now time.Time, o *job.Owner) []job.Action) bool {
	s := &e.owners[id]
	s.mu.Lock()
	if s.owner == nil {
		s.mu.Unlock()
		return false
	}
	s.actions.Push(call(time.Now(), s.owner)...)
	s.mu.Unlock()
	s.actions.Perform(func(a job.Action) { e.performOwnerAction(id, a) })
	return true
}

// eachOwner calls withOwner for all shards that this entry serves.
func (e *Entry) eachOwner(call func(now time.Time, o *job.Owner) []job.Action) {
	for id := range e.owners {
		e.withOwner(shard.ID(id), call)
	}
}

func (e *Entry) performOwnerAction(id shard.ID, action job.Action) {
	switch action := action.(type) {
	case job.RequestSlots:
		e.requestSlots(action.Pool, action.Request)
	case job.WithdrawSlotRequest:
		e.withdrawSlotRequest(action.Pool, action.RequestID, action.Count)
	case job.ReturnGrant:
		e.returnGrant(action.Allocator, action.Grant)
	case job.SendStart:
		e.sendStart(id, action)
	case job.CancelTask:
		if p := e.directory.agent(action.Agent); p != nil {
			p.CancelTask(action.Attempt, e.owners[id].currentEpoch())
		}
	case job.ConfirmEpoch:
		e.confirmEpoch(action)
	case job.Reply:
		e.waiters.deliver(action.Waiter, action.Answer)
	}
}

func (e *Entry) sendStart(id shard.ID, action job.SendStart) {
	s := &e.owners[id]
	s.mu.Lock()
	start := action.Start
	// A start from an earlier ownership of the shard by this process keeps its epoch, so that agents refuse it.
	if !s.successorEpoch.IsZero() && start.Epoch == s.epoch {
		start.Epoch = s.successorEpoch
	}
	s.mu.Unlock()
	p := e.directory.agent(action.Agent)
	if p != nil && p.Start(start) {
		return
	}
	e.withOwner(id, func(now time.Time, o *job.Owner) []job.Action {
		return o.StartRefused(now, start.Attempt, task.RefusedAgentUnreachable)
	})
}

// StartReply implements inner.AgentEventHandler.
func (e *Entry) StartReply(p *inner.Peer, a task.AttemptID, refusal task.Refusal) {
	id := a.Task.Job.Shard()
	e.withOwner(id, func(now time.Time, o *job.Owner) []job.Action {
		if refusal == task.Accepted {
			return o.OutcomeReceived(now, task.Record{Attempt: a, State: task.Running, Agent: p.Name})
		}
		return o.StartRefused(now, a, refusal)
	})
	if refusal == task.RefusedEpochSuperseded {
		e.background.start(func(ctx context.Context) { e.readEpoch(ctx, p, id) })
	}
}

// Outcome implements inner.AgentEventHandler.
func (e *Entry) Outcome(_ *inner.Peer, r task.Record) {
	e.withOwner(r.Attempt.Task.Job.Shard(), func(now time.Time, o *job.Owner) []job.Action {
		return o.OutcomeReceived(now, r)
	})
}

// Grant implements inner.SlotHandler.
func (e *Entry) Grant(_ *inner.Peer, g allocator.Grant) {
	id, ok := shardOfSlotRequest(g.RequestID)
	if ok && e.withOwner(id, func(now time.Time, o *job.Owner) []job.Action { return o.SlotGranted(now, g) }) {
		return
	}
	e.returnGrant(g.Allocator, g.ID)
}

// RefuseSlotRequest implements inner.SlotHandler.
func (e *Entry) RefuseSlotRequest(_ *inner.Peer, r allocator.Refusal) {
	if id, ok := shardOfSlotRequest(r.RequestID); ok {
		e.withOwner(id, func(now time.Time, o *job.Owner) []job.Action { return o.SlotRequestRefused(now, r) })
	}
}

// shardOfSlotRequest returns the shard of the owner that made the slot request. The request ID begins with
// the shard.
func shardOfSlotRequest(requestID string) (shard.ID, bool) {
	text, _, _ := strings.Cut(requestID, ".")
	id, err := strconv.Atoi(text)
	return shard.ID(id), err == nil && id >= 0 && id < shard.Count
}

// tickOwnersAndAllocators advances the owners and allocators of this entry.
func (e *Entry) tickOwnersAndAllocators(now time.Time) {
	e.allocators.update(e)
	e.allocators.each(e, func(now time.Time, a *allocator.Allocator) []allocator.Action { return a.Tick(now) })
	e.eachOwner(func(now time.Time, o *job.Owner) []job.Action { return o.Tick(now) })
	e.reportHandoverProgress(now)
}
