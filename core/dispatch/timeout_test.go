package dispatch_test

import (
	"testing"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/dispatch"
	"dogwoodglade/core/resource"
	"dogwoodglade/core/supervise"
)

// Guards against two runs of a task: an entry that was suspended restarts a task for a caller that has left and
// submitted the job again.
func TestNoStartAfterCallerTimeout(t *testing.T) {
	now := time.Unix(1000, 0)
	d := dispatch.New()
	offer := supervise.Report{Offered: true, Server: supervise.Server{
		ID: "i-1", Pool: "pool", Capacity: resource.Amount{Processor: 4000},
	}}
	d.Connect(now, "agent-1")
	d.HandleReport(now, "agent-1", offer)
	j := smallJob
	j.Timeout = 1500 * time.Millisecond
	if started := startedTasks(d.Submit(now, j)); started != 2 {
		t.Fatalf("%d tasks started, want 2", started)
	}
	now = now.Add(3 * time.Second)
	actions := d.Connect(now, "agent-1")
	actions = append(actions, d.HandleReport(now, "agent-1", offer)...)
	if started := startedTasks(actions); started > 0 {
		t.Errorf("%d tasks started after the caller's time-out", started)
	}
	if o := outcomesOf(actions); len(o) != 1 || o[0] != (batch.Unknown{Reason: batch.DeadlinePassed}) {
		t.Errorf("got outcomes %v, want %v", o, batch.Unknown{Reason: batch.DeadlinePassed})
	}
}

func startedTasks(actions []dispatch.Action) int {
	n := 0
	for _, a := range actions {
		if s, ok := a.(*dispatch.StartRuns); ok {
			n += len(s.Starts)
		}
	}
	return n
}

// Guards against a resubmitted job that runs beyond the time at which its caller gives up, because it had to wait for
// the end of its earlier runs.
func TestResubmissionKeepsItsTimeout(t *testing.T) {
	now := time.Unix(1000, 0)
	d, report := withOneServer(now)
	j := named("again", 2)
	first := startsOf(d.Submit(now, j))
	d.Connect(now, "agent-2")
	d.HandleReport(now, "agent-2", report)
	d.Disconnect(now, "agent-1", now.Add(supervise.MaxRunAfterAgentLoss))
	d.Cancel(now, j.ID)
	j.Timeout = 3 * time.Second
	submitted := now.Add(10 * time.Millisecond)
	d.Submit(submitted, j)
	now = submitted.Add(supervise.MaxRunAfterAgentLoss)
	starts := startsOf(d.Tick(now)) // the earlier runs have ended
	if len(first) != 2 || len(starts) != 2 {
		t.Fatalf("got %d and %d starts, want 2 each", len(first), len(starts))
	}
	if o := outcomesOf(d.Tick(submitted.Add(j.Timeout + 100*time.Millisecond))); len(o) != 1 {
		after := submitted.Add(j.Timeout)
		for now = after; len(outcomesOf(d.Tick(now))) == 0; now = now.Add(50 * time.Millisecond) {
		}
		t.Errorf("the job ended %v after its caller had given up", now.Sub(after))
	}
}

// Guards against a resubmitted job that is refused for lack of a backend server by the very report that offers one.
func TestResubmissionAdmittedWhenServerReturns(t *testing.T) {
	now := time.Unix(1000, 0)
	d, report := withOneServer(now)
	j := named("again", 2)
	d.Submit(now, j)
	d.Disconnect(now, "agent-1", now.Add(supervise.MaxRunAfterAgentLoss))
	d.Cancel(now, j.ID)
	d.Submit(now.Add(10*time.Millisecond), j)
	now = now.Add(supervise.MaxRunAfterAgentLoss - 100*time.Millisecond)
	d.Connect(now, "agent-1")
	actions := d.HandleReport(now, "agent-1", report)
	if starts, o := startsOf(actions), outcomesOf(actions); len(starts) != 2 || len(o) > 0 {
		t.Errorf("got %d starts and the outcomes %v, want 2 starts", len(starts), o)
	}
}
