package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/dispatch"
	"dogwoodglade/core/overload"
	"dogwoodglade/core/resource"
	"dogwoodglade/core/supervise"
)

// Guards against jobs that have waited past their target and are then displaced: their callers were told too late.
func TestLateJobsAreNotDisplaced(t *testing.T) {
	now := time.Unix(1000, 0)
	d := dispatch.New()
	d.Connect(now, "agent-1")
	report := func() []dispatch.Action {
		return d.HandleReport(now, "agent-1", supervise.Report{
			Offered: true,
			Server:  supervise.Server{ID: "i-1", Pool: "pool", Capacity: resource.Amount{Processor: 10000}},
		})
	}
	report()
	submit := func(id, route string, priority, tasks int, runTime time.Duration) []dispatch.Action {
		return d.Submit(now, batch.Job{
			ID: batch.JobID(id), Route: route, Priority: priority, Pool: "pool", Attempts: 1, Stretch: 2,
			Target: 500 * time.Millisecond,
			Steps:  []batch.Step{{Count: tasks, Demand: resource.Amount{Processor: 1000}, Estimate: runTime}},
		})
	}
	submit("running", "long", 0, 10, 10*time.Second)
	for i := range 10 {
		submit(fmt.Sprintf("usual-%d", i), "usual", 1, 2, 10*time.Millisecond)
	}
	submit("large", "large", 0, 12, 50*time.Millisecond)
	now = now.Add(550 * time.Millisecond)
	actions := append(report(), d.Tick(now)...)
	for i := range 25 {
		actions = append(actions, submit(fmt.Sprintf("urgent-%d", i), "urgent", 0, 2, 10*time.Millisecond)...)
	}
	refused := 0
	for _, a := range actions {
		if a, ok := a.(dispatch.Answer); ok {
			refused++
			if a.Cause == overload.Displaced {
				t.Errorf("%s was displaced by %s after %v", a.Job, a.InFavourOf, a.Elapsed)
			}
		}
	}
	if refused == 0 {
		t.Error("no job was refused, so that the test shows nothing")
	}
}
