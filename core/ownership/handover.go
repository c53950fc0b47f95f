package ownership

import (
	"time"

	"dogwoodglade/core/event"
	"dogwoodglade/core/shard"
	"dogwoodglade/core/task"
)

// maxHops bounds the length of an epoch that is handed over again and again.
const maxHops = 16

// departure is a shard that this entry hands over.
type departure struct {
	epoch     shard.Epoch // under which this entry owned the shard
	complete  bool        // this entry knows every start of the shard
	fenced    map[agentID]bool
	first     string // incarnation of the peer that may take the shard without fencing
	ready     bool   // the caller has passed the records
	to        entryID
	successor shard.Epoch   // of the new owner; zero until it accepts
	records   []task.Record // not yet answered
	open      []task.JobID
	changed   bool      // since the message in progress or the last one
	message   Handover  // in progress
	sent      time.Time // of the message in progress; zero if there is none
}

// Drain begins the planned handover of all shards to the live entries that are first by rendezvous hashing.
// Shards stay here while no other entry is live. Drained tells when the entry may exit.
func (o *Ownership) Drain(now time.Time) []Action {
	o.draining = true
	o.bid = nil
	return o.advance(now, nil)
}

// HandOver answers DrainShard with all start records of the shard and the keys that are still open.
func (o *Ownership) HandOver(now time.Time, id shard.ID, records []task.Record, open []task.JobID) []Action {
	d := o.departures[id]
	if d == nil || d.ready {
		return nil
	}
	d.ready, d.records, d.open = true, records, open
	return o.advance(now, nil)
}

// HandoverProgress reports that keys of a shard that is handed over have ended: their records and the keys
// that are still open.
func (o *Ownership) HandoverProgress(
	now time.Time, id shard.ID, records []task.Record, open []task.JobID,
) []Action {
	d := o.departures[id]
	if d == nil || !d.ready {
		return nil
	}
	d.records, d.open, d.changed = append(d.records, records...), open, true
	return o.advance(now, nil)
}

// HandoverAnswered answers SendHandover with the reply of the peer.
func (o *Ownership) HandoverAnswered(now time.Time, from string, r HandoverReply) []Action {
	d := o.departures[r.Shard]
	if d == nil || d.to.name != from || d.message.Sequence != r.Sequence || d.sent.IsZero() {
		return nil
	}
	d.sent = time.Time{}
	var actions []Action
	switch {
	case r.Accepted:
		d.records = d.records[len(d.message.Records):]
		actions = o.accepted(r.Shard, d, claim{
			epoch: r.Epoch, from: d.epoch, entry: from, heard: now, pinged: true, active: true,
		}, actions)
	case !r.Epoch.IsZero():
		actions = o.learn(now, r.Shard, claim{epoch: r.Epoch, heard: now, pinged: true}, actions)
	case d.successor.IsZero():
		d.to = entryID{}
		if p := o.peers[from]; p != nil {
			p.draining = true
		}
	}
	return o.advance(now, actions)
}

// accepted records that the peer owns the shard.
func (o *Ownership) accepted(id shard.ID, d *departure, c claim, actions []Action) []Action {
	if d.successor == c.epoch {
		return actions
	}
	d.successor, d.to = c.epoch, entryID{c.entry, c.epoch.Holder()}
	if c.epoch.Hops() > d.epoch.Hops()+1 {
		// The receiver has handed the shard on, so it knew that no key was open.
		d.changed, d.sent = false, time.Time{}
	}
	if !c.epoch.Less(o.known[id].epoch) {
		o.known[id] = c
	}
	delete(o.owned, id)
	if r, _ := o.recovering(id); r != nil {
		d.fenced = r.fenced
		r.drop(id)
	}
	o.note(event.HandoverSent, event.Event{Peer: c.entry, Epoch: c.epoch.String(), Count: len(d.open)})
	return append(actions, HandedOver{Shard: id, To: c.entry, Epoch: c.epoch})
}

// loseDeparture compares a claim with the handover of the shard. It reports true if the claim may be the
// acceptance of the handover by a peer whose answer is still awaited.
func (o *Ownership) loseDeparture(
	now time.Time, id shard.ID, c claim, actions []Action,
) (result []Action, waits bool) {
	d := o.departures[id]
	if d == nil || !d.epoch.Less(c.epoch) || !d.successor.Less(c.epoch) {
		return actions, d != nil && c.epoch == d.successor
	}
	if c.epoch.Inherits(d.epoch) || c.pinged && c.from == d.epoch {
		return o.accepted(id, d, c, actions), true
	}
	if !c.pinged && c.epoch == d.epoch.Next(d.to.incarnation) {
		return actions, true
	}
	delete(o.departures, id)
	if o.owned[id] == nil {
		o.note(event.OwnerSuperseded, event.Event{
			Epoch: d.epoch.String(), Peer: c.entry, State: c.epoch.String(), Count: 1,
		})
		actions = append(actions, StepDown{Shard: id, Epoch: d.epoch})
	}
	return actions, false
}

