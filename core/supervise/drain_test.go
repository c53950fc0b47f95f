package supervise_test

import (
	"testing"
	"time"

	"dogwoodglade/core/supervise"
)

// Guards against a run that a stopping agent starts although its successor on the host has listed the runs and offered the
// backend server.
func TestDrainingAgentRepeatsNoStart(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, result := range []supervise.StartResult{
		supervise.Fenced, supervise.Late, supervise.Outdated, supervise.Unanswered,
	} {
		s, call := startedRun(t, now)
		s.Drain()
		actions := s.StartAnswered(now, call, result, time.Minute)
		h, _ := s.NextHold(now.Add(time.Millisecond), 0)
		actions = append(actions, s.HoldAnswered(now.Add(time.Millisecond), h, supervise.HoldResponse{
			Incarnation: 1, Clock: time.Minute + time.Millisecond,
		})...)
		if c, repeated := startCall(actions); repeated {
			t.Errorf("%v: repeated as run %d with token %d", result, c.Number, c.Token)
		}
		r := s.Report(now.Add(time.Millisecond), "entry-1")
		if len(r.Ended) != 1 || r.Ended[0].End != supervise.Refused {
			t.Errorf("%v: reported as %+v, want one refusal", result, r.Ended)
		}
	}
}
