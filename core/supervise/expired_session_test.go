package supervise_test

import (
	"testing"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/resource"
	"dogwoodglade/core/supervise"
)

// Guards against a run that outlives its session by a whole lease because an agent that was suspended renews the lease
// before its periodic work has ended the session.
func TestLeaseNotRenewedAfterSessionExpiry(t *testing.T) {
	for _, c := range []struct {
		name  string
		renew func(s *supervise.Supervisor, now time.Time) (until time.Duration, granted bool)
	}{
		{"hold", func(s *supervise.Supervisor, now time.Time) (time.Duration, bool) {
			h, ok := s.NextHold(now, supervise.HoldWait)
			return h.Until, ok && h.Renew
		}},
		{"start of another entry", func(s *supervise.Supervisor, now time.Time) (time.Duration, bool) {
			call, ok := startCall(s.StartRuns(now, "entry-2", []supervise.Start{{
				RunID:  supervise.RunID{Task: batch.TaskID{Job: "2"}, Attempt: 1},
				Demand: resource.Amount{Processor: 1000},
			}}))
			return call.Until, ok
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			s, call := startedRun(t, start)
			s.StartAnswered(start, call, supervise.Accepted, time.Minute)
			s.Connect(start, "entry-2")
			now := start.Add(time.Second + 200*time.Millisecond) // the session of entry-1 ended 200 ms ago
			s.ExtendSession("entry-2", now.Add(supervise.SessionLease))
			if until, granted := c.renew(s, now); granted {
				t.Errorf("a lease until %v after the end of the session was granted to a run of that session",
					until-time.Minute-time.Second)
			}
		})
	}
}
