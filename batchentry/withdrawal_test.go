package batchentry_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/io/inner"
)

// withdrawnRunTime is the longest time for which runs of a withdrawn forward may go on, and a tick.
const withdrawnRunTime = 1950 * time.Millisecond

// startsOf returns how often tasks of a job were started.
func (s *testSite) startsOf(job batch.JobID) int {
	n := 0
	for _, b := range s.backends {
		b.mu.Lock()
		for _, task := range b.starts {
			if task.Job == job {
				n++
			}
		}
		b.mu.Unlock()
	}
	return n
}

// keepSession sends loads without capacity for the given time.
func keepSession(p *inner.Peer, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		clock := time.Duration(time.Now().UnixNano()) // of both entries
		p.Load(inner.EntryLoad{Session: 1, Clock: clock, Echo: clock})
	}
}

// Guards against two runs of a task at the same time: an entry starts a job that it has withdrawn from another entry,
// where it may still run. Its caller has submitted it again, or the other entry has forwarded it.
func TestNoStartBesideWithdrawnForward(t *testing.T) {
	for _, resubmitted := range []bool{true, false} {
		for _, c := range []struct {
			name    string
			confirm func(p *inner.Peer)
			prompt  bool
		}{
			{"confirmed", func(p *inner.Peer) { p.JobWithdrawn("job", 1) }, true},
			{"another forward confirmed", func(p *inner.Peer) { p.JobWithdrawn("job", 2) }, false},
			{"entry of an earlier version", func(*inner.Peer) {}, false},
			{"connection lost", func(p *inner.Peer) { p.Close() }, false},
		} {
			t.Run(c.name, func(t *testing.T) {
				runSite(t, 1, 1, func(s *testSite) {
					r := &peerRecorder{fakePeerEntry: newFakePeerEntry(), name: "other"}
					go s.entries["entry-1"].Submit(s.t.Context(), newJob("filler", 8, 50*time.Millisecond))
					time.Sleep(10 * time.Millisecond)
					p := r.connect(s)
					defer p.Close()
					p.Load(fakePeerLoad())
					time.Sleep(10 * time.Millisecond)
					ctx, leave := context.WithTimeout(s.t.Context(), 10*time.Millisecond)
					defer leave()
					s.entries["entry-1"].Submit(ctx, newJob("job", 4, 100*time.Millisecond))
					keepSession(p, 100*time.Millisecond)
					outcome := make(chan batch.Outcome, 1)
					if resubmitted {
						go func() { outcome <- s.entries["entry-1"].Submit(s.t.Context(), newJob("job", 4, 100*time.Millisecond)) }()
					} else {
						p.Forward(newJob("job", 4, 100*time.Millisecond), 1)
						outcome <- batch.Completed{}
					}
					time.Sleep(10 * time.Millisecond)
					if len(r.forwardNumbers()) != 1 || s.startsOf("job") > 0 {
						s.t.Fatalf("%d forwards and %d starts before the confirmation, want the first forward only",
							len(r.forwardNumbers()), s.startsOf("job"))
					}
					c.confirm(p)
					time.Sleep(10 * time.Millisecond)
					if started := s.startsOf("job") == 4; started != c.prompt {
						s.t.Errorf("started: %v, want %v", started, c.prompt)
					}
					keepSession(p, withdrawnRunTime)
					o := <-outcome
					if want := c.name != "connection lost" || resubmitted; o != (batch.Completed{}) || (s.startsOf("job") == 4) != want {
						s.t.Errorf("got %s after %d starts", batch.OutcomeName(o), s.startsOf("job"))
					}
				})
			})
		}
	}
}

// Guards against a confirmation that arrives while the runs of the withdrawn forward go on, because their stops are lost,
// and against withdrawals that are not confirmed.
func TestWithdrawalConfirmedAfterRuns(t *testing.T) {
	runSite(t, 1, 1, func(s *testSite) {
		r := &peerRecorder{fakePeerEntry: newFakePeerEntry(), name: "other"}
		p := r.connect(s)
		defer p.Close()
		keepSession(p, time.Second)
		p.Forward(newJob("job", 4, 8*time.Second), 1)
		keepSession(p, time.Second)
		s.backends["agent-1"].loseStops.Store(true)
		p.WithdrawJob("job", 1, false)
		p.WithdrawJob("unknown", 2, false)
		p.WithdrawJob("unknown", 0, false)
		confirmed := func() bool { return slices.Contains(r.confirmations(), 1) }
		began := time.Now()
		for !confirmed() && time.Since(began) < 5*time.Second {
			if n := s.liveRunCount(); time.Since(began) < 10*time.Millisecond && n != 4 {
				s.t.Fatalf("%d runs in progress, want 4", n)
			}
			keepSession(p, 10*time.Millisecond)
		}
		if n := s.liveRunCount(); n > 0 {
			s.t.Errorf("%d runs in progress when their end was confirmed", n)
		}
		if !slices.Equal(r.confirmations(), []uint64{2, 1}) {
			s.t.Errorf("got the confirmations %v, want 2 at once and 1 when its runs had ended", r.confirmations())
		}
	})
}

