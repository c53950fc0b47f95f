package ownership

import (
	"time"

	"dogwoodglade/core/event"
	"dogwoodglade/core/shard"
	"dogwoodglade/core/task"
)

// maxHandovers limits how often an epoch can be handed over, because each handover makes the epoch longer.
const maxHandovers = 16

// outgoingHandover is the state of a shard that this entry is handing over.
type outgoingHandover struct {
	epoch              shard.Epoch // under which this entry owned the shard
	complete           bool        // recovery was complete: this entry knows every start of the shard
	fenced             map[agentID]bool
	trustedIncarnation string // incarnation of the only peer that may take the shard without fencing
	ready              bool   // the caller has called ShardDrained
	to                 entryID
	newOwnerEpoch      shard.Epoch   // zero until the new owner accepts
	unacknowledged     []task.Record // records that no reply has acknowledged
	openKeys           []task.JobID
	changed            bool      // records or open keys changed since message was built
	message            Handover  // last message, repeated until it is answered
	sentAt             time.Time // zero if no message awaits a reply
}

// Drain starts the planned handover of all shards, each to the live entry that ranks first by rendezvous hashing.
// Shards stay with this entry while no other entry is live. The entry may exit once Drained returns true.
func (o *Ownership) Drain(now time.Time) []Action {
	o.draining = true
	o.preVote = nil
	return o.advance(now, nil)
}

// ShardDrained reports that a DrainShard is done, with all start records of the shard and the keys still open.
func (o *Ownership) ShardDrained(now time.Time, id shard.ID, records []task.Record, open []task.JobID) []Action {
	out := o.handovers[id]
	if out == nil || out.ready {
		return nil
	}
	out.ready, out.unacknowledged, out.openKeys = true, records, open
	return o.advance(now, nil)
}

// HandoverProgress reports that open keys of a shard being handed over have ended. It takes the start records of
// these keys and the keys that are still open.
func (o *Ownership) HandoverProgress(
	now time.Time, id shard.ID, records []task.Record, open []task.JobID,
) []Action {
	out := o.handovers[id]
	if out == nil || !out.ready {
		return nil
	}
	out.unacknowledged, out.openKeys, out.changed = append(out.unacknowledged, records...), open, true
	return o.advance(now, nil)
}

// HandoverAnswered takes the peer's reply to a SendHandover.
func (o *Ownership) HandoverAnswered(now time.Time, from string, r HandoverReply) []Action {
	out := o.handovers[r.Shard]
	if out == nil || out.to.name != from || out.message.Sequence != r.Sequence || out.sentAt.IsZero() {
		return nil
	}
	out.sentAt = time.Time{}
	var actions []Action
	switch {
	case r.Accepted:
		out.unacknowledged = out.unacknowledged[len(out.message.Records):]
		actions = o.handoverAccepted(r.Shard, out, claim{
			epoch: r.Epoch, previousEpoch: out.epoch, entry: from, lastHeard: now, confirmed: true, active: true,
		}, actions)
	case !r.Epoch.IsZero():
		actions = o.observeClaim(now, r.Shard, claim{epoch: r.Epoch, lastHeard: now, confirmed: true}, actions)
	case out.newOwnerEpoch.IsZero():
		out.to = entryID{}
		if p := o.peers[from]; p != nil {
			p.draining = true
		}
	}
	return o.advance(now, actions)
}

// handoverAccepted records that the peer owns the shard.
func (o *Ownership) handoverAccepted(id shard.ID, out *outgoingHandover, c claim, actions []Action) []Action {
	if out.newOwnerEpoch == c.epoch {
		return actions
	}
	out.newOwnerEpoch, out.to = c.epoch, entryID{c.entry, c.epoch.OwnerIncarnation()}
	if c.epoch.HandoverCount() > out.epoch.HandoverCount()+1 {
		// The receiver has already handed the shard on. It does so only once no key is open here, so nothing
		// is left to send.
		out.changed, out.sentAt = false, time.Time{}
	}
	if !c.epoch.Less(o.claims[id].epoch) {
		o.claims[id] = c
	}
	delete(o.owned, id)
	if r, _ := o.recoveryOf(id); r != nil {
		out.fenced = r.fenced
		r.drop(id)
	}
	o.emit(event.HandoverSent, event.Event{Peer: c.entry, Epoch: c.epoch.String(), Count: len(out.openKeys)})
	return append(actions, HandedOver{Shard: id, To: c.entry, Epoch: c.epoch})
}

