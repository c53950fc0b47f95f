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

// Guards against two runs of a task at the same time: an entry of an earlier version dispatches a job that was forwarded to
// it, because it has withdrawn its own forward, or has not received the other one yet.
func TestCrossedForwardDispatchedByEntryOfEarlierVersion(t *testing.T) {
	for _, withdrawn := range []bool{true, false} {
		runSite(t, 1, 1, func(s *testSite) {
			r := &peerRecorder{fakePeerEntry: newFakePeerEntry(), name: "other"}
			go s.entries["entry-1"].Submit(s.t.Context(), newJob("filler", 8, 100*time.Millisecond))
			time.Sleep(10 * time.Millisecond)
			p := r.connect(s)
			defer p.Close()
			p.Load(fakePeerLoad())
			time.Sleep(10 * time.Millisecond)
			outcome := make(chan batch.Outcome, 1)
			go func() { outcome <- s.entries["entry-1"].Submit(s.t.Context(), newJob("job", 4, 100*time.Millisecond)) }()
			time.Sleep(time.Millisecond)
			l := fakePeerLoad()
			l.Echo = time.Duration(time.Now().Add(-2 * time.Millisecond).UnixNano())
			p.Forward(newJob("job", 4, 100*time.Millisecond), 0)
			if withdrawn {
				p.WithdrawJob("job", 0, false)
			}
			for range 8 {
				time.Sleep(100 * time.Millisecond)
				if withdrawn {
					l.Echo = time.Duration(time.Now().UnixNano())
				}
				p.Load(l)
			}
			if n := s.startsOf("job"); len(r.forwardNumbers()) != 1 || n > 0 {
				s.t.Errorf("withdrawn %v: %d forwards and %d starts, want one forward only", withdrawn, len(r.forwardNumbers()), n)
			}
			p.ForwardOutcome("job", 0, batch.Completed{})
			if o := <-outcome; o != (batch.Completed{}) {
				s.t.Errorf("withdrawn %v: got %s, want Completed", withdrawn, batch.OutcomeName(o))
			}
		})
	}
}
