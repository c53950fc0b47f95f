package batchentry_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodglade/core/batch"
)

// Guards against two runs of a task at the same time: entries forward a job to each other, and the one that leaves it to
// the other withdraws it before it receives it.
func TestCrossedForwardsAndWithdrawal(t *testing.T) {
	runSite(t, 2, 2, func(s *testSite) {
		time.Sleep(10 * time.Millisecond) // after the loads of this moment
		for _, name := range []string{"entry-1", "entry-2"} {
			go s.entries[name].Submit(s.t.Context(), newJob("filler-"+name, 9, time.Second))
		}
		time.Sleep(30 * time.Millisecond) // the entries have not received each other's load yet
		s.network.SetStalled("entry-1", "entry-2", true)
		outcome := make(chan batch.Outcome, 1)
		go func() { outcome <- s.entries["entry-1"].Submit(s.t.Context(), newJob("job", 4, 300*time.Millisecond)) }()
		ctx, leave := context.WithTimeout(s.t.Context(), 2*time.Millisecond)
		defer leave()
		s.entries["entry-2"].Submit(ctx, newJob("job", 4, 300*time.Millisecond))
		synctest.Wait()
		s.network.SetStalled("entry-1", "entry-2", false)
		if o := <-outcome; o != (batch.Completed{}) {
			s.t.Errorf("got %s, want Completed\n%s", batch.OutcomeName(o), s.logs.about(`"job"`))
		}
	})
}

// Guards against two runs of a task at the same time: a refusal that an earlier session delayed is taken as the answer
// to the job as it was forwarded again.
func TestOutcomeOfEarlierSessionIgnored(t *testing.T) {
	runSite(t, 1, 1, func(s *testSite) {
		r := &peerRecorder{fakePeerEntry: newFakePeerEntry(), name: "other"}
		go s.entries["entry-1"].Submit(s.t.Context(), newJob("filler", 8, 1500*time.Millisecond))
		time.Sleep(10 * time.Millisecond)
		earlier := r.connect(s)
		defer earlier.Close()
		load := fakePeerLoad()
		earlier.Load(load)
		time.Sleep(10 * time.Millisecond)
		outcome := make(chan batch.Outcome, 1)
		submit := func() {
			go func() { outcome <- s.entries["entry-1"].Submit(s.t.Context(), newJob("job", 4, time.Second)) }()
		}
		submit()
		time.Sleep(10 * time.Millisecond)
		later := r.connect(s)
		defer later.Close()
		load.Session = 2
		later.Load(load)
		if _, unknown := (<-outcome).(batch.Unknown); !unknown {
			s.t.Fatal("the job was not answered as Unknown after the other entry had dropped it")
		}
		for range 13 {
			time.Sleep(100 * time.Millisecond)
			later.Load(load)
		}
		submit()
		time.Sleep(10 * time.Millisecond)
		earlier.ForwardOutcome("job", r.forwardNumbers()[0], batch.NotRun{Reason: batch.NoServer})
		time.Sleep(10 * time.Millisecond)
		r.recorded.Lock()
		forwarded, withdrawn := len(r.forwarded), len(r.withdrawn)
		r.recorded.Unlock()
		b := s.backends["agent-1"]
		b.mu.Lock()
		runs := len(b.running)
		b.mu.Unlock()
		if forwarded != 2 || runs != 8 {
			s.t.Errorf("forwarded %d times, withdrawn %d times, %d runs here; want 2 forwards and the 8 runs of another job\n%s",
				forwarded, withdrawn, runs, s.logs.about(`"job"`))
		}
	})
}

// Guards against tasks that are started for a caller that has left before the entry reads its request.
func TestNoStartForCallerThatHasLeft(t *testing.T) {
	runSite(t, 1, 1, func(s *testSite) {
		ctx, leave := context.WithCancel(s.t.Context())
		leave()
		s.entries["entry-1"].Submit(ctx, newJob("job", 4, time.Second))
		time.Sleep(100 * time.Millisecond)
		b := s.backends["agent-1"]
		b.mu.Lock()
		defer b.mu.Unlock()
		if len(b.starts) > 0 {
			s.t.Errorf("%d tasks were started after the caller had left", len(b.starts))
		}
	})
}
