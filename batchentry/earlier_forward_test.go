package batchentry_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/io/inner"
)

// Guards against two runs of a task at the same time: the answer to a forward is taken as the answer to a later forward
// of the job within a session. The other entry had refused, or declined, the first one and holds the second one.
func TestOutcomeOfEarlierForwardIgnored(t *testing.T) {
	for _, reason := range []batch.Reason{batch.NoServer, batch.AlreadySubmitted} {
		t.Run(string(reason), func(t *testing.T) {
			runSite(t, 1, 1, func(s *testSite) {
				r := &peerRecorder{fakePeerEntry: newFakePeerEntry(), name: "other"}
				go s.entries["entry-1"].Submit(s.t.Context(), newJob("filler", 8, 1500*time.Millisecond))
				time.Sleep(10 * time.Millisecond)
				p := r.connect(s)
				defer p.Close()
				p.Load(fakePeerLoad())
				time.Sleep(10 * time.Millisecond)
				ctx, leave := context.WithTimeout(s.t.Context(), 10*time.Millisecond)
				defer leave()
				s.entries["entry-1"].Submit(ctx, newJob("job", 4, time.Second))
				go s.entries["entry-1"].Submit(s.t.Context(), newJob("job", 4, time.Second))
				time.Sleep(10 * time.Millisecond)
				p.ForwardOutcome("job", r.forwardNumbers()[0], batch.NotRun{Reason: reason})
				time.Sleep(10 * time.Millisecond)
				r.recorded.Lock()
				forwarded, withdrawn := len(r.forwarded), len(r.withdrawn)
				r.recorded.Unlock()
				b := s.backends["agent-1"]
				b.mu.Lock()
				runs := len(b.running)
				b.mu.Unlock()
				if forwarded != 2 || runs != 8 {
					s.t.Errorf("forwarded %d times, withdrawn %d times, %d runs here; want 2 forwards and the 8 runs of another job",
						forwarded, withdrawn, runs)
				}
			})
		})
	}
}

// Guards against a caller that waits for a forward that the other entry has not received, because that one lists an
// earlier forward of the job at the beginning of its session.
func TestOnlyAcceptedForwardContinues(t *testing.T) {
	for _, c := range []struct {
		name    string
		numbers map[batch.JobID]uint64
		ends    bool
	}{
		{"earlier forward", map[batch.JobID]uint64{"job": 1}, true},
		{"latest forward", map[batch.JobID]uint64{"job": 2}, false},
		{"entry of an earlier version", nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			runSite(t, 1, 0, func(s *testSite) {
				r := &peerRecorder{fakePeerEntry: newFakePeerEntry(), name: "other"}
				p := r.connect(s)
				defer p.Close()
				load := fakePeerLoad()
				p.Load(load)
				time.Sleep(10 * time.Millisecond)
				ctx, leave := context.WithTimeout(s.t.Context(), 10*time.Millisecond)
				defer leave()
				s.entries["entry-1"].Submit(ctx, newJob("job", 1, time.Second))
				ended := make(chan struct{})
				ctx, leave = context.WithCancel(s.t.Context())
				go func() {
					defer close(ended)
					s.entries["entry-1"].Submit(ctx, newJob("job", 1, time.Second))
				}()
				time.Sleep(10 * time.Millisecond)
				if numbers := r.forwardNumbers(); !slices.Equal(numbers, []uint64{1, 2}) {
					s.t.Fatalf("got the numbers %v, want 1 and 2", numbers)
				}
				load.Session, load.Accepted, load.AcceptedNumbers = 2, []batch.JobID{"job"}, c.numbers
				p.Load(load)
				time.Sleep(10 * time.Millisecond)
				select {
				case <-ended:
					if !c.ends {
						s.t.Error("the job ended although the other entry continues it")
					}
				default:
					if c.ends {
						s.t.Error("the caller still waits for a forward that the other entry has not received")
					}
				}
				leave()
				<-ended
			})
		})
	}
}

// Guards against a run that goes on for a forward that was withdrawn, because its origin lists a later forward of the job
// at the beginning of its session. The messages between the two were lost with their connection.
func TestWithdrawnForwardEndsWithSession(t *testing.T) {
	for _, c := range []struct {
		name           string
		number, listed uint64
		runs           int
	}{
		{"later forward", 1, 2, 0},
		{"same forward", 2, 2, 1},
		{"entry of an earlier version", 0, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			runSite(t, 1, 1, func(s *testSite) {
				r := &peerRecorder{fakePeerEntry: newFakePeerEntry(), name: "other"}
				p := r.connect(s)
				defer p.Close()
				p.Load(inner.EntryLoad{Session: 1})
				p.Forward(newJob("job", 1, time.Second), c.number)
				time.Sleep(10 * time.Millisecond)
				load := inner.EntryLoad{Session: 2, Forwarded: []batch.JobID{"job"}}
				if c.listed > 0 {
					load.ForwardedNumbers = map[batch.JobID]uint64{"job": c.listed}
				}
				p.Load(load)
				time.Sleep(10 * time.Millisecond)
				if n := s.runCount(); n != c.runs {
					s.t.Errorf("%d runs in progress, want %d", n, c.runs)
				}
				r.recorded.Lock()
				defer r.recorded.Unlock()
				lost := numberedOutcome{number: c.listed, outcome: batch.Unknown{Reason: batch.PeerLost}}
				if c.runs == 0 && (len(r.outcomes) != 1 || r.outcomes[0] != lost) {
					s.t.Errorf("got the outcomes %v, want %v", r.outcomes, lost)
				}
			})
		})
	}
}

// Guards against a withdrawal that ends a later forward of the job, and against one that ends none.
func TestWithdrawalEndsItsForward(t *testing.T) {
	for _, c := range []struct {
		name              string
		number, withdrawn uint64
		runs              int
	}{
		{"earlier forward", 2, 1, 1},
		{"same forward", 2, 2, 0},
		{"entry of an earlier version", 0, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			runSite(t, 1, 1, func(s *testSite) {
				r := &peerRecorder{fakePeerEntry: newFakePeerEntry(), name: "other"}
				p := r.connect(s)
				defer p.Close()
				p.Load(inner.EntryLoad{Session: 1})
				p.Forward(newJob("job", 1, 100*time.Millisecond), c.number)
				time.Sleep(10 * time.Millisecond)
				p.WithdrawJob("job", c.withdrawn, false)
				time.Sleep(10 * time.Millisecond)
				if n := s.runCount(); n != c.runs {
					s.t.Errorf("%d runs in progress, want %d", n, c.runs)
				}
				time.Sleep(100 * time.Millisecond)
				r.recorded.Lock()
				defer r.recorded.Unlock()
				done := numberedOutcome{number: c.number, outcome: batch.Completed{}}
				if c.runs > 0 && (len(r.outcomes) != 1 || r.outcomes[0] != done) {
					s.t.Errorf("got the outcomes %v, want %v", r.outcomes, done)
				}
			})
		})
	}
}
