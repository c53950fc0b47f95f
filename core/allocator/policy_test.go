package allocator_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dogwoodglade/core/allocator"
	"dogwoodglade/core/pool"
)

const slotCount = 80 // 10 servers of 8 slots each

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// waits returns the time from submission to grant of the completed tasks of a customer and a route that were
// submitted in a time span. An empty customer or route matches all.
func (s *simulation) waits(customer, route string, from, to time.Duration) []time.Duration {
	var found []time.Duration
	for _, w := range s.completed {
		at := w.submitted.Sub(epoch)
		if (customer == "" || w.customer == customer) && (route == "" || w.route == route) && at >= from && at < to {
			found = append(found, w.granted.Sub(w.submitted))
		}
	}
	return found
}

// Guards against an allocator that wastes slots when they are needed most: by serving work past its deadline, or by
// serving the whole backlog after an overload.
func TestOverloadKeepsGoodputAndEndsQuickly(t *testing.T) {
	tests := map[string]struct {
		factor   float64
		deadline time.Duration
	}{
		"2x load": {2, 2 * time.Second}, "4x load": {4, 2 * time.Second}, "long deadline": {2, 20 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			s := newSimulation(t, pool.New("p"), allocator.DefaultOptions(), 10, 8)
			s.runTime = func(*work) time.Duration { return milliseconds(50 + 300*random.ExpFloat64()) }
			const capacity = slotCount / 0.352 // tasks per second, including the time for messages
			load := work{customer: "c", route: "r", deadline: test.deadline}
			s.submitPoisson(random, 0, 5*time.Second, 0.8*capacity, load)
			s.submitPoisson(random, 5*time.Second, 15*time.Second, test.factor*capacity, load)
			s.submitPoisson(random, 15*time.Second, 25*time.Second, 0.8*capacity, load)
			s.run(40 * time.Second)
			inTime, early := 0, 0
			for _, w := range s.completed {
				end := w.ended.Sub(epoch)
				if end >= 5*time.Second && end < 15*time.Second && w.ended.Sub(w.submitted) <= test.deadline {
					inTime++
				}
			}
			for _, w := range s.refused {
				if w.ended.Sub(w.submitted) <= 50*time.Millisecond {
					early++
				}
			}
			if ratio := float64(inTime) / (10 * capacity); ratio < 0.95 {
				t.Errorf("tasks completed in time are %.3f of the capacity, want at least 0.95", ratio)
			}
			if share := float64(early) / float64(len(s.refused)); share < 0.99 {
				t.Errorf("share of refusals within 50 ms is %.3f, want at least 0.99", share)
			}
			if s.a.Stats().Overloaded {
				t.Error("the overload did not end")
			}
			before, after := s.waits("", "", time.Second, 5*time.Second), s.waits("", "", 17*time.Second, 25*time.Second)
			if got, want := quantile(after, 0.9), quantile(before, 0.9)+50*time.Millisecond; got > want {
				t.Errorf("p90 wait 2 s after the overload is %v, want at most %v", got, want)
			}
		})
	}
}

// Guards against the burst of one customer taking slots from another one that stays within its share.
func TestBurstLeavesOtherCustomersTheirShare(t *testing.T) {
	tests := map[string]struct {
		weight   int
		load     float64 // of the modest customer, as a share of the capacity
		count    int     // tasks in each of its jobs
		wantWait time.Duration
	}{
		"equal weights": {1, 0.4, 1, 150 * time.Millisecond},
		"triple weight": {3, 0.65, 1, 150 * time.Millisecond},
		"small share":   {1, 0.1, 1, 30 * time.Millisecond},
		"in large jobs": {1, 0.25, 20, 600 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			s := newSimulation(t, pool.New("p").WithShare("modest", test.weight), allocator.DefaultOptions(), 10, 8)
			s.runTime = func(*work) time.Duration { return milliseconds(50 + 150*random.ExpFloat64()) }
			const capacity = slotCount / 0.202
			modest := work{customer: "modest", route: "r", deadline: 2 * time.Second, count: test.count}
			burst := work{customer: "burst", route: "r", deadline: 2 * time.Second, count: 20}
			s.submitPoisson(random, 0, 20*time.Second, test.load*capacity/float64(test.count), modest)
			s.submitPoisson(random, 5*time.Second, 15*time.Second, 4*capacity/20, burst)
			s.run(30 * time.Second)
			for _, w := range s.refused {
				if w.customer == "modest" {
					t.Fatalf("refused work of the modest customer: %s", w.reason)
				}
			}
			if got := quantile(s.waits("modest", "", 0, time.Minute), 0.99); got > test.wantWait {
				t.Errorf("p99 wait of the modest customer is %v, want at most %v", got, test.wantWait)
			}
			want := int((1 - test.load) * 10 * capacity * 0.9)
			if got := len(s.waits("burst", "", 0, time.Minute)); got < want {
				t.Errorf("served %d tasks of the burst, want %d, the rest of the capacity", got, want)
			}
		})
	}
}

