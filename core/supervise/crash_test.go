package supervise_test

import (
	"testing"
	"time"

	"dogwoodglade/core/resource"
	"dogwoodglade/core/supervise"
)

// Guards against a crash of the backend server that is taken for silence, so that the task that causes it is started
// without end, and against silence or a planned exit that is taken for a crash.
func TestCrashDiffersFromSilence(t *testing.T) {
	successor := supervise.Server{
		ID: "i-2", Pool: "p", Incarnation: 2, Sequence: 1, Capacity: resource.Amount{Processor: 4000}, Clock: time.Second,
	}
	restarted, leaving := successor, successor
	restarted.ID = "i-1"
	leaving.ID, leaving.Incarnation, leaving.Sequence, leaving.Leaving = "i-1", 1, 2, true
	for _, c := range []struct {
		name     string
		before   func(s *supervise.Supervisor, now time.Time)
		hold     func(s *supervise.Supervisor, now time.Time, h supervise.Hold)
		announce *supervise.Server // after 300 ms
		want     supervise.End
		atOnce   bool // without waiting for the end of the lease
	}{
		{name: "silent", want: supervise.Lost},
		{name: "nothing listens", hold: holdRefused, want: supervise.Crashed},
		{name: "another server responds", hold: holdMisdirected, want: supervise.Crashed},
		{name: "replaced", announce: &successor, want: supervise.Crashed, atOnce: true},
		{name: "restarted", announce: &restarted, want: supervise.Crashed, atOnce: true},
		{name: "left", before: func(s *supervise.Supervisor, _ time.Time) { s.Leave("i-1") }, hold: holdRefused, want: supervise.Lost},
		{
			name: "replaced while leaving", announce: &successor, want: supervise.Lost, atOnce: true,
			before: func(s *supervise.Supervisor, now time.Time) { s.Announce(now, leaving) },
		},
	} {
		start := time.Unix(1000, 0)
		s, call := startedRun(t, start)
		s.StartAnswered(start, call, supervise.Accepted, time.Minute)
		if c.before != nil {
			c.before(s, start)
		}
		var ends []supervise.RunEnd
		var endedAfter time.Duration
		for age := time.Duration(0); age < 2*time.Second && len(ends) == 0; age += 50 * time.Millisecond {
			now := start.Add(age)
			s.ExtendSession("entry-1", now.Add(supervise.SessionLease))
			if c.announce != nil && age == 300*time.Millisecond {
				s.Announce(now, *c.announce)
			}
			if h, ok := s.NextHold(now, supervise.HoldWait); ok {
				switch {
				case c.announce != nil && age >= 300*time.Millisecond:
					s.HoldAnswered(now, h, supervise.HoldResponse{Incarnation: 2, Clock: time.Second})
				case c.hold != nil:
					c.hold(s, now, h)
				default:
					s.HoldFailed(now, h)
				}
			}
			s.Tick(now)
			ends, endedAfter = s.Report(now, "entry-1").Ended, age
		}
		if len(ends) != 1 || ends[0].End != c.want || ends[0].Unconfirmed {
			t.Errorf("%s: got %+v, want %s", c.name, ends, c.want)
		}
		if !c.atOnce && endedAfter < supervise.ServerLease {
			t.Errorf("%s: reported after %v, before the lease had expired", c.name, endedAfter)
		}
	}
}

func holdRefused(s *supervise.Supervisor, now time.Time, h supervise.Hold) { s.HoldRefused(now, h) }

func holdMisdirected(s *supervise.Supervisor, now time.Time, h supervise.Hold) {
	s.HoldMisdirected(now, h)
}

// Guards against starts that are blamed for a crash although they never reached the backend server.
func TestStartAtEndedServerIsRefused(t *testing.T) {
	now := time.Unix(1000, 0)
	s, call := startedRun(t, now)
	s.StartAnswered(now, call, supervise.NotListening, 0)
	r := s.Report(now, "entry-1")
	if len(r.Ended) != 1 || r.Ended[0].End != supervise.Refused || r.Offered {
		t.Errorf("got %+v, want a refused start and no offer", r)
	}
}

// Guards against a crash that is blamed on a task that did not run any more, or not yet: its run had ended while the
// responses of the backend server were lost, or its start waited to be carried out.
func TestCrashAfterUnlistedEndIsUncertain(t *testing.T) {
	const step = 10 * time.Millisecond
	restarted := supervise.HoldResponse{Incarnation: 2, Clock: time.Second}
	for name, c := range map[string]struct {
		start      supervise.StartResult
		answeredIn time.Duration
		lost       int  // calls that get no response before the one that is cut off by the crash
		cut        bool // a call is cut off
		frozen     time.Duration
		restart    bool // under the same ID
		uncertain  bool
	}{
		"listed until the crash":              {start: supervise.Accepted, cut: true},
		"listed until the restart":            {start: supervise.Accepted, cut: true, restart: true},
		"responses lost":                      {start: supervise.Accepted, lost: 2, cut: true, uncertain: true},
		"responses lost before the restart":   {start: supervise.Accepted, lost: 1, cut: true, restart: true, uncertain: true},
		"agent frozen during the crash":       {start: supervise.Accepted, frozen: time.Second, uncertain: true},
		"start cut off":                       {start: supervise.Unanswered, cut: true},
		"start held up and cut off":           {start: supervise.Unanswered, answeredIn: 30 * time.Millisecond, cut: true, uncertain: true},
		"start timed out":                     {start: supervise.Unanswered, answeredIn: 60 * time.Millisecond, cut: true, uncertain: true},
		"start cut off long before the crash": {start: supervise.Unanswered, frozen: time.Second, uncertain: true},
	} {
		now := time.Unix(1000, 0)
		s, call := startedRun(t, now)
		now = now.Add(c.answeredIn)
		s.StartAnswered(now, call, c.start, 0)
		for range c.lost {
			h, _ := s.NextHold(now, supervise.HoldWait)
			now = now.Add(200 * time.Millisecond)
			s.ExtendSession("entry-1", now.Add(supervise.SessionLease))
			s.HoldFailed(now, h)
		}
		if c.cut {
			h, _ := s.NextHold(now, supervise.HoldWait)
			now = now.Add(step)
			s.HoldFailed(now, h)
		}
		now = now.Add(4*step + c.frozen)
		for range 200 {
			s.ExtendSession("entry-1", now.Add(supervise.SessionLease))
			if h, _ := s.NextHold(now, supervise.HoldWait); c.restart {
				s.HoldAnswered(now, h, restarted)
			} else {
				s.HoldRefused(now, h)
			}
			now = now.Add(step)
			s.Tick(now)
			if ends := s.Report(now, "entry-1").Ended; len(ends) > 0 {
				if len(ends) != 1 || ends[0].End != supervise.Crashed || ends[0].Uncertain != c.uncertain {
					t.Errorf("%s: got %+v, want a crash, uncertain: %v", name, ends, c.uncertain)
				}
				break
			}
		}
		if s.TotalRunCount() > 0 {
			t.Errorf("%s: the run has not been reported", name)
		}
	}
}
