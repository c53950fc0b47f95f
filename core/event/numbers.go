package event

import (
	"maps"
	"slices"
)

// Numbers returns the numbers of all kinds of events in ascending order.
func Numbers() []Number { return slices.Sorted(maps.Keys(names)) }
