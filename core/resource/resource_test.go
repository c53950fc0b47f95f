package resource_test

import (
	"testing"

	"dogwoodglade/core/resource"
)

// Guards against a backend server that is counted as having capacity for a task although one resource is too small.
func TestFitCount(t *testing.T) {
	for _, c := range []struct {
		available, demand resource.Amount
		want              int
	}{
		{resource.Amount{Processor: 32000, Memory: 65536}, resource.Amount{Processor: 3100, Memory: 64}, 10},
		{resource.Amount{Processor: 32000, Memory: 100}, resource.Amount{Processor: 3100, Memory: 64}, 1},
		{resource.Amount{Processor: 32000}, resource.Amount{Processor: 3100, Accelerators: 1}, 0},
		{resource.Amount{Processor: -100, Memory: 100}, resource.Amount{Memory: 64}, 0},
	} {
		if got := c.available.FitCount(c.demand); got != c.want {
			t.Errorf("FitCount of %v in %v: got %d, want %d", c.demand, c.available, got, c.want)
		}
	}
}
