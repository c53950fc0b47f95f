package batchentry_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"dogwoodglade/io/inner"
)

// liveRunCount returns the number of runs whose lease has not expired.
func (s *testSite) liveRunCount() int {
	for _, b := range s.backends {
		b.mu.Lock()
		b.expireLease()
		b.mu.Unlock()
	}
	return s.runCount()
}

// Guards against runs that go on when a caller submits its job again: the delays of the hops add up, and stops get lost.
func TestRunsEndBeforeResubmission(t *testing.T) {
	for _, c := range []struct {
		name string
		fail func(s *testSite, from, to string, leave func())
	}{
		{"origin killed", func(s *testSite, from, _ string, _ func()) { s.killEntry(from) }},
		{"origin silent", func(s *testSite, from, to string, _ func()) { s.network.SetStalled(from, to, true) }},
		{"origin silent, then dispatching entry silent", func(s *testSite, from, to string, _ func()) {
			s.network.SetStalled(from, to, true)
			time.Sleep(480 * time.Millisecond)
			for agent := range s.backends {
				s.network.SetStalled(to, agent, true)
			}
		}},
		{"withdrawal late", func(s *testSite, from, to string, leave func()) {
			s.network.SetStalled(from, to, true)
			leave()
			time.Sleep(450 * time.Millisecond)
			s.network.SetStalled(from, to, false)
		}},
		{"dispatching entry slow", func(s *testSite, from, to string, leave func()) {
			s.network.SetStalled(from, to, true)
			for agent := range s.backends {
				s.network.SetStalled(to, agent, true)
			}
			leave()
			time.Sleep(450 * time.Millisecond)
			s.network.SetStalled(from, to, false)
			for agent := range s.backends {
				s.network.SetStalled(to, agent, false)
			}
		}},
		{"caller leaves", func(_ *testSite, _, _ string, leave func()) { leave() }},
		{"withdrawal lost with its connection", func(s *testSite, from, to string, leave func()) {
			s.loseMessages(from, to, from, func() {
				leave()
				time.Sleep(time.Millisecond)
			})
		}},
	} {
		for _, loseStops := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, stops lost %v", c.name, loseStops), func(t *testing.T) {
				for phase := range 10 {
					runSiteInOneRegion(t, 2, 3, func(s *testSite) {
						from, to := s.forwardingEntry()
						ctx, leave := context.WithCancel(s.t.Context())
						defer leave()
						go s.entries[from].Submit(ctx, newJob("job", 4, 8*time.Second))
						time.Sleep(time.Second + time.Duration(17*phase)*time.Millisecond)
						if n := s.liveRunCount(); n != 4 {
							s.t.Fatalf("%d runs in progress, want 4", n)
						}
						for _, b := range s.backends {
							b.loseStops.Store(loseStops)
						}
						began := time.Now()
						c.fail(s, from, to, leave)
						for s.liveRunCount() > 0 && time.Since(began) < 5*time.Second {
							time.Sleep(time.Millisecond)
						}
						if took := time.Since(began); took >= resubmissionDelay {
							s.t.Errorf("runs went on for %v, want less than %v", took, resubmissionDelay)
						}
						s.network.SetStalled(from, to, false)
						for agent := range s.backends {
							s.network.SetStalled(to, agent, false)
						}
					})
				}
			})
		}
	}
}

