package supervise_test

import (
	"testing"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/resource"
	"dogwoodglade/core/supervise"
)

// startCall returns the first call that starts a run among the actions.
func startCall(actions []supervise.Action) (c supervise.CallStart, ok bool) {
	for _, a := range actions {
		if x, is := a.(supervise.CallStart); is {
			return x, true
		}
	}
	return c, false
}

// startedRun returns a supervisor that has a session of an entry and a backend server, and the call that starts a run of
// that entry there.
func startedRun(t *testing.T, now time.Time) (*supervise.Supervisor, supervise.CallStart) {
	t.Helper()
	s := supervise.New(4500 * time.Millisecond)
	s.Announce(now, supervise.Server{
		ID: "i-1", Pool: "p", Incarnation: 1, Sequence: 1, Capacity: resource.Amount{Processor: 4000}, Clock: time.Minute,
	})
	h, _ := s.NextHold(now, supervise.HoldWait)
	s.HoldAnswered(now, h, supervise.HoldResponse{Incarnation: 1, Clock: time.Minute})
	s.Connect(now, "entry-1")
	s.ExtendSession("entry-1", now.Add(time.Second))
	s.SetHome("entry-1")
	call, ok := startCall(s.StartRuns(now, "entry-1", []supervise.Start{{
		RunID:  supervise.RunID{Task: batch.TaskID{Job: "1"}, Attempt: 1},
		Demand: resource.Amount{Processor: 1000},
	}}))
	if !ok {
		t.Fatal("the supervisor did not start the run")
	}
	return s, call
}

// Guards against runs that are never given up because the agent keeps trying to renew the lease of a backend server that
// has lost power, and against runs that are given up because their backend server was silent for a shorter time than
// its lease.
func TestSilentServer(t *testing.T) {
	const (
		callTimeout  = 200 * time.Millisecond
		tickInterval = 50 * time.Millisecond // a longer one would count as a suspension of the host
	)
	for _, c := range []struct {
		silence time.Duration
		lost    bool
	}{
		{350 * time.Millisecond, false},
		{5 * time.Second, true},
	} {
		start := time.Unix(1000, 0)
		s, call := startedRun(t, start)
		s.StartAnswered(start, call, supervise.Accepted, time.Minute)
		silentFrom := start.Add(300 * time.Millisecond)
		leaseEnd := time.Minute + supervise.ServerLease
		var lostAfter time.Duration
		tickAfter := func(now time.Time) {
			for d := tickInterval; d <= callTimeout; d += tickInterval {
				s.Tick(now.Add(d))
			}
		}
		for now := start; now.Before(silentFrom.Add(c.silence + time.Second)); now = now.Add(callTimeout) {
			s.ExtendSession("entry-1", now.Add(supervise.SessionLease))
			h, _ := s.NextHold(now, supervise.HoldWait)
			clock := time.Minute + now.Sub(start)
			if silent := !now.Before(silentFrom) && now.Before(silentFrom.Add(c.silence)); silent {
				tickAfter(now)
				s.HoldFailed(now.Add(callTimeout), h)
			} else {
				response := supervise.HoldResponse{Incarnation: 1, Clock: clock}
				if clock <= leaseEnd {
					response.Running = []supervise.RunningTask{{Task: call.Task, Number: call.Number}}
				}
				if h.Renew {
					leaseEnd = max(leaseEnd, h.Until)
				}
				s.HoldAnswered(now, h, response)
				tickAfter(now)
			}
			s.Tick(now.Add(callTimeout))
			for _, e := range s.Report(now.Add(callTimeout), "entry-1").Ended {
				if e.End != supervise.Lost {
					t.Errorf("silent for %v: the run ended as %s", c.silence, e.End)
				}
				lostAfter = now.Add(callTimeout).Sub(silentFrom)
			}
		}
		switch {
		case !c.lost && lostAfter > 0:
			t.Errorf("silent for %v: the run was given up after %v", c.silence, lostAfter)
		// Two calls without a response, then the lease of the second one.
		case c.lost && (lostAfter < supervise.ServerLease || lostAfter > 2*callTimeout+supervise.MaxRunAfterAgentExit+callTimeout):
			t.Errorf("silent for %v: the run was given up after %v", c.silence, lostAfter)
		}
	}
}

// Guards against a task that has to wait for its entry to start it again after a start got no response from the
// backend server. Once the unanswered start is fenced, the agent knows whether it was carried out, and repeats it at
// once if not.
func TestUnansweredStartIsRepeated(t *testing.T) {
	now := time.Unix(1000, 0)
	s, first := startedRun(t, now)
	id := supervise.RunID{Task: first.Task, Attempt: 1}
	var h supervise.Hold
	var held bool
	for _, a := range s.StartAnswered(now.Add(60*time.Millisecond), first, supervise.Unanswered, 0) {
		if x, is := a.(supervise.CallHold); is {
			h, held = x.Hold, true
		}
	}
	if !held || h.Token <= first.Token {
		t.Fatalf("the unanswered start was not fenced: got token %d after %d", h.Token, first.Token)
	}
	again, ok := startCall(s.HoldAnswered(now.Add(61*time.Millisecond), h, supervise.HoldResponse{
		Incarnation: 1, Clock: time.Minute + 61*time.Millisecond,
	}))
	if !ok || again.Token < h.Token || again.Task != id.Task {
		t.Fatalf("got %+v, %v, want a repeated start with the new token", again, ok)
	}
	if r := s.Report(now.Add(62*time.Millisecond), "entry-1"); len(r.Ended) > 0 {
		t.Errorf("the entry was sent ends %+v, want none", r.Ended)
	}
}
