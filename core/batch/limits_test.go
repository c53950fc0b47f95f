package batch_test

import (
	"math"
	"testing"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/resource"
)

// Guards against demands whose sum over the tasks of a job overflows.
func TestHugeDemandIsInvalid(t *testing.T) {
	for _, demand := range []resource.Amount{
		{Processor: math.MaxInt}, {Memory: math.MaxInt}, {Accelerators: math.MaxInt}, {Processor: math.MaxInt / batch.MaxTasks},
	} {
		j := batch.Job{ID: "1", Steps: []batch.Step{{Count: batch.MaxTasks, Demand: demand}}}
		if err := j.Validate(); err == nil {
			t.Errorf("demand %v is valid", demand)
		}
	}
}
