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

// confirmations coalesces the questions whether an epoch is still current: one question to an agent serves
// all jobs of the shard that wait when it is sent.
type confirmations struct {
	waiting map[shard.Fence][]job.ConfirmEpoch
	asking  map[shard.Fence]bool
	next    int // rotates over the agents
}

// confirm asks an agent whether the epoch is still current, for a job that is about to be answered NotRun.
// After a handover, the owner acts under the epoch of its successor, as its starts do.
func (e *Entry) confirm(c job.ConfirmEpoch) {
	s := &e.owners[c.Shard]
	s.mu.Lock()
	f := shard.Fence{Shard: c.Shard, Epoch: c.Epoch}
	if s.epoch == c.Epoch && !s.startAs.IsZero() {
		f.Epoch = s.startAs
	}
	s.mu.Unlock()
	o := &e.ownership
	o.mu.Lock()
	o.confirm.waiting[f] = append(o.confirm.waiting[f], c)
	asking := o.confirm.asking[f]
	o.confirm.asking[f] = true
	o.mu.Unlock()
	if !asking {
		e.background.start(func(ctx context.Context) { e.askToConfirm(ctx, f) })
	}
}

func (e *Entry) askToConfirm(ctx context.Context, f shard.Fence) {
	o := &e.ownership
	for {
		o.mu.Lock()
		questions := o.confirm.waiting[f]
		delete(o.confirm.waiting, f)
		o.confirm.next++
		next := o.confirm.next
		if len(questions) == 0 {
			delete(o.confirm.asking, f)
			o.mu.Unlock()
			return
		}
		o.mu.Unlock()
		why := e.confirmAt(ctx, f, next)
		e.decide(f.Shard, func(now time.Time, o *job.Owner) []job.Action {
			var actions []job.Action
			for _, c := range questions {
				actions = append(actions, o.ConfirmationReceived(now, c, why)...)
			}
			return actions
		})
	}
}

// confirmAt asks one connected agent. Each try asks another one.
func (e *Entry) confirmAt(ctx context.Context, f shard.Fence, next int) task.Refusal {
	agents := e.directory.connectedAgents()
	if len(agents) == 0 {
		return task.RefusedAgentUnreachable
	}
	p := agents[next%len(agents)]
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	why, err := p.Confirm(ctx, f)
	if err != nil {
		return task.RefusedAgentUnreachable
	}
	if why == task.RefusedEpochSuperseded {
		e.readEpoch(ctx, p, f.Shard)
	}
	return why
}

// readEpoch learns the epoch for which an agent refused this entry.
func (e *Entry) readEpoch(ctx context.Context, p *inner.Peer, id shard.ID) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	reply, err := p.Fence(ctx, []shard.Fence{{Shard: id}})
	if err != nil || len(reply.Epochs) != 1 {
		return
	}
	e.decideOwnership(func(now time.Time) []ownership.Action {
		return e.ownership.state.ObserveEpoch(now, id, reply.Epochs[0].Epoch)
	})
}
