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

// ownedShard is a key shard that this entry owns, or hands over while its last keys are open.
type ownedShard struct {
	mu        sync.Mutex // guards all but actions
	owner     *job.Owner // nil if this entry does not serve the shard
	epoch     shard.Epoch
	startAs   shard.Epoch  // epoch of starts after a handover; zero before it
	open      []task.JobID // keys that were open at the last report of a drain
	forwardTo string       // former owner that finishes the keys in forwarded
	forwarded map[task.JobID]struct{}

	actions outbox.Outbox[job.Action]
}

// forward replaces the keys that a former owner finishes. The caller holds the lock.
func (s *ownedShard) forward(to string, keys []task.JobID) {
	s.forwardTo, s.forwarded = to, map[task.JobID]struct{}{}
	for _, id := range keys {
		s.forwarded[id] = struct{}{}
	}
}

// formerOwner returns the entry that still finishes the key after a handover, or "". The caller holds the
// lock, so that the key cannot be taken here while it is open there.
func (s *ownedShard) formerOwner(id task.JobID) string {
	if _, ok := s.forwarded[id]; ok {
		return s.forwardTo
	}
	return ""
}

// currentEpoch is the epoch under which this entry works on the shard.
func (s *ownedShard) currentEpoch() shard.Epoch {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.startAs.IsZero() {
		return s.startAs
	}
	return s.epoch
}

// decide runs a decision on the shard's owner, if there is one, and performs its actions in order. It
// reports whether there is an owner.
func (e *Entry) decide(id shard.ID, decision func(now time.Time, o *job.Owner) []job.Action) bool {
	s := &e.owners[id]
	s.mu.Lock()
	if s.owner == nil {
		s.mu.Unlock()
		return false
	}
	s.actions.Push(decision(time.Now(), s.owner)...)
	s.mu.Unlock()
	s.actions.Perform(func(a job.Action) { e.performJob(id, a) })
	return true
}

// eachOwner runs a decision on the owners of all shards that this entry serves.
func (e *Entry) eachOwner(decision func(now time.Time, o *job.Owner) []job.Action) {
	for id := range e.owners {
		e.decide(shard.ID(id), decision)
	}
}

func (e *Entry) performJob(id shard.ID, action job.Action) {
	switch action := action.(type) {
	case job.RequestSlots:
		e.requestSlots(action.Pool, action.Request)
	case job.WithdrawSlotRequest:
		e.withdraw(action.Pool, action.RequestID, action.Count)
	case job.ReturnGrant:
		e.returnGrant(action.Allocator, action.Grant)
	case job.SendStart:
		e.sendStart(id, action)
	case job.CancelTask:
		if p := e.directory.agent(action.Agent); p != nil {
			p.CancelTask(action.Attempt, e.owners[id].currentEpoch())
		}
	case job.ConfirmEpoch:
		e.confirm(action)
	case job.Reply:
		e.waiters.deliver(action.Waiter, action.Answer)
	}
}

func (e *Entry) sendStart(id shard.ID, action job.SendStart) {
	s := &e.owners[id]
	s.mu.Lock()
	start := action.Start
	// A start of an earlier tenure in this process keeps its epoch, so that agents refuse it.
	if !s.startAs.IsZero() && start.Epoch == s.epoch {
		start.Epoch = s.startAs
	}
	s.mu.Unlock()
	p := e.directory.agent(action.Agent)
	if p != nil && p.Start(start) {
		return
	}
	e.decide(id, func(now time.Time, o *job.Owner) []job.Action {
		return o.StartRefused(now, start.Attempt, task.RefusedAgentUnreachable)
	})
}

// StartReply implements inner.AgentEventHandler.
func (e *Entry) StartReply(p *inner.Peer, a task.AttemptID, why task.Refusal) {
	id := a.Task.Job.Shard()
	e.decide(id, func(now time.Time, o *job.Owner) []job.Action {
		if why == task.Accepted {
			return o.OutcomeReceived(now, task.Record{Attempt: a, State: task.Running, Agent: p.Name})
		}
		return o.StartRefused(now, a, why)
	})
	if why == task.RefusedEpochSuperseded {
		e.background.start(func(ctx context.Context) { e.readEpoch(ctx, p, id) })
	}
}

// Outcome implements inner.AgentEventHandler.
func (e *Entry) Outcome(_ *inner.Peer, r task.Record) {
	e.decide(r.Attempt.Task.Job.Shard(), func(now time.Time, o *job.Owner) []job.Action {
		return o.OutcomeReceived(now, r)
	})
}

// Grant implements inner.SlotHandler.
func (e *Entry) Grant(_ *inner.Peer, g allocator.Grant) {
	id, ok := shardOfRequest(g.RequestID)
	if ok && e.decide(id, func(now time.Time, o *job.Owner) []job.Action { return o.Granted(now, g) }) {
		return
	}
	e.returnGrant(g.Allocator, g.ID)
}

// RefuseSlotRequest implements inner.SlotHandler.
func (e *Entry) RefuseSlotRequest(_ *inner.Peer, r allocator.Refusal) {
	if id, ok := shardOfRequest(r.RequestID); ok {
		e.decide(id, func(now time.Time, o *job.Owner) []job.Action { return o.SlotRequestRefused(now, r) })
	}
}

// shardOfRequest returns the shard of the owner that made a slot request. The ID of the request begins with it.
func shardOfRequest(requestID string) (shard.ID, bool) {
	text, _, _ := strings.Cut(requestID, ".")
	id, err := strconv.Atoi(text)
	return shard.ID(id), err == nil && id >= 0 && id < shard.Count
}

// tickDecisions advances the owners and allocators of this entry.
func (e *Entry) tickDecisions(now time.Time) {
	e.allocators.update(e)
	e.allocators.each(e, func(now time.Time, a *allocator.Allocator) []allocator.Action { return a.Tick(now) })
	e.eachOwner(func(now time.Time, o *job.Owner) []job.Action { return o.Tick(now) })
	e.reportProgress(now)
}
