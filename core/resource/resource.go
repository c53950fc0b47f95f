// Package resource owns amounts of processor, memory and accelerators: what a backend server has, and what a
// task asks of it.
package resource

import "fmt"

// Amount is an amount of each resource. It is a value.
type Amount struct {
	Processor    int `json:",omitempty"` // thousandths of a core
	Memory       int `json:",omitempty"` // MiB
	Accelerators int `json:",omitempty"`
}

// Plus returns the sum of two amounts.
func (a Amount) Plus(b Amount) Amount {
	return Amount{a.Processor + b.Processor, a.Memory + b.Memory, a.Accelerators + b.Accelerators}
}

// Minus returns the difference of two amounts. It may be negative.
func (a Amount) Minus(b Amount) Amount {
	return Amount{a.Processor - b.Processor, a.Memory - b.Memory, a.Accelerators - b.Accelerators}
}

// Times returns n times the amount.
func (a Amount) Times(n int) Amount {
	return Amount{n * a.Processor, n * a.Memory, n * a.Accelerators}
}

// Fits reports whether the amount is within room in every resource.
func (a Amount) Fits(room Amount) bool {
	return a.Processor <= room.Processor && a.Memory <= room.Memory && a.Accelerators <= room.Accelerators
}

// Valid reports whether no resource is negative.
func (a Amount) Valid() bool { return a.Processor >= 0 && a.Memory >= 0 && a.Accelerators >= 0 }

// String returns the amount for logs.
func (a Amount) String() string {
	return fmt.Sprintf("%dm/%dMiB/%d", a.Processor, a.Memory, a.Accelerators)
}