// Guards against short tasks that wait for long ones to end, and against long tasks that starve under constant short
// work.
func TestLongWorkNeitherBlocksNorStarves(t *testing.T) {
	tests := map[string]struct {
		shortLoad, longLoad float64
		deadline            time.Duration // of long work
		wantWait            time.Duration // of short work
	}{
		"moderate":            {0.4, 0.4, time.Minute, 15 * time.Millisecond},
		"much long work":      {0.15, 0.7, time.Minute, 15 * time.Millisecond},
		"excess of long work": {0.4, 1, 10 * time.Second, 600 * time.Millisecond},
		"full of short work":  {1, 0.1, time.Minute, time.Minute},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			p := pool.New("p")
			s := newSimulation(t, p, allocator.DefaultOptions(), 10, 8)
			s.runTime = func(w *work) time.Duration {
				if w.route == "long" {
					return milliseconds(3000 + 3000*random.Float64())
				}
				if random.IntN(100) == 0 {
					return 4 * time.Second // a straggler
				}
				return milliseconds(50 + 150*random.ExpFloat64())
			}
			const shortRate, longRate = slotCount / 0.24, slotCount / 4.5
			s.submitPoisson(random, 0, 40*time.Second, test.shortLoad*shortRate,
				work{customer: "c", route: "short", deadline: 10 * time.Second})
			s.submitPoisson(random, 0, 40*time.Second, test.longLoad*longRate,
				work{customer: "c", route: "long", deadline: test.deadline})
			s.run(2 * time.Minute)
			if got := quantile(s.waits("c", "short", 0, time.Minute), 0.99); got > test.wantWait {
				t.Errorf("p99 wait of short work is %v, want at most %v", got, test.wantWait)
			}
			longWaits := s.waits("c", "long", 0, time.Minute)
			if got, want := quantile(longWaits, 1), p.LongMaxWait+time.Second; got > want || len(longWaits) < 50 {
				t.Errorf("served %d long tasks, with a wait of up to %v, want at most %v", len(longWaits), got, want)
			}
		})
	}
}

// Guards against long work of an unknown route that counts as short until its first task ends, and so fills every
// slot.
func TestNewRouteBecomesLongBeforeItsFirstTaskEnds(t *testing.T) {
	h := newHarness(t, pool.New("p"))
	h.announce("s1", 10)
	used := wantGrants(t, 4, h.request("first", "c", 4))
	for range 4 {
		h.sleep(500 * time.Millisecond)
		h.announce("s1", 10, withGrants(used...))
	}
	used = append(used, wantGrants(t, 4, h.request("second", "c", 10))...) // two slots are reserved
	if got := h.a.Stats().LongGrants; got != 8 {
		t.Fatalf("got %d long grants, want 8", got)
	}
	shortRoute := func(req *allocator.SlotRequest) { req.Route = "short" }
	used = append(used, wantGrants(t, 1, h.request("short", "c", 1, shortRoute))...)
	for range 8 { // the last slot stays reserved until the other requests have waited for 5 s
		h.announce("s1", 10, withGrants(used...))
		wantGrants(t, 0, h.sleep(600*time.Millisecond))
	}
	wantGrants(t, 1, h.sleep(200*time.Millisecond))
}

