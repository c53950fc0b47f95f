package dispatch

import (
	"fmt"
	"testing"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/resource"
	"dogwoodglade/core/supervise"
)

func tinyTasks(id batch.JobID, count int) batch.Job {
	return batch.Job{
		ID: id, Route: "r", Pool: "pool", Attempts: 2, Stretch: 2, Target: time.Second,
		Steps: []batch.Step{{Count: count, Demand: resource.Amount{Processor: 1}, Estimate: time.Millisecond}},
	}
}

func startedRuns(actions []Action) []supervise.RunID {
	var ids []supervise.RunID
	for _, a := range actions {
		if s, ok := a.(*StartRuns); ok {
			for _, x := range s.Starts {
				ids = append(ids, x.RunID)
			}
		}
	}
	return ids
}

// Guards against an agent that loses its session because it is sent thousands of tasks at once that demand next to
// nothing, and against ordinary jobs that wait behind them.
func TestTinyTasksAreStartedInParts(t *testing.T) {
	now := time.Unix(1000, 0)
	d := New()
	d.Connect(now, "agent")
	report := supervise.Report{
		Offered: true, Server: supervise.Server{ID: "i-1", Pool: "pool", Capacity: resource.Amount{Processor: 16000}},
	}
	d.HandleReport(now, "agent", report)
	first := startedRuns(d.Submit(now, tinyTasks("large", batch.MaxTasks)))
	if len(first) == 0 || len(first) > maxLargeJobRuns {
		t.Fatalf("%d tasks of a large job were started at once, want at most %d", len(first), maxLargeJobRuns)
	}
	for i := range 2 * lookAhead {
		d.Submit(now, tinyTasks(batch.JobID(fmt.Sprint(i)), batch.MaxTasks))
	}
	filler := startedRuns(d.Submit(now, tinyTasks("filler", maxRuns-len(first))))
	if len(filler) != maxRuns-len(first) {
		t.Fatalf("%d tasks of a job that is not large were started beside large ones", len(filler))
	}
	d.Submit(now, tinyTasks("small", 2))
	for _, id := range filler[:2] {
		report.Ended = append(report.Ended, supervise.RunEnd{RunID: id, End: supervise.Done, RunTime: time.Millisecond})
	}
	got := startedRuns(d.HandleReport(now, "agent", report))
	if len(got) != 2 || got[0].Task.Job != "small" {
		t.Errorf("started %v in the places of two ended runs, want the two tasks of the small job", got)
	}
	report.Ended = nil
	for _, id := range first {
		report.Ended = append(report.Ended, supervise.RunEnd{RunID: id, End: supervise.Done, RunTime: time.Millisecond})
	}
	// The other tasks hold none of the places for large jobs.
	if got := startedRuns(d.HandleReport(now, "agent", report)); len(got) != len(first) {
		t.Errorf("%d tasks were started after %d had ended, want as many", len(got), len(first))
	}
}

// Guards against refusals that cost as much as a job of thousands of tasks.
func TestRefusedJobHasNoTasks(t *testing.T) {
	now := time.Unix(1000, 0)
	d := New()
	d.Tick(now)
	b := tinyTasks("large", batch.MaxTasks)
	allocations := testing.AllocsPerRun(10, func() { d.Submit(now.Add(time.Minute), b) })
	if allocations > 100 {
		t.Errorf("a refusal for lack of a backend server took %.0f allocations, want at most 100", allocations)
	}
}

// Guards against a large job that never gets a place, because small ones keep most of those of the backend server in use.
func TestLargeJobStartsBesideSmallOnes(t *testing.T) {
	now := time.Unix(1000, 0)
	d := New()
	d.Connect(now, "agent")
	d.HandleReport(now, "agent", supervise.Report{
		Offered: true, Server: supervise.Server{ID: "i-1", Pool: "pool", Capacity: resource.Amount{Processor: 16000}},
	})
	small := maxLargeJobRuns + 8
	for i := range small {
		d.Submit(now, tinyTasks(batch.JobID(fmt.Sprint("small-", i)), 1))
	}
	if got := startedRuns(d.Submit(now, tinyTasks("large", batch.MaxTasks))); len(got) != maxRuns-small {
		t.Errorf("%d tasks of a large job were started beside %d of small ones, want %d", len(got), small, maxRuns-small)
	}
}

// Guards against small jobs that wait behind large ones, because these count as tried while the only places for them are on
// a degraded backend server.
func TestLargeJobsWaitForUsablePlaces(t *testing.T) {
	now := time.Unix(1000, 0)
	d := New()
	report := supervise.Report{
		Offered: true, Server: supervise.Server{ID: "i-1", Pool: "pool", Capacity: resource.Amount{Processor: 16000}},
	}
	for _, agent := range []string{"agent-1", "agent-2", "agent-3"} {
		d.Connect(now, agent)
		d.HandleReport(now, agent, report)
	}
	s := d.servers["agent-3"]
	s.quarantined, s.nextProbe = true, now.Add(time.Minute)
	for i := range 2 * lookAhead {
		d.Submit(now, tinyTasks(batch.JobID(fmt.Sprint("large-", i)), batch.MaxTasks))
	}
	small := tinyTasks("small", 1)
	last := small.Steps[0]
	last.After, last.Count = []int{0}, 2
	small.Steps = append(small.Steps, last)
	first := d.Submit(now, small)
	report.Ended = []supervise.RunEnd{{RunID: startedRuns(first)[0], End: supervise.Done, RunTime: time.Millisecond}}
	if got := startedRuns(d.HandleReport(now, first[0].(*StartRuns).Agent, report)); len(got) != 2 {
		t.Errorf("%d of 2 tasks of the second step of a small job were started behind large ones", len(got))
	}
}
