package entry

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodglade/core/job"
	"dogwoodglade/core/outbox"
	"dogwoodglade/core/ownership"
	"dogwoodglade/core/shard"
	"dogwoodglade/core/task"
	"dogwoodglade/io/inner"
	"dogwoodglade/io/store"
)

// maxFencesPerCall limits the number of shards in a call, and so the number of records in an agent's response.
const maxFencesPerCall = 16

// ownershipState is the entry's view of the owners of all shards.
type ownershipState struct {
	mu            sync.Mutex // guards all but actions
	state         *ownership.Ownership
	incomplete    map[shard.ID]struct{} // owned shards whose recovery is incomplete
	confirmations confirmations

	actions outbox.Outbox[ownership.Action]
}

func (o *ownershipState) init(e *Entry) {
	o.state = ownership.New(e.options.Name, e.incarnation, nil, newRandom(), e.record)
	o.incomplete = map[shard.ID]struct{}{}
	o.confirmations = confirmations{
		waiting:    map[shard.Fence][]job.ConfirmEpoch{},
		inProgress: map[shard.Fence]bool{},
	}
}

// withOwnership runs call with the lock of the ownership state machine held, then performs the returned
// actions in order.
func (e *Entry) withOwnership(call func(now time.Time) []ownership.Action) {
	o := &e.ownership
	o.mu.Lock()
	o.actions.Push(call(time.Now())...)
	o.mu.Unlock()
	o.actions.Perform(e.performOwnershipAction)
}

func (e *Entry) tickOwnership(time.Time) {
	e.withOwnership(func(now time.Time) []ownership.Action { return e.ownership.state.Tick(now) })
	e.enableFencedAgents()
}

// enableFencedAgents tells owners whose recovery is incomplete on which agents they can already start tasks.
func (e *Entry) enableFencedAgents() {
	agents := e.directory.connectedAgents()
	usable := map[shard.ID][]string{}
	e.ownership.mu.Lock()
	for id := range e.ownership.incomplete {
		for _, p := range agents {
			if e.ownership.state.CanStartOn(id, p.Name, p.Incarnation) {
				usable[id] = append(usable[id], p.Name)
			}
		}
	}
	e.ownership.mu.Unlock()
	for id, names := range usable {
		e.withOwner(id, func(now time.Time, o *job.Owner) []job.Action {
			var actions []job.Action
			for _, name := range names {
				actions = append(actions, o.RecordsRecovered(now, name, nil)...)
			}
			return actions
		})
	}
}

func (e *Entry) performOwnershipAction(action ownership.Action) {
	switch action := action.(type) {
	case ownership.Activate:
		e.activate(action)
	case ownership.Recover:
		e.withOwner(action.Shard, func(now time.Time, o *job.Owner) []job.Action {
			return o.RecordsRecovered(now, "", action.Records)
		})
	case ownership.CompleteRecovery:
		e.setIncomplete(action.Shard, false)
		e.withOwner(action.Shard, func(now time.Time, o *job.Owner) []job.Action { return o.RecoveryComplete(now) })
	case ownership.StepDown:
		e.stepDown(action)
	case ownership.DrainShard, ownership.SendHandover, ownership.HandedOver, ownership.ForwardOpenKeys,
		ownership.ReleaseShard:
		e.performHandoverAction(action)
	default:
		e.background.start(func(ctx context.Context) { e.performBlockingAction(ctx, action) })
	}
}

// performBlockingAction performs an action that waits for an agent or for the platform.
func (e *Entry) performBlockingAction(ctx context.Context, action ownership.Action) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	switch action := action.(type) {
	case ownership.RequestVotes:
		e.requestVotes(ctx, action)
	case ownership.ReadShards:
		e.readShards(ctx)
	case ownership.WriteShards:
		e.writeShards(ctx, action)
	case ownership.ReadRegistry:
		e.readRegistry(ctx, action)
	case ownership.ReadRecords:
		e.readRecords(ctx, action)
	case ownership.SendFence:
		e.sendFence(ctx, action)
	}
}

func (e *Entry) activate(a ownership.Activate) {
	e.setIncomplete(a.Shard, !a.Complete)
	s := &e.owners[a.Shard]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owner != nil {
		s.owner.Release()
	}
	s.owner = job.New(e.options.Name, a.Shard, a.Epoch, a.Complete, newRandom(), e.record)
	s.owner.SetRetryBudgets(e.budgets)
	s.owner.SetAnswerBudget(e.answers)
	s.owner.SetRecordBudget(e.records)
	s.epoch, s.successorEpoch = a.Epoch, shard.Epoch{}
	s.setForwarded(a.ForwardTo, a.OpenKeys)
}

func (e *Entry) stepDown(a ownership.StepDown) {
	e.setIncomplete(a.Shard, false)
	e.withOwner(a.Shard, func(now time.Time, o *job.Owner) []job.Action {
		s := &e.owners[a.Shard]
		if s.epoch != a.Epoch {
			return nil
		}
		s.owner = nil
		s.setForwarded("", nil)
		o.Release()
		// Any higher epoch makes the owner answer its open jobs with OutcomeUnknown.
		return o.ObserveEpoch(now, a.Epoch.Next(a.Epoch.Incarnation))
	})
}

func (e *Entry) setIncomplete(id shard.ID, incomplete bool) {
	e.ownership.mu.Lock()
	defer e.ownership.mu.Unlock()
	delete(e.ownership.incomplete, id)
	if incomplete {
		e.ownership.incomplete[id] = struct{}{}
	}
}

