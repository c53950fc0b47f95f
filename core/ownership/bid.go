package ownership

import (
	"time"

	"dogwoodglade/core/event"
	"dogwoodglade/core/shard"
)

// preVote is a pre-vote in progress: the connected agents are asked whether they still hear from the owners of
// the shards, before this entry raises any epoch.
type preVote struct {
	id            uint64
	startedAt     time.Time
	shards        map[shard.ID]string // owner to vote about; empty if no vote is needed
	needsRegistry bool                // no agent answered; the vote is won only if all agents in the registry have left
}

// startPreVote starts a pre-vote for the free shards for which this entry ranks first by rendezvous hashing. If
// no shard needs a vote, it takes them over at once.
func (o *Ownership) startPreVote(now time.Time) []Action {
	if pv := o.preVote; pv != nil && now.Sub(pv.startedAt) >= RequestTimeout {
		o.preVote = nil
		o.backOff(now)
	}
	if o.preVote != nil || !o.startupWaitOver || now.Before(o.nextPreVote) || !o.store.rowAttempted {
		return nil
	}
	free := o.freeShards(now)
	if len(free) == 0 {
		return nil
	}
	owners := map[string]bool{}
	request := RequestVotes{ID: o.nextRequestID()}
	for _, id := range sortedShards(free) {
		if owner := free[id]; owner != "" && !owners[owner] {
			owners[owner] = true
			request.Owners = append(request.Owners, owner)
		}
	}
	if len(request.Owners) == 0 {
		o.takeOver(now, sortedShards(free))
		return nil
	}
	o.preVote = &preVote{id: request.ID, startedAt: now, shards: free}
	o.store.rowReadAt = time.Time{} // read the row during the vote, so that the write has its current version
	return []Action{request}
}

// freeShards returns the shards to take over, each with the owner to vote about, or "" if no vote is needed.
func (o *Ownership) freeShards(now time.Time) map[shard.ID]string {
	free := map[shard.ID]string{}
	eligible := o.eligibleEntries(now)
	for i := range shard.Count {
		id := shard.ID(i)
		if r, _ := o.recoveryOf(id); r != nil || o.handovers[id] != nil {
			continue
		}
		if own := o.owned[id]; own != nil {
			// The previous owner stopped before it finished the open keys: this entry takes the shard over under a
			// new epoch, so that the agents are fenced.
			if len(own.openKeys) > 0 && !o.isRunning(own.previousOwner, now) {
				free[id] = ""
				if !o.isLive(own.previousOwner.name, now) {
					free[id] = own.previousOwner.name
				}
			}
			continue
		}
		c := o.claims[id]
		if o.unowned(c, now) && Rendezvous(shardKey(id), eligible) == o.self {
			free[id] = o.ownerToVoteOn(c, now)
		}
	}
	return free
}

// unowned reports whether a shard that this entry does not own is free: no claim is known, the last known owner is
// this entry or has been replaced by another process, or the owner has not confirmed the claim for FailureTimeout.
func (o *Ownership) unowned(c claim, now time.Time) bool {
	if c.epoch.IsZero() || c.entry == o.self {
		return true
	}
	if p := o.peers[c.entry]; p != nil && p.incarnation != c.epoch.OwnerIncarnation() {
		return true
	}
	return now.Sub(c.lastHeard) >= FailureTimeout
}

// ownerToVoteOn returns the owner that agents vote about, or "" if no vote is needed because the owner certainly
// no longer holds the shard: another process has its name, or its pings no longer claim the shard.
func (o *Ownership) ownerToVoteOn(c claim, now time.Time) string {
	if c.epoch.IsZero() || c.entry == o.self {
		return ""
	}
	if p := o.peers[c.entry]; p != nil && (p.incarnation != c.epoch.OwnerIncarnation() || o.isLive(c.entry, now)) {
		return ""
	}
	return c.entry
}

// Votes reports the result of RequestVotes. An owner's shards are taken over if more than half of the answering
// agents, and at least one, have not heard from it for FailureTimeout. If no agent answers, the shards are taken
// over only if the registry lists no agent that has not left.
func (o *Ownership) Votes(now time.Time, id uint64, votes []Vote) []Action {
	pv := o.preVote
	if pv == nil || pv.id != id {
		return nil
	}
	if len(votes) == 0 {
		pv.needsRegistry = true
		return o.advance(now, nil)
	}
	o.preVote = nil
	silent, heard := map[string]int{}, map[string]int{}
	for _, v := range votes {
		if v.Silence >= FailureTimeout {
			silent[v.Owner]++
		} else {
			heard[v.Owner]++
		}
	}
	o.finishPreVote(now, pv, func(owner string) bool { return silent[owner] > heard[owner] })
	return o.advance(now, nil)
}

// finishPreVote takes over the shards whose owners lost the vote, except those whose owners have been heard from
// since the vote began.
func (o *Ownership) finishPreVote(now time.Time, pv *preVote, lost func(owner string) bool) {
	free := o.freeShards(now)
	var won []shard.ID
	for _, id := range sortedShards(pv.shards) {
		owner, stillFree := free[id]
		if stillFree && (owner == "" || owner == pv.shards[id] && lost(owner)) {
			won = append(won, id)
		}
	}
	if len(won) < len(pv.shards) {
		o.backOff(now)
	}
	o.takeOver(now, won)
}

// takeOver starts the recovery of the shards under new epochs.
func (o *Ownership) takeOver(now time.Time, ids []shard.ID) {
	if len(ids) == 0 {
		return
	}
	r := newRecovery(now)
	for _, id := range ids {
		r.shards[id] = &shardRecovery{epoch: o.claims[id].epoch.Next(o.incarnation)}
	}
	o.recoveries = append(o.recoveries, r)
	o.emit(event.TakeoverStarted, event.Event{Count: len(ids)})
}

func (o *Ownership) nextRequestID() uint64 {
	o.store.lastRequestID++
	return o.store.lastRequestID
}
