// Package resource defines amounts of processor, memory and accelerators, such as the capacity of a backend server
// and the demand of a task.
package resource

import (
	"fmt"
	"math"
)

// Amount is an amount of each resource. It is passed by value.
type Amount struct {
	Processor    int `json:",omitempty"` // thousandths of a core
	Memory       int `json:",omitempty"` // MiB
	Accelerators int `json:",omitempty"`
}

// Plus returns the sum of two amounts.
func (a Amount) Plus(b Amount) Amount {
	return Amount{a.Processor + b.Processor, a.Memory + b.Memory, a.Accelerators + b.Accelerators}
}

// Minus returns the difference of two amounts, which may be negative.
func (a Amount) Minus(b Amount) Amount {
	return Amount{a.Processor - b.Processor, a.Memory - b.Memory, a.Accelerators - b.Accelerators}
}

// Min returns the smaller amount of each resource.
func (a Amount) Min(b Amount) Amount {
	return Amount{min(a.Processor, b.Processor), min(a.Memory, b.Memory), min(a.Accelerators, b.Accelerators)}
}

// Times returns the amount multiplied by n.
func (a Amount) Times(n int) Amount {
	return Amount{n * a.Processor, n * a.Memory, n * a.Accelerators}
}

// Fits reports whether the amount is at most the available amount in every resource.
func (a Amount) Fits(available Amount) bool {
	return a.Processor <= available.Processor && a.Memory <= available.Memory && a.Accelerators <= available.Accelerators
}

// FitCount returns how many times the demand fits into the amount.
func (a Amount) FitCount(demand Amount) int {
	n := math.MaxInt
	for _, x := range [][2]int{
		{a.Processor, demand.Processor}, {a.Memory, demand.Memory}, {a.Accelerators, demand.Accelerators},
	} {
		switch {
		case x[1] > 0:
			n = min(n, max(x[0], 0)/x[1])
		case x[0] < 0:
			n = 0
		}
	}
	return n
}

// Valid reports whether no resource is negative.
func (a Amount) Valid() bool { return a.Processor >= 0 && a.Memory >= 0 && a.Accelerators >= 0 }

// String returns the amount for logs.
func (a Amount) String() string {
	return fmt.Sprintf("%dm/%dMiB/%d", a.Processor, a.Memory, a.Accelerators)
}
