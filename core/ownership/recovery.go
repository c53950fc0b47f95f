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

type agentID struct{ agent, incarnation string }

func (a agentID) compare(b agentID) int {
	return cmp.Or(cmp.Compare(a.agent, b.agent), cmp.Compare(a.incarnation, b.incarnation))
}

// recovering is one shard of a recovery.
type recovering struct {
	epoch   shard.Epoch
	written bool // the epoch is or was in the Shards row

	// Set if the shard was handed over.
	from     shard.Epoch
	informed bool // the giver knew every start of the shard
	giver    entryID
	sequence uint64
	open     []task.JobID
}

// recovery is a batch of shards on its way to complete recovery.
type recovery struct {
	begun       time.Time
	shards      map[shard.ID]*recovering
	activated   bool
	activatedAt time.Time
	required    map[agentID]AgentRow // registry as read after the write; nil until then
	registered  time.Time            // of the last registry read
	fenced      map[agentID]bool
	objects     map[agentID]bool           // records objects that were read
	sent        map[agentID]time.Time      // of the last Fence message
	held        map[shard.ID][]task.Record // records not yet passed on
}

func newRecovery(now time.Time) *recovery {
	return &recovery{
		begun:   now,
		shards:  map[shard.ID]*recovering{},
		fenced:  map[agentID]bool{},
		objects: map[agentID]bool{},
		sent:    map[agentID]time.Time{},
		held:    map[shard.ID][]task.Record{},
	}
}

// recovering returns the recovery that a shard is part of.
func (o *Ownership) recovering(id shard.ID) (*recovery, *recovering) {
	for _, r := range o.recoveries {
		if s := r.shards[id]; s != nil {
			return r, s
		}
	}
	return nil, nil
}

func (r *recovery) drop(id shard.ID) {
	delete(r.shards, id)
	delete(r.held, id)
}

func (r *recovery) written() bool {
	for _, s := range r.shards {
		if !s.written {
			return false
		}
	}
	return true
}

// trusted reports whether a handover makes fencing unnecessary: the giver knew every start, and the epoch
// lies below that of any takeover that the giver did not know of.
func (r *recovery) trusted() bool {
	for _, s := range r.shards {
		if !s.informed {
			return false
		}
	}
	return true
}

// complete reports whether every start of the shards is known.
func (r *recovery) complete() bool {
	if r.trusted() {
		return true
	}
	// The count excludes most recoveries without a look at each agent.
	if !r.written() || r.required == nil || len(r.fenced)+len(r.objects) < len(r.required) {
		return false
	}
	for a := range r.required {
		if !r.fenced[a] && !r.objects[a] {
			return false
		}
	}
	return true
}

// register takes the registry. The first read sets which agents must be fenced. A row that disappears later
// belongs to an agent whose records are no longer in force; a row that appears later belongs to an agent that
// has read the new epoch.
func (r *recovery) register(now time.Time, rows []AgentRow) {
	first := r.required == nil
	current := map[agentID]AgentRow{}
	for _, row := range rows {
		a := agentID{row.Agent, row.Incarnation}
		if _, ok := r.required[a]; ok || first {
			current[a] = row
		}
	}
	r.required, r.registered = current, now
}

// AgentConnected reports a connection to an agent that has registered. Agents that connect during an
// incomplete recovery are fenced.
func (o *Ownership) AgentConnected(now time.Time, agent, incarnation string) []Action {
	o.agents[agent] = incarnation
	return o.fenceAgent(now, agentID{agent, incarnation}, nil)
}

// AgentLost reports that an agent's connection ended. Its fences are repeated when it connects again.
func (o *Ownership) AgentLost(now time.Time, agent, incarnation string) []Action {
	if o.agents[agent] == incarnation {
		delete(o.agents, agent)
	}
	return o.advance(now, nil)
}

// advanceFences sends one message to each connected agent with the fences it has not yet answered, and reads
// the records that drained agents left.
func (o *Ownership) advanceFences(now time.Time, actions []Action) []Action {
	if len(o.recoveries) == 0 {
		return actions
	}
	for _, agent := range sortedKeys(o.agents) {
		actions = o.fenceAgent(now, agentID{agent, o.agents[agent]}, actions)
	}
	return o.advanceObjects(now, actions)
}