// Guards against runs that go on when a caller submits its job again, because the entry that took the job receives
// nothing from the one that dispatches it, and stops get lost.
func TestRunsEndBeforeResubmissionAfterOneWaySilence(t *testing.T) {
	for _, loseStops := range []bool{false, true} {
		t.Run(fmt.Sprintf("stops lost %v", loseStops), func(t *testing.T) {
			for phase := range 10 {
				runSite(t, 1, 1, func(s *testSite) {
					o := newFakePeerEntry()
					p := o.dial(s, "first")
					defer p.Close()
					p.Load(inner.EntryLoad{Session: 1})
					p.Forward(newJob("job", 4, 8*time.Second), 1)
					o.exchangeLoads(s, p, 1, true)
					time.Sleep(time.Duration(7*phase) * time.Millisecond)
					latest := <-o.loads
					s.backends["agent-1"].loseStops.Store(loseStops)
					// The origin answers its callers once it has received nothing for connectionTimeout and a tick.
					told := time.Now().Add(500 * time.Millisecond)
					for s.liveRunCount() > 0 && time.Since(told) < 5*time.Second {
						p.Load(inner.EntryLoad{Session: 1, Clock: time.Duration(time.Now().UnixNano()), Echo: latest.Clock})
						time.Sleep(10 * time.Millisecond)
					}
					if took := time.Since(told); took >= resubmissionDelay {
						s.t.Errorf("runs went on for %v, want less than %v", took, resubmissionDelay)
					}
				})
			}
		})
	}
}

// Guards against runs that go on when a caller submits its job again, because the latest load message of the entry that
// took the job was late, and stops get lost.
func TestRunsEndBeforeResubmissionAfterLateLoad(t *testing.T) {
	for _, late := range []time.Duration{100 * time.Millisecond, 250 * time.Millisecond, 400 * time.Millisecond} {
		for phase := range 10 {
			runSite(t, 1, 1, func(s *testSite) {
				o := newFakePeerEntry()
				p := o.dial(s, "first")
				defer p.Close()
				p.Load(inner.EntryLoad{Session: 1})
				p.Forward(newJob("job", 4, 8*time.Second), 1)
				o.exchangeLoads(s, p, 1, true)
				time.Sleep(time.Duration(7*phase) * time.Millisecond)
				latest := <-o.loads
				left := time.Now() // the entry that took the job has just looked whether its caller is there
				l := inner.EntryLoad{Session: 1, Clock: time.Duration(left.UnixNano()), Echo: latest.Clock}
				s.backends["agent-1"].loseStops.Store(true)
				time.Sleep(late)
				p.Load(l)
				for s.liveRunCount() > 0 && time.Since(left) < 5*time.Second {
					time.Sleep(time.Millisecond)
				}
				if took := time.Since(left); took >= resubmissionDelay {
					s.t.Errorf("load %v late, phase %d: runs went on for %v, want less than %v", late, phase, took, resubmissionDelay)
				}
			})
		}
	}
}

// Guards against runs that go on when a caller submits its job again, because the entry that took the job notices late
// that the caller has left, and stops get lost.
func TestRunsEndBeforeResubmissionNoticedLate(t *testing.T) {
	runSite(t, 1, 1, func(s *testSite) {
		ctx, leave := context.WithCancel(s.t.Context())
		defer leave()
		var closed atomic.Bool
		go s.entries["entry-1"].Entry.Submit(ctx, newJob("job", 4, 8*time.Second), func() bool { return !closed.Load() })
		time.Sleep(time.Second)
		s.backends["agent-1"].loseStops.Store(true)
		left := time.Now()
		closed.Store(true)
		time.Sleep(450 * time.Millisecond)
		leave()
		for s.liveRunCount() > 0 && time.Since(left) < 5*time.Second {
			time.Sleep(time.Millisecond)
		}
		if took := time.Since(left); took >= resubmissionDelay {
			s.t.Errorf("runs went on for %v, want less than %v", took, resubmissionDelay)
		}
	})
}

