package ownership

import (
	"time"

	"dogwoodglade/core/event"
	"dogwoodglade/core/shard"
)

// storeState is the state of the requests to the store. At most one request for the Shards row and one for the
// registry are in progress.
type storeState struct {
	rowAttempted   bool // a request for the row has succeeded or failed
	down           bool // the last request failed
	row            ShardsRow
	rowReadAt      time.Time // last read of the row or failed request for it
	rowRetryAt     time.Time // earliest time of the next request for the row
	rowRequestedAt time.Time // zero if no request for the row is in progress
	writeUncertain bool      // a write's outcome is unknown, so the row must be read before the next write

	registryID          uint64 // ID of the read in progress; zero if there is none
	registryRequestedAt time.Time
	registryRetryAt     time.Time
	registryRecoveries  []*recovery // recoveries that use the read in progress
	registryPreVote     uint64      // ID of the pre-vote that uses it; zero if none does

	lastRequestID uint64
}

// advanceStore requests what the recoveries and the pre-vote need from the store, and times out requests.
func (o *Ownership) advanceStore(now time.Time, actions []Action) []Action {
	s := &o.store
	if !s.rowRequestedAt.IsZero() && now.Sub(s.rowRequestedAt) >= RequestTimeout {
		o.rowRequestFailed(now)
	}
	if s.registryID != 0 && now.Sub(s.registryRequestedAt) >= RequestTimeout {
		o.registryRequestFailed(now)
	}
	if s.rowRequestedAt.IsZero() && !now.Before(s.rowRetryAt) && !o.started.IsZero() {
		switch row, changed := o.wantedRow(); {
		case !s.rowAttempted || s.writeUncertain, !changed && now.Sub(s.rowReadAt) >= RowRefreshInterval:
			s.rowRequestedAt = now
			actions = append(actions, ReadShards{})
		case changed:
			s.rowRequestedAt = now
			s.writeUncertain = true
			actions = append(actions, WriteShards{Row: row})
		}
	}
	if s.registryID == 0 && !now.Before(s.registryRetryAt) && o.collectRegistryReaders(now) {
		s.registryID, s.registryRequestedAt = o.nextRequestID(), now
		actions = append(actions, ReadRegistry{ID: s.registryID})
	}
	return actions
}

// wantedRow returns the row with the epochs of all shards that this entry owns or recovers, and whether it differs
// from the row last read.
func (o *Ownership) wantedRow() (ShardsRow, bool) {
	row, changed := o.store.row, false
	raise := func(id shard.ID, epoch shard.Epoch) {
		if row.Shards[id].Epoch.Less(epoch) {
			row.Shards[id] = ShardOwner{Epoch: epoch, Entry: o.self}
			changed = true
		}
	}
	for id, own := range o.owned {
		raise(id, own.epoch)
	}
	for _, r := range o.recoveries {
		for id, s := range r.shards {
			raise(id, s.epoch)
		}
	}
	return row, changed
}

// collectRegistryReaders records which recoveries, and whether the pre-vote, use a registry read that starts now.
// It reports whether there is any.
func (o *Ownership) collectRegistryReaders(now time.Time) bool {
	s := &o.store
	s.registryRecoveries, s.registryPreVote = nil, 0
	for _, r := range o.recoveries {
		due := r.requiredAgents == nil || now.Sub(r.registryReadAt) >= StoreRetryInterval
		if due && r.allWritten() && !r.allStartsKnown() {
			s.registryRecoveries = append(s.registryRecoveries, r)
		}
	}
	if o.preVote != nil && o.preVote.needsRegistry {
		s.registryPreVote = o.preVote.id
	}
	return len(s.registryRecoveries) > 0 || s.registryPreVote != 0
}

// ShardsWritten reports that WriteShards took effect; row is the new row.
func (o *Ownership) ShardsWritten(now time.Time, row ShardsRow) []Action {
	return o.ShardsRead(now, row)
}

// ShardsRead reports the current row, after ReadShards or after a WriteShards whose version was outdated.
func (o *Ownership) ShardsRead(now time.Time, row ShardsRow) []Action {
	s := &o.store
	s.rowRequestedAt, s.writeUncertain, s.rowAttempted = time.Time{}, false, true
	o.markStoreUp()
	if row.Version < s.row.Version {
		return o.advance(now, nil)
	}
	s.row, s.rowReadAt = row, now
	var actions []Action
	for id, owner := range row.Shards {
		actions = o.applyShardOwner(now, shard.ID(id), owner, actions)
	}
	return o.advance(now, actions)
}

// applyShardOwner compares one shard of the row with this entry's view. A recovery whose epoch is in the row was
// written, even if the response was lost.
func (o *Ownership) applyShardOwner(now time.Time, id shard.ID, owner ShardOwner, actions []Action) []Action {
	if owner.Epoch.IsZero() {
		return actions
	}
	if r, s := o.recoveryOf(id); r != nil && s.epoch == owner.Epoch {
		s.written = true
		return actions
	}
	return o.observeClaim(now, id, claim{epoch: owner.Epoch, entry: owner.Entry, lastHeard: now}, actions)
}

// ShardsFailed reports that ReadShards or WriteShards failed: the store is down, or the outcome is unknown. The row
// is then read, and a write of this entry that took effect is recognised by its epoch.
func (o *Ownership) ShardsFailed(now time.Time) []Action {
	o.rowRequestFailed(now)
	return o.advance(now, nil)
}

func (o *Ownership) rowRequestFailed(now time.Time) {
	s := &o.store
	s.rowRequestedAt, s.rowAttempted = time.Time{}, true
	if s.down {
		s.rowRetryAt = now.Add(StoreRetryInterval)
	}
	s.rowReadAt = now
	o.markStoreDown()
}

// RegistryRead reports the result of ReadRegistry, the rows of all agents.
func (o *Ownership) RegistryRead(now time.Time, id uint64, rows []AgentRow) []Action {
	s := &o.store
	if id != s.registryID {
		return nil
	}
	s.registryID = 0
	o.markStoreUp()
	for _, r := range s.registryRecoveries {
		r.updateRegistry(now, rows)
	}
	if pv := o.preVote; pv != nil && pv.id == s.registryPreVote {
		o.preVote = nil
		voters := 0
		for _, row := range rows {
			if !row.Left {
				voters++
			}
		}
		o.finishPreVote(now, pv, func(string) bool { return voters == 0 })
	}
	return o.advance(now, nil)
}

// RegistryFailed reports that ReadRegistry failed.
func (o *Ownership) RegistryFailed(now time.Time, id uint64) []Action {
	if id != o.store.registryID {
		return nil
	}
	o.registryRequestFailed(now)
	return o.advance(now, nil)
}

func (o *Ownership) registryRequestFailed(now time.Time) {
	s := &o.store
	s.registryID = 0
	s.registryRetryAt = now.Add(StoreRetryInterval)
	o.markStoreDown()
	if pv := o.preVote; pv != nil && pv.id == s.registryPreVote {
		o.preVote = nil
		o.finishPreVote(now, pv, func(string) bool { return false })
	}
}

func (o *Ownership) markStoreDown() {
	if !o.store.down {
		o.store.down = true
		o.emit(event.PlatformFailed, event.Event{})
	}
}

func (o *Ownership) markStoreUp() {
	if o.store.down {
		o.store.down = false
		o.emit(event.PlatformRestored, event.Event{})
	}
}
