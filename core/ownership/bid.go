package ownership

import (
	"time"

	"dogwoodglade/core/event"
	"dogwoodglade/core/shard"
)

// bid is a pre-vote in progress.
type bid struct {
	id           uint64
	asked        time.Time
	shards       map[shard.ID]string // owner to vote about; empty if no vote is needed
	needRegistry bool                // no agent answered: only an empty registry lets the bid pass
}

// startBid starts a bid for the free shards of which this entry is the first live entry.
func (o *Ownership) startBid(now time.Time) []Action {
	if b := o.bid; b != nil && now.Sub(b.asked) >= RequestTimeout {
		o.bid = nil
		o.backOff(now)
	}
	if o.bid != nil || !o.settled || now.Before(o.nextBid) || !o.store.known {
		return nil
	}
	free := o.free(now)
	if len(free) == 0 {
		return nil
	}
	owners := map[string]bool{}
	ask := AskVotes{ID: o.nextID()}
	for _, id := range sortedShards(free) {
		if owner := free[id]; owner != "" && !owners[owner] {
			owners[owner] = true
			ask.Owners = append(ask.Owners, owner)
		}
	}
	if len(ask.Owners) == 0 {
		o.takeOver(now, sortedShards(free))
		return nil
	}
	o.bid = &bid{id: ask.ID, asked: now, shards: free}
	o.store.read = time.Time{} // the row is read during the vote, so that the write finds its version
	return []Action{ask}
}

// free returns the shards to bid for, each with the owner to vote about.
func (o *Ownership) free(now time.Time) map[shard.ID]string {
	free := map[shard.ID]string{}
	heirs := o.heirs(now)
	for i := range shard.Count {
		id := shard.ID(i)
		if r, _ := o.recovering(id); r != nil || o.departures[id] != nil {
			continue
		}
		if t := o.owned[id]; t != nil {
			if len(t.open) > 0 && !o.runs(t.giver, now) {
				free[id] = ""
				if !o.live(t.giver.name, now) {
					free[id] = t.giver.name
				}
			}
			continue
		}
		c := o.known[id]
		if o.released(c, now) && Rendezvous(shardKey(id), heirs) == o.self {
			free[id] = o.electorate(c, now)
		}
	}
	return free
}

// released reports whether the claim's owner is gone or has let the shard go.
func (o *Ownership) released(c claim, now time.Time) bool {
	if c.epoch.IsZero() || c.entry == o.self {
		return true
	}
	if p := o.peers[c.entry]; p != nil && p.incarnation != c.epoch.Holder() {
		return true
	}
	return now.Sub(c.heard) >= SilenceLimit
}

// electorate returns the owner that agents vote about, or "" if the owner is certainly gone: another process
// has its name, or it pings without the shard.
func (o *Ownership) electorate(c claim, now time.Time) string {
	if c.epoch.IsZero() || c.entry == o.self {
		return ""
	}
	if p := o.peers[c.entry]; p != nil && (p.incarnation != c.epoch.Holder() || o.live(c.entry, now)) {
		return ""
	}
	return c.entry
}

// Votes answers AskVotes. An owner's shards are taken over if more than half of the answering agents, and at
// least one, have not heard from it for SilenceLimit. Without any answer the registry decides.
func (o *Ownership) Votes(now time.Time, id uint64, votes []Vote) []Action {
	b := o.bid
	if b == nil || b.id != id {
		return nil
	}
	if len(votes) == 0 {
		b.needRegistry = true
		return o.advance(now, nil)
	}
	o.bid = nil
	silent, heard := map[string]int{}, map[string]int{}
	for _, v := range votes {
		if v.Silence >= SilenceLimit {
			silent[v.Owner]++
		} else {
			heard[v.Owner]++
		}
	}
	o.closeBid(now, b, func(owner string) bool { return silent[owner] > heard[owner] })
	return o.advance(now, nil)
}

// closeBid takes over the shards whose owners lost the vote, unless they were heard meanwhile.
func (o *Ownership) closeBid(now time.Time, b *bid, lost func(owner string) bool) {
	free := o.free(now)
	var won []shard.ID
	for _, id := range sortedShards(b.shards) {
		owner, still := free[id]
		if still && (owner == "" || owner == b.shards[id] && lost(owner)) {
			won = append(won, id)
		}
	}
	if len(won) < len(b.shards) {
		o.backOff(now)
	}
	o.takeOver(now, won)
}

// takeOver begins the recovery of shards under new epochs.
func (o *Ownership) takeOver(now time.Time, ids []shard.ID) {
	if len(ids) == 0 {
		return
	}
	r := newRecovery(now)
	for _, id := range ids {
		r.shards[id] = &recovering{epoch: o.known[id].epoch.Next(o.incarnation)}
	}
	o.recoveries = append(o.recoveries, r)
	o.note(event.TakeoverStarted, event.Event{Count: len(ids)})
}

func (o *Ownership) nextID() uint64 {
	o.store.lastID++
	return o.store.lastID
}