// reconcileHandover compares a claim with the outgoing handover of the shard, if there is one. A claim of the
// receiver, or of an entry that got the shard from it, counts as acceptance. A claim that may be the receiver's leaves
// the handover as it is until the reply arrives. Any other claim under a higher epoch means that another entry took the
// shard over, and ends the handover. The result pending is true if the handover continues, so that this entry must not
// step down.
func (o *Ownership) reconcileHandover(
	now time.Time, id shard.ID, c claim, actions []Action,
) (result []Action, pending bool) {
	out := o.handovers[id]
	if out == nil || !out.epoch.Less(c.epoch) || !out.newOwnerEpoch.Less(c.epoch) {
		return actions, out != nil && c.epoch == out.newOwnerEpoch
	}
	if c.epoch.DescendsFrom(out.epoch) || c.confirmed && c.previousEpoch == out.epoch {
		return o.handoverAccepted(id, out, c, actions), true
	}
	if !c.confirmed && c.epoch == out.epoch.Next(out.to.incarnation) {
		return actions, true
	}
	delete(o.handovers, id)
	if o.owned[id] == nil {
		o.emit(event.OwnerSuperseded, event.Event{
			Epoch: out.epoch.String(), Peer: c.entry, State: c.epoch.String(), Count: 1,
		})
		actions = append(actions, StepDown{Shard: id, Epoch: out.epoch})
	}
	return actions, false
}

// advanceHandovers starts, sends, repeats and ends outgoing handovers.
func (o *Ownership) advanceHandovers(now time.Time, actions []Action) []Action {
	if !o.draining {
		return actions
	}
	eligible := o.eligibleEntries(now)
	for _, id := range sortedShards(o.owned) {
		own := o.owned[id]
		// A shard whose previous owner still has open keys stays here until that owner has finished them or,
		// if that owner failed, until the agents are fenced.
		_, s := o.recoveryOf(id)
		mustStay := len(own.openKeys) > 0 || s != nil && s.epoch != own.epoch
		if !mustStay && o.handovers[id] == nil && len(eligible) > 0 {
			o.handovers[id] = &outgoingHandover{epoch: own.epoch, complete: own.complete}
			actions = append(actions, DrainShard{Shard: id, Epoch: own.epoch})
		}
	}
	for _, id := range sortedShards(o.handovers) {
		actions = o.advanceHandover(now, id, eligible, actions)
	}
	return actions
}

// advanceHandover sends the next message of a handover to the peer, or ends the handover if nothing is left to send.
func (o *Ownership) advanceHandover(now time.Time, id shard.ID, eligible []string, actions []Action) []Action {
	out := o.handovers[id]
	if !out.ready {
		return actions
	}
	peerGone := !o.isRunning(out.to, now)
	if out.newOwnerEpoch.IsZero() && peerGone && len(eligible) > 0 {
		out.to.name = Rendezvous(shardKey(id), eligible)
		out.to.incarnation = o.peers[out.to.name].incarnation
		out.sentAt, out.changed, peerGone = time.Time{}, true, false
		if out.trustedIncarnation == "" {
			out.trustedIncarnation = out.to.incarnation
		}
	}
	acknowledged := out.sentAt.IsZero() && !out.changed
	if !out.newOwnerEpoch.IsZero() && len(out.openKeys) == 0 && (acknowledged || peerGone) {
		delete(o.handovers, id)
		return append(actions, ReleaseShard{Shard: id})
	}
	if peerGone || acknowledged || !out.sentAt.IsZero() && now.Sub(out.sentAt) < HandoverRetryInterval {
		return actions
	}
	if out.sentAt.IsZero() {
		out.message = Handover{
			From: o.self, Incarnation: o.incarnation, Shard: id, Epoch: out.epoch,
			Sequence: out.message.Sequence + 1, Records: out.unacknowledged, OpenKeys: out.openKeys,
		}
		if out.complete {
			// Two receivers that both skip fencing could start the same key, so only the first receiver may.
			out.message.Trusted = out.trustedIncarnation
		}
		out.changed = false
	}
	out.sentAt = now
	return append(actions, SendHandover{To: out.to.name, Handover: out.message})
}

