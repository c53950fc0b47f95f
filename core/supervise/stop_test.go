package supervise_test

import (
	"testing"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/resource"
	"dogwoodglade/core/supervise"
)

// resubmissionDelay is how long a caller waits before it submits a job again.
const resubmissionDelay = 1300 * time.Millisecond

// Guards against a run that goes on after its job was cancelled because every stop is lost, while other calls to the
// backend server extend its lease. A resubmission would run beside it.
func TestLeaseEndsBesideRunThatDoesNotStop(t *testing.T) {
	start := time.Unix(1000, 0)
	s, call := startedRun(t, start)
	s.StartAnswered(start, call, supervise.Accepted, time.Minute)
	s.StopRuns(start, "entry-1", []supervise.RunID{runIDOf(call)})
	const step = 20 * time.Millisecond
	clockAt := func(now time.Time) time.Duration { return time.Minute + now.Sub(start) }
	var leaseEnd time.Duration
	stops, attempts := 0, 0
	for now := start; now.Before(start.Add(3 * time.Second)); now = now.Add(step) {
		s.ExtendSession("entry-1", now.Add(supervise.SessionLease))
		h, _ := s.NextHold(now, 0)
		if h.Renew {
			leaseEnd = max(leaseEnd, h.Until)
		}
		s.HoldAnswered(now, h, supervise.HoldResponse{
			Incarnation: 1, Clock: clockAt(now),
			Running: []supervise.RunningTask{{Task: call.Task, Number: call.Number}},
		})
		for _, id := range []batch.JobID{"2", "3"} {
			x := supervise.Start{
				RunID:  supervise.RunID{Task: batch.TaskID{Job: id}, Attempt: attempts},
				Demand: resource.Amount{Processor: 1000},
			}
			if c, ok := startCall(s.StartRuns(now, "entry-1", []supervise.Start{x})); ok {
				leaseEnd = max(leaseEnd, c.Until)
				s.StartAnswered(now, c, supervise.Unacceptable, 0)
			}
			attempts++
		}
		_, actions := s.Tick(now)
		for _, a := range actions {
			if c, ok := a.(supervise.CallStop); ok {
				stops++
				s.StopAnswered(now, c, false, 0)
			}
		}
	}
	if got := leaseEnd - time.Minute; got > resubmissionDelay-100*time.Millisecond {
		t.Errorf("the lease ends %v after the stop, a resubmission begins after %v", got, resubmissionDelay)
	}
	if stops < 20 {
		t.Errorf("the stop was repeated %d times in 3 s", stops)
	}
}

// Guards against a backend server that stays unused after a run that was hard to stop has ended, and against one that
// loses its lease although the run stops soon.
func TestServerOfferedAfterSlowStop(t *testing.T) {
	for _, c := range []struct {
		stopTime time.Duration
		offered  bool
	}{{200 * time.Millisecond, true}, {900 * time.Millisecond, false}} {
		now := time.Unix(1000, 0)
		s, call := startedRun(t, now)
		s.StartAnswered(now, call, supervise.Accepted, time.Minute)
		s.StopRuns(now, "entry-1", []supervise.RunID{runIDOf(call)})
		now = now.Add(c.stopTime)
		s.ExtendSession("entry-1", now.Add(supervise.SessionLease))
		if got := s.Report(now, "entry-1").Offered; got != c.offered {
			t.Errorf("a run has been stopping for %v: offered %v, want %v", c.stopTime, got, c.offered)
		}
		h, _ := s.NextHold(now, 0)
		if h.Renew != c.offered {
			t.Errorf("a run has been stopping for %v: lease renewed %v, want %v", c.stopTime, h.Renew, c.offered)
		}
		actions := s.HoldAnswered(now, h, supervise.HoldResponse{
			Incarnation: 1, Clock: time.Minute + c.stopTime,
			Ended: []supervise.TaskEnd{{Sequence: 1, Task: call.Task, Number: call.Number, End: supervise.Stopped}},
		})
		if !reports(actions, "entry-1") || !s.Report(now, "entry-1").Offered {
			t.Errorf("after a run that stopped for %v has ended, the backend server is not offered", c.stopTime)
		}
	}
}

func runIDOf(c supervise.CallStart) supervise.RunID { return supervise.RunID{Task: c.Task, Attempt: 1} }