// Guards against a caller that is told that its job was not run, or is not told anything in time, while the job may run for
// a forward that was withdrawn.
func TestHeldJobAnsweredInTime(t *testing.T) {
	runSite(t, 1, 0, func(s *testSite) {
		r := &peerRecorder{fakePeerEntry: newFakePeerEntry(), name: "other"}
		p := r.connect(s)
		defer p.Close()
		p.Load(fakePeerLoad())
		time.Sleep(10 * time.Millisecond)
		ctx, leave := context.WithTimeout(s.t.Context(), 10*time.Millisecond)
		defer leave()
		s.entries["entry-1"].Submit(ctx, newJob("job", 1, time.Second))
		keepSession(p, 100*time.Millisecond)
		j := newJob("job", 1, time.Second)
		j.Timeout = 300 * time.Millisecond
		outcome := make(chan batch.Outcome, 1)
		go func() { outcome <- s.entries["entry-1"].Submit(s.t.Context(), j) }()
		keepSession(p, 400*time.Millisecond)
		select {
		case o := <-outcome:
			if o != (batch.Unknown{Reason: batch.DeadlinePassed}) {
				s.t.Errorf("got %s, want Unknown", batch.OutcomeName(o))
			}
		default:
			s.t.Error("the caller has no outcome after its time-out")
			s.entries["entry-1"].CancelJob("job")
		}
	})
}

// Guards against two runs of a task at the same time: an entry forwards a job whose earlier runs it is still stopping.
func TestJobNotForwardedBesideOwnRuns(t *testing.T) {
	runSite(t, 1, 1, func(s *testSite) {
		r := &peerRecorder{fakePeerEntry: newFakePeerEntry(), name: "other"}
		p := r.connect(s)
		defer p.Close()
		p.Load(inner.EntryLoad{Session: 1})
		ctx, leave := context.WithTimeout(s.t.Context(), 100*time.Millisecond)
		defer leave()
		s.backends["agent-1"].loseStops.Store(true)
		s.entries["entry-1"].Submit(ctx, newJob("job", 8, 8*time.Second))
		p.Load(fakePeerLoad())
		time.Sleep(10 * time.Millisecond)
		ctx, leave = context.WithTimeout(s.t.Context(), 100*time.Millisecond)
		defer leave()
		s.entries["entry-1"].Submit(ctx, newJob("job", 8, 100*time.Millisecond))
		if len(r.forwardNumbers()) > 0 {
			s.t.Error("the job was forwarded while its earlier runs went on here")
		}
	})
}

// Guards against two runs of a task at the same time: an entry confirms a withdrawal while the job goes on for a caller of
// its own. After a restart of the other entry, the confirmation would be taken as that of a later forward.
func TestWithdrawalNotConfirmedBesideOtherCaller(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		runSite(t, 1, 1, func(s *testSite) {
			r := &peerRecorder{fakePeerEntry: newFakePeerEntry(), name: "other"}
			p := r.connect(s)
			defer p.Close()
			keepSession(p, 100*time.Millisecond)
			p.Forward(newJob("job", 4, 300*time.Millisecond), 1)
			keepSession(p, 100*time.Millisecond)
			outcome := make(chan batch.Outcome, 1)
			go func() { outcome <- s.entries["entry-1"].Submit(s.t.Context(), newJob("job", 4, 300*time.Millisecond)) }()
			time.Sleep(10 * time.Millisecond)
			p.WithdrawJob("job", 1, false)
			keepSession(p, 100*time.Millisecond)
			if len(r.confirmations()) > 0 {
				s.t.Error("the withdrawal was confirmed while the job went on")
			}
			want := []uint64{1}
			if restarted {
				r = &peerRecorder{fakePeerEntry: newFakePeerEntry(), name: "other"}
				q := r.connectAs(s, "second")
				defer q.Close()
				keepSession(q, 100*time.Millisecond)
				want = nil
			}
			if o := <-outcome; o != (batch.Completed{}) {
				s.t.Errorf("got %s, want Completed", batch.OutcomeName(o))
			}
			time.Sleep(10 * time.Millisecond)
			if !slices.Equal(r.confirmations(), want) {
				s.t.Errorf("restarted %v: got the confirmations %v, want %v", restarted, r.confirmations(), want)
			}
		})
	}
}

// Guards against two runs of a task at the same time: an entry confirms a withdrawal while a third entry runs the job for a
// caller of its own.
func TestWithdrawalNotConfirmedBesideForward(t *testing.T) {
	runSite(t, 1, 0, func(s *testSite) {
		third := &peerRecorder{fakePeerEntry: newFakePeerEntry(), name: "third"}
		q := third.connect(s)
		defer q.Close()
		q.Load(fakePeerLoad())
		r := &peerRecorder{fakePeerEntry: newFakePeerEntry(), name: "other"}
		p := r.connect(s)
		defer p.Close()
		p.Load(inner.EntryLoad{Session: 1})
		time.Sleep(10 * time.Millisecond)
		ctx, leave := context.WithCancel(s.t.Context())
		defer leave()
		go s.entries["entry-1"].Submit(ctx, newJob("job", 1, time.Second))
		time.Sleep(10 * time.Millisecond)
		p.Forward(newJob("job", 1, time.Second), 1)
		time.Sleep(10 * time.Millisecond)
		p.WithdrawJob("job", 1, false)
		time.Sleep(100 * time.Millisecond)
		r.recorded.Lock()
		defer r.recorded.Unlock()
		third.recorded.Lock()
		defer third.recorded.Unlock()
		if len(third.forwarded) != 1 {
			s.t.Fatalf("%d forwards to the third entry, want 1", len(third.forwarded))
		}
		if len(r.confirmed) > 0 {
			s.t.Error("the withdrawal was confirmed while the third entry had the job")
		}
	})
}