// ReceiveHandover handles a Handover from a peer. The caller sends the reply and then performs the actions. A
// repeated message gets the same reply.
func (o *Ownership) ReceiveHandover(now time.Time, h Handover) (HandoverReply, []Action) {
	reply := HandoverReply{Shard: h.Shard, Sequence: h.Sequence, Accepted: true}
	var actions []Action
	r, s := o.recoveryOf(h.Shard)
	own, known := o.owned[h.Shard], o.claims[h.Shard].epoch
	previousOwner := entryID{h.From, h.Incarnation}
	switch {
	case own != nil && own.previousEpoch == h.Epoch && own.previousOwner == previousOwner:
		reply.Epoch = own.epoch
		actions = own.update(h, actions)
	case r != nil && s.previousEpoch == h.Epoch && s.previousOwner == previousOwner:
		reply.Epoch = s.epoch
		r.update(s, h)
	case r != nil && own == nil && h.Epoch.Less(s.epoch):
		s.previousEpoch, s.previousOwner = h.Epoch, previousOwner
		reply.Epoch = s.epoch
		r.update(s, h)
	case h.Epoch.Less(known) && (own != nil || known.OwnerIncarnation() != o.incarnation):
		reply.Accepted, reply.Epoch = false, known
	case o.draining:
		reply.Accepted = false
	default:
		actions = o.observeClaim(now, h.Shard, claim{epoch: h.Epoch, entry: h.From, lastHeard: now}, actions)
		reply.Epoch = o.acceptHandover(now, h)
	}
	return reply, o.advance(now, actions)
}

// acceptHandover starts the recovery of a shard that was handed over and returns its new epoch. If the previous
// owner knew every start, no fencing is needed. Otherwise the shard is recovered as in a takeover, under an epoch
// above all that derive from the previous owner's epoch by handover.
func (o *Ownership) acceptHandover(now time.Time, h Handover) shard.Epoch {
	known := o.claims[h.Shard].epoch
	skipFencing := h.Trusted == o.incarnation && known == h.Epoch && h.Epoch.HandoverCount() < maxHandovers
	epoch := known.Next(o.incarnation)
	if skipFencing {
		epoch = h.Epoch.HandedTo(o.incarnation)
	}
	r := newRecovery(now)
	r.shards[h.Shard] = &shardRecovery{
		epoch: epoch, previousEpoch: h.Epoch, startsKnown: skipFencing,
		previousOwner: entryID{h.From, h.Incarnation}, sequence: h.Sequence, openKeys: h.OpenKeys,
	}
	r.bufferRecords(h.Records)
	o.recoveries = append(o.recoveries, r)
	o.emit(event.HandoverReceived, event.Event{Peer: h.From, Epoch: epoch.String(), Count: len(h.OpenKeys)})
	return epoch
}

// update applies a later message of the handover, before the shard is active.
func (r *recovery) update(s *shardRecovery, h Handover) {
	r.bufferRecords(h.Records)
	if h.Sequence > s.sequence {
		s.sequence, s.openKeys = h.Sequence, h.OpenKeys
	}
}

// update applies a later message of the handover, once the shard is active.
func (own *ownedShard) update(h Handover, actions []Action) []Action {
	if len(h.Records) > 0 {
		actions = append(actions, Recover{Shard: h.Shard, Records: h.Records})
	}
	if h.Sequence > own.sequence {
		own.sequence, own.openKeys = h.Sequence, h.OpenKeys
		actions = append(actions, ForwardOpenKeys{Shard: h.Shard, To: h.From, Keys: h.OpenKeys})
	}
	return actions
}
