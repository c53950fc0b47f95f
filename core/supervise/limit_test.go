package supervise_test

import (
	"testing"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/resource"
	"dogwoodglade/core/supervise"
)

// Guards against a run that goes on beside a resubmission: the entry that its job came from has been lost, and the entry
// that dispatched it keeps its session but stops nothing.
func TestRunEndsAtItsLimit(t *testing.T) {
	start := time.Unix(1000, 0)
	limit := start.Add(200 * time.Millisecond)
	for _, stopped := range []bool{false, true} {
		s, call := startedRun(t, start)
		s.StartAnswered(start, call, supervise.Accepted, time.Minute)
		limits := map[batch.JobID]time.Duration{call.Task.Job: time.Duration(limit.UnixNano())}
		s.LimitRuns("entry-1", limits)
		if stopped {
			s.StopRuns(start, "entry-1", []supervise.RunID{runIDOf(call)})
			limits = nil // the entry no longer has the job
		}
		stops := 0
		for now := start; now.Before(start.Add(time.Second)); now = now.Add(10 * time.Millisecond) {
			s.ExtendSession("entry-1", now.Add(supervise.SessionLease))
			s.LimitRuns("entry-1", limits)
			if h, _ := s.NextHold(now, 0); h.Renew == now.After(limit) {
				t.Fatalf("stopped %v: lease renewed %v at %v", stopped, h.Renew, now.Sub(start))
			}
			_, actions := s.Tick(now)
			for _, a := range actions {
				if _, ok := a.(supervise.CallStop); ok {
					stops++
				}
			}
		}
		if stops == 0 {
			t.Errorf("stopped %v: the run was not stopped at its limit", stopped)
		}
	}
}

// Guards against a run that is stopped although the entry has extended its limit, or no longer sets one.
func TestLimitOfRunIsExtended(t *testing.T) {
	start := time.Unix(1000, 0)
	s, call := startedRun(t, start)
	s.StartAnswered(start, call, supervise.Accepted, time.Minute)
	for now := start; now.Before(start.Add(2 * time.Second)); now = now.Add(10 * time.Millisecond) {
		s.ExtendSession("entry-1", now.Add(supervise.SessionLease))
		limits := map[batch.JobID]time.Duration{call.Task.Job: time.Duration(now.Add(20 * time.Millisecond).UnixNano())}
		if now.Sub(start) > time.Second {
			limits = nil
		}
		s.LimitRuns("entry-1", limits)
		h, _ := s.NextHold(now, 0)
		if _, actions := s.Tick(now); !h.Renew || len(actions) > 0 {
			t.Fatalf("%v after the start: lease renewed %v, %d actions", now.Sub(start), h.Renew, len(actions))
		}
	}
}

// Guards against a start that arrives when its run may no longer continue.
func TestLateStartPastItsLimitRefused(t *testing.T) {
	now := time.Unix(1000, 0)
	s, call := startedRun(t, now)
	s.StartAnswered(now, call, supervise.Accepted, time.Minute)
	actions := s.StartRuns(now, "entry-1", []supervise.Start{{
		RunID: supervise.RunID{Task: batch.TaskID{Job: "late"}, Attempt: 1}, Demand: resource.Amount{Processor: 1000},
		Until: time.Duration(now.Add(-time.Millisecond).UnixNano()),
	}})
	if _, started := startCall(actions); started {
		t.Error("the run was started after its limit")
	}
	if ended := s.Report(now, "entry-1").Ended; len(ended) != 1 || ended[0].End != supervise.Refused {
		t.Errorf("got the ends %v, want one refusal", ended)
	}
}

// Guards against a run that goes on beside a resubmission: its stop arrives late, with keep-alives that extend the
// session, and the stops of the agent are lost.
func TestStoppedRunIsNotExtendedWithSession(t *testing.T) {
	start := time.Unix(1000, 0)
	s, call := startedRun(t, start)
	s.StartAnswered(start, call, supervise.Accepted, time.Minute)
	sessionEnd := start.Add(time.Second)
	s.ExtendSession("entry-1", sessionEnd)
	stopped := sessionEnd.Add(-10 * time.Millisecond)
	s.StopRuns(stopped, "entry-1", []supervise.RunID{runIDOf(call)})
	s.ExtendSession("entry-1", stopped.Add(supervise.SessionLease))
	if h, _ := s.NextHold(stopped, 0); !h.Renew {
		t.Error("the lease is not renewed although the run may still be stopped in time")
	}
	if h, _ := s.NextHold(sessionEnd.Add(time.Millisecond), 0); h.Renew {
		t.Error("the lease is renewed beside a run that might continue only until the session as of its stop ended")
	}
}

// Guards against a run that outlives its limit by a whole lease when no stop reaches the backend server.
func TestLeaseEndsSoonAfterLimitOfRun(t *testing.T) {
	const most = 250 * time.Millisecond
	start := time.Unix(1000, 0)
	for _, step := range []time.Duration{10 * time.Millisecond, 70 * time.Millisecond, 130 * time.Millisecond} {
		s, call := startedRun(t, start)
		s.StartAnswered(start, call, supervise.Accepted, time.Minute)
		limit := start.Add(800 * time.Millisecond)
		limits := map[batch.JobID]time.Duration{call.Task.Job: time.Duration(limit.UnixNano())}
		leaseEnd := call.Until
		for now := start; now.Before(start.Add(2 * time.Second)); now = now.Add(step) {
			s.ExtendSession("entry-1", now.Add(supervise.SessionLease))
			s.LimitRuns("entry-1", limits)
			h, _ := s.NextHold(now, 0)
			if h.Renew {
				leaseEnd = max(leaseEnd, h.Until)
			}
			clock := time.Minute + now.Sub(start)
			running := []supervise.RunningTask{{Task: call.Task, Number: call.Number}}
			s.HoldAnswered(now, h, supervise.HoldResponse{Incarnation: 1, Clock: clock, Running: running})
			_, actions := s.Tick(now)
			for _, a := range actions {
				if c, ok := a.(supervise.CallStop); ok {
					s.StopAnswered(now, c, false, 0)
				}
			}
		}
		if got := leaseEnd - time.Minute - limit.Sub(start); got > most {
			t.Errorf("a call every %v: the lease ends %v after the limit of the run, want at most %v", step, got, most)
		}
	}
}

// Guards against a run that outlives its limit because the backend server has a longer lease for the runs of others.
func TestStartRefusedBesideLongerLease(t *testing.T) {
	now := time.Unix(1000, 0)
	s, call := startedRun(t, now)
	s.StartAnswered(now, call, supervise.Accepted, time.Minute)
	for _, c := range []struct {
		limit    time.Duration
		accepted bool
	}{{100 * time.Millisecond, false}, {400 * time.Millisecond, true}} {
		actions := s.StartRuns(now, "entry-1", []supervise.Start{{
			RunID:  supervise.RunID{Task: batch.TaskID{Job: batch.JobID(c.limit.String())}, Attempt: 1},
			Demand: resource.Amount{Processor: 1000}, Until: time.Duration(now.Add(c.limit).UnixNano()),
		}})
		if _, started := startCall(actions); started != c.accepted {
			t.Errorf("a run with a limit in %v: started %v, want %v", c.limit, started, c.accepted)
		}
	}
}
