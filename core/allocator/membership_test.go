package allocator_test

import (
	"fmt"
	"testing"
	"time"

	"dogwoodglade/core/allocator"
	"dogwoodglade/core/pool"
)

// Work granted on a server that leaves, is silent or is lost would start there, or wait for a refusal.
func TestAbsentServersGetNoGrants(t *testing.T) {
	tests := map[string]func(r *rig){
		"leaving":        func(r *rig) { r.announce("s1", 4, leaving) },
		"silent for 2 s": func(r *rig) { r.now = r.now.Add(2 * time.Second) },
		"agent lost":     func(r *rig) { r.a.AgentLost(r.now, "agent-s1") },
		"moved to another pool": func(r *rig) {
			r.announce("s1", 4, func(b *allocator.BackendServer) { b.Pool = "other" })
		},
		"replaced incarnation returns": func(r *rig) {
			r.announce("s1", 0, incarnation("2"))
			r.announce("s1", 4, incarnation("1"))
		},
		"replaced incarnation returns after an absence": func(r *rig) {
			r.announce("s1", 0, incarnation("2"))
			r.a.AgentLost(r.now, "agent-s1")
			r.sleep(time.Minute)
			r.announce("s1", 4, incarnation("1"))
		},
	}
	for name, leave := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, pool.New("p"))
			r.announce("s1", 4)
			wantGrants(t, 1, r.ask("a", "c", 1))
			leave(r)
			wantGrants(t, 0, r.ask("b", "c", 1))
		})
	}
}

// A new incarnation that inherits the grants of the old one would keep slots closed that are free.
func TestNewIncarnationStartsWithFreeSlots(t *testing.T) {
	r := newRig(t, pool.New("p"))
	r.announce("s1", 2)
	old := wantGrants(t, 2, r.ask("a", "c", 4))
	fresh := wantGrants(t, 2, r.announce("s1", 2, incarnation("2")))
	if fresh[0].Incarnation != "2" {
		t.Fatalf("granted %+v", fresh[0])
	}
	wantGrants(t, 0, r.release(old[0], allocator.Succeeded))
	wantGrants(t, 0, r.ask("b", "c", 1))
}

// A new allocator that does not know the grants in use would fill slots twice and exceed quotas.
func TestHeartbeatsRebuildGrantsAndQuotas(t *testing.T) {
	p := pool.New("p").WithQuota("limited", 3)
	before := newRig(t, p)
	before.announce("s1", 4)
	used := wantGrants(t, 2, before.ask("a", "limited", 2))
	used = append(used, wantGrants(t, 1, before.ask("b", "other", 1))...)

	after := newRig(t, p)
	after.now = after.now.Add(time.Second)
	after.announce("s1", 4, listing(used...))
	after.announce("s2", 4)
	after.announce("s3", 0, func(b *allocator.BackendServer) { b.Grants = []string{"entry9/p/x/1/L/other"} })
	if got := after.a.Stats().LongGrants; got != 1 {
		t.Fatalf("got %d long grants, want 1", got)
	}
	if in := after.a.Stats().Grants; in != 4 {
		t.Fatalf("got %d grants in use, want 4", in)
	}
	got := wantGrants(t, 1, after.ask("c", "limited", 5))
	wantGrants(t, 1, after.release(used[0], allocator.Succeeded))
	if got[0].ID == used[0].ID || got[0].ID == used[1].ID {
		t.Fatalf("grant ID %s was given twice", got[0].ID)
	}
}

// Grant IDs that repeat after a restart of an entry would free the slots of running tasks.
func TestGrantIDsDifferBetweenAllocators(t *testing.T) {
	seen := map[string]bool{}
	for i, options := range []allocator.Options{
		allocator.DefaultOptions(),
		allocator.DefaultOptions(),
		allocator.DefaultOptions().WithIncarnation("x"),
		allocator.DefaultOptions().WithIncarnation("y"),
	} {
		r := newRig(t, pool.New("p"))
		r.a = allocator.NewWithOptions("entry1", pool.New("p"), nil, options)
		r.now = r.now.Add(time.Duration(i))
		r.announce("s1", 4)
		for _, g := range wantGrants(t, 4, r.ask("a", "c", 4)) {
			if seen[g.ID] {
				t.Fatalf("grant ID %s was given twice", g.ID)
			}
			seen[g.ID] = true
		}
	}
}

// A slot of a lost owner that is freed while its task runs would be filled twice; one that is never freed
// would be lost.
func TestGrantsOfALostOwnerEndWithTheHeartbeats(t *testing.T) {
	r := newRig(t, pool.New("p"))
	r.announce("s1", 2)
	used := wantGrants(t, 2, r.ask("a", "c", 2))
	r.sleep(400 * time.Millisecond)
	r.a.OwnerLost(r.now, "owner")
	r.ask("b", "c", 3)
	r.sleep(800 * time.Millisecond)
	wantGrants(t, 0, r.announce("s1", 2)) // both starts may be in transit
	r.sleep(200 * time.Millisecond)
	next := wantGrants(t, 1, r.announce("s1", 2, listing(used[0])))[0]
	r.sleep(500 * time.Millisecond)
	wantGrants(t, 0, r.announce("s1", 2, listing(used[0], next)))
	r.sleep(100 * time.Millisecond)
	wantGrants(t, 2, r.announce("s1", 2))
}

// A heartbeat made before a release and received after it would close a free slot.
func TestOutdatedHeartbeatDoesNotBringAGrantBack(t *testing.T) {
	r := newRig(t, pool.New("p"))
	r.announce("s1", 1)
	g := wantGrants(t, 1, r.ask("a", "c", 1))[0]
	r.release(g, allocator.Succeeded)
	r.announce("s1", 1, listing(g))
	wantGrants(t, 1, r.ask("b", "c", 1))
}

// Grants on one server while others are idle would make tasks share its host, and a task would fail again
// where it failed before.
func TestGrantsSpreadOverServers(t *testing.T) {
	r := newRig(t, pool.New("p"))
	for i := range 4 {
		r.announce(fmt.Sprint("s", i), 3)
	}
	avoid := func(q *allocator.Ask) { q.Avoid = []string{"s0", "s1", "s2"} }
	for i := range 3 {
		if g := wantGrants(t, 1, r.ask(fmt.Sprint("avoiding", i), "c", 1, avoid))[0]; g.BackendServer != "s3" {
			t.Fatalf("granted a slot of %s", g.BackendServer)
		}
	}
	wantGrants(t, 1, r.ask("full", "c", 1, avoid))
	perServer := map[string]int{}
	for _, g := range wantGrants(t, 5, r.ask("all", "c", 5)) {
		perServer[g.BackendServer]++
	}
	if perServer["s0"] > 2 || perServer["s1"] > 2 || perServer["s2"] > 2 || perServer["s3"] > 0 {
		t.Fatalf("got %v", perServer)
	}
}
