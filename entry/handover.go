package entry

import (
	"context"
	"slices"
	"time"

	"dogwoodglade/core/event"
	"dogwoodglade/core/job"
	"dogwoodglade/core/ownership"
	"dogwoodglade/core/shard"
	"dogwoodglade/core/task"
)

func (e *Entry) performHandoverAction(action ownership.Action) {
	switch action := action.(type) {
	case ownership.DrainShard:
		e.drainShard(action.Shard)
	case ownership.SendHandover:
		e.background.start(func(ctx context.Context) { e.sendHandover(ctx, action) })
	case ownership.HandedOver:
		s := &e.owners[action.Shard]
		s.mu.Lock()
		s.successorEpoch = action.Epoch
		s.mu.Unlock()
	case ownership.ForwardOpenKeys:
		s := &e.owners[action.Shard]
		s.mu.Lock()
		s.setForwarded(action.To, action.Keys)
		s.mu.Unlock()
	case ownership.ReleaseShard:
		s := &e.owners[action.Shard]
		s.mu.Lock()
		s.owner, s.successorEpoch = nil, shard.Epoch{}
		s.mu.Unlock()
	}
}

// drainShard makes the owner of a shard refuse new keys, and passes its records to the ownership state
// machine for the handover.
func (e *Entry) drainShard(id shard.ID) {
	var records []task.Record
	var open []task.JobID
	e.withOwner(id, func(now time.Time, o *job.Owner) []job.Action {
		records, open = o.Drain(now)
		e.owners[id].reportedOpen = open
		return nil
	})
	e.withOwnership(func(now time.Time) []ownership.Action {
		return e.ownership.state.ShardDrained(now, id, records, open)
	})
}

func (e *Entry) sendHandover(ctx context.Context, action ownership.SendHandover) {
	p := e.directory.entry(action.To)
	if p == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, ownership.HandoverRetryInterval)
	defer cancel()
	reply, err := p.Handover(ctx, action.Handover)
	if err != nil {
		return
	}
	e.withOwnership(func(now time.Time) []ownership.Action {
		return e.ownership.state.HandoverAnswered(now, action.To, reply)
	})
}

// reportHandoverProgress tells the new owners of the shards that this entry hands over which open keys have
// ended.
func (e *Entry) reportHandoverProgress(time.Time) {
	if !e.draining.Load() {
		return
	}
	for i := range e.owners {
		id := shard.ID(i)
		var records []task.Record
		var open []task.JobID
		progressed := false
		e.withOwner(id, func(now time.Time, o *job.Owner) []job.Action {
			s := &e.owners[id]
			if len(s.reportedOpen) == 0 {
				return nil
			}
			all, stillOpen := o.Drain(now)
			if len(stillOpen) == len(s.reportedOpen) {
				return nil
			}
			records = slices.DeleteFunc(all, func(r task.Record) bool {
				return !slices.Contains(s.reportedOpen, r.Attempt.Task.Job)
			})
			s.reportedOpen, open, progressed = stillOpen, stillOpen, true
			return nil
		})
		if progressed {
			e.withOwnership(func(now time.Time) []ownership.Action {
				return e.ownership.state.HandoverProgress(now, id, records, open)
			})
		}
	}
}

// drain hands over all shards and waits until the open jobs of this entry have ended. It returns the number
// of submissions that were still open at the drain timeout.
func (e *Entry) drain() (interrupted int) {
	if e.aborted.Load() {
		return e.waiters.count()
	}
	e.draining.Store(true)
	e.record(event.Event{Number: event.ProcessDraining, Task: -1, Count: e.waiters.count()})
	e.withOwnership(func(now time.Time) []ownership.Action { return e.ownership.state.Drain(now) })
	deadline := time.Now().Add(e.options.DrainTimeout)
	for time.Now().Before(deadline) {
		if e.drained() {
			return 0
		}
		time.Sleep(drainPollInterval)
	}
	return e.waiters.count() + int(e.submissions.Load())
}

// drained reports whether the entry can stop. If no other entry can take its shards, it only needs its open
// jobs to end.
func (e *Entry) drained() bool {
	if e.submissions.Load() > 0 || e.waiters.count() > 0 {
		return false
	}
	e.ownership.mu.Lock()
	handedOver := e.ownership.state.Drained()
	e.ownership.mu.Unlock()
	return handedOver || !e.otherEntryAvailable() && !e.hasOpenJobs()
}

func (e *Entry) otherEntryAvailable() bool {
	live := e.liveEntries()
	return len(live) != 1 || live[0] != e.options.Name
}

func (e *Entry) hasOpenJobs() bool {
	open := false
	e.eachOwner(func(now time.Time, o *job.Owner) []job.Action {
		_, keys := o.Drain(now)
		open = open || len(keys) > 0
		return nil
	})
	return open
}
