package supervise_test

import (
	"testing"
	"time"

	"dogwoodglade/core/supervise"
)

// Guards against runs that outlive their session: an agent that was suspended renews their lease before it has ended the
// session.
func TestNoRenewalAfterSessionExpiry(t *testing.T) {
	now := time.Unix(1000, 0)
	s, call := startedRun(t, now)
	s.StartAnswered(now, call, supervise.Accepted, time.Minute)
	s.ExtendSession("entry-1", now.Add(supervise.SessionLease))
	for _, c := range []struct {
		after time.Duration
		renew bool
	}{
		{supervise.SessionLease - time.Millisecond, true},
		{2 * time.Second, false},
	} {
		if h, ok := s.NextHold(now.Add(c.after), supervise.HoldWait); !ok || h.Renew != c.renew {
			t.Errorf("after %v: got a call %v that renews the lease: %v, want %v", c.after, ok, h.Renew, c.renew)
		}
	}
}
