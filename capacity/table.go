package capacity

import (
	"fmt"

	"dogwoodglade/core/pool"
	"dogwoodglade/core/route"
	"dogwoodglade/core/table"
)

const customers = 110 // number of customers with a share and a quota in each pool of the measures

func tableMeasures() []Measure {
	rows := []int{500, 1000, 2000, 4000}
	pools := []int{100, 200, 400, 800}
	return []Measure{
		{Name: "table.route", Unit: "route; CPU: its validation", Sizes: rows, Run: runRoutes},
		{Name: "table.pool", Unit: "pool with 110 shares and quotas; CPU: its validation", Sizes: pools, Run: runPools},
		{Name: "table.edit", Unit: "route in the table; CPU: preparing one edit of it", Sizes: rows, Run: runPrepareEdit},
		{Name: "table.adopt", Unit: "route in the table; CPU: applying one edit of it", Sizes: rows, Run: runApplyEdit},
	}
}

func routes(n int) []route.Route {
	rows := make([]route.Route, n)
	for i := range rows {
		rows[i] = route.New(fmt.Sprintf("route-%05d", i), fmt.Sprintf("pool-%03d", i%10))
	}
	return rows
}

func plainPools(n int) []pool.Pool {
	rows := make([]pool.Pool, n)
	for i := range rows {
		rows[i] = pool.New(fmt.Sprintf("pool-%03d", i))
	}
	return rows
}

func fullPools(n int) []pool.Pool {
	rows := plainPools(n)
	for i := range rows {
		for c := range customers {
			name := fmt.Sprintf("customer-%03d", c)
			rows[i] = rows[i].WithShare(name, 1+c%5).WithQuota(name, 100+c)
		}
	}
	return rows
}

func runRoutes(n int) (Cost, error) {
	return runSnapshot(func() table.Snapshot {
		return table.NewSnapshot(table.Versions{Routes: 1, Pools: 1}, routes(n), plainPools(10))
	})
}

func runPools(n int) (Cost, error) {
	return runSnapshot(func() table.Snapshot { return table.NewSnapshot(table.Versions{Pools: 1}, nil, fullPools(n)) })
}

func runSnapshot(build func() table.Snapshot) (Cost, error) {
	var s table.Snapshot
	heap := measureHeap(func() any {
		s = build()
		return s
	})
	const rounds = 10
	var invalid error
	cpu, err := measureCPU(func() {
		for range rounds {
			invalid = s.Validate()
		}
	})
	if invalid != nil {
		return nil, invalid
	}
	return Cost{HeapBytes: heap, CPUMicroseconds: cpu / rounds}, err
}

const editRounds = 50

func runPrepareEdit(n int) (Cost, error) {
	s := table.NewSnapshot(table.Versions{Routes: 1, Pools: 1}, routes(n), plainPools(10))
	heads := table.Heads{Routes: table.Head{Version: 1}, Pools: table.Head{Version: 1}}
	var failed error
	cpu, err := measureCPU(func() {
		for i := range editRounds {
			e := table.SetRoute(fmt.Sprint("edit-", i), route.New("route-00001", "pool-002"))
			if _, err := table.Prepare(s, heads, table.PendingEdit{Edit: e}); err != nil {
				failed = err
			}
		}
	})
	if failed != nil {
		return nil, failed
	}
	return Cost{CPUMicroseconds: cpu / editRounds}, err
}

func runApplyEdit(n int) (Cost, error) {
	replica := table.NewReplica()
	replica.Merge(table.NewSnapshot(table.Versions{Routes: 1, Pools: 1}, routes(n), plainPools(10)))
	var failed error
	cpu, err := measureCPU(func() {
		for i := range editRounds {
			e := table.SetRoute(fmt.Sprint("edit-", i), route.New("route-00001", "pool-002"))
			e.Version = uint64(i) + 2
			if _, err := replica.Apply([]table.Edit{e}); err != nil {
				failed = err
			}
		}
	})
	if failed != nil {
		return nil, failed
	}
	return Cost{CPUMicroseconds: cpu / editRounds}, err
}
