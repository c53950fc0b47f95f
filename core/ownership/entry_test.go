package ownership_test

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"dogwoodglade/core/ownership"
	"dogwoodglade/core/shard"
	"dogwoodglade/core/task"
)

// shardOwner models the job.Owner of one shard at one entry.
type shardOwner struct {
	id                       shard.ID
	epoch                    shard.Epoch
	startEpoch               shard.Epoch // sent with starts; the new owner's epoch once the shard is handed over
	complete, drained, ended bool
	records                  map[task.JobID]task.Record
	open                     map[task.JobID]bool
	forward                  []task.JobID
}

// perform performs actions as the entry process does.
func (s *simulation) perform(n *entryNode, actions []ownership.Action) {
	for _, action := range actions {
		s.actionCounts[actionName(action)]++
		switch a := action.(type) {
		case ownership.RequestVotes:
			s.requestVotes(n, a)
		case ownership.ReadShards:
			s.rowRequest(n, func() {})
		case ownership.WriteShards:
			s.rowRequest(n, func() { s.writeRow(a.Row) })
		case ownership.ReadRegistry:
			var rows []ownership.AgentRow
			s.storeRequest(func() { rows = sorted(s.registry) }, func() {
				s.runOn(n, func() []ownership.Action { return n.ownership.RegistryRead(s.now, a.ID, rows) })
			}, func() { deliver(s, n, n.ownership.RegistryFailed, a.ID) })
		case ownership.SendFence:
			s.sendFence(n, a)
		case ownership.ReadRecords:
			s.storeRequest(func() {}, func() {
				s.runOn(n, func() []ownership.Action {
					return n.ownership.RecordsRead(s.now, a.Agent, a.Incarnation, s.objects[a.Object])
				})
			}, func() {
				s.runOn(n, func() []ownership.Action { return n.ownership.RecordsFailed(s.now, a.Agent, a.Incarnation) })
			})
		case ownership.SendHandover:
			s.sendHandover(n, s.entries[a.To], a.Handover)
		default:
			s.applyToOwner(n, action)
		}
	}
}

// applyToOwner performs the actions that concern the job.Owner of a shard.
func (s *simulation) applyToOwner(n *entryNode, action ownership.Action) {
	switch a := action.(type) {
	case ownership.Activate:
		if n.owners[a.Shard] != nil {
			s.fail("%s activates shard %d twice", n.name, a.Shard)
		}
		n.owners[a.Shard] = &shardOwner{
			id: a.Shard, epoch: a.Epoch, startEpoch: a.Epoch, complete: a.Complete,
			records: map[task.JobID]task.Record{}, open: map[task.JobID]bool{}, forward: a.OpenKeys,
		}
	case ownership.Recover:
		for _, r := range a.Records {
			n.owners[a.Shard].records[r.Attempt.Task.Job] = r
		}
	case ownership.CompleteRecovery:
		n.owners[a.Shard].complete = true
	case ownership.StepDown:
		if o := n.owners[a.Shard]; o == nil || o.epoch != a.Epoch {
			s.fail("%s steps down from shard %d, which it does not own under %v", n.name, a.Shard, a.Epoch)
		} else {
			o.ended = true
			delete(n.owners, a.Shard)
		}
	case ownership.ForwardOpenKeys:
		n.owners[a.Shard].forward = a.Keys
	case ownership.HandedOver:
		n.owners[a.Shard].startEpoch = a.Epoch
	case ownership.ReleaseShard:
		if len(n.owners[a.Shard].open) > 0 {
			s.fail("%s releases shard %d with open keys", n.name, a.Shard)
		}
		delete(n.owners, a.Shard)
	case ownership.DrainShard:
		o := n.owners[a.Shard]
		o.drained = true
		s.after(0, func() {
			s.runOn(n, func() []ownership.Action {
				return n.ownership.ShardDrained(s.now, a.Shard, o.closedRecords(), sortedIDs(o.open))
			})
		})
	}
}

// closedRecords returns the records of the keys that are no longer open.
func (o *shardOwner) closedRecords() (records []task.Record) {
	for _, id := range sortedIDs(o.records) {
		if !o.open[id] {
			records = append(records, o.records[id])
		}
	}
	return records
}

func sortedIDs[V any](m map[task.JobID]V) []task.JobID {
	return slices.SortedFunc(maps.Keys(m), func(a, b task.JobID) int { return cmp.Compare(a.Key, b.Key) })
}

func (s *simulation) requestVotes(n *entryNode, a ownership.RequestVotes) {
	var votes []ownership.Vote
	for _, name := range slices.Sorted(maps.Keys(n.connected)) {
		agent := s.agents[name]
		s.send(n.name, name, func() {
			for _, owner := range a.Owners {
				last := agent.startedAt
				if heard, ok := agent.lastHeard[owner]; ok {
					last = heard
				}
				vote := ownership.Vote{Agent: name, Owner: owner, Silence: s.now.Sub(last)}
				if !agent.dead {
					s.send(name, n.name, func() { votes = append(votes, vote) })
				}
			}
		})
	}
	s.after(ownership.VoteTimeout, func() {
		s.runOn(n, func() []ownership.Action { return n.ownership.Votes(s.now, a.ID, slices.Clone(votes)) })
	})
}

func (s *simulation) rowRequest(n *entryNode, effect func()) {
	var row ownership.ShardsRow
	s.storeRequest(func() { effect(); row = s.row }, func() { deliver(s, n, n.ownership.ShardsRead, row) }, func() {
		s.runOn(n, func() []ownership.Action { return n.ownership.ShardsFailed(s.now) })
	})
}

