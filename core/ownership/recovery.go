package ownership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"dogwoodglade/core/event"
	"dogwoodglade/core/shard"
	"dogwoodglade/core/task"
)

// agentID identifies a process of an agent.
type agentID struct{ agent, incarnation string }

func (a agentID) compare(b agentID) int {
	return cmp.Or(cmp.Compare(a.agent, b.agent), cmp.Compare(a.incarnation, b.incarnation))
}

// shardRecovery is the state of one shard of a recovery.
type shardRecovery struct {
	epoch   shard.Epoch
	written bool // the epoch was seen in the Shards row

	// Set if the shard was handed over to this entry.
	previousEpoch shard.Epoch
	startsKnown   bool // the previous owner knew every start, so that no fencing is needed
	previousOwner entryID
	sequence      uint64
	openKeys      []task.JobID
}

// recovery is the recovery of a batch of shards that were taken over or handed over together. It is complete once
// every start of the shards within the retention window is known.
type recovery struct {
	startedAt      time.Time
	shards         map[shard.ID]*shardRecovery
	activated      bool
	activatedAt    time.Time
	requiredAgents map[agentID]AgentRow // agents to fence, from a registry read after the write; nil until then
	registryReadAt time.Time            // last read
	fenced         map[agentID]bool
	objectsRead    map[agentID]bool           // drained agents whose records object was read
	fenceSentAt    map[agentID]time.Time      // last Fence message
	buffered       map[shard.ID][]task.Record // records not yet passed to the caller
}

func newRecovery(now time.Time) *recovery {
	return &recovery{
		startedAt:   now,
		shards:      map[shard.ID]*shardRecovery{},
		fenced:      map[agentID]bool{},
		objectsRead: map[agentID]bool{},
		fenceSentAt: map[agentID]time.Time{},
		buffered:    map[shard.ID][]task.Record{},
	}
}

// recoveryOf returns the recovery that a shard is part of, or nil.
func (o *Ownership) recoveryOf(id shard.ID) (*recovery, *shardRecovery) {
	for _, r := range o.recoveries {
		if s := r.shards[id]; s != nil {
			return r, s
		}
	}
	return nil, nil
}

func (r *recovery) drop(id shard.ID) {
	delete(r.shards, id)
	delete(r.buffered, id)
}

func (r *recovery) allWritten() bool {
	for _, s := range r.shards {
		if !s.written {
			return false
		}
	}
	return true
}

// allStartsKnown reports whether handovers make fencing unnecessary: the previous owners knew every start, and the
// epochs lie below those of any takeover that the previous owners did not know of.
func (r *recovery) allStartsKnown() bool {
	for _, s := range r.shards {
		if !s.startsKnown {
			return false
		}
	}
	return true
}

// complete reports whether every start of the shards is known: by handover, or because every required agent is
// fenced or has left its records in the object store.
func (r *recovery) complete() bool {
	if r.allStartsKnown() {
		return true
	}
	// Comparing counts first rules out most recoveries without a loop over all agents.
	if !r.allWritten() || r.requiredAgents == nil || len(r.fenced)+len(r.objectsRead) < len(r.requiredAgents) {
		return false
	}
	for a := range r.requiredAgents {
		if !r.fenced[a] && !r.objectsRead[a] {
			return false
		}
	}
	return true
}

// updateRegistry applies a registry read. The first read determines which agents must be fenced. A row that
// disappears later belongs to an agent whose records have expired; a row that appears later belongs to an agent that
// has read the new epoch. Neither needs a fence.
func (r *recovery) updateRegistry(now time.Time, rows []AgentRow) {
	first := r.requiredAgents == nil
	current := map[agentID]AgentRow{}
	for _, row := range rows {
		a := agentID{row.Agent, row.Incarnation}
		if _, ok := r.requiredAgents[a]; ok || first {
			current[a] = row
		}
	}
	r.requiredAgents, r.registryReadAt = current, now
}

// AgentConnected reports a connection to an agent that has registered. The agent is sent the fences of all
// incomplete recoveries.
func (o *Ownership) AgentConnected(now time.Time, agent, incarnation string) []Action {
	o.agents[agent] = incarnation
	return o.fenceAgent(now, agentID{agent, incarnation}, nil)
}

