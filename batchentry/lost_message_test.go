package batchentry_test

import (
	"context"
	"testing"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/dispatch"
	"dogwoodglade/core/resource"
	"dogwoodglade/io/inner"
)

// forwardingEntry returns an entry that no agent has chosen as its home, and the one that they have chosen.
func (s *testSite) forwardingEntry() (from, to string) {
	for name := range s.entries {
		if s.agentCounts()[name] == 0 {
			from = name
		} else {
			to = name
		}
	}
	return from, to
}

func (s *testSite) runCount() int {
	n := 0
	for _, b := range s.backends {
		b.mu.Lock()
		n += len(b.running)
		b.mu.Unlock()
	}
	return n
}

// loseMessages resets the connections that one of two entries opened to the other one, and what they send meanwhile.
func (s *testSite) loseMessages(a, b, dialler string, send func()) {
	s.network.SetStalled(a, b, true)
	send()
	if dialler == a {
		s.network.Reset(a, b)
	} else {
		s.network.Reset(b, a)
	}
	s.network.SetStalled(a, b, false)
}

// Guards against two runs of a task at the same time: a job continues after the message that withdraws it was lost.
func TestWithdrawalLostWithConnection(t *testing.T) {
	forEachDialler(t, func(s *testSite, from, to, dialler string) {
		ctx, leave := context.WithCancel(s.t.Context())
		go s.entries[from].Submit(ctx, newJob("job", 4, 8*time.Second))
		time.Sleep(50 * time.Millisecond)
		if n := s.runCount(); n != 4 {
			s.t.Fatalf("%d runs in progress, want 4", n)
		}
		s.loseMessages(from, to, dialler, func() {
			leave()
			time.Sleep(time.Millisecond)
		})
		time.Sleep(resubmissionDelay)
		if n := s.runCount(); n > 0 {
			s.t.Errorf("%d runs in progress %v after the caller has left\n%s", n, resubmissionDelay, s.logs.about("job"))
		}
	})
}

// Guards against callers that get no response because a message about their job was lost.
func TestForwardOrOutcomeLostWithConnection(t *testing.T) {
	for _, lost := range []string{"forward", "outcome"} {
		t.Run(lost, func(t *testing.T) {
			forEachDialler(t, func(s *testSite, from, to, dialler string) {
				outcome := make(chan batch.Outcome, 1)
				submit := func() {
					go func() { outcome <- s.entries[from].Submit(s.t.Context(), newJob("job", 4, 100*time.Millisecond)) }()
				}
				if lost == "outcome" {
					submit()
					time.Sleep(90 * time.Millisecond)
				}
				s.loseMessages(from, to, dialler, func() {
					if lost == "forward" {
						submit()
					}
					time.Sleep(50 * time.Millisecond)
				})
				select {
				case <-outcome:
				case <-time.After(500 * time.Millisecond):
					s.t.Errorf("no outcome within 500 ms\n%s", s.logs.about("job"))
				}
			})
		})
	}
}

// resubmissionDelay is the time after which a caller whose connection broke submits its job again.
const resubmissionDelay = 1300 * time.Millisecond

// forEachDialler runs a test with the connections that the forwarding entry opened, and with those that it accepted. One
// of them is in use.
func forEachDialler(t *testing.T, test func(s *testSite, from, to, dialler string)) {
	for _, own := range []bool{true, false} {
		runSiteInOneRegion(t, 2, 3, func(s *testSite) {
			from, to := s.forwardingEntry()
			dialler := from
			if !own {
				dialler = to
			}
			test(s, from, to, dialler)
		})
	}
}

// fakePeerLoad is the load of another entry that has room for any job.
func fakePeerLoad() inner.EntryLoad {
	room := resource.Amount{Processor: 8000, Memory: 8000}
	return inner.EntryLoad{Session: 1, Load: dispatch.Load{Pools: map[string]dispatch.PoolLoad{
		"pool": {Cores: 8, Free: room, Largest: room, Healthy: true},
	}}}
}

// Guards against callers that wait for a job that the other entry has dropped, because only that entry took this one as
// lost.
func TestForwardedJobEndsWhenPeerDropsIt(t *testing.T) {
	for _, c := range []struct {
		name     string
		accepted []batch.JobID
		ends     bool
	}{
		{"dropped", nil, true},
		{"continued", []batch.JobID{"job"}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			runSite(t, 1, 0, func(s *testSite) {
				o := newFakePeerEntry()
				p := o.dial(s, "first")
				defer p.Close()
				load := fakePeerLoad()
				p.Load(load)
				time.Sleep(10 * time.Millisecond)
				ctx, leave := context.WithCancel(s.t.Context())
				defer leave()
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					s.entries["entry-1"].Submit(ctx, newJob("job", 1, time.Second))
				}()
				time.Sleep(10 * time.Millisecond)
				load.Session, load.Accepted = 2, c.accepted
				p.Load(load)
				time.Sleep(10 * time.Millisecond)
				select {
				case <-ended:
					if !c.ends {
						s.t.Error("the job ended although the other entry continues it")
					}
				default:
					if c.ends {
						s.t.Error("the caller still waits for a job that the other entry has dropped")
					}
				}
			})
		})
	}
}

// Guards against a job that is passed on without a time limit after its caller's time-out.
func TestJobNotForwardedAfterCallerTimeout(t *testing.T) {
	runSite(t, 1, 0, func(s *testSite) {
		o := newFakePeerEntry()
		p := o.dial(s, "first")
		defer p.Close()
		load := fakePeerLoad()
		p.Load(load)
		time.Sleep(10 * time.Millisecond)
		outcome := make(chan batch.Outcome, 1)
		j := newJob("job", 1, 10*time.Millisecond)
		j.Timeout = 300 * time.Millisecond
		go func() { outcome <- s.entries["entry-1"].Submit(s.t.Context(), j) }()
		for range 4 {
			time.Sleep(100 * time.Millisecond)
			p.Load(load)
		}
		p.ForwardOutcome("job", 0, batch.NotRun{Reason: batch.NoServer})
		p.Load(load)
		time.Sleep(10 * time.Millisecond)
		if n := len(o.forwarded); n != 1 {
			s.t.Errorf("the job was forwarded %d times, want once", n)
		}
		select {
		case got := <-outcome:
			if n, ok := got.(batch.NotRun); !ok || n.Reason != batch.DeadlinePassed {
				s.t.Errorf("got %s, want a refusal because the deadline has passed", batch.OutcomeName(got))
			}
		default:
			s.t.Error("the caller has no outcome")
		}
	})
}
