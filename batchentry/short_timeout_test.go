package batchentry_test

import (
	"testing"
	"time"

	"dogwoodglade/core/batch"
)

// Guards against jobs with a short time-out that are refused beside other runs although there is room and time for them.
func TestShortTimeoutBesideOtherRuns(t *testing.T) {
	for _, timeout := range []time.Duration{100 * time.Millisecond, 150 * time.Millisecond, 250 * time.Millisecond} {
		completed := 0
		for phase := range 20 {
			runSite(t, 1, 1, func(s *testSite) {
				go s.entries["entry-1"].Submit(s.t.Context(), newJob("filler", 4, 2*time.Second))
				time.Sleep(time.Second + time.Duration(7*phase)*time.Millisecond)
				j := newJob("job", 1, 30*time.Millisecond)
				j.Timeout = timeout
				if o := s.entries["entry-1"].Submit(s.t.Context(), j); o == (batch.Completed{}) {
					completed++
				}
			})
		}
		if completed < 20 {
			t.Errorf("time-out %v: %d of 20 jobs completed", timeout, completed)
		}
	}
}
