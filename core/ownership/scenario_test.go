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

// newRegion returns a settled region of two entries and three agents.
func newRegion(t *testing.T) (w *world, a, b *node) {
	t.Helper()
	w = newWorld(1)
	for i := range 3 {
		w.startAgent(fmt.Sprintf("agent-%d", i))
	}
	w.startEntry("entry-a")
	w.startEntry("entry-b")
	w.run(3 * time.Second)
	clear(w.counts)
	return w, w.nodes["entry-a"], w.nodes["entry-b"]
}

// check requires that the entry owns all shards, and that recovery is as complete as stated.
func (w *world) check(t *testing.T, n *node, complete bool) {
	t.Helper()
	owned := 0
	for id, j := range n.jobs {
		if entry, _, ok := n.own.Owner(id); ok && entry == n.name && j.complete == complete {
			owned++
		}
	}
	if owned != shard.Count || w.fault != "" {
		t.Errorf("%s owns %d shards with complete recovery %t; %s", n.name, owned, complete, w.fault)
	}
}

// A takeover with a request for each shard would overload the store when an entry with many shards dies.
func TestTakeoverIsOneBatch(t *testing.T) {
	w, a, b := newRegion(t)
	moved := len(b.jobs)
	w.kill(b)
	w.run(2 * time.Second)
	w.check(t, a, true)
	for action, want := range map[string]int{
		"AskVotes": 1, "WriteShards": 1, "ReadRegistry": 1, "SendFence": 3, "Activate": moved, "StepDown": 0,
	} {
		if w.counts[action] != want {
			t.Errorf("%d %s, want %d", w.counts[action], action, want)
		}
	}
}

// A write that is repeated because its answer was lost would raise the epoch again, or never end.
func TestLostAnswerOfWriteIsRecognised(t *testing.T) {
	w, a, b := newRegion(t)
	version := w.row.Version
	w.loseWrite = true
	w.kill(b)
	w.run(2 * time.Second)
	w.check(t, a, true)
	if w.loseWrite || w.row.Version != version+1 {
		t.Errorf("the row has version %d, want %d", w.row.Version, version+1)
	}
}

// Ownership that moves when a link between two entries is cut interrupts every job of the moved shards.
func TestCutLinkMovesNoShard(t *testing.T) {
	w, _, _ := newRegion(t)
	w.cutLink("entry-a", "entry-b", func(func()) {})
	w.run(10 * time.Second)
	if w.counts["AskVotes"] == 0 || w.counts["Activate"]+w.counts["WriteShards"] > 0 {
		t.Errorf("actions %v", w.counts)
	}
}

// A takeover that waits for the store leaves shards without an owner for the length of an outage.
func TestStoreOutageDelaysOnlyRecovery(t *testing.T) {
	w, a, b := newRegion(t)
	w.down = true
	w.kill(a)
	w.kill(b)
	w.startEntry("entry-a")
	a = w.nodes["entry-a"]
	w.run(4 * time.Second)
	w.check(t, a, false)
	w.down = false
	w.run(4 * time.Second)
	w.check(t, a, true)
}

// Recovery that waits for a dead agent without an end refuses submissions without a ticket forever.
func TestRetentionWindowCompletesRecovery(t *testing.T) {
	w, a, b := newRegion(t)
	w.kill(a)
	w.kill(b)
	w.startEntry("entry-a")
	a = w.nodes["entry-a"]
	w.stopAgent(w.agents["agent-0"])
	w.run(ownership.RetentionWindow)
	w.check(t, a, false)
	w.run(5 * time.Second)
	w.check(t, a, true)
}

// A pause that prolongs the life of a peer by its own length delays the takeover of the peer's shards.
func TestPauseDoesNotProlongLifeOfPeers(t *testing.T) {
	lost := 0
	o := ownership.New("a", "1", nil, rand.New(rand.NewPCG(1, 0)), func(e event.Event) {
		if e.Number == event.EntryLost {
			lost++
		}
	})
	now := time.Unix(1_700_000_000, 0)
	o.Tick(now)
	now = now.Add(time.Minute)
	o.PeerPing(now, ownership.Ping{From: "b", Incarnation: "2", Sequence: 1})
	o.Tick(now)
	for range 12 {
		now = now.Add(ownership.TickInterval)
		o.Tick(now)
	}
	if lost != 1 {
		t.Errorf("the silent peer was lost %d times, want once", lost)
	}
}

// A drain that fences agents or drops open keys interrupts requests in progress.
func TestDrainFinishesOpenKeysWithoutFences(t *testing.T) {
	w, a, b := newRegion(t)
	for i := range 40 {
		w.submit(a, task.JobID{Customer: "c", Key: fmt.Sprint(i)})
	}
	open := 0
	for _, j := range a.jobs {
		open += len(j.open)
	}
	w.drain(a)
	w.run(100 * time.Millisecond)
	if w.counts["HandedOver"] == 0 || w.counts["ReleaseShard"] == w.counts["HandedOver"] || open == 0 {
		t.Errorf("%d open keys, actions %v", open, w.counts)
	}
	w.run(3 * time.Second)
	w.check(t, b, true)
	if len(w.started) < open || w.counts["SendFence"]+w.counts["AskVotes"]+w.counts["StepDown"] > 0 || !a.dead {
		t.Errorf("%d of %d keys started, actions %v", len(w.started), open, w.counts)
	}
}
