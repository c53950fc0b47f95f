package overload

import "slices"

// Rules are the parts of the policy that apply to a pool because its configuration calls for them.
type Rules struct {
	Displace    bool // a more urgent job may displace waiting ones
	GuardRoutes bool // a route that is refused more than the others of the pool is refused less from then on
}

// allRules apply to a pool whose configuration is not known yet.
var allRules = Rules{Displace: true, GuardRoutes: true}

// RulesFor returns the rules for a pool with routes of the given priorities. Only routes of different priorities say
// which jobs may give way to others, and only routes that share a pool compete for it.
func RulesFor(priorities ...int) Rules {
	return Rules{
		Displace:    len(slices.Compact(slices.Sorted(slices.Values(priorities)))) > 1,
		GuardRoutes: len(priorities) > 1,
	}
}