// AgentLost reports that an agent's connection ended. Its fences are sent again when it reconnects.
func (o *Ownership) AgentLost(now time.Time, agent, incarnation string) []Action {
	if o.agents[agent] == incarnation {
		delete(o.agents, agent)
	}
	return o.advance(now, nil)
}

// advanceFences sends each connected agent one message with the fences that it has not yet answered, and reads
// the records that drained agents left in the object store.
func (o *Ownership) advanceFences(now time.Time, actions []Action) []Action {
	if len(o.recoveries) == 0 {
		return actions
	}
	for _, agent := range sortedKeys(o.agents) {
		actions = o.fenceAgent(now, agentID{agent, o.agents[agent]}, actions)
	}
	return o.requestRecords(now, actions)
}

// fenceAgent sends the agent the fences that it has not yet answered.
func (o *Ownership) fenceAgent(now time.Time, a agentID, actions []Action) []Action {
	var fences []shard.Fence
	for _, r := range o.recoveries {
		if r.needsFence(a, now) {
			r.fenceSentAt[a] = now
			for _, id := range sortedShards(r.shards) {
				fences = append(fences, shard.Fence{Shard: id, Epoch: r.shards[id].epoch})
			}
		}
	}
	if len(fences) > 0 {
		actions = append(actions, SendFence{Agent: a.agent, Incarnation: a.incarnation, Fences: fences})
	}
	return actions
}

// needsFence reports whether the agent should be sent a fence now. Before the epochs are written no fence is sent,
// because another entry may win the write, unless the shards are already served.
func (r *recovery) needsFence(a agentID, now time.Time) bool {
	if r.fenced[a] || r.allStartsKnown() || !r.allWritten() && !r.activated {
		return false
	}
	sentAt, ok := r.fenceSentAt[a]
	return !ok || now.Sub(sentAt) >= FenceRetryInterval
}

// requestRecords requests the objects with the start records of drained agents, each once for all recoveries that need
// it.
func (o *Ownership) requestRecords(now time.Time, actions []Action) []Action {
	wanted := map[agentID]string{}
	for _, r := range o.recoveries {
		for a, row := range r.requiredAgents {
			if row.Left && row.Records != "" && !r.fenced[a] && !r.objectsRead[a] {
				wanted[a] = row.Records
			}
		}
	}
	for _, a := range slices.SortedFunc(maps.Keys(wanted), agentID.compare) {
		if requestedAt, ok := o.recordsRequestedAt[a]; ok && now.Sub(requestedAt) < StoreRetryInterval {
			continue
		}
		o.recordsRequestedAt[a] = now
		actions = append(actions, ReadRecords{Agent: a.agent, Incarnation: a.incarnation, Object: wanted[a]})
	}
	return actions
}

// Fenced reports an agent's reply to SendFence.
func (o *Ownership) Fenced(now time.Time, f FenceReply) []Action {
	var actions []Action
	agentEpochs := map[shard.ID]shard.Epoch{}
	for _, fence := range f.Epochs {
		agentEpochs[fence.Shard] = fence.Epoch
		if _, s := o.recoveryOf(fence.Shard); s != nil && s.epoch.Less(fence.Epoch) {
			actions = o.observeClaim(now, fence.Shard, claim{epoch: fence.Epoch, lastHeard: now}, actions)
		}
	}
	a := agentID{f.Agent, f.Incarnation}
	for _, r := range o.recoveries {
		if r.fenced[a] || !r.matchesEpochs(agentEpochs) {
			continue
		}
		r.fenced[a] = true
		r.bufferRecords(f.Records)
		o.emit(event.ShardFenced, event.Event{Peer: f.Agent, Count: len(r.shards)})
	}
	// Every agent replies, so handling one reply must not loop over all agents: only recoveries are advanced here,
	// and the next tick does the rest.
	return o.advanceRecoveries(now, actions)
}

