package route_test

import (
	"fmt"
	"time"

	"dogwoodglade/core/route"
)

func ExampleRoute_WithDeadline() {
	splits := route.New("splits", "timing")
	quick := splits.WithDeadline(2 * time.Second).WithAttempts(3).WithIdempotent(true)
	fmt.Println(splits.Deadline, splits.Attempts, splits.Idempotent)
	fmt.Println(quick.Deadline, quick.Attempts, quick.Idempotent)
	fmt.Println(quick.WithAttempts(11).Validate())
	// Output:
	// 10s 1 false
	// 2s 3 true
	// validate route "splits": Attempts is 11, want 1 to 10
}
