package site_test

import (
	"fmt"
	"time"

	"dogwoodglade/core/pool"
	"dogwoodglade/core/route"
	"dogwoodglade/core/site"
)

func ExampleDifferences() {
	current := site.Configuration{
		Version: 1, Pools: []pool.Pool{pool.New("p")}, RefusingPools: []string{"p"},
		Routes: []site.Route{
			{Route: route.New("splits", "p"), Host: "a.example", PathPrefix: "/splits/"},
			{Route: route.New("maps", "p"), Host: "a.example", PathPrefix: "/maps/"},
		},
	}
	next := site.Configuration{
		Version: 2, Pools: []pool.Pool{pool.New("p")},
		Routes: []site.Route{
			{Route: route.New("splits", "p").WithDeadline(2 * time.Second), Host: "a.example", PathPrefix: "/splits/"},
			{Route: route.New("plans", "p"), Host: "a.example", PathPrefix: "/plans/"},
		},
	}
	for _, d := range site.Differences(current, next) {
		fmt.Println(d)
	}
	// Output:
	// changed: route "splits": time-out from 10s to 2s
	// added: route "plans"
	// removed: route "maps"
	// changed: pool "p": refusal of work beyond the capacity from true to false
}