// matchesEpochs reports whether the agent's epochs of all shards are those of the recovery, so that no fence was
// refused.
func (r *recovery) matchesEpochs(epochs map[shard.ID]shard.Epoch) bool {
	for id, s := range r.shards {
		if epochs[id] != s.epoch {
			return false
		}
	}
	return true
}

// bufferRecords keeps the records of the recovery's shards until flushRecords.
func (r *recovery) bufferRecords(records []task.Record) {
	for _, record := range records {
		id := record.Attempt.Task.Job.Shard()
		if r.shards[id] != nil {
			r.buffered[id] = append(r.buffered[id], record)
		}
	}
}

// RecordsRead reports the result of ReadRecords.
func (o *Ownership) RecordsRead(now time.Time, agent, incarnation string, records []task.Record) []Action {
	a := agentID{agent, incarnation}
	delete(o.recordsRequestedAt, a)
	for _, r := range o.recoveries {
		if row, ok := r.requiredAgents[a]; ok && row.Left && !r.objectsRead[a] {
			r.objectsRead[a] = true
			r.bufferRecords(records)
		}
	}
	return o.advance(now, nil)
}

// RecordsFailed reports that ReadRecords could not read the object. It is read again after StoreRetryInterval.
func (o *Ownership) RecordsFailed(now time.Time, agent, incarnation string) []Action {
	return o.advance(now, nil)
}

// advanceRecoveries activates recoveries, passes their records to the caller and completes them, as far as their
// state allows.
func (o *Ownership) advanceRecoveries(now time.Time, actions []Action) []Action {
	for _, r := range slices.Clone(o.recoveries) {
		if len(r.shards) == 0 {
			continue
		}
		complete := r.complete()
		if !r.activated && (complete || o.store.down || now.Sub(r.startedAt) >= ActivationTimeout) {
			actions = o.activate(now, r, complete, actions)
		}
		if !r.activated {
			continue
		}
		actions = r.flushRecords(actions)
		if complete || now.Sub(r.activatedAt) >= RetentionWindow {
			actions = o.complete(r, actions)
		}
	}
	o.recoveries = slices.DeleteFunc(o.recoveries, func(r *recovery) bool { return len(r.shards) == 0 })
	return actions
}

// activate makes this entry the owner of the recovery's shards.
func (o *Ownership) activate(now time.Time, r *recovery, complete bool, actions []Action) []Action {
	r.activated, r.activatedAt = true, now
	for _, id := range sortedShards(r.shards) {
		s := r.shards[id]
		if own := o.owned[id]; own != nil {
			actions = append(actions, StepDown{Shard: id, Epoch: own.epoch})
		}
		o.owned[id] = &ownedShard{
			epoch: s.epoch, previousEpoch: s.previousEpoch, previousOwner: s.previousOwner,
			sequence: s.sequence, openKeys: s.openKeys,
		}
		o.claims[id] = claim{
			epoch: s.epoch, previousEpoch: s.previousEpoch, entry: o.self, lastHeard: now, confirmed: true, active: true,
		}
		activate := Activate{Shard: id, Epoch: s.epoch, Complete: complete && len(r.buffered[id]) == 0}
		if len(s.openKeys) > 0 {
			activate.ForwardTo, activate.OpenKeys = s.previousOwner.name, s.openKeys
		}
		actions = append(actions, activate)
	}
	if !complete {
		o.emit(event.TakeoverIncomplete, event.Event{Count: len(r.shards)})
	}
	return actions
}

// flushRecords passes the buffered records to the caller.
func (r *recovery) flushRecords(actions []Action) []Action {
	for _, id := range sortedShards(r.buffered) {
		actions = append(actions, Recover{Shard: id, Records: r.buffered[id]})
	}
	clear(r.buffered)
	return actions
}

// complete ends the recovery and marks its shards as completely recovered.
func (o *Ownership) complete(r *recovery, actions []Action) []Action {
	o.emit(event.TakeoverCompleted, event.Event{Count: len(r.shards)})
	for _, id := range sortedShards(r.shards) {
		o.owned[id].complete = true
		actions = append(actions, CompleteRecovery{Shard: id})
	}
	clear(r.shards)
	return actions
}
