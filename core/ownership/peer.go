package ownership

import (
	"time"

	"dogwoodglade/core/event"
	"dogwoodglade/core/shard"
)

// Ping returns the ping to send to all peers. Its Tables field is left for the caller.
func (o *Ownership) Ping(now time.Time) Ping {
	o.sequence++
	p := Ping{
		From:        o.self,
		Incarnation: o.incarnation,
		Started:     o.started.UnixNano(),
		Sequence:    o.sequence,
		Draining:    o.draining,
	}
	for _, id := range sortedShards(o.owned) {
		t := o.owned[id]
		p.Shards = append(p.Shards, Claim{Shard: id, Epoch: t.epoch, From: t.from, Active: true})
	}
	for _, r := range o.recoveries {
		if r.activated {
			continue
		}
		for _, id := range sortedShards(r.shards) {
			if s := r.shards[id]; s.written && o.owned[id] == nil {
				p.Shards = append(p.Shards, Claim{Shard: id, Epoch: s.epoch, From: s.from})
			}
		}
	}
	for _, id := range sortedShards(o.stale) {
		p.Superseded = append(p.Superseded, shard.Fence{Shard: id, Epoch: o.known[id].epoch})
	}
	clear(o.stale)
	return p
}

// PeerPing takes a ping of a peer. A ping with a higher epoch for an own shard makes this entry step down.
func (o *Ownership) PeerPing(now time.Time, p Ping) []Action {
	if p.From == o.self || !o.accept(now, p) {
		return nil
	}
	var actions []Action
	for _, f := range p.Superseded {
		actions = o.learn(now, f.Shard, claim{epoch: f.Epoch, heard: now}, actions)
	}
	for _, c := range p.Shards {
		if c.Epoch.Less(o.known[c.Shard].epoch) {
			o.stale[c.Shard] = true
		}
		actions = o.learn(now, c.Shard, claim{
			epoch: c.Epoch, from: c.From, entry: p.From, heard: now, pinged: true, active: c.Active,
		}, actions)
	}
	o.settle(now)
	return o.advance(now, actions)
}

// accept updates the peer and reports whether the ping is newer than what is known about it.
func (o *Ownership) accept(now time.Time, p Ping) bool {
	known := o.peers[p.From]
	switch {
	case known == nil || known.lost:
		o.note(event.EntryConnected, event.Event{Peer: p.From})
	case known.incarnation == p.Incarnation && known.sequence >= p.Sequence,
		known.incarnation != p.Incarnation && known.started > p.Started:
		return false
	}
	o.peers[p.From] = &peer{
		incarnation: p.Incarnation, started: p.Started, sequence: p.Sequence, draining: p.Draining, heard: now,
	}
	return true
}

// Superseded takes the higher epoch of a shard that an agent's refusal, a ticket or a peer reported.
func (o *Ownership) Superseded(now time.Time, id shard.ID, epoch shard.Epoch) []Action {
	return o.advance(now, o.learn(now, id, claim{epoch: epoch, heard: now}, nil))
}

// learn takes a claim. The highest epoch wins; whatever this entry does under a lower one ends.
func (o *Ownership) learn(now time.Time, id shard.ID, c claim, actions []Action) []Action {
	if c.entry == "" {
		c.entry = o.entryOf(c.epoch.Holder())
	}
	known := &o.known[id]
	switch {
	case known.epoch.Less(c.epoch), known.epoch == c.epoch && c.pinged:
		*known = c
	case known.epoch == c.epoch && known.entry == "":
		known.entry = c.entry
	}
	if _, s := o.recovering(id); s != nil && c.epoch == s.epoch {
		return actions
	}
	actions, waits := o.loseDeparture(now, id, c, actions)
	if waits {
		return actions
	}
	return o.yield(now, id, c, actions)
}

// yield gives up a bid for the shard, and its ownership, under an epoch lower than the claim's.
func (o *Ownership) yield(now time.Time, id shard.ID, c claim, actions []Action) []Action {
	if r, s := o.recovering(id); r != nil && s.epoch.Less(c.epoch) {
		r.drop(id)
		o.backOff(now)
	}
	if t := o.owned[id]; t != nil && t.epoch.Less(c.epoch) {
		delete(o.owned, id)
		o.note(event.OwnerSuperseded, event.Event{
			Epoch: t.epoch.String(), Peer: c.entry, State: c.epoch.String(), Count: 1,
		})
		actions = append(actions, StepDown{Shard: id, Epoch: t.epoch})
	}
	return actions
}

// entryOf returns the name of the entry with the incarnation, or "" if it never pinged.
func (o *Ownership) entryOf(incarnation string) string {
	if incarnation == o.incarnation {
		return o.self
	}
	for name, p := range o.peers {
		if p.incarnation == incarnation {
			return name
		}
	}
	return ""
}

// backOff delays the next bid after one that was lost.
func (o *Ownership) backOff(now time.Time) {
	until := now.Add(BackoffMin + time.Duration(o.random.Int64N(int64(BackoffJitter))))
	if until.After(o.nextBid) {
		o.nextBid = until
	}
}

// missPeers records peers that fell silent and forgets them after the retention window.
func (o *Ownership) missPeers(now time.Time) {
	for _, name := range sortedKeys(o.peers) {
		p := o.peers[name]
		silence := now.Sub(p.heard)
		if !p.lost && silence >= SilenceLimit {
			p.lost = true
			o.note(event.EntryLost, event.Event{Peer: name})
		}
		if silence >= RetentionWindow {
			delete(o.peers, name)
		}
	}
}
