package supervise_test

import (
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
