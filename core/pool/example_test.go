package pool_test

import (
	"fmt"

	"dogwoodglade/core/pool"
)

func ExamplePool_WithShare() {
	timing := pool.New("timing").WithQuota("atlas", 40)
	shared := timing.WithShare("atlas", 3).WithReservedSlots(0.5)
	fmt.Println(timing.Share("atlas"), timing.Quota("atlas"), *timing.ReservedSlots)
	fmt.Println(shared.Share("atlas"), shared.Quota("atlas"), *shared.ReservedSlots)
	// Output:
	// 1 40 0.2
	// 3 40 0.5
}
