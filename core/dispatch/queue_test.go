package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/dispatch"
	"dogwoodglade/core/resource"
	"dogwoodglade/core/supervise"
)

// Guards against an entry that forwards jobs although its backend servers are free. That happened when it reported
// queued work without any waiting task: a remainder of rounding, and of run times learned while tasks waited.
func TestQueueIsEmptyWhenNothingWaits(t *testing.T) {
	now := time.Unix(1000, 0)
	d := dispatch.New()
	d.Connect(now, "agent-1")
	server := supervise.Server{ID: "i-1", Pool: "pool", Capacity: resource.Amount{Processor: 16000}}
	d.HandleReport(now, "agent-1", supervise.Report{Offered: true, Server: server})
	var running []supervise.Start
	take := func(actions []dispatch.Action) {
		for _, a := range actions {
			if s, ok := a.(*dispatch.StartRuns); ok {
				running = append(running, s.Starts...)
			}
		}
	}
	for i := range 40 {
		take(d.Submit(now, batch.Job{
			ID: batch.JobID(fmt.Sprint(i)), Route: "r", Pool: "pool", Attempts: 2, Stretch: 20, Target: time.Second,
			Steps: []batch.Step{{
				Count: 3, Demand: resource.Amount{Processor: 1000 + 37*i}, Estimate: time.Duration(51+7*i) * time.Millisecond,
			}},
		}))
		now = now.Add(3 * time.Millisecond)
		if len(running) > 12 {
			ended := supervise.RunEnd{
				RunID: running[0].RunID, End: supervise.Done, RunTime: time.Duration(40+11*i) * time.Millisecond,
			}
			running = running[1:]
			take(d.HandleReport(now, "agent-1", supervise.Report{
				Offered: true, Server: server, Ended: []supervise.RunEnd{ended},
			}))
		}
		if _, waiting := d.JobCounts(); waiting == 0 && d.Load().Pools["pool"].Queued != 0 &&
			d.Load().Pools["pool"].Free.Processor >= 3*(1000+37*i) {
			t.Fatalf("after job %d: %g core-seconds are queued, but no task waits", i, d.Load().Pools["pool"].Queued)
		}
	}
	for len(running) > 0 {
		ended := supervise.RunEnd{RunID: running[0].RunID, End: supervise.Done, RunTime: 300 * time.Millisecond}
		running = running[1:]
		take(d.HandleReport(now, "agent-1", supervise.Report{
			Offered: true, Server: server, Ended: []supervise.RunEnd{ended},
		}))
		if _, waiting := d.JobCounts(); waiting == 0 && len(running) <= 3 && d.Load().Pools["pool"].Queued != 0 {
			t.Fatalf("%g core-seconds are queued, but no task waits", d.Load().Pools["pool"].Queued)
		}
	}
}

// Guards against jobs that are kept at or sent to an entry whose backend servers each have too little free capacity
// for a task, and against an entry that reports capacity for a job although other jobs wait there.
func TestFreeCapacityCountsWholeTasks(t *testing.T) {
	now := time.Unix(1000, 0)
	d := dispatch.New()
	for _, name := range []string{"agent-1", "agent-2", "agent-3"} {
		d.Connect(now, name)
		d.HandleReport(now, name, supervise.Report{
			Offered: true, Server: supervise.Server{ID: name, Pool: "pool", Capacity: resource.Amount{Processor: 10000}},
		})
	}
	job := func(id string, tasks int) batch.Job {
		return batch.Job{
			ID: batch.JobID(id), Route: "r", Pool: "pool", Attempts: 1, Stretch: 2, Target: time.Second,
			Steps: []batch.Step{
				{Count: tasks, Demand: resource.Amount{Processor: 3000}, Estimate: time.Second},
				{Count: 50, Demand: resource.Amount{Processor: 3000}, Estimate: time.Second, After: []int{0}},
			},
		}
	}
	for i, c := range []struct {
		tasks    int
		canStart bool // expected before the job is submitted
		free     int  // expected free thousandths of a core after it is submitted
	}{
		{7, true, 6000},
		{3, false, 0}, // two of its three tasks start
		{1, false, 0},
	} {
		j := job(fmt.Sprint(i), c.tasks)
		if got := d.CanStartNow(now, j); got != c.canStart {
			t.Errorf("job %d: got CanStartNow %v", i, got)
		}
		d.Submit(now, j)
		if got := d.Load().Pools["pool"].Free.Processor; got != c.free {
			t.Errorf("after job %d: got %d free thousandths of a core, want %d", i, got, c.free)
		}
	}
}
