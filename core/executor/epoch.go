package executor

import (
	"dogwoodglade/core/shard"
	"dogwoodglade/core/task"
)

// AcceptedEpochs returns the lowest epochs that the agent now accepts for the shards of the fences: the epoch of
// the fence itself or, if the fence was refused, a higher one.
func (e *Executor) AcceptedEpochs(fences []shard.Fence) []shard.Fence {
	epochs := make([]shard.Fence, 0, len(fences))
	for _, f := range fences {
		if f.Shard >= 0 && f.Shard < shard.Count {
			epochs = append(epochs, shard.Fence{Shard: f.Shard, Epoch: e.fences[f.Shard]})
		}
	}
	return epochs
}

// Confirm reports whether an owner's epoch is still accepted, and changes nothing. A draining agent never
// confirms: once its records are in the object store, a successor reads them there instead of fencing the agent.
func (e *Executor) Confirm(f shard.Fence) task.Refusal {
	switch {
	case !e.registered:
		return task.RefusedNotRegistered
	case f.Shard < 0 || f.Shard >= shard.Count || f.Epoch.Less(e.fences[f.Shard]):
		return task.RefusedEpochSuperseded
	case e.draining:
		return task.RefusedLeaving
	}
	return task.Accepted
}

// IsSuperseded reports whether the epoch of an attempt's owner is lower than the lowest that the agent accepts.
func (e *Executor) IsSuperseded(a task.AttemptID, epoch shard.Epoch) bool {
	return epoch.Less(e.fences[a.Task.Job.Shard()])
}

// Unregister makes the executor refuse starts until it is registered again.
func (e *Executor) Unregister() { e.registered = false }
