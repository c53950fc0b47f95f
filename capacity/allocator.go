package capacity

import (
	"fmt"
	"time"

	"dogwoodglade/core/allocator"
	"dogwoodglade/core/pool"
)

const slotsPerServer = 8

func newAllocator(servers int) *allocator.Allocator {
	a := allocator.New(entryName, pool.New("pool-17").WithQueueLimit(1_000_000), discardEvent)
	announceAll(a, startTime, servers, nil)
	return a
}

// announceAll passes one heartbeat of each backend server to the allocator.
func announceAll(a *allocator.Allocator, now time.Time, servers int, grants map[string][]string) {
	for i := range servers {
		id := serverName(i)
		a.Announce(now, allocator.BackendServer{
			ID: id, Agent: fmt.Sprint("agent-", i), Incarnation: serverIncarnation, Pool: "pool-17",
			DataCentre: "vestland-1", Slots: slotsPerServer, Grants: grants[id],
		})
	}
}

// requestSlots makes requests for one slot each and returns the grants.
func requestSlots(a *allocator.Allocator, now time.Time, count int) []allocator.Grant {
	grants := make([]allocator.Grant, 0, count)
	for i := range count {
		for _, action := range a.RequestSlots(now, allocator.SlotRequest{
			ID: fmt.Sprintf("17.4321.%d", i), Owner: "entry-2", Customer: fmt.Sprint("customer-", i%110),
			Route: fmt.Sprint("route-", i%40), Count: 1, Deadline: time.Hour,
		}) {
			if g, ok := action.(allocator.Grant); ok {
				grants = append(grants, g)
			}
		}
	}
	return grants
}

func releaseAll(a *allocator.Allocator, now time.Time, grants []allocator.Grant) {
	for i, g := range grants {
		a.Release(now, allocator.Release{
			BackendServer: g.BackendServer, Incarnation: g.Incarnation, Grant: g.ID,
			Route: fmt.Sprint("route-", i%40), Outcome: allocator.Succeeded, RunTime: 200 * time.Millisecond,
		})
	}
}

func grantIDsByServer(grants []allocator.Grant) map[string][]string {
	ids := map[string][]string{}
	for _, g := range grants {
		ids[g.BackendServer] = append(ids[g.BackendServer], g.ID)
	}
	return ids
}

func allocatorMeasures() []Measure {
	servers := []int{500, 1000, 2000, 4000}
	return []Measure{
		{
			Name: "allocator.server", Unit: "idle backend server; CPU: one heartbeat of it",
			Sizes: servers, Run: runServers,
		},
		{
			Name: "allocator.ask", Unit: "queued slot request; CPU: its arrival",
			Sizes: []int{5000, 10_000, 20_000, 40_000}, Run: runSlotRequests,
		},
		{
			Name: "allocator.grant", Unit: "running grant; CPU: slot request and grant",
			Sizes: []int{4000, 8000, 16_000, 32_000}, Run: runGrants,
		},
		{Name: "allocator.release", Unit: "release", Sizes: []int{4000, 8000, 16_000, 32_000}, Run: runReleases},
		{
			Name: "allocator.busyheartbeat", Unit: "backend server with 8 running grants; CPU: one heartbeat of it",
			Sizes: servers, Run: runBusyHeartbeats,
		},
		{Name: "allocator.tick", Unit: "backend server; CPU: one tick", Sizes: servers, Run: runTicks},
	}
}

func runServers(n int) (Cost, error) {
	heap := measureHeap(func() any { return newAllocator(n) })
	a := newAllocator(n)
	cpu, err := measureCPU(func() { announceAll(a, startTime.Add(500*time.Millisecond), n, nil) })
	return Cost{HeapBytes: heap, CPUMicroseconds: cpu}, err
}

func runSlotRequests(n int) (Cost, error) {
	a := newAllocator(1)
	requestSlots(a, startTime, slotsPerServer)
	var cpu float64
	var err error
	heap := measureHeap(func() any {
		cpu, err = measureCPU(func() { requestSlots(a, startTime, n) })
		return a
	})
	return Cost{HeapBytes: heap, CPUMicroseconds: cpu}, err
}

func runGrants(n int) (Cost, error) {
	a := newAllocator(n / slotsPerServer)
	var cpu float64
	var err error
	heap := measureHeap(func() any {
		cpu, err = measureCPU(func() { requestSlots(a, startTime, n) })
		return a
	})
	return Cost{HeapBytes: heap, CPUMicroseconds: cpu}, err
}

func runReleases(n int) (Cost, error) {
	a := newAllocator(n / slotsPerServer)
	granted := requestSlots(a, startTime, n)
	cpu, err := measureCPU(func() { releaseAll(a, startTime.Add(200*time.Millisecond), granted) })
	return Cost{CPUMicroseconds: cpu}, err
}

func runBusyHeartbeats(n int) (Cost, error) {
	a := newAllocator(n)
	grants := grantIDsByServer(requestSlots(a, startTime, n*slotsPerServer))
	cpu, err := measureCPU(func() { announceAll(a, startTime.Add(500*time.Millisecond), n, grants) })
	return Cost{CPUMicroseconds: cpu}, err
}

func runTicks(n int) (Cost, error) {
	a := newAllocator(n)
	const ticks = 20 // one second, which includes one periodic sweep
	cpu, err := measureCPU(func() {
		for i := range ticks {
			a.Tick(startTime.Add(time.Duration(i) * 50 * time.Millisecond))
		}
	})
	return Cost{CPUMicroseconds: cpu / ticks}, err
}
