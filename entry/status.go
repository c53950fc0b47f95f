package entry

import "dogwoodglade/core/shard"

// Serving reports whether every shard has a live owner, the shards of this entry have been recovered, and the
// pool has at least the given number of slots.
func (e *Entry) Serving(pool string, slots int) bool {
	e.ownership.mu.Lock()
	shardsReady := len(e.ownership.incomplete) == 0
	for id := range shard.ID(shard.Count) {
		if _, _, ok := e.ownership.state.Owner(id); !ok {
			shardsReady = false
		}
	}
	e.ownership.mu.Unlock()
	if !shardsReady {
		return false
	}
	if _, ok := e.tables.Current().Pools[pool]; !ok {
		return false
	}
	a := e.allocators.getOrCreate(e, pool)
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state.Stats().Slots >= slots
}
