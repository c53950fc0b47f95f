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
