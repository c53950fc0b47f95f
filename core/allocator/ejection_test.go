package allocator_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dogwoodglade/core/allocator"
	eventlog "dogwoodglade/core/event"
	"dogwoodglade/core/pool"
)

// A server that fails every task at once has the most free slots, and would fail most tasks of the pool.
func TestFailingServerIsEjectedAndProbed(t *testing.T) {
	s := newSite(t, pool.New("p"), allocator.DefaultOptions(), 10, 8)
	failures := 0
	s.outcome = func(server string) allocator.Outcome {
		if server == "server3" && s.now.Sub(epoch) < 20*time.Second {
			failures++
			return allocator.Errored
		}
		return allocator.Succeeded
	}
	s.poisson(rand.New(rand.NewPCG(1, 1)), 0, 40*time.Second, 400, work{customer: "c", route: "r", deadline: time.Second})
	s.run(19 * time.Second)
	// Eight tasks run when it is ejected; the ejections of 1, 2, 4 and 8 s end with a probe.
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

// A server that fails most tasks, but never many in a row, would stay.
func TestServerWithAHighFailureRateIsEjected(t *testing.T) {
	s := newSite(t, pool.New("p"), allocator.DefaultOptions(), 10, 8)
	n := 0
	s.outcome = func(server string) allocator.Outcome {
		if server == "server3" {
			if n++; n%4 != 0 {
				return allocator.Errored
			}
		}
		return allocator.Succeeded
	}
	s.poisson(rand.New(rand.NewPCG(1, 1)), 0, 5*time.Second, 400, work{customer: "c", route: "r", deadline: time.Second})
	s.run(5 * time.Second)
	if e := s.a.Stats().Ejected; e != 1 {
		t.Fatalf("got %d ejected servers, want 1", e)
	}
}

// Jobs that fail wherever they run would eject healthy servers and take the capacity of other customers.
func TestJobsThatFailEverywhereEjectNoServer(t *testing.T) {
	for _, rate := range []float64{0.2, 0.5, 1} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 1))
			s := newSite(t, pool.New("p"), allocator.DefaultOptions(), 10, 8)
			s.outcome = func(string) allocator.Outcome {
				if random.Float64() < rate {
					return allocator.Errored
				}
				return allocator.Succeeded
			}
			s.poisson(random, 0, 10*time.Second, 400, work{customer: "c", route: "r", deadline: time.Second})
			s.run(10 * time.Second)
			if e := s.a.Stats().Ejected; e > 0 {
				t.Fatalf("got %d ejected servers", e)
			}
		})
	}
}

// Ejection beyond its limit would leave too few servers for the load.
func TestEjectionStaysWithinItsLimit(t *testing.T) {
	r := newRig(t, pool.New("p").WithMaxEjectedShare(0.5))
	for i := range 4 {
		r.announce(fmt.Sprint("s", i), 1)
	}
	for i := range 200 {
		for _, g := range grants(r.ask(fmt.Sprint(i), "c", 4)) {
			outcome := allocator.Errored
			if g.BackendServer == "s0" {
				outcome = allocator.Succeeded
			}
			r.release(g, outcome)
		}
		r.a.Withdraw(r.now, "owner", fmt.Sprint(i), 0)
		if e := r.a.Stats().Ejected; e > 2 {
			t.Fatalf("got %d ejected servers, want at most 2", e)
		}
	}
	if e := r.a.Stats().Ejected; e != 2 {
		t.Fatalf("got %d ejected servers, want 2", e)
	}
	r.a.SetPool(r.now, pool.New("p").WithMaxEjectedShare(0.25))
	if e := r.a.Stats().Ejected; e != 1 {
		t.Fatalf("got %d ejected servers after the limit fell, want 1", e)
	}
}

// A server that fails every task and restarts would get a full load each time.
func TestRestartedServerIsProbedAfterAnEjection(t *testing.T) {
	r := newRig(t, pool.New("p"))
	r.announce("good", 1)
	r.announce("bad", 8)
	for i := 0; r.count(eventlog.BackendEjected) == 0; i++ {
		if i == 100 {
			t.Fatal("the server was not ejected")
		}
		for _, g := range grants(r.ask(fmt.Sprint(i), "c", 1)) {
			r.release(g, allocator.Errored)
		}
	}
	r.announce("bad", 8, incarnation("2"))
	got := wantGrants(t, 2, r.ask("more", "c", 5))
	if got[0].BackendServer == got[1].BackendServer {
		t.Fatalf("got two grants on %s", got[0].BackendServer)
	}
}
