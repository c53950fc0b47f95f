package batchentry_test

import (
	"fmt"
	"testing"
	"time"

	"dogwoodglade/core/batch"
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

// Guards against tasks of a begun job that an entry starts on an agent which connects to it and has not learned of the
// evacuation of its data centre yet.
func TestStartedJobWaitsForReadOfAgent(t *testing.T) {
	runSiteWithDataCentres(t, 1, func(s *testSite) {
		s.killEntry("entry-1")
		s.turnedAway["entry-1"].Store(true)
		s.stops["a-1"]()
		s.stops["a-2"]()
		s.startEntry("entry-1")
		time.Sleep(3 * time.Second)
		outcome := make(chan batch.Outcome)
		go func() { outcome <- s.entries["entry-1"].Submit(s.t.Context(), newJob("begun", 100, time.Second)) }()
		time.Sleep(500 * time.Millisecond)
		s.turnedAway["b-1"].Store(true) // nobody tells the entry
		s.turnedAway["b-2"].Store(true)
		time.Sleep(2 * time.Second)
		s.store.evacuate("a")
		before := s.starts("a")
		s.startAgent("a-1")
		s.startAgent("a-2")
		time.Sleep(time.Second)
		if n := s.starts("a") - before; n > 0 {
			s.t.Errorf("%d tasks were started in the evacuated data centre", n)
		}
		if o := <-outcome; o != (batch.Completed{}) {
			s.t.Errorf("got %s", batch.OutcomeName(o))
		}
	})
}
