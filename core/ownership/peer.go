package ownership

import (
	"time"

	"dogwoodglade/core/event"
	"dogwoodglade/core/shard"
)

// Ping returns the ping to send to all peers. The caller sets its Tables field.
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
		own := o.owned[id]
		p.Shards = append(p.Shards, Claim{Shard: id, Epoch: own.epoch, From: own.previousEpoch, Active: true})
	}
	for _, r := range o.recoveries {
		if r.activated {
			continue
		}
		for _, id := range sortedShards(r.shards) {
			if s := r.shards[id]; s.written && o.owned[id] == nil {
				p.Shards = append(p.Shards, Claim{Shard: id, Epoch: s.epoch, From: s.previousEpoch})
			}
		}
	}
	for _, id := range sortedShards(o.staleClaims) {
		p.Superseded = append(p.Superseded, shard.Fence{Shard: id, Epoch: o.claims[id].epoch})
	}
	clear(o.staleClaims)
	return p
}

// ReceivePing handles a ping from a peer. A ping with a higher epoch for a shard of this entry makes it step down.
func (o *Ownership) ReceivePing(now time.Time, p Ping) []Action {
	if p.From == o.self || !o.updatePeer(now, p) {
		return nil
	}
	var actions []Action
	for _, f := range p.Superseded {
		actions = o.observeClaim(now, f.Shard, claim{epoch: f.Epoch, lastHeard: now}, actions)
	}
	for _, c := range p.Shards {
		if c.Epoch.Less(o.claims[c.Shard].epoch) {
			o.staleClaims[c.Shard] = true
		}
		actions = o.observeClaim(now, c.Shard, claim{
			epoch: c.Epoch, previousEpoch: c.From, entry: p.From, lastHeard: now, confirmed: true, active: c.Active,
		}, actions)
	}
	o.updateStartupWait(now)
	return o.advance(now, actions)
}

// updatePeer records the ping, unless a newer one of the peer was received, and reports whether it did.
func (o *Ownership) updatePeer(now time.Time, p Ping) bool {
	known := o.peers[p.From]
	switch {
	case known == nil || known.lost:
		o.emit(event.EntryConnected, event.Event{Peer: p.From})
	case known.incarnation == p.Incarnation && known.sequence >= p.Sequence,
		known.incarnation != p.Incarnation && known.started > p.Started:
		return false
	}
	o.peers[p.From] = &peer{
		incarnation: p.Incarnation, started: p.Started, sequence: p.Sequence, draining: p.Draining, lastHeard: now,
	}
	return true
}

// ObserveEpoch reports an epoch of a shard that was seen in an agent's refusal, in a ticket or at a peer. A higher
// epoch than this entry's own supersedes it.
func (o *Ownership) ObserveEpoch(now time.Time, id shard.ID, epoch shard.Epoch) []Action {
	return o.advance(now, o.observeClaim(now, id, claim{epoch: epoch, lastHeard: now}, nil))
}

// observeClaim records a claim if its epoch is the highest known, and ends what this entry does with the shard
// under a lower epoch.
func (o *Ownership) observeClaim(now time.Time, id shard.ID, c claim, actions []Action) []Action {
	if c.entry == "" {
		c.entry = o.entryByIncarnation(c.epoch.OwnerIncarnation())
	}
	known := &o.claims[id]
	switch {
	case known.epoch.Less(c.epoch), known.epoch == c.epoch && c.confirmed:
		*known = c
	case known.epoch == c.epoch && known.entry == "":
		known.entry = c.entry
	}
	if _, s := o.recoveryOf(id); s != nil && c.epoch == s.epoch {
		return actions
	}
	actions, pending := o.reconcileHandover(now, id, c, actions)
	if pending {
		return actions
	}
	return o.stepDown(now, id, c, actions)
}

// stepDown ends a recovery and the ownership of the shard under epochs lower than the claim's.
func (o *Ownership) stepDown(now time.Time, id shard.ID, c claim, actions []Action) []Action {
	if r, s := o.recoveryOf(id); r != nil && s.epoch.Less(c.epoch) {
		r.drop(id)
		o.backOff(now)
	}
	if own := o.owned[id]; own != nil && own.epoch.Less(c.epoch) {
		delete(o.owned, id)
		o.emit(event.OwnerSuperseded, event.Event{
			Epoch: own.epoch.String(), Peer: c.entry, State: c.epoch.String(), Count: 1,
		})
		actions = append(actions, StepDown{Shard: id, Epoch: own.epoch})
	}
	return actions
}

// entryByIncarnation returns the name of the entry with the incarnation, or "" if no ping of it was received.
func (o *Ownership) entryByIncarnation(incarnation string) string {
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

// backOff delays the next pre-vote by a random time after a lost or unanswered one, or a superseded recovery.
func (o *Ownership) backOff(now time.Time) {
	until := now.Add(MinBackoff + time.Duration(o.random.Int64N(int64(BackoffJitter))))
	if until.After(o.nextPreVote) {
		o.nextPreVote = until
	}
}

// expirePeers marks peers as lost after FailureTimeout without a ping and removes them after the retention window.
func (o *Ownership) expirePeers(now time.Time) {
	for _, name := range sortedKeys(o.peers) {
		p := o.peers[name]
		silence := now.Sub(p.lastHeard)
		if !p.lost && silence >= FailureTimeout {
			p.lost = true
			o.emit(event.EntryLost, event.Event{Peer: name})
		}
		if silence >= RetentionWindow {
			delete(o.peers, name)
		}
	}
}
