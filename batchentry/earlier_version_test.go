package batchentry_test

import (
	"testing"
	"time"

	"dogwoodglade/core/batch"
)

// Guards against a job that waits for its time-out because the other entry, of an earlier version, does not decline a
// crossed forward.
func TestCrossedForwardWithEntryOfEarlierVersion(t *testing.T) {
	runSite(t, 1, 1, func(s *testSite) {
		r := &peerRecorder{fakePeerEntry: newFakePeerEntry(), name: "other"}
		go s.entries["entry-1"].Submit(s.t.Context(), newJob("filler", 8, 500*time.Millisecond))
		time.Sleep(10 * time.Millisecond)
		p := r.connect(s)
		defer p.Close()
		p.Load(fakePeerLoad())
		time.Sleep(10 * time.Millisecond)
		began := time.Now()
		outcome := make(chan batch.Outcome, 1)
		go func() { outcome <- s.entries["entry-1"].Submit(s.t.Context(), newJob("job", 4, 100*time.Millisecond)) }()
		time.Sleep(time.Millisecond)
		p.Forward(newJob("job", 4, 100*time.Millisecond), 0)
		for {
			select {
			case o := <-outcome:
				if took := time.Since(began); took > 3*time.Second {
					s.t.Errorf("answered %s after %v", batch.OutcomeName(o), took)
				}
				return
			case <-time.After(50 * time.Millisecond):
				clock := time.Duration(time.Now().UnixNano())
				l := fakePeerLoad()
				l.Clock, l.Echo = clock, clock
				p.Load(l)
			}
		}
	})
}
