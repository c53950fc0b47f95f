package batchentry_test

import (
	"fmt"
	"testing"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/io/inner"
)

// refusingEntry is another entry that refuses each job as Overloaded although its load shows free capacity.
type refusingEntry struct{ *peerRecorder }

func (r refusingEntry) Forward(p *inner.Peer, j batch.Job, number uint64) {
	r.peerRecorder.Forward(p, j, number)
	p.ForwardOutcome(j.ID, number, batch.NotRun{Reason: batch.Overloaded})
}

// Guards against a refused job that is offered to the same entry twice, so that it circulates, and against one that is
// offered to all entries under a general overload, while its caller waits.
func TestRefusedJobIsOfferedToThreeEntries(t *testing.T) {
	runSite(t, 1, 0, func(s *testSite) {
		var peers []refusingEntry
		for i := range 5 {
			r := refusingEntry{&peerRecorder{fakePeerEntry: newFakePeerEntry(), name: fmt.Sprint("other-", i)}}
			p := r.connectWith(s, "first", r)
			defer p.Close()
			p.Load(fakePeerLoad())
			peers = append(peers, r)
		}
		time.Sleep(10 * time.Millisecond)
		o := s.entries["entry-1"].Submit(s.t.Context(), newJob("job", 1, time.Second))
		if n, ok := o.(batch.NotRun); !ok || n.Reason != batch.Overloaded {
			s.t.Errorf("got %+v, want a refusal as Overloaded", o)
		}
		offers := 0
		for _, r := range peers {
			n := len(r.forwardNumbers())
			if offers += n; n > 1 {
				s.t.Errorf("%s was offered the job %d times", r.name, n)
			}
		}
		if offers != 3 {
			s.t.Errorf("the job was offered %d times, want 3", offers)
		}
	})
}

// Guards against a job that passes from an entry to another one and back: both have its caller, and wait for each other.
func TestRefusedJobIsNotOfferedToItsOrigin(t *testing.T) {
	runSite(t, 1, 0, func(s *testSite) {
		full := &peerRecorder{fakePeerEntry: newFakePeerEntry(), name: "full"}
		toFull := full.connect(s)
		defer toFull.Close()
		toFull.Load(fakePeerLoad())
		time.Sleep(10 * time.Millisecond)
		outcome := make(chan batch.Outcome, 1)
		go func() { outcome <- s.entries["entry-1"].Submit(s.t.Context(), newJob("job", 1, time.Second)) }()
		time.Sleep(10 * time.Millisecond)
		origin := &peerRecorder{fakePeerEntry: newFakePeerEntry(), name: "origin"}
		toOrigin := origin.connect(s)
		defer toOrigin.Close()
		toOrigin.Load(fakePeerLoad())
		toOrigin.Forward(newJob("job", 1, time.Second), 1)
		time.Sleep(10 * time.Millisecond)
		toFull.ForwardOutcome("job", full.forwardNumbers()[0], batch.NotRun{Reason: batch.Overloaded})
		time.Sleep(10 * time.Millisecond)
		if n := len(origin.forwardNumbers()); n > 0 {
			s.t.Errorf("the origin was offered its job %d times", n)
		}
		if o, ok := (<-outcome).(batch.NotRun); !ok || o.Reason != batch.Overloaded {
			s.t.Errorf("the caller got %+v, want a refusal as Overloaded", o)
		}
		origin.recorded.Lock()
		defer origin.recorded.Unlock()
		if len(origin.outcomes) != 1 {
			s.t.Errorf("the origin got %d outcomes, want one", len(origin.outcomes))
		}
	})
}

// Guards against a job that is passed on after it has waited, although its caller's target has passed: the next entry would
// give it a new target, ahead of jobs that can still be in time.
func TestJobIsPassedOnOnlySoonAfterItsArrival(t *testing.T) {
	for _, c := range []struct {
		name     string
		estimate time.Duration
		target   time.Duration
		offers   int
	}{{"waited for a moment", 10 * time.Millisecond, 30 * time.Millisecond, 1}, {"waited", time.Second, 60 * time.Millisecond, 0}} {
		runSite(t, 1, 1, func(s *testSite) {
			go s.entries["entry-1"].Submit(s.t.Context(), newJob("running", 10, 10*time.Second))
			time.Sleep(125 * time.Millisecond) // the limits of jobs are checked at multiples of 50 ms
			j := newJob("job", 48, c.estimate)
			j.Target = c.target
			outcome := make(chan batch.Outcome, 1)
			go func() { outcome <- s.entries["entry-1"].Submit(s.t.Context(), j) }()
			time.Sleep(5 * time.Millisecond)
			r := refusingEntry{&peerRecorder{fakePeerEntry: newFakePeerEntry(), name: "other"}}
			p := r.connectWith(s, "first", r)
			defer p.Close()
			for len(outcome) == 0 {
				l := fakePeerLoad()
				l.Clock = time.Duration(time.Now().UnixNano())
				l.Echo = l.Clock
				p.Load(l)
				time.Sleep(10 * time.Millisecond)
			}
			if o, ok := (<-outcome).(batch.NotRun); !ok || o.Reason != batch.Overloaded {
				s.t.Errorf("%s: the caller got %+v, want a refusal as Overloaded", c.name, o)
			}
			if n := len(r.forwardNumbers()); n != c.offers {
				s.t.Errorf("%s: the job was offered %d times, want %d", c.name, n, c.offers)
			}
		})
	}
}
