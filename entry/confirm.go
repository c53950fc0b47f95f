package entry

import (
	"context"
	"time"

	"dogwoodglade/core/job"
	"dogwoodglade/core/ownership"
	"dogwoodglade/core/shard"
	"dogwoodglade/core/task"
	"dogwoodglade/io/inner"
)

const confirmTimeout = 500 * time.Millisecond

// confirmations batches the requests to confirm that an epoch is still current: one call to an agent serves
// all jobs of the shard that are waiting when it is sent.
type confirmations struct {
	waiting    map[shard.Fence][]job.ConfirmEpoch
	inProgress map[shard.Fence]bool
	next       int // rotates through the agents
}

// confirmEpoch asks an agent whether the epoch is still current, for a job that is about to be reported
// as NotRun. After a handover, it asks about the epoch of the new owner, because the previous owner also starts
// tasks under that epoch.
func (e *Entry) confirmEpoch(c job.ConfirmEpoch) {
	s := &e.owners[c.Shard]
	s.mu.Lock()
	f := shard.Fence{Shard: c.Shard, Epoch: c.Epoch}
	if s.epoch == c.Epoch && !s.successorEpoch.IsZero() {
		f.Epoch = s.successorEpoch
	}
	s.mu.Unlock()
	o := &e.ownership
	o.mu.Lock()
	o.confirmations.waiting[f] = append(o.confirmations.waiting[f], c)
	inProgress := o.confirmations.inProgress[f]
	o.confirmations.inProgress[f] = true
	o.mu.Unlock()
	if !inProgress {
		e.background.start(func(ctx context.Context) { e.sendConfirmations(ctx, f) })
	}
}

// sendConfirmations calls agents until no job waits for a confirmation of the fence.
func (e *Entry) sendConfirmations(ctx context.Context, f shard.Fence) {
	o := &e.ownership
	for {
		o.mu.Lock()
		batch := o.confirmations.waiting[f]
		delete(o.confirmations.waiting, f)
		o.confirmations.next++
		next := o.confirmations.next
		if len(batch) == 0 {
			delete(o.confirmations.inProgress, f)
			o.mu.Unlock()
			return
		}
		o.mu.Unlock()
		refusal := e.confirmWithAgent(ctx, f, next)
		e.withOwner(f.Shard, func(now time.Time, o *job.Owner) []job.Action {
			var actions []job.Action
			for _, c := range batch {
				actions = append(actions, o.ConfirmationReceived(now, c, refusal)...)
			}
			return actions
		})
	}
}

// confirmWithAgent asks one connected agent. The number next selects it, so that successive calls ask
// different agents.
func (e *Entry) confirmWithAgent(ctx context.Context, f shard.Fence, next int) task.Refusal {
	agents := e.directory.connectedAgents()
	if len(agents) == 0 {
		return task.RefusedAgentUnreachable
	}
	p := agents[next%len(agents)]
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	refusal, err := p.Confirm(ctx, f)
	if err != nil {
		return task.RefusedAgentUnreachable
	}
	if refusal == task.RefusedEpochSuperseded {
		e.readEpoch(ctx, p, f.Shard)
	}
	return refusal
}

// readEpoch reads an agent's epoch of a shard, which may be newer than the epoch of this entry, and passes it
// to the ownership state machine.
func (e *Entry) readEpoch(ctx context.Context, p *inner.Peer, id shard.ID) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	// A fence with the zero epoch changes nothing on an agent that has accepted an epoch; it returns that epoch.
	reply, err := p.Fence(ctx, []shard.Fence{{Shard: id}})
	if err != nil || len(reply.Epochs) != 1 {
		return
	}
	e.withOwnership(func(now time.Time) []ownership.Action {
		return e.ownership.state.ObserveEpoch(now, id, reply.Epochs[0].Epoch)
	})
}
