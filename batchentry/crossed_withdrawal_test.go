package batchentry_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"dogwoodglade/core/batch"
)

// Guards against crossed forwards that no entry dispatches when callers leave and connections break meanwhile.
func TestCrossedForwardsBesideBreaks(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			runSite(t, 2, 2, func(s *testSite) {
				random := rand.New(rand.NewPCG(seed, 2))
				pause := func(most int) { time.Sleep(time.Duration(random.IntN(most+1)) * time.Millisecond) }
				for _, name := range []string{"entry-1", "entry-2"} {
					go s.entries[name].Submit(s.t.Context(), newJob("filler-"+name, 9, time.Second))
				}
				time.Sleep(30 * time.Millisecond)
				s.network.SetStalled("entry-1", "entry-2", true)
				type answer struct {
					entry   string
					outcome batch.Outcome
					taken   time.Duration
				}
				answers := make(chan answer, 2)
				for _, name := range []string{"entry-1", "entry-2"} {
					ctx, leave := context.WithCancel(s.t.Context())
					if random.IntN(3) == 0 {
						time.AfterFunc(time.Duration(random.IntN(60))*time.Millisecond, leave)
					}
					defer leave()
					go func() {
						began := time.Now()
						o := s.entries[name].Submit(ctx, newJob("job", 4, 300*time.Millisecond))
						answers <- answer{entry: name, outcome: o, taken: time.Since(began)}
					}()
				}
				pause(50)
				switch random.IntN(4) {
				case 0:
					s.network.Reset("entry-1", "entry-2")
				case 1:
					s.network.Reset("entry-2", "entry-1")
				case 2:
					s.network.SetStalled("entry-1", "entry-2", false)
					time.Sleep(time.Duration(random.IntN(200)) * time.Microsecond)
					s.network.Reset("entry-1", "entry-2")
					s.network.Reset("entry-2", "entry-1")
				}
				s.network.SetStalled("entry-1", "entry-2", false)
				for range 2 {
					a := <-answers
					if a.taken > 3*time.Second {
						s.t.Errorf("%s answered %s after %v\n%s", a.entry, batch.OutcomeName(a.outcome), a.taken, s.logs.about(`"job"`))
					}
				}
				// Callers do not submit a job twice at once, so entries that did not forward it may both have started it.
				s.overlaps.mu.Lock()
				s.overlaps.found = nil
				s.overlaps.mu.Unlock()
			})
		})
	}
}

// Guards against two runs of a task at the same time: entries forward a job to each other, both callers leave, and each
// entry receives the forward before the withdrawal that follows it.
func TestCrossedForwardsAndTwoWithdrawals(t *testing.T) {
	runSite(t, 2, 2, func(s *testSite) {
		time.Sleep(10 * time.Millisecond) // after the loads of this moment
		for _, name := range []string{"entry-1", "entry-2"} {
			go s.entries[name].Submit(s.t.Context(), newJob("filler-"+name, 9, time.Second))
		}
		time.Sleep(30 * time.Millisecond)
		s.network.SetStalled("entry-1", "entry-2", true)
		var callers sync.WaitGroup
		for _, name := range []string{"entry-1", "entry-2"} {
			callers.Go(func() {
				ctx, leave := context.WithTimeout(s.t.Context(), 2*time.Millisecond)
				defer leave()
				s.entries[name].Submit(ctx, newJob("job", 4, 300*time.Millisecond))
			})
		}
		callers.Wait()
		if n := strings.Count(s.logs.about(`"job"`), `"JobForwarded"`); n != 2 {
			s.t.Errorf("the job was forwarded by %d entries, want 2", n)
		}
		s.network.SetStalled("entry-1", "entry-2", false)
		time.Sleep(time.Second)
	})
}
