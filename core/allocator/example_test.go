package allocator_test

import (
	"fmt"
	"time"

	"dogwoodglade/core/allocator"
	"dogwoodglade/core/event"
	"dogwoodglade/core/pool"
)

func Example() {
	now := time.Unix(0, 0)
	a := allocator.New("entry-1", pool.New("samples"), func(event.Event) {})
	a.Announce(now, allocator.BackendServer{
		ID: "server-1", Agent: "agent-1", Incarnation: "1", Pool: "samples", Slots: 2,
	})
	actions := a.RequestSlots(now, allocator.SlotRequest{
		ID: "request-1", Owner: "entry-2", Customer: "atlas", Route: "quotes", Count: 3, Deadline: 10 * time.Second,
	})
	for _, action := range actions {
		if g, ok := action.(allocator.Grant); ok {
			fmt.Println(g.RequestID, "of", g.Owner, "gets a slot of", g.BackendServer)
		}
	}
	// The third task waits for a free slot.
	first := actions[0].(allocator.Grant)
	actions = a.Release(now.Add(100*time.Millisecond), allocator.Release{
		BackendServer: "server-1", Incarnation: "1", Grant: first.ID, Route: "quotes",
		Outcome: allocator.Succeeded, RunTime: 100 * time.Millisecond,
	})
	fmt.Println(len(actions), "more grant after a release")
	// Output:
	// request-1 of entry-2 gets a slot of server-1
	// request-1 of entry-2 gets a slot of server-1
	// 1 more grant after a release
}
