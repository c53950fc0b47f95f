package supervise_test

import (
	"testing"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/resource"
	"dogwoodglade/core/supervise"
)

// Guards against two runs of a task: while the host is suspended, the clock of the backend server stops and the agent's
// does not, so that a lease from an estimate that counts the suspension lasts too long, and late starts are not refused.
func TestLeaseAfterSuspension(t *testing.T) {
	now := time.Unix(1000, 0)
	s, call := startedRun(t, now)
	clock := time.Minute
	s.StartAnswered(now, call, supervise.Accepted, clock)
	h, _ := s.NextHold(now, 0)
	s.HoldAnswered(now, h, supervise.HoldResponse{
		Incarnation: 1, Clock: clock, Ended: []supervise.TaskEnd{{Sequence: 1, Task: call.Task, Number: 1, End: supervise.Done}},
	})
	start := func(id batch.JobID) time.Duration {
		s.ExtendSession("entry-1", now.Add(supervise.SessionLease))
		x, ok := startCall(s.StartRuns(now, "entry-1", []supervise.Start{{
			RunID:  supervise.RunID{Task: batch.TaskID{Job: id}, Attempt: 1},
			Demand: resource.Amount{Processor: 1000},
		}}))
		if !ok {
			t.Fatalf("run %s was not started", id)
		}
		return x.Until - clock
	}
	now = now.Add(2600 * time.Millisecond) // suspended
	const slack = 100 * time.Millisecond
	if lease := start("2"); lease > supervise.ServerLease+slack {
		t.Errorf("right after the suspension a run was started with a lease of %v", lease)
	}
	s.Tick(now)
	for range 20 {
		now, clock = now.Add(50*time.Millisecond), clock+50*time.Millisecond
		s.ExtendSession("entry-1", now.Add(supervise.SessionLease))
		s.Tick(now)
		if h, _ := s.NextHold(now, 0); h.Until-clock > supervise.ServerLease+slack {
			t.Fatalf("after the suspension the lease was extended to %v from now", h.Until-clock)
		}
	}
}

// Guards against a lead of the estimate that remains after a suspension, because a call that may wait shows only that the
// clock has advanced by less than the wait.
func TestLeadAfterSuspensionIsCorrected(t *testing.T) {
	now := time.Unix(1000, 0)
	s, call := startedRun(t, now)
	clock := time.Minute
	s.StartAnswered(now, call, supervise.Accepted, clock)
	response := supervise.HoldResponse{
		Incarnation: 1, Running: []supervise.RunningTask{{Task: call.Task, Number: call.Number}},
	}
	hold := func() supervise.Hold {
		s.ExtendSession("entry-1", now.Add(supervise.SessionLease))
		h, _ := s.NextHold(now, supervise.HoldWait)
		return h
	}
	answer := func(h supervise.Hold) {
		now, clock = now.Add(h.Wait+time.Millisecond), clock+h.Wait+time.Millisecond
		response.Clock = clock
		s.HoldAnswered(now, h, response)
	}
	answer(hold())
	now = now.Add(3 * time.Second) // suspended
	h := hold()
	if h.Wait != 0 {
		t.Errorf("the first call after a suspension may wait for %v", h.Wait)
	}
	answer(h)
	h = hold()
	if lead := h.Until - clock - supervise.ServerLease; lead > 5*time.Millisecond || h.Wait != supervise.HoldWait {
		t.Errorf("the second call extends the lease by %v too much, and may wait for %v", lead, h.Wait)
	}
}

// Guards against runs that count as ended while they continue: a lease lasts through a suspension of the host.
func TestLeaseOutlastsSuspension(t *testing.T) {
	now := time.Unix(1000, 0)
	s, call := startedRun(t, now)
	s.StartAnswered(now, call, supervise.Accepted, time.Minute)
	h, _ := s.NextHold(now, supervise.HoldWait)
	s.Tick(now)
	now = now.Add(5 * time.Second) // suspended
	s.HoldFailed(now, h)
	s.Tick(now)
	if s.TotalRunCount() != 1 {
		t.Error("the run was given up right after the suspension")
	}
	for end := now.Add(supervise.MaxRunAfterAgentExit + 50*time.Millisecond); now.Before(end); {
		now = now.Add(50 * time.Millisecond)
		s.Tick(now)
	}
	if s.TotalRunCount() != 0 {
		t.Error("the run was not given up when its lease had expired after the suspension")
	}
}

// Guards against runs that count as ended while they continue, because the first event after a suspension is not Tick but
// the announcement of the successor of their backend server, which has left.
func TestLeaseOutlastsSuspensionBeforeAnnouncement(t *testing.T) {
	now := time.Unix(1000, 0)
	s, call := startedRun(t, now)
	s.StartAnswered(now, call, supervise.Accepted, time.Minute)
	s.Leave("i-1")
	s.Tick(now)
	now = now.Add(5 * time.Second) // suspended
	s.Announce(now, announcedAs("i-2", 2, 1))
	s.Tick(now)
	for end := now.Add(supervise.ServerLease); now.Before(end); {
		if s.TotalRunCount() != 1 {
			t.Fatalf("the run was given up %v before its lease ends", end.Sub(now))
		}
		now = now.Add(50 * time.Millisecond)
		s.Tick(now)
	}
	for end := now.Add(supervise.MaxRunAfterAgentExit); now.Before(end); {
		now = now.Add(50 * time.Millisecond)
		s.Tick(now)
	}
	if server, _ := s.Server(); s.TotalRunCount() != 0 || server.ID != "i-2" {
		t.Errorf("%d runs at %s after every lease had ended, want none at i-2", s.TotalRunCount(), server.ID)
	}
}