func (e *Entry) requestVotes(ctx context.Context, action ownership.RequestVotes) {
	ctx, cancel := context.WithTimeout(ctx, ownership.VoteTimeout)
	defer cancel()
	var mu sync.Mutex
	var votes []ownership.Vote
	var calls sync.WaitGroup
	for _, p := range e.directory.connectedAgents() {
		calls.Go(func() {
			sinceContact, err := p.Vote(ctx, action.Owners)
			if err != nil || len(sinceContact) != len(action.Owners) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			for i, owner := range action.Owners {
				votes = append(votes, ownership.Vote{Agent: p.Name, Owner: owner, Silence: sinceContact[i]})
			}
		})
	}
	calls.Wait()
	e.withOwnership(func(now time.Time) []ownership.Action {
		return e.ownership.state.Votes(now, action.ID, votes)
	})
}

// fetchShards returns the Shards row, or the zero row if there is none.
func (e *Entry) fetchShards(ctx context.Context) (ownership.ShardsRow, error) {
	var row ownership.ShardsRow
	rows, err := e.options.Platform.Get(ctx, store.ShardsKey)
	if err != nil {
		return row, errors.Wrap(err, "read the epochs of the shards")
	}
	if len(rows) == 0 || len(rows[0].Value) == 0 {
		return row, nil
	}
	if err := json.Unmarshal(rows[0].Value, &row); err != nil {
		return row, errors.Wrap(err, "decode the epochs of the shards")
	}
	row.Version = rows[0].Version
	return row, nil
}

func (e *Entry) readShards(ctx context.Context) {
	row, err := e.fetchShards(ctx)
	e.withOwnership(func(now time.Time) []ownership.Action {
		if err != nil {
			return e.ownership.state.ShardsFailed(now)
		}
		return e.ownership.state.ShardsRead(now, row)
	})
}

func (e *Entry) writeShards(ctx context.Context, action ownership.WriteShards) {
	row := action.Row
	data, err := json.Marshal(row)
	if err == nil {
		row.Version, err = e.options.Platform.Commit(ctx, store.Transaction{
			Checks: []store.Check{{Key: store.ShardsKey, Version: action.Row.Version}},
			Writes: []store.Write{{Key: store.ShardsKey, Value: data}},
		})
	}
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		e.readShards(ctx)
		return
	}
	e.withOwnership(func(now time.Time) []ownership.Action {
		if err != nil {
			return e.ownership.state.ShardsFailed(now)
		}
		return e.ownership.state.ShardsWritten(now, row)
	})
}

func (e *Entry) readRegistry(ctx context.Context, action ownership.ReadRegistry) {
	rows, err := e.fetchRegistry(ctx)
	e.withOwnership(func(now time.Time) []ownership.Action {
		if err != nil {
			return e.ownership.state.RegistryFailed(now, action.ID)
		}
		return e.ownership.state.RegistryRead(now, action.ID, rows)
	})
}

func (e *Entry) fetchRegistry(ctx context.Context) ([]ownership.AgentRow, error) {
	rows, err := e.options.Platform.List(ctx, store.AgentPrefix)
	if err != nil {
		return nil, errors.Wrap(err, "read the registry of agents")
	}
	agents := make([]ownership.AgentRow, 0, len(rows))
	for _, row := range rows {
		var a ownership.AgentRow
		if err := json.Unmarshal(row.Value, &a); err != nil {
			return nil, errors.Wrapf(err, "decode row %s", row.Key)
		}
		agents = append(agents, a)
	}
	return agents, nil
}

func (e *Entry) readRecords(ctx context.Context, action ownership.ReadRecords) {
	var records []task.Record
	data, err := e.options.Platform.GetObject(ctx, action.Object)
	if err == nil {
		err = json.Unmarshal(data, &records)
	}
	e.withOwnership(func(now time.Time) []ownership.Action {
		if err != nil {
			return e.ownership.state.RecordsFailed(now, action.Agent, action.Incarnation)
		}
		return e.ownership.state.RecordsRead(now, action.Agent, action.Incarnation, records)
	})
}

// sendFence fences an agent in several calls and reports their results together.
func (e *Entry) sendFence(ctx context.Context, action ownership.SendFence) {
	p := e.directory.agent(action.Agent)
	if p == nil || p.Incarnation != action.Incarnation {
		return
	}
	combined := ownership.FenceReply{Agent: action.Agent, Incarnation: action.Incarnation}
	for rest := action.Fences; len(rest) > 0; {
		n := min(len(rest), maxFencesPerCall)
		reply, err := p.Fence(ctx, rest[:n])
		if err != nil {
			return
		}
		combined.Epochs = append(combined.Epochs, reply.Epochs...)
		combined.Records = append(combined.Records, reply.Records...)
		rest = rest[n:]
	}
	e.withOwnership(func(now time.Time) []ownership.Action {
		return e.ownership.state.Fenced(now, combined)
	})
}

// Handover implements inner.PeerHandler.
func (e *Entry) Handover(_ context.Context, _ *inner.Peer, h ownership.Handover) (ownership.HandoverReply, error) {
	var reply ownership.HandoverReply
	e.withOwnership(func(now time.Time) []ownership.Action {
		var actions []ownership.Action
		reply, actions = e.ownership.state.ReceiveHandover(now, h)
		return actions
	})
	return reply, nil
}
