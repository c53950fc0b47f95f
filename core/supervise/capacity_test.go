package supervise_test

import (
	"testing"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/resource"
	"dogwoodglade/core/supervise"
)

// announced returns the announcement of the backend server of startedRun with another capacity.
func announced(sequence uint64, processor int) supervise.Server {
	return supervise.Server{
		ID: "i-1", Pool: "p", Incarnation: 1, Sequence: sequence, Capacity: resource.Amount{Processor: processor},
		Clock: time.Minute,
	}
}

// endsOf starts a run of one core for entry-1 and returns the ends that are reported to it.
func endsOf(s *supervise.Supervisor, now time.Time, id batch.JobID) []supervise.RunEnd {
	s.StartRuns(now, "entry-1", []supervise.Start{{
		RunID:  supervise.RunID{Task: batch.TaskID{Job: id}, Attempt: 1},
		Demand: resource.Amount{Processor: 1000},
	}})
	return s.Report(now, "entry-1").Ended
}

// Guards against a start that is repeated after the capacity has shrunk below what is in use.
func TestRepeatedStartFitsShrunkCapacity(t *testing.T) {
	for _, result := range []supervise.StartResult{
		supervise.Fenced, supervise.Late, supervise.Outdated, supervise.Unanswered,
	} {
		now := time.Unix(1000, 0)
		s, call := startedRun(t, now)
		s.Announce(now, announced(2, 500))
		actions := s.StartAnswered(now, call, result, time.Minute)
		if result == supervise.Unanswered {
			h, _ := s.NextHold(now, 0)
			actions = s.HoldAnswered(now, h, supervise.HoldResponse{Incarnation: 1, Clock: time.Minute})
		}
		if again, ok := startCall(actions); ok {
			t.Errorf("%s: run %d was started on a backend server with half a core", result, again.Number)
		}
		if r := s.Report(now, "entry-1"); len(r.Ended) != 1 || r.Ended[0].End != supervise.Refused {
			t.Errorf("%s: the entry was sent ends %+v, want one refusal", result, r.Ended)
		}
	}
}

// Guards against starts on a shrunk backend server while runs that are being stopped or that got no response use it, and
// against capacity that stays unused after it has grown again.
func TestStartsKeepToAnnouncedCapacity(t *testing.T) {
	for _, c := range []struct {
		name string
		hold func(s *supervise.Supervisor, now time.Time, call supervise.CallStart)
	}{
		{"stopping", func(s *supervise.Supervisor, now time.Time, call supervise.CallStart) {
			s.StartAnswered(now, call, supervise.Accepted, time.Minute)
			s.StopRuns(now, "entry-1", []supervise.RunID{{Task: call.Task, Attempt: 1}})
		}},
		{"unanswered", func(s *supervise.Supervisor, now time.Time, call supervise.CallStart) {
			s.StartAnswered(now, call, supervise.Unanswered, 0)
		}},
		{"of another entry", func(s *supervise.Supervisor, now time.Time, _ supervise.CallStart) {
			s.Connect(now, "entry-2")
			s.ExtendSession("entry-2", now.Add(time.Second))
			s.SetHome("entry-2")
		}},
	} {
		now := time.Unix(1000, 0)
		s, call := startedRun(t, now)
		c.hold(s, now, call)
		s.Announce(now, announced(2, 1500))
		if ends := endsOf(s, now, "2"); len(ends) != 1 || ends[0].Reason != supervise.NoRoom.String() {
			t.Errorf("%s: a second run on one and a half cores got ends %+v, want a refusal", c.name, ends)
		}
		s.Announce(now, announced(1, 4000))
		if ends := endsOf(s, now, "3"); len(ends) != 1 || ends[0].Reason != supervise.NoRoom.String() {
			t.Errorf("%s: a delayed announcement was used: got ends %+v", c.name, ends)
		}
		reported := false
		for _, a := range s.Announce(now, announced(3, 4000)) {
			r, ok := a.(supervise.SendReport)
			reported = reported || ok && r.Entry == "entry-1"
		}
		if !reported {
			t.Errorf("%s: the capacity grew without a report to the entry", c.name)
		}
		if ends := endsOf(s, now, "4"); len(ends) > 0 {
			t.Errorf("%s: after the capacity had grown a run got ends %+v", c.name, ends)
		}
	}
}

