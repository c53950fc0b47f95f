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
