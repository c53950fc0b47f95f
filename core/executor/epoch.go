package executor

import (
	"dogwoodglade/core/shard"
	"dogwoodglade/core/task"
)

// Epochs returns the current epochs of the fenced shards: the fence's own, or a higher one that refused it.
func (e *Executor) Epochs(fences []shard.Fence) []shard.Fence {
	epochs := make([]shard.Fence, 0, len(fences))
	for _, f := range fences {
		if f.Shard >= 0 && f.Shard < shard.Count {
			epochs = append(epochs, shard.Fence{Shard: f.Shard, Epoch: e.fences[f.Shard]})
		}
	}
	return epochs
}

// Confirm reports whether an owner's epoch is still accepted. It has no effect. A draining agent confirms
// nothing: once its records are in the object store, a successor reads them there and does not fence it.
func (e *Executor) Confirm(f shard.Fence) task.Refusal {
	switch {
	case !e.registered:
		return task.RefusedUnregistered
	case f.Shard < 0 || f.Shard >= shard.Count || f.Epoch.Less(e.fences[f.Shard]):
		return task.RefusedEpoch
	case e.draining:
		return task.RefusedLeaving
	}
	return task.Accepted
}

// Superseded reports whether the epoch of an attempt's owner is lower than the one that the agent accepts.
func (e *Executor) Superseded(a task.AttemptID, epoch shard.Epoch) bool {
	return epoch.Less(e.fences[a.Task.Job.Shard()])
}

// Unregister closes the executor for starts until it is registered again.
func (e *Executor) Unregister() { e.registered = false }