// advanceHandovers begins, sends, repeats and ends handovers.
func (o *Ownership) advanceHandovers(now time.Time, actions []Action) []Action {
	if !o.draining {
		return actions
	}
	heirs := o.heirs(now)
	for _, id := range sortedShards(o.owned) {
		t := o.owned[id]
		// A shard with open keys of its former owner stays until that owner has finished them, or until the
		// agents are fenced because it failed.
		_, s := o.recovering(id)
		kept := len(t.open) > 0 || s != nil && s.epoch != t.epoch
		if !kept && o.departures[id] == nil && len(heirs) > 0 {
			o.departures[id] = &departure{epoch: t.epoch, complete: t.complete}
			actions = append(actions, DrainShard{Shard: id, Epoch: t.epoch})
		}
	}
	for _, id := range sortedShards(o.departures) {
		actions = o.advanceDeparture(now, id, heirs, actions)
	}
	return actions
}

func (o *Ownership) advanceDeparture(now time.Time, id shard.ID, heirs []string, actions []Action) []Action {
	d := o.departures[id]
	if !d.ready {
		return actions
	}
	gone := !o.runs(d.to, now)
	if d.successor.IsZero() && gone && len(heirs) > 0 {
		d.to.name = Rendezvous(shardKey(id), heirs)
		d.to.incarnation = o.peers[d.to.name].incarnation
		d.sent, d.changed, gone = time.Time{}, true, false
		if d.first == "" {
			d.first = d.to.incarnation
		}
	}
	settled := d.sent.IsZero() && !d.changed
	if !d.successor.IsZero() && len(d.open) == 0 && (settled || gone) {
		delete(o.departures, id)
		return append(actions, ReleaseShard{Shard: id})
	}
	if gone || settled || !d.sent.IsZero() && now.Sub(d.sent) < HandoverInterval {
		return actions
	}
	if d.sent.IsZero() {
		d.message = Handover{
			From: o.self, Incarnation: o.incarnation, Shard: id, Epoch: d.epoch,
			Sequence: d.message.Sequence + 1, Records: d.records, OpenKeys: d.open,
		}
		if d.complete {
			// Two receivers that both skip the fencing could start the same key, so only the first may.
			d.message.Trusted = d.first
		}
		d.changed = false
	}
	d.sent = now
	return append(actions, SendHandover{To: d.to.name, Handover: d.message})
}

// ReceiveHandover takes a Handover of a peer. The caller sends the reply and then performs the actions. A
// repeated message gets the same reply.
func (o *Ownership) ReceiveHandover(now time.Time, h Handover) (HandoverReply, []Action) {
	reply := HandoverReply{Shard: h.Shard, Sequence: h.Sequence, Accepted: true}
	var actions []Action
	r, s := o.recovering(h.Shard)
	t, known := o.owned[h.Shard], o.known[h.Shard].epoch
	giver := entryID{h.From, h.Incarnation}
	switch {
	case t != nil && t.from == h.Epoch && t.giver == giver:
		reply.Epoch = t.epoch
		actions = t.update(h, actions)
	case r != nil && s.from == h.Epoch && s.giver == giver:
		reply.Epoch = s.epoch
		r.update(s, h)
	case r != nil && t == nil && h.Epoch.Less(s.epoch):
		s.from, s.giver = h.Epoch, giver
		reply.Epoch = s.epoch
		r.update(s, h)
	case h.Epoch.Less(known) && (t != nil || known.Holder() != o.incarnation):
		reply.Accepted, reply.Epoch = false, known
	case o.draining:
		reply.Accepted = false
	default:
		actions = o.learn(now, h.Shard, claim{epoch: h.Epoch, entry: h.From, heard: now}, actions)
		reply.Epoch = o.inherit(now, h)
	}
	return reply, o.advance(now, actions)
}

// inherit begins the recovery of a shard that was handed over. If the giver knew every start, it needs no
// fence; otherwise it is a takeover, under an epoch above every one that was handed over.
func (o *Ownership) inherit(now time.Time, h Handover) shard.Epoch {
	known := o.known[h.Shard].epoch
	trusted := h.Trusted == o.incarnation && known == h.Epoch && h.Epoch.Hops() < maxHops
	epoch := known.Next(o.incarnation)
	if trusted {
		epoch = h.Epoch.HandedTo(o.incarnation)
	}
	r := newRecovery(now)
	r.shards[h.Shard] = &recovering{
		epoch: epoch, from: h.Epoch, informed: trusted, giver: entryID{h.From, h.Incarnation},
		sequence: h.Sequence, open: h.OpenKeys,
	}
	r.hold(h.Records)
	o.recoveries = append(o.recoveries, r)
	o.note(event.HandoverReceived, event.Event{Peer: h.From, Epoch: epoch.String(), Count: len(h.OpenKeys)})
	return epoch
}

// update takes a later message of the handover before the shard is active.
func (r *recovery) update(s *recovering, h Handover) {
	r.hold(h.Records)
	if h.Sequence > s.sequence {
		s.sequence, s.open = h.Sequence, h.OpenKeys
	}
}

// update takes a later message of the handover of an active shard.
func (t *tenure) update(h Handover, actions []Action) []Action {
	if len(h.Records) > 0 {
		actions = append(actions, Recover{Shard: h.Shard, Records: h.Records})
	}
	if h.Sequence > t.sequence {
		t.sequence, t.open = h.Sequence, h.OpenKeys
		actions = append(actions, ForwardOpen{Shard: h.Shard, To: h.From, Keys: h.OpenKeys})
	}
	return actions
}
