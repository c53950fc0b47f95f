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
