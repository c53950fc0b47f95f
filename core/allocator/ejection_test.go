package allocator_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dogwoodglade/core/allocator"
	"dogwoodglade/core/event"
	"dogwoodglade/core/pool"
)

// Guards against a server that fails every task immediately: it has the most free slots, so it would get and fail
// most tasks of the pool.
func TestFailingServerIsEjectedAndProbed(t *testing.T) {
	s := newSimulation(t, pool.New("p"), allocator.DefaultOptions(), 10, 8)
	failures := 0
	s.outcome = func(server string) allocator.Outcome {
		if server == "server3" && s.now.Sub(epoch) < 20*time.Second {
			failures++
			return allocator.Errored
		}
		return allocator.Succeeded
	}
	s.submitPoisson(rand.New(rand.NewPCG(1, 1)), 0, 40*time.Second, 400,
		work{customer: "c", route: "r", deadline: time.Second})
	s.run(19 * time.Second)
	// Up to eight tasks are running when the server is ejected. The ejections of 1, 2, 4 and 8 s end with a probe
	// each.
	if failures < 5 || failures > 18 {
		t.Errorf("got %d failures, want 5 to 18", failures)
	}
	if e := s.a.Stats().Ejected; e != 1 {
		t.Errorf("got %d ejected servers, want 1", e)
	}
	s.run(45 * time.Second)
	if e := s.a.Stats().Ejected; e != 0 {
		t.Errorf("got %d ejected servers after the repair, want 0", e)
	}
}

// Guards against a server that keeps its work although it fails most tasks, but never many in a row, and against
// jobs that fail wherever they run: they would eject healthy servers and so take capacity from other customers.
func TestOnlyOutliersAreEjected(t *testing.T) {
	tests := map[string]struct {
		fails func(random *rand.Rand, server string, n int) bool // n is the number of the server's tasks so far
		want  int
	}{
		"one server fails 75%": {func(_ *rand.Rand, server string, n int) bool { return server == "server3" && n%4 > 0 }, 1},
		"all fail 20%":         {func(random *rand.Rand, _ string, _ int) bool { return random.IntN(5) == 0 }, 0},
		"all fail 50%":         {func(random *rand.Rand, _ string, _ int) bool { return random.IntN(2) == 0 }, 0},
		"all fail":             {func(*rand.Rand, string, int) bool { return true }, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 1))
			s := newSimulation(t, pool.New("p"), allocator.DefaultOptions(), 10, 8)
			tasks := map[string]int{}
			s.outcome = func(server string) allocator.Outcome {
				if tasks[server]++; test.fails(random, server, tasks[server]) {
					return allocator.Errored
				}
				return allocator.Succeeded
			}
			s.submitPoisson(random, 0, 10*time.Second, 400, work{customer: "c", route: "r", deadline: time.Second})
			most := 0
			for at := time.Second; at <= 10*time.Second; at += 500 * time.Millisecond {
				s.run(at)
				most = max(most, s.a.Stats().Ejected)
			}
			if most != test.want {
				t.Fatalf("got %d ejected servers, want %d", most, test.want)
			}
		})
	}
}

// Guards against ejections beyond the limit, which would leave too few servers for the load.
func TestEjectionStaysWithinItsLimit(t *testing.T) {
	h := newHarness(t, pool.New("p").WithMaxEjectedShare(0.5))
	for i := range 4 {
		h.announce(fmt.Sprint("s", i), 1)
	}
	for i := range 200 {
		for _, g := range grants(h.request(fmt.Sprint(i), "c", 4)) {
			outcome := allocator.Errored
			if g.BackendServer == "s0" {
				outcome = allocator.Succeeded
			}
			h.release(g, outcome)
		}
		h.a.Withdraw(h.now, "owner", fmt.Sprint(i), 0)
		if e := h.a.Stats().Ejected; e > 2 {
			t.Fatalf("got %d ejected servers, want at most 2", e)
		}
	}
	if e := h.a.Stats().Ejected; e != 2 {
		t.Fatalf("got %d ejected servers, want 2", e)
	}
	h.a.SetPool(h.now, pool.New("p").WithMaxEjectedShare(0.25))
	if e := h.a.Stats().Ejected; e != 1 {
		t.Fatalf("got %d ejected servers after the limit fell, want 1", e)
	}
}

// Guards against an ejected server that gets a full load without a probe, because it restarted or because a task
// from before the ejection succeeded.
func TestRestartedServerIsProbedAfterAnEjection(t *testing.T) {
	h := newHarness(t, pool.New("p"))
	h.announce("good", 1)
	h.announce("bad", 8)
	early := wantGrants(t, 1, h.request("early", "c", 1))[0]
	for i := 0; h.countEvents(event.BackendEjected) == 0; i++ {
		if i == 100 {
			t.Fatal("the server was not ejected")
		}
		for _, g := range grants(h.request(fmt.Sprint(i), "c", 1)) {
			h.release(g, allocator.Errored)
		}
	}
	h.release(early, allocator.Succeeded)
	if e := h.a.Stats().Ejected; early.BackendServer != "bad" || e != 1 {
		t.Fatalf("got %d ejected servers after a success on %s, want 1", e, early.BackendServer)
	}
	h.announce("bad", 8, withIncarnation("2"))
	got := wantGrants(t, 2, h.request("more", "c", 5))
	if got[0].BackendServer == got[1].BackendServer {
		t.Fatalf("got two grants on %s", got[0].BackendServer)
	}
}
