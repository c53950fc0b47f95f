package overload_test

import (
	"testing"
	"time"

	"dogwoodglade/core/overload"
)

// Guards against jobs that are displaced or protected in a pool whose configuration says nothing about which jobs may give
// way: those of a single route, or of routes of one priority.
func TestRulesFor(t *testing.T) {
	for _, c := range []struct {
		priorities []int
		want       overload.Rules
	}{
		{nil, overload.Rules{}},
		{[]int{1}, overload.Rules{}},
		{[]int{1, 1}, overload.Rules{GuardRoutes: true}},
		{[]int{2, 0, 2}, overload.Rules{Displace: true, GuardRoutes: true}},
	} {
		if got := overload.RulesFor(c.priorities...); got != c.want {
			t.Errorf("priorities %v: got %+v, want %+v", c.priorities, got, c.want)
		}
	}
}

// Guards against a waiting job that is displaced although the configuration in force has one priority only: the jobs of
// another one were accepted before the change.
func TestRulesDecideAboutDisplacement(t *testing.T) {
	for _, c := range []struct {
		priorities []int
		want       bool
	}{{[]int{0, 1}, true}, {[]int{1, 1}, false}} {
		p := overload.New()
		learn(p)
		p.SetRules(overload.RulesFor(c.priorities...))
		now := start.Add(time.Second)
		started := job("usual", 1, now, 70*time.Millisecond, 0.8)
		started.Started = true
		queue := sortedQueue{started, job("usual", 1, now, 75*time.Millisecond, 0.1)}
		d := p.Decide(now, job("urgent", 0, now, 80*time.Millisecond, 0.1), queue, overload.Capacity{Cores: 10})
		if _, displaced := d.(overload.Displace); displaced != c.want {
			t.Errorf("priorities %v: got %T", c.priorities, d)
		}
	}
}
