package supervise_test

import (
	"testing"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/resource"
	"dogwoodglade/core/supervise"
)

// Guards against a task that has to wait for its entry to start it again after a start got no response from the
// backend server. Once the unanswered start is fenced, the agent knows whether it was carried out, and repeats it at
// once if not.
func TestUnansweredStartIsRepeated(t *testing.T) {
	now := time.Unix(1000, 0)
	s := supervise.New()
	s.Announce(now, supervise.Server{
		ID: "i-1", Pool: "p", Incarnation: 1, Sequence: 1, Capacity: resource.Amount{Processor: 4000}, Clock: time.Minute,
	})
	h, _ := s.NextHold(now, supervise.HoldWait)
	s.HoldAnswered(now, h, supervise.HoldResponse{Incarnation: 1, Clock: time.Minute})
	s.Connect(now, "entry-1")
	s.ExtendSession("entry-1", now.Add(time.Second))
	s.SetHome("entry-1")
	id := supervise.RunID{Task: batch.TaskID{Job: "1"}, Attempt: 1}
	start := func(actions []supervise.Action) (c supervise.CallStart, ok bool) {
		for _, a := range actions {
			if x, is := a.(supervise.CallStart); is {
				return x, true
			}
		}
		return c, false
	}
	first, ok := start(s.StartRuns(now, "entry-1", []supervise.Start{
		{RunID: id, Demand: resource.Amount{Processor: 1000}},
	}))
	if !ok {
		t.Fatal("the supervisor did not start the run")
	}
	var held bool
	for _, a := range s.StartAnswered(now.Add(60*time.Millisecond), first, supervise.Unanswered, 0) {
		if x, is := a.(supervise.CallHold); is {
			h, held = x.Hold, true
		}
	}
	if !held || h.Token <= first.Token {
		t.Fatalf("the unanswered start was not fenced: got token %d after %d", h.Token, first.Token)
	}
	again, ok := start(s.HoldAnswered(now.Add(61*time.Millisecond), h, supervise.HoldResponse{
		Incarnation: 1, Clock: time.Minute + 61*time.Millisecond,
	}))
	if !ok || again.Token < h.Token || again.Task != id.Task {
		t.Fatalf("got %+v, %v, want a repeated start with the new token", again, ok)
	}
	if r := s.Report(now.Add(62*time.Millisecond), "entry-1"); len(r.Ended) > 0 {
		t.Errorf("the entry was sent ends %+v, want none", r.Ended)
	}
}
