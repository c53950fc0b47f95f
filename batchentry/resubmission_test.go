package batchentry_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/internal/memnet"
)

// Guards against two runs of a task at the same time when connections of callers, entries and agents break together,
// and callers submit again at any entry.
func TestResubmissionsDoNotOverlap(t *testing.T) {
	for seed := range uint64(disturbedSeeds) {
		for _, silence := range []bool{false, true} {
			t.Run(fmt.Sprintf("seed %d, silence %v", seed, silence), func(t *testing.T) {
				runSiteInOneRegion(t, 5, 6, func(s *testSite) { s.disturb(seed, silence) })
			})
		}
	}
}

const disturbedSeeds = 6

func (s *testSite) disturb(seed uint64, silence bool) {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 1))
	number := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return random.IntN(n)
	}
	names := make([]string, 0, len(s.entries))
	for name := range s.entries {
		names = append(names, name)
	}
	slices.Sort(names)
	reset := make(chan struct{})
	resetSignal := func() chan struct{} {
		mu.Lock()
		defer mu.Unlock()
		return reset
	}
	end := time.Now().Add(20 * time.Second)
	var callers sync.WaitGroup
	for i := range 40 {
		callers.Go(func() {
			for k := 0; time.Now().Before(end); k++ {
				id := fmt.Sprintf("job-%d-%d", i, k)
				d := time.Duration(100+number(3000)) * time.Millisecond
				for try := 0; try < 6; try++ {
					ctx, leave := context.WithCancel(s.t.Context())
					broken := resetSignal()
					go func() {
						select {
						case <-broken:
							if number(2) == 0 {
								leave()
							}
						case <-ctx.Done():
						}
					}()
					o := s.entries[names[number(len(names))]].Submit(ctx, newJob(id, 1+i%3, d))
					leave()
					if _, done := o.(batch.Completed); done {
						break
					}
					time.Sleep(resubmissionDelay)
				}
			}
		})
	}
	for time.Now().Before(end) {
		time.Sleep(time.Duration(300+number(1700)) * time.Millisecond)
		mu.Lock()
		close(reset)
		reset = make(chan struct{})
		mu.Unlock()
		s.network.Disturb(func(a, b string) memnet.Fault {
			if strings.HasPrefix(a, "agent") && number(4) > 0 {
				return memnet.NoFault
			}
			switch x := number(8); {
			case x < 3:
				return memnet.ResetFault
			case silence && x == 3:
				return memnet.SilenceFault
			}
			return memnet.NoFault
		})
	}
	callers.Wait()
}

// Guards against two runs of a task at the same time when the stops of a cancelled job are lost, and its caller submits
// it again at another entry.
func TestResubmissionWhileStopsAreLost(t *testing.T) {
	runSite(t, 2, 4, func(s *testSite) {
		for _, b := range s.backends {
			b.loseStops.Store(true)
		}
		ctx, leave := context.WithTimeout(s.t.Context(), 200*time.Millisecond)
		defer leave()
		s.entries["entry-1"].Submit(ctx, newJob("job", 20, 4*time.Second))
		time.Sleep(resubmissionDelay)
		ctx, leave = context.WithTimeout(s.t.Context(), 100*time.Millisecond)
		defer leave()
		s.entries["entry-2"].Submit(ctx, newJob("job", 20, 4*time.Second))
		time.Sleep(5 * time.Second)
	})
}

// Guards against two runs of a task at the same time when a job is submitted again to the entry that is still stopping its
// runs, and another entry has more capacity.
func TestResubmissionIsNotForwardedBesideRuns(t *testing.T) {
	runSite(t, 2, 2, func(s *testSite) {
		for _, b := range s.backends {
			b.loseStops.Store(true)
		}
		ctx, leave := context.WithTimeout(s.t.Context(), 200*time.Millisecond)
		defer leave()
		s.entries["entry-1"].Submit(ctx, newJob("job", 10, 400*time.Millisecond))
		if o := s.entries["entry-1"].Submit(s.t.Context(), newJob("job", 10, 400*time.Millisecond)); o != (batch.Completed{}) {
			s.t.Errorf("got %s, want Completed", batch.OutcomeName(o))
		}
	})
}

// Guards against two runs of a task at the same time: an entry that is draining refuses a forwarded job whose earlier runs
// it is still stopping, and the other entry starts it elsewhere.
func TestDrainingEntryDoesNotRefuseBesideRuns(t *testing.T) {
	runSite(t, 1, 1, func(s *testSite) {
		r := &peerRecorder{fakePeerEntry: newFakePeerEntry(), name: "other"}
		p := r.connect(s)
		defer p.Close()
		p.Load(fakePeerLoad())
		p.Forward(newJob("job", 4, 8*time.Second), 1)
		time.Sleep(50 * time.Millisecond)
		s.backends["agent-1"].loseStops.Store(true)
		p.WithdrawJob("job", 1, false)
		go s.entries["entry-1"].Stop(s.t.Context())
		time.Sleep(10 * time.Millisecond)
		p.Forward(newJob("job", 4, 8*time.Second), 2)
		time.Sleep(10 * time.Millisecond)
		r.recorded.Lock()
		defer r.recorded.Unlock()
		if n := s.liveRunCount(); n > 0 && len(r.outcomes) > 0 {
			s.t.Errorf("answered %v beside %d runs", r.outcomes, n)
		}
	})
}
