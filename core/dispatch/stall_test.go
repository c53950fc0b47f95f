package dispatch_test

import (
	"testing"
	"time"

	"dogwoodglade/core/dispatch"
	"dogwoodglade/core/resource"
	"dogwoodglade/core/supervise"
)

// Guards against a run that is stopped because it hangs and started again on the same backend server, which is free then.
func TestHangingRunIsStartedElsewhere(t *testing.T) {
	now := time.Unix(1000, 0)
	d := dispatch.New()
	reports := map[string]supervise.Report{}
	for _, agent := range []string{"agent-1", "agent-2"} {
		reports[agent] = supervise.Report{Offered: true, Server: supervise.Server{
			ID: agent, Pool: "pool", Capacity: resource.Amount{Processor: 4000},
		}}
		d.Connect(now, agent)
		d.HandleReport(now, agent, reports[agent])
	}
	actions := d.Submit(now, named("job", 1))
	startedOn := func(actions []dispatch.Action) (agent string, run supervise.RunID) {
		for _, a := range actions {
			if s, ok := a.(*dispatch.StartRuns); ok {
				return s.Agent, s.Starts[0].RunID
			}
		}
		return "", run
	}
	first, run := startedOn(actions)
	var stopped bool
	for age := 100 * time.Millisecond; age < 400*time.Millisecond && !stopped; age += 50 * time.Millisecond {
		r := reports[first]
		r.Progress = []supervise.Progress{{RunID: run, Percent: 7, Age: age}}
		for _, a := range d.HandleReport(now.Add(age), first, r) {
			if s, ok := a.(*dispatch.StopRuns); ok && s.Agent == first && s.Runs[0] == run {
				stopped = true
			}
		}
	}
	if !stopped {
		t.Fatal("the run was not stopped although it made no progress for 300 ms")
	}
	r := reports[first]
	r.Ended = []supervise.RunEnd{{RunID: run, End: supervise.Stopped}}
	second, _ := startedOn(d.HandleReport(now.Add(400*time.Millisecond), first, r))
	if second == "" || second == first {
		t.Errorf("the task was started on %q after %q", second, first)
	}
}
