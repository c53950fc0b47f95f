package evacuation_test

import (
	"fmt"
	"time"

	"dogwoodglade/core/evacuation"
)

func ExampleKnowledge_With() {
	now := time.Unix(1000, 0)
	evacuated := evacuation.NewState(40, map[string]uint64{"north-1": 40})
	k, changes := evacuation.Knowledge{}.With(now, evacuated, now, "store")
	fmt.Println(k.State().Has("north-1"), len(changes))

	// A late message with an older state changes nothing.
	k, changes = k.With(now, evacuation.NewState(39, nil), now, "entry-2")
	fmt.Println(k.State().Has("north-1"), len(changes))
	// Output:
	// true 1
	// true 0
}
