package ownership

import (
	"time"

	"dogwoodglade/core/event"
	"dogwoodglade/core/shard"
)

// storeState is the state of the requests to the platform's table. At most one request for the Shards row
// and one for the registry are in progress.
type storeState struct {
	known  bool // the row was read, or the first read failed
	down   bool // the last request failed
	row    ShardsRow
	read   time.Time // of the row
	next   time.Time // no request for the row before this time
	asked  time.Time // of the request in progress; zero if there is none
	verify bool      // a write's outcome is unknown

	registryID      uint64 // of the request in progress; zero if there is none
	registryAsked   time.Time
	registryNext    time.Time
	registryFor     []*recovery
	registryForVote uint64 // ID of the bid that waits for it

	lastID uint64
}

// advanceStore requests what the recoveries and the bid need: first the row, then the registry.
func (o *Ownership) advanceStore(now time.Time, actions []Action) []Action {
	s := &o.store
	if !s.asked.IsZero() && now.Sub(s.asked) >= RequestTimeout {
		o.rowFailed(now)
	}
	if s.registryID != 0 && now.Sub(s.registryAsked) >= RequestTimeout {
		o.registryFailed(now)
	}
	if s.asked.IsZero() && !now.Before(s.next) && !o.started.IsZero() {
		switch row, changed := o.wantedRow(); {
		case !s.known || s.verify, !changed && now.Sub(s.read) >= RefreshInterval:
			s.asked = now
			actions = append(actions, ReadShards{})
		case changed:
			s.asked = now
			s.verify = true
			actions = append(actions, WriteShards{Row: row})
		}
	}
	if s.registryID == 0 && !now.Before(s.registryNext) && o.needRegistry(now) {
		s.registryID, s.registryAsked = o.nextID(), now
		actions = append(actions, ReadRegistry{ID: s.registryID})
	}
	return actions
}

// wantedRow returns the row with the epochs of all owned and recovering shards.
func (o *Ownership) wantedRow() (ShardsRow, bool) {
	row, changed := o.store.row, false
	raise := func(id shard.ID, epoch shard.Epoch) {
		if row.Shards[id].Epoch.Less(epoch) {
			row.Shards[id] = ShardOwner{Epoch: epoch, Entry: o.self}
			changed = true
		}
	}
	for id, t := range o.owned {
		raise(id, t.epoch)
	}
	for _, r := range o.recoveries {
		for id, s := range r.shards {
			raise(id, s.epoch)
		}
	}
	return row, changed
}

// needRegistry collects who waits for a registry read that starts now.
func (o *Ownership) needRegistry(now time.Time) bool {
	s := &o.store
	s.registryFor, s.registryForVote = nil, 0
	for _, r := range o.recoveries {
		if r.written() && !r.trusted() && (r.required == nil || now.Sub(r.registered) >= StoreInterval) {
			s.registryFor = append(s.registryFor, r)
		}
	}
	if o.bid != nil && o.bid.needRegistry {
		s.registryForVote = o.bid.id
	}
	return len(s.registryFor) > 0 || s.registryForVote != 0
}

// ShardsWritten answers WriteShards: the write took effect and this is the new row.
func (o *Ownership) ShardsWritten(now time.Time, row ShardsRow) []Action {
	return o.ShardsRead(now, row)
}

// ShardsRead answers ReadShards, and WriteShards if the compare failed: this is the current row.
func (o *Ownership) ShardsRead(now time.Time, row ShardsRow) []Action {
	s := &o.store
	s.asked, s.verify, s.known = time.Time{}, false, true
	o.storeUp()
	if row.Version < s.row.Version {
		return o.advance(now, nil)
	}
	s.row, s.read = row, now
	var actions []Action
	for id, owner := range row.Shards {
		actions = o.adoptRow(now, shard.ID(id), owner, actions)
	}
	return o.advance(now, actions)
}

// adoptRow compares one shard of the row with this entry's view.
func (o *Ownership) adoptRow(now time.Time, id shard.ID, owner ShardOwner, actions []Action) []Action {
	if owner.Epoch.IsZero() {
		return actions
	}
	if r, s := o.recovering(id); r != nil && s.epoch == owner.Epoch {
		s.written = true
		return actions
	}
	return o.learn(now, id, claim{epoch: owner.Epoch, entry: owner.Entry, heard: now}, actions)
}

// ShardsFailed answers ReadShards and WriteShards: the store is down, or the outcome is unknown. The row is
// read back, which recognises a write of this entry by its epoch.
func (o *Ownership) ShardsFailed(now time.Time) []Action {
	o.rowFailed(now)
	return o.advance(now, nil)
}

func (o *Ownership) rowFailed(now time.Time) {
	s := &o.store
	s.asked, s.known = time.Time{}, true
	if s.down {
		s.next = now.Add(StoreInterval)
	}
	s.read = now
	o.storeFailed()
}

// RegistryRead answers ReadRegistry with the rows of all agents.
func (o *Ownership) RegistryRead(now time.Time, id uint64, rows []AgentRow) []Action {
	s := &o.store
	if id != s.registryID {
		return nil
	}
	s.registryID = 0
	o.storeUp()
	for _, r := range s.registryFor {
		r.register(now, rows)
	}
	if b := o.bid; b != nil && b.id == s.registryForVote {
		o.bid = nil
		voters := 0
		for _, row := range rows {
			if !row.Left {
				voters++
			}
		}
		o.closeBid(now, b, func(string) bool { return voters == 0 })
	}
	return o.advance(now, nil)
}

// RegistryFailed answers ReadRegistry: the store is down.
func (o *Ownership) RegistryFailed(now time.Time, id uint64) []Action {
	if id != o.store.registryID {
		return nil
	}
	o.registryFailed(now)
	return o.advance(now, nil)
}

func (o *Ownership) registryFailed(now time.Time) {
	s := &o.store
	s.registryID = 0
	s.registryNext = now.Add(StoreInterval)
	o.storeFailed()
	if b := o.bid; b != nil && b.id == s.registryForVote {
		o.bid = nil
		o.closeBid(now, b, func(string) bool { return false })
	}
}

func (o *Ownership) storeFailed() {
	if !o.store.down {
		o.store.down = true
		o.note(event.PlatformFailed, event.Event{})
	}
}

func (o *Ownership) storeUp() {
	if o.store.down {
		o.store.down = false
		o.note(event.PlatformRestored, event.Event{})
	}
}
