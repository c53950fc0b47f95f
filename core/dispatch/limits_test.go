package dispatch

import (
	"fmt"
	"math"
	"testing"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/resource"
)

// Guards against a queue that seems empty because the estimates or demands of a job overflow when they are summed.
func TestHugeJobDoesNotOverflowQueue(t *testing.T) {
	for _, estimate := range []time.Duration{time.Hour, math.MaxInt64} {
		for _, processor := range []int{32_000, batch.MaxDemand} {
			now := time.Unix(1000, 0)
			d := New()
			var work coreTime
			for i := range 3 {
				j := d.newJob(now, batch.Job{
					ID: batch.JobID(fmt.Sprint(i)), Route: "r", Pool: "p", Stretch: 1.6,
					Steps: []batch.Step{{
						Count: batch.MaxTasks, Estimate: estimate, Demand: resource.Amount{Processor: processor},
					}},
				})
				work += j.waitingWork
				if work <= 0 || j.targetStart.Before(now) || j.startDeadline.Before(now) {
					t.Errorf("estimate %v, %d: work %d, start from %v to %v", estimate, processor, work, j.targetStart, j.startDeadline)
				}
			}
		}
	}
}

// Guards against a job that counts as small because most of its tasks depend on others.
func TestSizeCountsDependentSteps(t *testing.T) {
	d := New()
	step := batch.Step{Count: 2, Estimate: time.Second, Demand: resource.Amount{Processor: 1000}}
	dependent := step
	dependent.Count, dependent.After = 8, []int{0}
	j := d.newJob(time.Unix(1000, 0), batch.Job{ID: "1", Route: "r", Pool: "p", Steps: []batch.Step{step, dependent}})
	if got := j.describe(); got.Size != 10 || got.Work != 2 {
		t.Errorf("got a size of %g and %g core-seconds that wait, want 10 and 2", got.Size, got.Work)
	}
}

// Guards against an unbounded number of counters by priority.
func TestPrioritiesAreBounded(t *testing.T) {
	d := New()
	for given, want := range map[int]int{-3: 0, 0: 0, 2: 2, 1000: batch.MaxPriority} {
		step := batch.Step{Count: 1, Estimate: time.Second, Demand: resource.Amount{Processor: 1000}}
		j := d.newJob(time.Unix(1000, 0), batch.Job{ID: "1", Route: "r", Pool: "p", Priority: given, Steps: []batch.Step{step}})
		if j.Priority != want {
			t.Errorf("priority %d: got %d, want %d", given, j.Priority, want)
		}
	}
}
