package batchentry_test

import (
	"slices"
	"testing"
	"time"
)

// Guards against a store that is called more often than the processes need when all of them start at once, also if it is
// down at that time. An agent reads the directory and its own row, and saves its row; an entry writes its row, reads the
// directory and the configuration, and waits for a change of it. While the store is down, each repeats these calls at the
// interval that it has for that.
func TestStoreCallsAfterRestart(t *testing.T) {
	const (
		entries, agents = 4, 24
		period          = 2 * time.Second
	)
	for _, down := range []bool{false, true} {
		perEntry, perAgent := int64(6), int64(3) // polls for the configuration end after 1 s
		if down {
			perEntry = 20 + 6 // the configuration each 100 ms, and the rest with a backoff
			perAgent = 3 + 4  // its own row three times, and the directory each 0.5 s
		}
		runSiteInOneRegion(t, entries, agents, func(s *testSite) {
			var names []string
			for name, stop := range s.stops {
				stop()
				names = append(names, name)
			}
			clear(s.stops)
			clear(s.entries)
			time.Sleep(time.Second)
			s.store.setDown(down)
			before := s.store.calls.Load()
			slices.Sort(names)
			for _, name := range names[:agents] {
				s.startAgent(name)
			}
			time.Sleep(100 * time.Millisecond) // entries take longer to start than agents
			for _, name := range names[agents:] {
				s.startEntry(name)
			}
			time.Sleep(period)
			calls := s.store.calls.Load() - before
			t.Logf("store down: %t: %d calls", down, calls)
			if most := entries*perEntry + agents*perAgent; calls > most {
				t.Errorf("store down: %t: %d calls in the first %v, want at most %d", down, calls, period, most)
			}
			s.store.setDown(false)
			time.Sleep(3 * time.Second)
			connected := int64(0)
			for _, n := range s.agentCounts() {
				connected += n
			}
			if connected < agents {
				t.Errorf("store down: %t: %d of %d agents have a home", down, connected, agents)
			}
		})
	}
}
