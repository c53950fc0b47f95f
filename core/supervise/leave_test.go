package supervise_test

import (
	"testing"
	"time"

	"dogwoodglade/core/supervise"
)

// Guards against starts on a backend server that has left: one of its announcements arrives after its leave notice.
func TestLateAnnouncementAfterLeaveNotice(t *testing.T) {
	for name, servesFor := range map[string]time.Duration{"ended": 0, "ends after 1 s": time.Second} {
		start := time.Unix(1000, 0)
		s, _ := startedRun(t, start)
		s.Leave("i-1")
		s.Announce(start, announcedAs("i-1", 1, 2))
		for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(50 * time.Millisecond) {
			s.ExtendSession("entry-1", now.Add(supervise.SessionLease))
			if h, ok := s.NextHold(now, 0); ok {
				if now.Sub(start) <= servesFor {
					s.HoldAnswered(now, h, supervise.HoldResponse{Incarnation: 1, Clock: time.Minute + now.Sub(start)})
				} else {
					s.HoldRefused(now, h)
				}
			}
			s.Tick(now)
			if r := s.Report(now, "entry-1"); r.Offered || r.ProcessEnded {
				t.Fatalf("%s: after %v: %+v", name, now.Sub(start), r)
			}
		}
	}
}

// Guards against two runs of a task: a run that was there when a leave notice of another process arrived counts as ended
// after its lease, and its backend server goes on.
func TestRunsEndBeforeReturnFromLeave(t *testing.T) {
	start := time.Unix(1000, 0)
	s, call := startedRun(t, start)
	s.StartAnswered(start, call, supervise.Accepted, time.Minute)
	s.Leave("i-1")
	leaseEnd := start.Add(supervise.MaxRunAfterAgentExit)
	var ended, offered bool
	for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(50 * time.Millisecond) {
		s.ExtendSession("entry-1", now.Add(supervise.SessionLease))
		announced := announcedAs("i-1", 1, 2+uint64(now.Sub(start)/time.Second))
		announced.Clock += now.Sub(start)
		s.Announce(now, announced)
		if h, ok := s.NextHold(now, 0); ok {
			response := supervise.HoldResponse{Incarnation: 1, Clock: time.Minute + now.Sub(start)}
			if h.Renew {
				t.Errorf("renewed a lease %v after the leave notice", now.Sub(start))
			}
			if now.Before(leaseEnd) {
				response.Running = []supervise.RunningTask{{Task: call.Task, Number: call.Number}}
			}
			s.HoldAnswered(now, h, response)
		}
		s.Tick(now)
		r := s.Report(now, "entry-1")
		for _, e := range r.Ended {
			ended = true
			if e.End != supervise.Lost || now.Before(leaseEnd) {
				t.Errorf("after %v: %+v", now.Sub(start), e)
			}
		}
		if offered = r.Offered; offered && !ended {
			t.Fatalf("offered after %v, before its run is known to have ended", now.Sub(start))
		}
	}
	if !ended || !offered {
		t.Errorf("run ended: %v, backend server offered: %v", ended, offered)
	}
}
