package executor

import "dogwoodglade/core/shard"

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
