package supervise_test

import (
	"testing"
	"time"

	"dogwoodglade/core/supervise"
)

// Guards against runs that are reported late because starts that wait for others extend the leases of a backend server
// that does not respond.
func TestUnsentStartExtendsNoLease(t *testing.T) {
	now := time.Unix(1000, 0)
	s, call := startedRun(t, now)
	h, _ := s.NextHold(now, 0)
	s.HoldFailed(now, h)
	end := now.Add(supervise.MaxRunAfterAgentExit + 50*time.Millisecond)
	for repeats := 0; now.Before(end); repeats++ {
		now = now.Add(50 * time.Millisecond)
		s.ExtendSession("entry-1", now.Add(supervise.SessionLease))
		if repeats < 5 {
			var ok bool
			if call, ok = startCall(s.StartAnswered(now, call, supervise.Unsent, 0)); !ok {
				t.Fatalf("the start was not repeated after it was not sent %d times", repeats+1)
			}
		}
		s.Tick(now)
	}
	if s.TotalRunCount() != 0 {
		t.Error("the run was not given up when the lease of the only start had expired")
	}
}

// Guards against starts on a backend server that does not respond, which would extend its leases.
func TestUnsentStartIsNotRepeatedAtSilentServer(t *testing.T) {
	now := time.Unix(1000, 0)
	s, call := startedRun(t, now)
	for range 2 {
		h, _ := s.NextHold(now, 0)
		s.HoldFailed(now, h)
	}
	if _, ok := s.SendStart(now, call); ok {
		t.Error("the start is sent to a silent backend server")
	}
	if _, ok := startCall(s.StartAnswered(now, call, supervise.Unsent, 0)); ok {
		t.Error("the start is repeated at a silent backend server")
	}
	if ended := s.Report(now, "entry-1").Ended; len(ended) != 1 || ended[0].End != supervise.Refused {
		t.Errorf("got ends %+v, want a refusal", ended)
	}
}

// Guards against a start that is sent after it has waited for others, although its run is no longer wanted.
func TestUnwantedStartIsNotSent(t *testing.T) {
	for name, x := range map[string]struct {
		event func(s *supervise.Supervisor, now time.Time, c supervise.CallStart)
		sent  bool
	}{
		"wanted": {func(*supervise.Supervisor, time.Time, supervise.CallStart) {}, true},
		"stopped": {func(s *supervise.Supervisor, now time.Time, c supervise.CallStart) {
			s.StopRuns(now, "entry-1", []supervise.RunID{{Task: c.Task, Attempt: 1}})
		}, false},
		"session ended": {func(s *supervise.Supervisor, now time.Time, _ supervise.CallStart) {
			s.Disconnect(now, "entry-1")
		}, false},
		"evacuated": {func(s *supervise.Supervisor, _ time.Time, _ supervise.CallStart) { s.SetEvacuated(true) }, false},
		"left":      {func(s *supervise.Supervisor, _ time.Time, _ supervise.CallStart) { s.Leave("i-1") }, false},
		"restarted": {func(s *supervise.Supervisor, now time.Time, _ supervise.CallStart) {
			h, _ := s.NextHold(now, 0)
			s.HoldAnswered(now, h, supervise.HoldResponse{Incarnation: 2})
		}, false},
		"repeated": {func(s *supervise.Supervisor, now time.Time, c supervise.CallStart) {
			s.StartAnswered(now, c, supervise.Fenced, 0)
		}, false},
	} {
		now := time.Unix(1000, 0)
		s, call := startedRun(t, now)
		x.event(s, now, call)
		if _, sent := s.SendStart(now.Add(10*time.Millisecond), call); sent != x.sent {
			t.Errorf("%s: the start is sent: %v, want %v", name, sent, x.sent)
		}
	}
}