func (s *simulation) writeRow(row ownership.ShardsRow) {
	if row.Version != s.row.Version {
		return
	}
	for id := range row.Shards {
		if row.Shards[id].Epoch.Less(s.row.Shards[id].Epoch) {
			s.fail("the row's epoch of shard %d decreases from %v to %v", id, s.row.Shards[id], row.Shards[id])
		}
	}
	s.loseNextResponse, s.loseWriteResponse = s.loseWriteResponse, false
	row.Version++
	s.row = row
}

func (s *simulation) sendFence(n *entryNode, f ownership.SendFence) {
	if s.ignoreFences {
		reply := ownership.FenceReply{Agent: f.Agent, Incarnation: f.Incarnation, Epochs: f.Fences}
		s.after(0, func() { deliver(s, n, n.ownership.Fenced, reply) })
		return
	}
	agent := s.agents[f.Agent]
	s.send(n.name, f.Agent, func() {
		if !agent.dead && agent.incarnation == f.Incarnation {
			reply := agent.fence(f.Fences)
			s.send(f.Agent, n.name, func() { deliver(s, n, n.ownership.Fenced, reply) })
		}
	})
}

func (s *simulation) sendHandover(n, peer *entryNode, h ownership.Handover) {
	s.send(n.name, peer.name, func() {
		s.runOn(peer, func() []ownership.Action {
			reply, actions := peer.ownership.ReceiveHandover(s.now, h)
			s.send(peer.name, n.name, func() {
				s.runOn(n, func() []ownership.Action { return n.ownership.HandoverAnswered(s.now, peer.name, reply) })
			})
			return actions
		})
	})
}

// submit sends a submission to an entry. The entry starts the key if it is the active owner, the key is not in its
// records, and either recovery is complete or the ticket has the owner's epoch.
func (s *simulation) submit(n *entryNode, id task.JobID) {
	s.runOn(n, func() []ownership.Action {
		o := n.owners[id.Shard()]
		if o == nil || o.drained || o.open[id] || slices.Contains(o.forward, id) {
			return nil
		}
		_, recorded := o.records[id]
		ticket := s.tickets[id]
		switch {
		case recorded:
		case o.epoch.Less(ticket.Epoch):
			return n.ownership.ObserveEpoch(s.now, id.Shard(), ticket.Epoch)
		case o.complete, ticket.Epoch == o.epoch:
			o.open[id] = true
			s.sendStart(n, o, id, 20)
		}
		return nil
	})
}

// sendStart sends a start to an agent on which the owner may start tasks. Only a refused start is repeated.
func (s *simulation) sendStart(n *entryNode, o *shardOwner, id task.JobID, tries int) {
	if n.dead || o.ended || !o.open[id] {
		return
	}
	if tries == 0 {
		s.closeKey(n, o, id)
		return
	}
	retry := func(d time.Duration) { s.after(d, func() { s.sendStart(n, o, id, tries-1) }) }
	var usable []string
	for _, name := range slices.Sorted(maps.Keys(n.connected)) {
		if n.ownership.CanStartOn(o.id, name, n.connected[name]) {
			usable = append(usable, name)
		}
	}
	if len(usable) == 0 {
		retry(300 * time.Millisecond)
		return
	}
	agent := s.agents[usable[s.random.IntN(len(usable))]]
	epoch, answered := o.startEpoch, false
	s.send(n.name, agent.name, func() {
		accepted, highest := s.acceptStart(agent, n, id, epoch), agent.epochs[o.id]
		s.send(agent.name, n.name, func() {
			s.runOn(n, func() []ownership.Action {
				late := answered
				answered = true
				switch {
				case late:
				case accepted:
					s.after(s.randomDuration(time.Second), func() { s.closeKey(n, o, id) })
				default:
					retry(50 * time.Millisecond)
					if epoch.Less(highest) {
						return n.ownership.ObserveEpoch(s.now, o.id, highest)
					}
				}
				return nil
			})
		})
	})
	s.after(5*time.Second, func() {
		if !answered {
			answered = true
			s.closeKey(n, o, id)
		}
	})
}

// acceptStart decides at the agent whether the start is accepted, and fails if the key was started before. Only
// fences and the Shards row raise an agent's epoch.
func (s *simulation) acceptStart(a *fakeAgent, n *entryNode, id task.JobID, epoch shard.Epoch) bool {
	if a.dead || a.leaving || !a.registered || epoch.Less(a.epochs[id.Shard()]) {
		return false
	}
	if first, ok := s.startedBy[id]; ok {
		s.fail("%v (ticket %v) started by %s under %v on %s, but already started by %s",
			id, s.tickets[id], n.name, epoch, a.name, first)
	}
	s.startedBy[id] = n.name + " under " + epoch.String() + " on " + a.name
	a.records = append(a.records, record(id))
	return true
}

func record(id task.JobID) task.Record {
	return task.Record{Attempt: task.AttemptID{Task: task.ID{Job: id}, Number: 1}}
}

// closeKey ends an open key and, during a handover, reports its progress.
func (s *simulation) closeKey(n *entryNode, o *shardOwner, id task.JobID) {
	s.runOn(n, func() []ownership.Action {
		if o.ended || !o.open[id] {
			return nil
		}
		delete(o.open, id)
		o.records[id] = record(id)
		if !o.drained {
			return nil
		}
		return n.ownership.HandoverProgress(s.now, o.id, []task.Record{record(id)}, sortedIDs(o.open))
	})
}
