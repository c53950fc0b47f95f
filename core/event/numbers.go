package event

import (
	"maps"
	"slices"
)

// Numbers returns all numbers in ascending order.
func Numbers() []Number { return slices.Sorted(maps.Keys(names)) }