// fenceAgent sends the agent the fences that it has not yet answered.
func (o *Ownership) fenceAgent(now time.Time, a agentID, actions []Action) []Action {
	var fences []shard.Fence
	for _, r := range o.recoveries {
		if r.wants(a, now) {
			r.sent[a] = now
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

// wants reports whether the agent should be fenced now. Before the write there is nothing to fence, because
// the bid may be lost, unless the shards are already served.
func (r *recovery) wants(a agentID, now time.Time) bool {
	if r.fenced[a] || r.trusted() || !r.written() && !r.activated {
		return false
	}
	sent, ok := r.sent[a]
	return !ok || now.Sub(sent) >= FenceInterval
}

// advanceObjects reads each object once for all recoveries that need it.
func (o *Ownership) advanceObjects(now time.Time, actions []Action) []Action {
	wanted := map[agentID]string{}
	for _, r := range o.recoveries {
		for a, row := range r.required {
			if row.Left && row.Records != "" && !r.fenced[a] && !r.objects[a] {
				wanted[a] = row.Records
			}
		}
	}
	for _, a := range slices.SortedFunc(maps.Keys(wanted), agentID.compare) {
		if asked, ok := o.reading[a]; ok && now.Sub(asked) < StoreInterval {
			continue
		}
		o.reading[a] = now
		actions = append(actions, ReadRecords{Agent: a.agent, Incarnation: a.incarnation, Object: wanted[a]})
	}
	return actions
}

// Fenced answers SendFence.
func (o *Ownership) Fenced(now time.Time, f FenceAnswer) []Action {
	var actions []Action
	raised := map[shard.ID]shard.Epoch{}
	for _, fence := range f.Epochs {
		raised[fence.Shard] = fence.Epoch
		if _, s := o.recovering(fence.Shard); s != nil && s.epoch.Less(fence.Epoch) {
			actions = o.learn(now, fence.Shard, claim{epoch: fence.Epoch, heard: now}, actions)
		}
	}
	a := agentID{f.Agent, f.Incarnation}
	for _, r := range o.recoveries {
		if r.fenced[a] || !r.raisedBy(raised) {
			continue
		}
		r.fenced[a] = true
		r.hold(f.Records)
		o.note(event.ShardFenced, event.Event{Peer: f.Agent, Count: len(r.shards)})
	}
	// Every agent answers, so an answer must not look at all agents. The next tick does the rest.
	return o.advanceRecoveries(now, actions)
}

// raisedBy reports whether the agent's epochs are those of the recovery.
func (r *recovery) raisedBy(epochs map[shard.ID]shard.Epoch) bool {
	for id, s := range r.shards {
		if epochs[id] != s.epoch {
			return false
		}
	}
	return true
}

// hold keeps the records of the recovery's shards until they are passed on.
func (r *recovery) hold(records []task.Record) {
	for _, record := range records {
		id := record.Attempt.Task.Job.Shard()
		if r.shards[id] != nil {
			r.held[id] = append(r.held[id], record)
		}
	}
}

// RecordsRead answers ReadRecords.
func (o *Ownership) RecordsRead(now time.Time, agent, incarnation string, records []task.Record) []Action {
	a := agentID{agent, incarnation}
	delete(o.reading, a)
	for _, r := range o.recoveries {
		if row, ok := r.required[a]; ok && row.Left && !r.objects[a] {
			r.objects[a] = true
			r.hold(records)
		}
	}
	return o.advance(now, nil)
}

// RecordsFailed answers ReadRecords: the object could not be read. The read is repeated after StoreInterval.
func (o *Ownership) RecordsFailed(now time.Time, agent, incarnation string) []Action {
	return o.advance(now, nil)
}

// advanceRecoveries activates and completes the recoveries that may do so, and passes records on.
func (o *Ownership) advanceRecoveries(now time.Time, actions []Action) []Action {
	for _, r := range slices.Clone(o.recoveries) {
		if len(r.shards) == 0 {
			continue
		}
		complete := r.complete()
		if !r.activated && (complete || o.store.down || now.Sub(r.begun) >= ActivationWait) {
			actions = o.activate(now, r, complete, actions)
		}
		if !r.activated {
			continue
		}
		actions = r.release(actions)
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
		if t := o.owned[id]; t != nil {
			actions = append(actions, StepDown{Shard: id, Epoch: t.epoch})
		}
		o.owned[id] = &tenure{
			epoch: s.epoch, from: s.from, giver: s.giver, sequence: s.sequence, open: s.open,
		}
		o.known[id] = claim{epoch: s.epoch, from: s.from, entry: o.self, heard: now, pinged: true, active: true}
		activate := Activate{Shard: id, Epoch: s.epoch, Complete: complete && len(r.held[id]) == 0}
		if len(s.open) > 0 {
			activate.To, activate.OpenKeys = s.giver.name, s.open
		}
		actions = append(actions, activate)
	}
	if !complete {
		o.note(event.TakeoverIncomplete, event.Event{Count: len(r.shards)})
	}
	return actions
}

// release passes the held records on.
func (r *recovery) release(actions []Action) []Action {
	for _, id := range sortedShards(r.held) {
		actions = append(actions, Recover{Shard: id, Records: r.held[id]})
	}
	clear(r.held)
	return actions
}

// complete ends the recovery.
func (o *Ownership) complete(r *recovery, actions []Action) []Action {
	o.note(event.TakeoverCompleted, event.Event{Count: len(r.shards)})
	for _, id := range sortedShards(r.shards) {
		o.owned[id].complete = true
		actions = append(actions, CompleteRecovery{Shard: id})
	}
	clear(r.shards)
	return actions
}
