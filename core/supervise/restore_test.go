package supervise_test

import (
	"testing"
	"time"

	"dogwoodglade/core/resource"
	"dogwoodglade/core/supervise"
)

// Guards against two runs of a task: a start that an earlier agent process sent is carried out late, because the new
// process uses the same token.
func TestRestoredAgentFencesStartsOfEarlierAgent(t *testing.T) {
	now := time.Unix(1000, 0)
	saved := supervise.Server{
		ID: "i-1", Pool: "p", Incarnation: 1, Sequence: 1, Capacity: resource.Amount{Processor: 4000}, Clock: time.Minute,
	}
	earlier := supervise.New(0)
	earlier.Announce(now, saved)
	h, _ := earlier.NextHold(now, supervise.HoldWait)
	earlierToken := h.Token

	now = now.Add(10 * time.Second)
	s := supervise.New(0)
	s.Restore(now, saved)
	s.Connect(now, "entry-1")
	s.ExtendSession("entry-1", now.Add(time.Second))
	s.SetHome("entry-1")
	for range 3 {
		h, _ = s.NextHold(now, supervise.HoldWait)
		s.HoldAnswered(now, h, supervise.HoldResponse{Incarnation: 1, Clock: 70 * time.Second})
		if s.Report(now, "entry-1").Offered {
			break
		}
	}
	if !s.Report(now, "entry-1").Offered {
		t.Fatal("the backend server was not offered after three responses")
	}
	if h.Token <= earlierToken {
		t.Errorf("the list that the offer is based on was made under token %d; the earlier agent had used %d", h.Token, earlierToken)
	}
}
