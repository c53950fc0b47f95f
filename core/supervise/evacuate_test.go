package supervise_test

import (
	"testing"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/resource"
	"dogwoodglade/core/supervise"
)

// Guards against a start in an evacuated data centre that an entry requests because it does not know of the evacuation,
// and against a data centre that stays unused after the evacuation was taken back.
func TestEvacuatedAgentRefusesStarts(t *testing.T) {
	now := time.Unix(1000, 0)
	s, call := startedRun(t, now)
	s.StartAnswered(now, call, supervise.Accepted, time.Minute)
	s.SetEvacuated(true)
	start := supervise.Start{
		RunID: supervise.RunID{Task: batch.TaskID{Job: "2"}, Attempt: 1}, Demand: resource.Amount{Processor: 1000},
	}
	if _, ok := startCall(s.StartRuns(now, "entry-1", []supervise.Start{start})); ok {
		t.Error("a run was started")
	}
	r := s.Report(now, "entry-1")
	if r.Offered || len(r.Ended) != 1 || r.Ended[0].End != supervise.Refused || r.Ended[0].Reason != "Evacuated" {
		t.Errorf("reported offered %t, %+v", r.Offered, r.Ended)
	}
	if s.TotalRunCount() != 1 {
		t.Error("the run in progress was ended")
	}
	if h, ok := s.NextHold(now, supervise.HoldWait); !ok || !h.Renew {
		t.Error("the lease of the run in progress is not renewed")
	}
	s.SetEvacuated(false)
	if _, ok := startCall(s.StartRuns(now, "entry-1", []supervise.Start{start})); !ok || !s.Report(now, "entry-1").Offered {
		t.Error("no run was started after the evacuation had been taken back")
	}
}

// Guards against a start that is repeated in an evacuated data centre because it was not answered, or refused for a
// reason that the agent can correct.
func TestEvacuatedAgentRepeatsNoStart(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, result := range []supervise.StartResult{
		supervise.Fenced, supervise.Late, supervise.Outdated, supervise.Unanswered,
	} {
		s, call := startedRun(t, now)
		s.SetEvacuated(true)
		actions := s.StartAnswered(now, call, result, time.Minute)
		h, _ := s.NextHold(now.Add(time.Millisecond), 0)
		actions = append(actions, s.HoldAnswered(now.Add(time.Millisecond), h, supervise.HoldResponse{
			Incarnation: 1, Clock: time.Minute + time.Millisecond,
		})...)
		if _, repeated := startCall(actions); repeated {
			t.Errorf("%v: the start was repeated", result)
		}
		if r := s.Report(now.Add(time.Millisecond), "entry-1"); len(r.Ended) != 1 || r.Ended[0].End != supervise.Refused {
			t.Errorf("%v: reported as %+v, want one refusal", result, r.Ended)
		}
	}
}