// Guards against an estimate of the backend server's clock that stays ahead although responses show lower readings.
func TestClockEstimateAheadIsCorrected(t *testing.T) {
	now := time.Unix(1000, 0)
	s, call := startedRun(t, now)
	x := announced(2, 4000)
	x.Clock = time.Minute + 20*time.Second
	s.Announce(now, x)
	s.StartAnswered(now, call, supervise.Accepted, time.Minute)
	if h, _ := s.NextHold(now, 0); h.Until > time.Minute+supervise.ServerLease {
		t.Errorf("the lease was extended to %v although the clock is at 1 min", h.Until)
	}
}

// Guards against starts within a saved capacity that may have shrunk long ago: the announcements do not reach the agent.
func TestRestoredCapacityHasAge(t *testing.T) {
	for _, c := range []struct {
		age     time.Duration
		offered bool
	}{{4 * time.Second, true}, {5 * time.Second, false}} {
		now := time.Unix(1000, 0)
		s := supervise.New(4500 * time.Millisecond)
		s.Restore(now, announced(5, 4000))
		s.Connect(now, "entry-1")
		s.ExtendSession("entry-1", now.Add(time.Second))
		s.SetHome("entry-1")
		list := func() {
			h, _ := s.NextHold(now, 0)
			s.HoldAnswered(now, h, supervise.HoldResponse{Incarnation: 1, Clock: time.Minute + c.age})
		}
		list()
		if got := s.Report(now, "entry-1").Offered; got != c.offered {
			t.Errorf("with a capacity saved %v ago: got offered %v, want %v", c.age, got, c.offered)
		}
		x := announced(6, 4000)
		x.Clock = time.Minute + c.age
		s.Announce(now, x)
		if !s.Report(now, "entry-1").Offered {
			t.Errorf("with a capacity saved %v ago: not offered after an announcement", c.age)
		}
	}
}

// Guards against starts within the capacity of a new backend server whose first announcement was delayed.
func TestDelayedFirstAnnouncement(t *testing.T) {
	now := time.Unix(1000, 0)
	s := supervise.New(4500 * time.Millisecond)
	s.Connect(now, "entry-1")
	s.ExtendSession("entry-1", now.Add(time.Second))
	s.SetHome("entry-1")
	s.Announce(now, announced(1, 4000))
	h, _ := s.NextHold(now, 0)
	s.HoldAnswered(now, h, supervise.HoldResponse{Incarnation: 1, Clock: time.Minute + 5*time.Second})
	if s.Report(now, "entry-1").Offered {
		t.Error("the backend server is offered with a capacity that is 5 s old")
	}
	if ends := endsOf(s, now, "1"); len(ends) != 1 || ends[0].End != supervise.Refused {
		t.Errorf("a run got ends %+v, want a refusal", ends)
	}
}

// Guards against an agent that waits for an announcement after each restart although its backend server refuses what does
// not fit, and against one that keeps to that when the configuration has changed.
func TestRestoredCapacityOfRefusingServer(t *testing.T) {
	now := time.Unix(1000, 0)
	s := supervise.New(4500 * time.Millisecond)
	s.Restore(now, announced(5, 4000))
	s.Connect(now, "entry-1")
	s.ExtendSession("entry-1", now.Add(time.Second))
	s.SetHome("entry-1")
	h, _ := s.NextHold(now, 0)
	s.HoldAnswered(now, h, supervise.HoldResponse{Incarnation: 1, Clock: time.Hour})
	s.SetRefusingPool("entry-2", "p")
	if s.Report(now, "entry-1").Offered {
		t.Error("the backend server is offered on the word of an entry that is not its home")
	}
	s.SetRefusingPool("entry-1", "other")
	if s.Report(now, "entry-1").Offered {
		t.Error("the backend server is offered because those of another pool refuse what does not fit")
	}
	if !reports(s.SetRefusingPool("entry-1", "p"), "entry-1") || !s.Report(now, "entry-1").Offered {
		t.Error("the backend server is not offered although it refuses what does not fit")
	}
	s.SetRefusingPool("entry-1", "")
	if s.Report(now, "entry-1").Offered {
		t.Error("the backend server is still offered after the configuration has changed")
	}
	s.SetRefusingPool("entry-1", "p")
	s.Connect(now, "entry-1")
	s.ExtendSession("entry-1", now.Add(time.Second))
	s.SetHome("entry-1")
	if s.Report(now, "entry-1").Offered {
		t.Error("the backend server is still offered in a later session of its home")
	}
}