// Guards against starts within the capacity of an earlier process of the backend server, which the next one need not have.
func TestRestartedServerGetsNoStartsBeforeItsAnnouncement(t *testing.T) {
	now := time.Unix(1000, 0)
	s, call := startedRun(t, now)
	s.StartAnswered(now, call, supervise.Accepted, time.Minute)
	for range 3 {
		h, _ := s.NextHold(now, 0)
		s.HoldAnswered(now, h, supervise.HoldResponse{Incarnation: 2, Clock: time.Second})
	}
	s.Report(now, "entry-1")
	if ends := endsOf(s, now, "2"); len(ends) != 1 || ends[0].End != supervise.Refused {
		t.Errorf("a run got ends %+v before the capacity was announced, want a refusal", ends)
	}
}

// Guards against a delayed announcement that replaces the newer state which an earlier agent has saved.
func TestRestoredCapacityIsNotReplacedByOlderAnnouncement(t *testing.T) {
	now := time.Unix(1000, 0)
	s := supervise.New(0)
	s.Restore(now, announced(5, 1000))
	s.Announce(now, announced(4, 4000))
	if got, _ := s.Server(); got.Capacity.Processor != 1000 {
		t.Errorf("got a capacity of %v from the older announcement", got.Capacity)
	}
}

// Guards against starts beyond a capacity that has shrunk while announcements do not arrive, or arrive late.
func TestNoStartsOnOutdatedCapacity(t *testing.T) {
	const maxAge = 4500 * time.Millisecond
	for _, delay := range []time.Duration{0, 2 * time.Second} {
		now := time.Unix(1000, 0)
		clock := time.Minute
		s := supervise.New(maxAge)
		advance := func(d time.Duration) {
			now, clock = now.Add(d), clock+d
			s.ExtendSession("entry-1", now.Add(time.Second))
			h, _ := s.NextHold(now, 0)
			s.HoldAnswered(now, h, supervise.HoldResponse{Incarnation: 1, Clock: clock})
		}
		announce := func(sequence uint64, at time.Duration) []supervise.Action {
			x := announced(sequence, 4000)
			x.Clock = at
			return s.Announce(now, x)
		}
		announce(1, clock)
		s.Connect(now, "entry-1")
		s.SetHome("entry-1")
		advance(0)
		advance(10 * time.Second)
		announce(2, clock-delay)
		advance(maxAge - delay - 300*time.Millisecond)
		if ends := endsOf(s, now, "1"); len(ends) > 0 || !s.Report(now, "entry-1").Offered {
			t.Errorf("delay %v: a run got ends %+v before the capacity was outdated", delay, ends)
		}
		advance(300 * time.Millisecond)
		if ends := endsOf(s, now, "2"); len(ends) != 1 || ends[0].End != supervise.Refused {
			t.Errorf("delay %v: a run got ends %+v with an outdated capacity, want a refusal", delay, ends)
		}
		if s.Report(now, "entry-1").Offered {
			t.Errorf("delay %v: the backend server is offered with an outdated capacity", delay)
		}
		if !reports(announce(3, clock), "entry-1") || !s.Report(now, "entry-1").Offered {
			t.Errorf("delay %v: the backend server is not offered after its announcement", delay)
		}
		if ends := endsOf(s, now, "3"); len(ends) > 0 {
			t.Errorf("delay %v: a run got ends %+v after the announcement", delay, ends)
		}
	}
}

// Guards against a start that is repeated with an outdated capacity.
func TestNoRepeatedStartOnOutdatedCapacity(t *testing.T) {
	now := time.Unix(1000, 0)
	s, call := startedRun(t, now)
	now = now.Add(5 * time.Second)
	s.ExtendSession("entry-1", now.Add(time.Second))
	if again, ok := startCall(s.StartAnswered(now, call, supervise.Late, time.Minute+5*time.Second)); ok {
		t.Errorf("run %d was started with an outdated capacity", again.Number)
	}
}

func reports(actions []supervise.Action, entry string) bool {
	for _, a := range actions {
		if r, ok := a.(supervise.SendReport); ok && r.Entry == entry {
			return true
		}
	}
	return false
}
