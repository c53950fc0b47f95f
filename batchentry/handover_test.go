package batchentry_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodglade/core/batch"
)

// stream submits a short job at each of the given entries every 20 ms until the returned function is called, which
// waits for the outcomes. Every job must complete within the limit.
func (s *testSite) stream(limit time.Duration, entries func() map[string]testEntry) (stop func()) {
	ctx, cancel := context.WithCancel(s.t.Context())
	var running sync.WaitGroup
	running.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			for name, e := range entries() {
				running.Go(func() {
					start := time.Now()
					id := fmt.Sprintf("job-%d-%s", i, name)
					o := e.Submit(s.t.Context(), newJob(id, 4, 30*time.Millisecond))
					if _, ok := o.(batch.Completed); !ok || time.Since(start) > limit {
						s.t.Errorf("%s, submitted %v ago: got %s\n%s", id, time.Since(start), batch.OutcomeName(o), s.logs.about(id))
					}
				})
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
	return func() {
		cancel()
		running.Wait()
	}
}

// Guards against callers that are refused or that wait when the entry that dispatches to all agents is stopped as
// planned: its waiting jobs must go to the entry that the agents choose next, also if that one has been stopped and
// restarted shortly before.
func TestPlannedStopHandsOver(t *testing.T) {
	runSiteInOneRegion(t, 3, 6, func(s *testSite) {
		var mu sync.Mutex
		stopping := ""
		endStream := s.stream(250*time.Millisecond, func() map[string]testEntry {
			mu.Lock()
			defer mu.Unlock()
			entries := maps.Clone(s.entries)
			delete(entries, stopping)
			return entries
		})
		for i := range 6 {
			name := fmt.Sprintf("entry-%d", i%3+1)
			time.Sleep(1500 * time.Millisecond)
			ctx, cancel := context.WithTimeout(s.t.Context(), 5*time.Second)
			// Callers keep using open connections until the entry is about to exit.
			time.AfterFunc(3*time.Second, func() {
				mu.Lock()
				stopping = name
				mu.Unlock()
			})
			s.entries[name].Stop(ctx)
			cancel()
			s.stops[name]()
			mu.Lock()
			stopping = name
			s.startEntry(name)
			mu.Unlock()
			time.Sleep(200 * time.Millisecond)
			mu.Lock()
			stopping = ""
			mu.Unlock()
		}
		endStream()
	})
}

// Guards against jobs that start late because an agent refuses starts until the next periodic keep-alive message has
// confirmed its session.
func TestNewSessionAcceptsStarts(t *testing.T) {
	runSiteInOneRegion(t, 0, 0, func(s *testSite) {
		s.startEntry("entry-1")
		synctest.Wait() // the entry has registered
		start := time.Now()
		s.addAgent("agent-1")
		o := s.entries["entry-1"].Submit(s.t.Context(), newJob("job", 4, 10*time.Millisecond))
		if _, ok := o.(batch.Completed); !ok || time.Since(start) > 60*time.Millisecond {
			s.t.Errorf("a job of 10 ms beside a new agent: got %s after %v", batch.OutcomeName(o), time.Since(start))
		}
	})
}

// Guards against agents that move back and forth because they still choose among entries that are gone, and against
// agents that do not return to a restarted entry, so that the other dispatchers keep its share.
func TestAgentsSettleAfterLoss(t *testing.T) {
	runSiteInOneRegion(t, 8, 24, func(s *testSite) {
		before := s.agentCounts()
		if len(before) != 2 {
			s.t.Fatalf("got the agents %v, want two dispatchers of eight equal entries", before)
		}
		lost := slices.Sorted(maps.Keys(before))[0]
		s.killEntry(lost)
		time.Sleep(6 * time.Second) // longer than the agents wait before they leave a home for a better one
		settled := s.agentCounts()
		var agents int64
		for _, n := range settled {
			agents += n
		}
		if agents != 24 || len(settled) != 2 {
			s.t.Errorf("after the loss of %s: got the agents %v, want 24 at two entries", lost, settled)
		}
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			if now := s.agentCounts(); !maps.Equal(now, settled) {
				s.t.Fatalf("the agents moved from %v to %v", settled, now)
			}
		}
		s.startEntry(lost)
		time.Sleep(8 * time.Second)
		if now := s.agentCounts(); !maps.Equal(now, before) {
			s.t.Errorf("after the restart of %s: got the agents %v, want %v", lost, now, before)
		}
	})
}
