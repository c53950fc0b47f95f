package supervise_test

import (
	"math"
	"testing"
	"time"

	"dogwoodglade/core/resource"
	"dogwoodglade/core/supervise"
)

func announcedAs(id string, incarnation int64, sequence uint64) supervise.Server {
	return supervise.Server{
		ID: id, Pool: "p", Incarnation: incarnation, Sequence: sequence, Capacity: resource.Amount{Processor: 4000},
		Clock: time.Minute,
	}
}

// Guards against runs that are reported as lost while they continue, because another writer announced a backend server
// that does not exist.
func TestForeignAnnouncementEndsNoRun(t *testing.T) {
	now := time.Unix(1000, 0)
	s, call := startedRun(t, now)
	s.StartAnswered(now, call, supervise.Accepted, time.Minute)
	for _, odd := range []supervise.Server{announcedAs("odd", 2, 1), announcedAs("odd", math.MaxInt64, 1), announcedAs("i-1", 2, 1)} {
		s.Announce(now, odd)
		h, _ := s.NextHold(now.Add(time.Millisecond), supervise.HoldWait)
		now = now.Add(10 * time.Millisecond)
		s.HoldAnswered(now, h, supervise.HoldResponse{
			Incarnation: 1, Clock: time.Minute,
			Running: []supervise.RunningTask{{Task: call.Task, Number: call.Number}},
		})
		server, _ := s.Server()
		if r := s.Report(now, "entry-1"); len(r.Ended) > 0 || !r.Offered || server.ID != "i-1" || server.Incarnation != 1 {
			t.Errorf("after %+v: got %+v of %+v", odd, r, server)
		}
	}
}

// Guards against announcements of the backend server that are ignored for ever, or a clock that is far ahead, after
// another writer announced something under its ID.
func TestForeignAnnouncementUnderSameID(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, change := range map[string]func(x *supervise.Server){
		"Pool":     func(x *supervise.Server) { x.Pool = "odd" },
		"Sequence": func(x *supervise.Server) { x.Sequence = math.MaxUint64 },
		"Clock":    func(x *supervise.Server) { x.Clock = 1e6 * time.Hour },
	} {
		s, _ := startedRun(t, now)
		odd := announcedAs("i-1", 1, 2)
		change(&odd)
		s.Announce(now, odd)
		leaving := announcedAs("i-1", 1, 2)
		leaving.Leaving = true
		s.Announce(now, leaving)
		if got, _ := s.Server(); !got.Leaving || got.Pool != "p" {
			t.Errorf("%s: got %+v, want the announcement after it", name, got)
		}
		if h, _ := s.NextHold(now, 0); h.Until > 2*time.Minute {
			t.Errorf("%s: the lease ends at %v", name, h.Until)
		}
	}
}

// Guards against a backend server that is never used because another writer announced one of a later incarnation before
// it.
func TestServerIsUsedAfterForeignAnnouncement(t *testing.T) {
	for _, id := range []string{"odd", "i-1"} {
		now := time.Unix(1000, 0)
		s := supervise.New(0)
		s.Announce(now, announcedAs(id, math.MaxInt64, 7))
		h, _ := s.NextHold(now.Add(time.Millisecond), 0)
		if id == "i-1" {
			s.HoldAnswered(now.Add(2*time.Millisecond), h, supervise.HoldResponse{Incarnation: 1, Clock: time.Minute})
		} else {
			s.HoldMisdirected(now.Add(2*time.Millisecond), h)
		}
		s.Announce(now.Add(time.Second), announcedAs("i-1", 1, 2))
		if got, _ := s.Server(); got.ID != "i-1" || got.Incarnation != 1 {
			t.Errorf("after an announcement of %s: got %+v", id, got)
		}
	}
}

// Guards against a replaced backend server that has to announce itself again before it is used.
func TestReplacedServerIsUsedAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	s, call := startedRun(t, now)
	s.StartAnswered(now, call, supervise.Accepted, time.Minute)
	h, _ := s.NextHold(now, supervise.HoldWait)
	s.Announce(now, announcedAs("i-2", 2, 1))
	s.HoldMisdirected(now.Add(time.Millisecond), h)
	server, _ := s.Server()
	r := s.Report(now.Add(time.Millisecond), "entry-1")
	if server.ID != "i-2" || len(r.Ended) != 1 || r.Ended[0].End != supervise.Crashed {
		t.Errorf("got %+v and %+v", server, r)
	}
}
