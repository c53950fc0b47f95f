package supervise_test

import (
	"testing"
	"time"
)

// Guards against an entry that learns late that a backend server will leave, and against an announcement that was delayed
// and extends the time that is left.
func TestTimeLeftIsReported(t *testing.T) {
	const notice = 2 * time.Second
	for _, delay := range []time.Duration{0, 1500 * time.Millisecond, 3 * time.Second} {
		now := time.Unix(1000, 0)
		s, call := startedRun(t, now)
		if r := s.Report(now, "entry-1"); r.LeavesIn != 0 {
			t.Errorf("a backend server that stays is reported to leave in %v", r.LeavesIn)
		}
		now = now.Add(delay)
		s.StartAnswered(now, call, 0, time.Minute+delay)
		x := announced(2, 4000)
		x.Leaving, x.LeavesAt = true, x.Clock+notice
		if !reports(s.Announce(now, x), "entry-1") {
			t.Errorf("delay %v: the entry is not told at once", delay)
		}
		r := s.Report(now, "entry-1")
		if want := max(notice-delay, 0); r.LeavesIn != want || r.Offered || !r.Server.Leaving {
			t.Errorf("delay %v: got %v left, offered %v, want %v and not offered", delay, r.LeavesIn, r.Offered, want)
		}
	}
}
