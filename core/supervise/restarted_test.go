package supervise_test

import (
	"slices"
	"testing"
	"time"

	"dogwoodglade/core/supervise"
)

// Guards against a start without a response that a restarted backend server carries out because its agent waits for the
// next regular call.
func TestRestartedServerIsFencedAtItsAnnouncement(t *testing.T) {
	now := time.Unix(1000, 0)
	s, call := startedRun(t, now)
	s.StartAnswered(now, call, supervise.Unanswered, 0)
	for range 3 {
		now = now.Add(50 * time.Millisecond)
		h, _ := s.NextHold(now, 0)
		s.HoldFailed(now, h)
	}
	for sequence := range uint64(3) {
		fences := 0
		for _, a := range s.Announce(now, announcedAs("i-1", 2, 1+sequence)) {
			c, ok := a.(supervise.CallHold)
			if !ok {
				continue
			}
			fences++
			if c.Hold.Token <= call.Token || c.Hold.Renew || c.Hold.Wait != 0 {
				t.Errorf("called with %+v after a start with token %d", c.Hold, call.Token)
			}
		}
		if want := 1 - min(int(sequence), 1); fences != want {
			t.Errorf("announcement %d: %d calls, want %d", sequence+1, fences, want)
		}
	}
	if fences := s.Announce(now, announcedAs("i-2", 3, 1)); len(fences) > 0 {
		t.Errorf("an announcement of another backend server: got %+v", fences)
	}
}

// Guards against a pause after the first call to a restarted backend server has got no response, and against calls without
// a pause while nothing listens there.
func TestFenceOfRestartedServerIsRepeated(t *testing.T) {
	for name, x := range map[string]struct {
		fail func(s *supervise.Supervisor, now time.Time, h supervise.Hold) []supervise.Action
		want int
	}{
		"no response":   {(*supervise.Supervisor).HoldFailed, 5},
		"not listening": {(*supervise.Supervisor).HoldRefused, 1},
	} {
		now := time.Unix(1000, 0)
		s, call := startedRun(t, now)
		s.StartAnswered(now, call, supervise.Unanswered, 0)
		calls, token := 0, call.Token
		for pending := s.Announce(now, announcedAs("i-1", 2, 1)); calls < 100; {
			i := slices.IndexFunc(pending, func(a supervise.Action) bool { _, ok := a.(supervise.CallHold); return ok })
			if i < 0 {
				break
			}
			h := pending[i].(supervise.CallHold).Hold
			if calls++; h.Token <= token || h.Renew {
				t.Errorf("%s: call %d is %+v after one with token %d", name, calls, h, token)
			}
			token = h.Token
			now = now.Add(80 * time.Millisecond)
			pending = x.fail(s, now, h)
		}
		if calls != x.want {
			t.Errorf("%s: %d calls, want %d", name, calls, x.want)
		}
	}
}

// Guards against a restarted backend server that is not called again, or that is sent the end of a lease on its earlier
// clock, because its first call was merged with the check of an unanswered start.
func TestMergedCallToRestartedServer(t *testing.T) {
	now := time.Unix(1000, 0)
	s, call := startedRun(t, now)
	fence, ok := holdCall(s.Announce(now, announcedAs("i-1", 2, 1)))
	if !ok {
		t.Fatal("the restarted backend server was not called")
	}
	check, ok := holdCall(s.StartAnswered(now, call, supervise.Unanswered, 0))
	if !ok {
		t.Fatal("the unanswered start was not checked")
	}
	merged := fence.Merge(check)
	if merged.Token != check.Token || merged.Renew {
		t.Errorf("got %+v", merged)
	}
	if _, ok := holdCall(s.HoldFailed(now, merged)); !ok {
		t.Error("the call was not repeated")
	}
}

func holdCall(actions []supervise.Action) (h supervise.Hold, ok bool) {
	for _, a := range actions {
		if c, is := a.(supervise.CallHold); is {
			return c.Hold, true
		}
	}
	return h, false
}
