package site

import (
	"dogwoodglade/core/batch"
	"dogwoodglade/core/overload"
)

// OverloadRules returns which parts of the overload policy the configuration calls for, by pool. Routes whose jobs are
// refused in any case do not count.
func (c Configuration) OverloadRules() map[string]overload.Rules {
	priorities := map[string][]int{}
	for _, r := range c.Routes {
		if r.UnsupportedFeature == "" {
			priorities[r.Pool] = append(priorities[r.Pool], min(max(r.Priority, 0), batch.MaxPriority))
		}
	}
	rules := map[string]overload.Rules{}
	for pool, p := range priorities {
		rules[pool] = overload.RulesFor(p...)
	}
	return rules
}
