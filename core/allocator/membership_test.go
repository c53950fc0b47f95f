package allocator_test

import (
	"fmt"
	"testing"
	"time"

	"dogwoodglade/core/allocator"
	"dogwoodglade/core/pool"
)

// Guards against grants on a server that is leaving, sends no heartbeats or is lost: the task would start there, or
// would have to wait until the server refuses it.
func TestUnavailableServersGetNoGrants(t *testing.T) {
	tests := map[string]func(h *harness){
		"leaving":              func(h *harness) { h.announce("s1", 4, withLeaving) },
		"no heartbeat for 2 s": func(h *harness) { h.now = h.now.Add(2 * time.Second) },
		"agent lost":           func(h *harness) { h.a.AgentLost(h.now, "agent-s1") },
		"moved to another pool": func(h *harness) {
			h.announce("s1", 4, func(b *allocator.BackendServer) { b.Pool = "other" })
		},
		"replaced incarnation returns": func(h *harness) {
			h.announce("s1", 0, withIncarnation("2"))
			h.announce("s1", 4, withIncarnation("1"))
		},
		"replaced incarnation returns after an absence": func(h *harness) {
			h.announce("s1", 0, withIncarnation("2"))
			h.a.AgentLost(h.now, "agent-s1")
			h.sleep(time.Minute)
			h.announce("s1", 4, withIncarnation("1"))
		},
	}
	for name, leave := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, pool.New("p"))
			h.announce("s1", 4)
			wantGrants(t, 1, h.request("a", "c", 1))
			leave(h)
			wantGrants(t, 0, h.request("b", "c", 1))
		})
	}
}

// Guards against a new incarnation that inherits the grants of the old one, so that its free slots stay unused.
func TestNewIncarnationStartsWithFreeSlots(t *testing.T) {
	h := newHarness(t, pool.New("p"))
	h.announce("s1", 2)
	old := wantGrants(t, 2, h.request("a", "c", 4))
	fresh := wantGrants(t, 2, h.announce("s1", 2, withIncarnation("2")))
	if fresh[0].Incarnation != "2" {
		t.Fatalf("granted %+v", fresh[0])
	}
	wantGrants(t, 0, h.release(old[0], allocator.Succeeded))
	wantGrants(t, 0, h.request("b", "c", 1))
}

// Guards against a new allocator that does not know the grants in use: it would grant slots twice and exceed
// quotas.
func TestHeartbeatsRebuildGrantsAndQuotas(t *testing.T) {
	p := pool.New("p").WithQuota("limited", 3)
	before := newHarness(t, p)
	before.announce("s1", 4)
	used := wantGrants(t, 2, before.request("a", "limited", 2))
	used = append(used, wantGrants(t, 1, before.request("b", "other", 1))...)

	after := newHarness(t, p)
	after.now = after.now.Add(time.Second)
	after.announce("s1", 4, withGrants(used...))
	after.announce("s2", 4)
	after.announce("s3", 0, func(b *allocator.BackendServer) { b.Grants = []string{"entry9/p/x/1/L/other"} })
	if got := after.a.Stats().LongGrants; got != 1 {
		t.Fatalf("got %d long grants, want 1", got)
	}
	if in := after.a.Stats().Grants; in != 4 {
		t.Fatalf("got %d grants in use, want 4", in)
	}
	got := wantGrants(t, 1, after.request("c", "limited", 5))
	wantGrants(t, 1, after.release(used[0], allocator.Succeeded))
	if got[0].ID == used[0].ID || got[0].ID == used[1].ID {
		t.Fatalf("grant ID %s was given twice", got[0].ID)
	}
}

// Guards against grant IDs that repeat after a restart of an entry: a release of the old grant would free the slot
// of a running task.
func TestGrantIDsDifferBetweenAllocators(t *testing.T) {
	seen := map[string]bool{}
	for i, options := range []allocator.Options{
		allocator.DefaultOptions(),
		allocator.DefaultOptions(),
		allocator.DefaultOptions().WithIncarnation("x"),
		allocator.DefaultOptions().WithIncarnation("y"),
	} {
		h := newHarness(t, pool.New("p"))
		h.a = allocator.NewWithOptions("entry1", pool.New("p"), nil, options)
		h.now = h.now.Add(time.Duration(i))
		h.announce("s1", 4)
		for _, g := range wantGrants(t, 4, h.request("a", "c", 4)) {
			if seen[g.ID] {
				t.Fatalf("grant ID %s was given twice", g.ID)
			}
			seen[g.ID] = true
		}
	}
}

// Guards against slots of a lost owner that are granted again while their tasks run, or that are never freed.
func TestGrantsOfLostOwnerEndWhenHeartbeatsOmitThem(t *testing.T) {
	h := newHarness(t, pool.New("p"))
	h.announce("s1", 2)
	used := wantGrants(t, 2, h.request("a", "c", 2))
	h.sleep(400 * time.Millisecond)
	h.a.OwnerLost(h.now, "owner")
	h.request("b", "c", 3)
	h.sleep(800 * time.Millisecond)
	wantGrants(t, 0, h.announce("s1", 2)) // both start messages may still be in transit
	h.sleep(200 * time.Millisecond)
	next := wantGrants(t, 1, h.announce("s1", 2, withGrants(used[0])))[0]
	h.sleep(500 * time.Millisecond)
	wantGrants(t, 0, h.announce("s1", 2, withGrants(used[0], next)))
	h.sleep(100 * time.Millisecond)
	wantGrants(t, 2, h.announce("s1", 2))
}

// Guards against a heartbeat that was sent before a release and arrives after it: restoring the released grant would
// block a free slot.
func TestOutdatedHeartbeatDoesNotRestoreReleasedGrant(t *testing.T) {
	h := newHarness(t, pool.New("p"))
	h.announce("s1", 1)
	g := wantGrants(t, 1, h.request("a", "c", 1))[0]
	h.release(g, allocator.Succeeded)
	h.announce("s1", 1, withGrants(g))
	wantGrants(t, 1, h.request("b", "c", 1))
}

// Guards against grants on one server while others are idle, which would make the tasks compete for its host, and
// against a retry on a server where the task failed before.
func TestGrantsSpreadOverServers(t *testing.T) {
	h := newHarness(t, pool.New("p"))
	for i := range 4 {
		h.announce(fmt.Sprint("s", i), 3)
	}
	avoid := func(req *allocator.SlotRequest) { req.Avoid = []string{"s0", "s1", "s2"} }
	for i := range 3 {
		if g := wantGrants(t, 1, h.request(fmt.Sprint("avoiding", i), "c", 1, avoid))[0]; g.BackendServer != "s3" {
			t.Fatalf("granted a slot of %s", g.BackendServer)
		}
	}
	wantGrants(t, 1, h.request("full", "c", 1, avoid))
	perServer := map[string]int{}
	for _, g := range wantGrants(t, 5, h.request("all", "c", 5)) {
		perServer[g.BackendServer]++
	}
	if perServer["s0"] > 2 || perServer["s1"] > 2 || perServer["s2"] > 2 || perServer["s3"] > 0 {
		t.Fatalf("got %v", perServer)
	}
}
