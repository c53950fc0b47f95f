package batch_test

import (
	"fmt"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/resource"
)

// A job of four parallel tasks and a fifth that merges their results.
func ExampleJob() {
	j := batch.Job{ID: "5c0e7a21d94b36f8", Route: "holds", Pool: "booths", Attempts: 2, Steps: []batch.Step{
		{Count: 4, Demand: resource.Amount{Processor: 1600, Memory: 64}, Estimate: 50 * time.Millisecond},
		{Count: 1, Demand: resource.Amount{Processor: 500, Memory: 64}, After: []int{0}},
	}}
	fmt.Println(j.TaskCount(), j.Validate())
	j.Steps[1].After = []int{1}
	fmt.Println(j.Validate())
	// Output:
	// 5 <nil>
	// job 5c0e7a21d94b36f8: step 1 waits for step 1, want an earlier one
}
