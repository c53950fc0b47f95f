package ownership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dogwoodglade/core/event"
	"dogwoodglade/core/ownership"
	"dogwoodglade/core/shard"
	"dogwoodglade/core/task"
)

// newRegion returns a region of two entries and three agents after startup, with all shards owned.
func newRegion(t *testing.T) (s *simulation, a, b *entryNode) {
	t.Helper()
	s = newSimulation(1)
	for i := range 3 {
		s.startAgent(fmt.Sprintf("agent-%d", i))
	}
	s.startEntry("entry-a")
	s.startEntry("entry-b")
	s.run(3 * time.Second)
	clear(s.actionCounts)
	return s, s.entries["entry-a"], s.entries["entry-b"]
}

// checkOwnsAll requires that the entry owns all shards, all with complete or all with incomplete recovery.
func (s *simulation) checkOwnsAll(t *testing.T, n *entryNode, complete bool) {
	t.Helper()
	owned := 0
	for id, o := range n.owners {
		if entry, _, ok := n.ownership.Owner(id); ok && entry == n.name && o.complete == complete {
			owned++
		}
	}
	if owned != shard.Count || s.failure != "" {
		t.Errorf("%s owns %d shards with complete recovery %t, want all; failure: %q", n.name, owned, complete, s.failure)
	}
}

// Guards against a takeover that sends a request for each shard, which overloads the store when an entry with many
// shards fails.
func TestTakeoverBatchesRequests(t *testing.T) {
	s, a, b := newRegion(t)
	moved := len(b.owners)
	s.kill(b)
	s.run(2 * time.Second)
	s.checkOwnsAll(t, a, true)
	for action, want := range map[string]int{
		"RequestVotes": 1, "WriteShards": 1, "ReadRegistry": 1, "SendFence": 3, "Activate": moved, "StepDown": 0,
	} {
		if s.actionCounts[action] != want {
			t.Errorf("%d %s, want %d", s.actionCounts[action], action, want)
		}
	}
}

// Guards against a write that is repeated because its response was lost, which would raise the epoch again or never
// end.
func TestWriteWithLostResponseIsNotRepeated(t *testing.T) {
	s, a, b := newRegion(t)
	version := s.row.Version
	s.loseWriteResponse = true
	s.kill(b)
	s.run(2 * time.Second)
	s.checkOwnsAll(t, a, true)
	if s.loseWriteResponse || s.row.Version != version+1 {
		t.Errorf("got version %d of the Shards row, want %d", s.row.Version, version+1)
	}
}

// Guards against shards that move when only the link between two entries is cut, which interrupts every job of the
// moved shards.
func TestCutLinkBetweenEntriesMovesNoShard(t *testing.T) {
	s, _, _ := newRegion(t)
	s.cutLink("entry-a", "entry-b", func(func()) {})
	s.run(10 * time.Second)
	if s.actionCounts["RequestVotes"] == 0 || s.actionCounts["Activate"]+s.actionCounts["WriteShards"] > 0 {
		t.Errorf("actions %v", s.actionCounts)
	}
}

// Guards against a takeover that waits for the store, which leaves shards without an owner for the whole outage.
func TestStoreOutageDelaysOnlyRecovery(t *testing.T) {
	s, a, b := newRegion(t)
	s.storeDown = true
	s.kill(a)
	s.kill(b)
	s.startEntry("entry-a")
	a = s.entries["entry-a"]
	s.run(4 * time.Second)
	s.checkOwnsAll(t, a, false)
	s.storeDown = false
	s.run(4 * time.Second)
	s.checkOwnsAll(t, a, true)
}

// Guards against a recovery that waits forever for a dead agent, so that submissions without a ticket are refused
// forever.
func TestRetentionWindowCompletesRecovery(t *testing.T) {
	s, a, b := newRegion(t)
	s.kill(a)
	s.kill(b)
	s.startEntry("entry-a")
	a = s.entries["entry-a"]
	s.stopAgent(s.agents["agent-0"])
	s.run(ownership.RetentionWindow)
	s.checkOwnsAll(t, a, false)
	s.run(5 * time.Second)
	s.checkOwnsAll(t, a, true)
}

// Guards against adding the whole length of a pause of this process to the time at which a peer was last heard from,
// although the peer pinged after the pause. That would delay the takeover of the peer's shards.
func TestPauseDoesNotDelayDetectionOfLostPeer(t *testing.T) {
	lost := 0
	o := ownership.New("a", "1", nil, rand.New(rand.NewPCG(1, 0)), func(e event.Event) {
		if e.Number == event.EntryLost {
			lost++
		}
	})
	now := time.Unix(1_700_000_000, 0)
	o.Tick(now)
	now = now.Add(time.Minute)
	o.ReceivePing(now, ownership.Ping{From: "b", Incarnation: "2", Sequence: 1})
	o.Tick(now)
	for range 12 {
		now = now.Add(ownership.TickInterval)
		o.Tick(now)
	}
	if lost != 1 {
		t.Errorf("got %d EntryLost events for the silent peer, want 1", lost)
	}
}

// Guards against a drain that fences agents or drops open keys, which interrupts requests in progress.
func TestDrainFinishesOpenKeysWithoutFences(t *testing.T) {
	s, a, b := newRegion(t)
	for i := range 40 {
		s.submit(a, task.JobID{Customer: "c", Key: fmt.Sprint(i)})
	}
	open := 0
	for _, o := range a.owners {
		open += len(o.open)
	}
	s.drain(a)
	s.run(100 * time.Millisecond)
	if s.actionCounts["HandedOver"] == 0 || s.actionCounts["ReleaseShard"] == s.actionCounts["HandedOver"] || open == 0 {
		t.Errorf("%d open keys, actions %v", open, s.actionCounts)
	}
	s.run(3 * time.Second)
	s.checkOwnsAll(t, b, true)
	disruptive := s.actionCounts["SendFence"] + s.actionCounts["RequestVotes"] + s.actionCounts["StepDown"]
	if len(s.startedBy) < open || disruptive > 0 || !a.dead {
		t.Errorf("%d of %d keys started, actions %v", len(s.startedBy), open, s.actionCounts)
	}
}