// Guards against forwarded jobs that are stopped although their origin pauses for less time than it takes to be treated
// as lost.
func TestForwardedJobContinuesBesidePausesOfOrigin(t *testing.T) {
	runSite(t, 1, 1, func(s *testSite) {
		o := newFakePeerEntry()
		p := o.dial(s, "first")
		defer p.Close()
		p.Load(inner.EntryLoad{Session: 1})
		p.Forward(newJob("job", 4, time.Minute), 1)
		for i := range 40 {
			clock := time.Duration(time.Now().UnixNano()) // of both entries
			p.Load(inner.EntryLoad{Session: 1, Clock: clock, Echo: clock})
			time.Sleep(time.Duration(340+4*(i%36)) * time.Millisecond)
		}
		b := s.backends["agent-1"]
		b.mu.Lock()
		defer b.mu.Unlock()
		if len(b.running) != 4 || len(b.starts) != 4 {
			s.t.Errorf("%d runs in progress after %d starts, want 4 after 4", len(b.running), len(b.starts))
		}
	})
}

// Guards against runs that go on when a caller submits its job again after its time-out, because it is cut off, so that its
// connection stays open here.
func TestRunsEndBeforeResubmissionAfterTimeout(t *testing.T) {
	for _, forwarded := range []bool{false, true} {
		for _, silent := range []time.Duration{-400 * time.Millisecond, -100 * time.Millisecond, 0} {
			for phase := range 5 {
				runSiteInOneRegion(t, 2, 3, func(s *testSite) {
					from, to := s.forwardingEntry()
					entry := to
					if forwarded {
						entry = from
					}
					j := newJob("job", 4, 8*time.Second)
					j.Timeout = time.Second + time.Duration(17*phase)*time.Millisecond
					timedOut := time.Now().Add(j.Timeout)
					go s.entries[entry].Submit(s.t.Context(), j)
					time.Sleep(time.Until(timedOut) + silent)
					if n := s.liveRunCount(); n != 4 {
						s.t.Fatalf("%d runs in progress, want 4", n)
					}
					for agent, b := range s.backends {
						b.loseStops.Store(true)
						s.network.SetStalled(to, agent, silent < 0)
					}
					for s.liveRunCount() > 0 && time.Since(timedOut) < 5*time.Second {
						time.Sleep(time.Millisecond)
					}
					if took := time.Since(timedOut); took >= resubmissionDelay {
						s.t.Errorf("forwarded %v, silent %v: runs went on for %v after the time-out, want less than %v",
							forwarded, silent, took, resubmissionDelay)
					}
					for agent := range s.backends {
						s.network.SetStalled(to, agent, false)
					}
				})
			}
		}
	}
}

// Guards against runs that go on when a caller submits its job again: the job was forwarded twice, as an earlier caller had
// submitted it to the entry in between, and the limits of the two hops add up.
func TestRunsOfJobForwardedTwiceEndBeforeResubmission(t *testing.T) {
	for phase := range 10 {
		runSite(t, 2, 1, func(s *testSite) { // the agent is in the region of entry-1
			o := newFakePeerEntry()
			p := o.dialTo(s, "entry-2", "first")
			defer p.Close()
			p.Load(inner.EntryLoad{Session: 1})
			ctx, leave := context.WithCancel(s.t.Context())
			go s.entries["entry-2"].Submit(ctx, newJob("job", 4, 8*time.Second))
			time.Sleep(10 * time.Millisecond)
			p.Forward(newJob("job", 4, 8*time.Second), 1)
			keepSession(p, 50*time.Millisecond)
			if n := s.liveRunCount(); n != 4 {
				s.t.Fatalf("%d runs in progress, want 4", n)
			}
			leave()
			keepSession(p, time.Second+time.Duration(11*phase)*time.Millisecond)
			began := time.Now() // the origin is silent, and its caller has left
			s.backends["agent-1"].loseStops.Store(true)
			time.Sleep(450 * time.Millisecond)
			s.network.SetStalled("entry-1", "entry-2", true)
			for s.liveRunCount() > 0 && time.Since(began) < 5*time.Second {
				time.Sleep(time.Millisecond)
			}
			if took := time.Since(began); took >= resubmissionDelay {
				s.t.Errorf("phase %d: runs went on for %v, want less than %v", phase, took, resubmissionDelay)
			}
			s.network.SetStalled("entry-1", "entry-2", false)
		})
	}
}