// Guards against a short route that becomes long because of a few stragglers.
func TestStragglersDoNotMakeARouteLong(t *testing.T) {
	for _, count := range []int{5, 100} {
		h := newHarness(t, pool.New("p"))
		h.announce("s1", 10)
		for i := range count {
			g := wantGrants(t, 1, h.request(fmt.Sprint(i), "c", 1))[0]
			runTime := 100 * time.Millisecond
			if i%25 == 2 {
				runTime = time.Minute
			}
			h.a.Release(h.now, allocator.Release{
				Grant: g.ID, Route: "r", Outcome: allocator.Succeeded, RunTime: runTime,
			})
		}
		wantGrants(t, 10, h.request("next", "c", 10))
	}
}

// Guards against a customer that takes all slots from the others with a burst of short work, because it gained
// credit while its long work had to wait.
func TestBlockedCustomerGetsLimitedCredit(t *testing.T) {
	h := newHarness(t, pool.New("p").WithLongMaxWait(time.Hour))
	h.announce("s1", 10)
	route := func(name string) func(*allocator.SlotRequest) {
		return func(req *allocator.SlotRequest) { req.Route, req.Deadline = name, time.Hour }
	}
	g := wantGrants(t, 1, h.request("first", "blocked", 1, route("long")))[0]
	h.a.Release(h.now, allocator.Release{
		Grant: g.ID, Route: "long", Outcome: allocator.Succeeded, RunTime: 2 * time.Second,
	})
	long := wantGrants(t, 8, h.request("long", "blocked", 100, route("long")))
	running := wantGrants(t, 2, h.request("short", "other", 1000, route("r")))
	others := 0
	for i := range 520 { // each task runs for 100 ms
		if h.now = h.now.Add(50 * time.Millisecond); i == 400 {
			h.request("burst", "blocked", 1000, route("r"))
		}
		running = append(running, wantGrants(t, 1, h.release(running[i], allocator.Succeeded))...)
		if i >= 400 && running[i+2].RequestID == "short" {
			others++
		}
		h.announce("s1", 10, withGrants(long...), withGrants(running[i+1:]...))
	}
	if others < 30 {
		t.Fatalf("got %d of 120 slots, want at least 30", others)
	}
}

// Guards against a mechanism that stays active although its option is off, which would invalidate the comparison of
// mechanisms in package bench.
func TestOptionsDisableMechanisms(t *testing.T) {
	tests := map[string]allocator.Options{
		"fairness":  allocator.DefaultOptions().WithFairness(false),
		"classes":   allocator.DefaultOptions().WithClasses(false),
		"admission": allocator.DefaultOptions().WithAdmission(false),
		"ejection":  allocator.DefaultOptions().WithEjection(false),
		"none":      allocator.DefaultOptions(),
	}
	for name, options := range tests {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			s := newSimulation(t, pool.New("p"), options, 10, 8)
			s.runTime = func(*work) time.Duration { return 2 * time.Second }
			s.outcome = func(server string) allocator.Outcome {
				if server == "server1" {
					return allocator.Errored
				}
				return allocator.Succeeded
			}
			for _, customer := range []string{"a", "b"} {
				rate := map[string]float64{"a": 100, "b": 10}[customer]
				s.submitPoisson(random, 0, 20*time.Second, rate, work{customer: customer, route: "r", deadline: 8 * time.Second})
			}
			s.run(19 * time.Second)
			stats := s.a.Stats()
			served := float64(len(s.waits("b", "", 0, time.Minute))) / float64(len(s.waits("a", "", 0, time.Minute)))
			got := map[string]bool{
				"fairness":  served > 0.25,
				"classes":   stats.LongGrants > 0,
				"admission": stats.Refused[allocator.Overloaded] > 0,
				"ejection":  stats.Ejected > 0,
			}
			for mechanism, on := range got {
				if on != (mechanism != name) {
					t.Errorf("%s has an effect: %v (%.2f %+v)", mechanism, on, served, stats)
				}
			}
		})
	}
}
