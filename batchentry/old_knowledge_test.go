package batchentry_test

import (
	"fmt"
	"testing"
	"time"
)

// Guards against starts in an evacuated data centre whose agents restart and offer themselves to an entry that is cut off
// from the store and was never told of the evacuation.
func TestRestartedAgentReadsBeforeOffer(t *testing.T) {
	runSiteWithDataCentres(t, 1, func(s *testSite) {
		s.killEntry("entry-1")
		s.store.evacuate("a")
		s.turnedAway["entry-1"].Store(true)
		for _, name := range []string{"a-1", "a-2", "b-1", "b-2"} {
			s.stops[name]()
		}
		time.Sleep(5 * time.Second)
		before := s.starts("a")
		s.startEntry("entry-1")
		for _, name := range []string{"a-1", "a-2"} {
			s.startAgent(name)
		}
		for i := range 20 {
			s.entries["entry-1"].Submit(s.t.Context(), newJob(fmt.Sprint("job-", i), 24, 50*time.Millisecond))
			time.Sleep(50 * time.Millisecond)
		}
		if n := s.starts("a") - before; n > 0 {
			s.t.Errorf("%d tasks were started in the evacuated data centre", n)
		}
		for _, name := range []string{"b-1", "b-2"} {
			s.startAgent(name)
		}
		s.turnedAway["entry-1"].Store(false)
		time.Sleep(evacuationBound)
		s.checkNoStarts("a", "store reached")
	})
}
