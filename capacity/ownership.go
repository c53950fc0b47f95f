package capacity

import (
	"fmt"
	"math/rand/v2"
	"time"

	"dogwoodglade/core/ownership"
	"dogwoodglade/core/shard"
)

func ownershipMeasures() []Measure {
	return []Measure{
		{
			Name: "ownership.takeover", Unit: "agent in the registry; CPU: takeover of all 256 shards by the owner",
			Sizes: []int{250, 500, 1000, 2000}, Run: runTakeover,
		},
		{
			Name: "ownership.ping", Unit: "owned shard; CPU: one ping received by a peer",
			Sizes: []int{32, 64, 128, 256}, Run: runPing,
		},
	}
}

func newOwnership(name string) *ownership.Ownership {
	return ownership.New(name, name+entryIncarnation, nil, rand.New(rand.NewPCG(1, 0)), discardEvent)
}

func registry(agents int) []ownership.AgentRow {
	rows := make([]ownership.AgentRow, agents)
	for i := range rows {
		rows[i] = ownership.AgentRow{Agent: fmt.Sprintf("agent-%05d", i), Incarnation: entryIncarnation}
	}
	return rows
}

// takeover performs the actions of an entry that takes over all shards, until they are recovered.
type takeover struct {
	state           *ownership.Ownership
	now             time.Time
	row             ownership.ShardsRow
	registry        []ownership.AgentRow
	recoveredShards int // number of shards whose recovery is complete
}

func (t *takeover) perform(actions []ownership.Action) {
	for len(actions) > 0 {
		action := actions[0]
		actions = append(actions[1:], t.handle(action)...)
	}
}

func (t *takeover) handle(action ownership.Action) []ownership.Action {
	switch a := action.(type) {
	case ownership.ReadShards:
		return t.state.ShardsRead(t.now, t.row)
	case ownership.WriteShards:
		a.Row.Version++
		t.row = a.Row
		return t.state.ShardsWritten(t.now, t.row)
	case ownership.ReadRegistry:
		return t.state.RegistryRead(t.now, a.ID, t.registry)
	case ownership.RequestVotes:
		return t.state.Votes(t.now, a.ID, t.votes(a))
	case ownership.SendFence:
		return t.state.Fenced(t.now, ownership.FenceReply{Agent: a.Agent, Incarnation: a.Incarnation, Epochs: a.Fences})
	case ownership.CompleteRecovery:
		t.recoveredShards++
	}
	return nil
}

func (t *takeover) votes(a ownership.RequestVotes) []ownership.Vote {
	var votes []ownership.Vote
	for _, row := range t.registry {
		for _, owner := range a.Owners {
			votes = append(votes, ownership.Vote{Agent: row.Agent, Owner: owner, Silence: time.Minute})
		}
	}
	return votes
}

// run runs the takeover of all shards.
func (t *takeover) run() error {
	const ticks = 100
	for range ticks {
		t.perform(t.state.Tick(t.now))
		if t.recoveredShards == shard.Count {
			return nil
		}
		t.now = t.now.Add(ownership.TickInterval)
	}
	return &CountError{What: "recovered shards", Got: t.recoveredShards, Want: shard.Count}
}

func newTakeover(name string, agents int) *takeover {
	return &takeover{state: newOwnership(name), now: startTime, registry: registry(agents)}
}

func runTakeover(n int) (Cost, error) {
	t := newTakeover("entry-1", n)
	t.perform(t.state.Tick(t.now))
	for _, row := range t.registry {
		t.perform(t.state.AgentConnected(t.now, row.Agent, row.Incarnation))
	}
	var failed error
	cpu, err := measureCPU(func() { failed = t.run() })
	if failed != nil {
		return nil, failed
	}
	return Cost{CPUMicroseconds: cpu}, err
}

// newPing returns the ping of an entry that owns the given number of shards.
func newPing(shards int) ownership.Ping {
	p := ownership.Ping{From: entryName, Incarnation: entryIncarnation, Started: startTime.UnixNano(), Sequence: 1}
	for id := range shards {
		p.Shards = append(p.Shards, ownership.Claim{Shard: shard.ID(id), Epoch: shardEpoch(), Active: true})
	}
	return p
}

func runPing(n int) (Cost, error) {
	peer := newOwnership("entry-2")
	const rounds = 200
	ping := newPing(n)
	cpu, err := measureCPU(func() {
		for i := range rounds {
			ping.Sequence = uint64(i) + 1
			peer.ReceivePing(startTime.Add(time.Duration(i)*ownership.PingInterval), ping)
		}
	})
	return Cost{CPUMicroseconds: cpu / rounds}, err
}
