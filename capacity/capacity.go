// Package capacity measures the memory, processor time and traffic that the code uses per unit of state and per
// message.
//
// Each measure runs the code at several sizes and fits a line, so that docs/CAPACITY.md can multiply the slopes
// by the target sizes. It is used by the capacity command and by the tests of the resource budgets. It needs no
// running process and no platform. A measure that fails returns a typed error and does not affect the others.
package capacity

import (
	"math"
	"slices"

	"github.com/cockroachdb/errors"
)

// Resource budgets of the agent on a node: live heap, control traffic, and processor time as a share of a core.
const (
	BudgetHeapBytes      = 32_000_000
	BudgetBytesPerSecond = 5_000
	BudgetCoreShare      = 0.019
)

// Quantity is a kind of cost.
type Quantity string

// Quantities that are measured.
const (
	HeapBytes       Quantity = "HeapBytes"       // live heap after garbage collection
	CPUMicroseconds Quantity = "CPUMicroseconds" // processor time of the process, including the garbage collector
	WireBytes       Quantity = "WireBytes"       // traffic on connections, without TCP/IP headers
)

// Cost is the total cost of a run at one size.
type Cost map[Quantity]float64

// Measure describes how to measure the cost of an operation or a data structure at several sizes.
type Measure struct {
	Name  string
	Unit  string // what the size counts
	Sizes []int
	Run   func(size int) (Cost, error)
}

// Point is the cost at one size.
type Point struct {
	Size int
	Cost float64
}

// Slope is a line fitted to the costs of a measure.
type Slope struct {
	Measure  string
	Unit     string
	Quantity Quantity
	Fit
	Points []Point
}

// Fit is a least-squares line. LargestResidual is a share of the largest cost. Exponent is the growth of the
// cost as a power of the size from the smallest size to the largest: 1 is linear, 2 quadratic.
type Fit struct {
	Exponent        float64
	PerUnit         float64
	Base            float64
	R2              float64
	LargestResidual float64
}

// FitError reports that no line can be fitted to the points.
type FitError struct{ Points int }

// Error implements error.
func (e *FitError) Error() string {
	return "fit line: want at least two different sizes"
}

// FitLine fits a line by least squares.
func FitLine(points []Point) (Fit, error) {
	var n, sumX, sumY, sumXX, sumXY float64
	for _, p := range points {
		x := float64(p.Size)
		n, sumX, sumY, sumXX, sumXY = n+1, sumX+x, sumY+p.Cost, sumXX+x*x, sumXY+x*p.Cost
	}
	spread := n*sumXX - sumX*sumX
	if n < 2 || spread == 0 {
		return Fit{}, errors.WithStack(&FitError{Points: len(points)})
	}
	var f Fit
	f.PerUnit = (n*sumXY - sumX*sumY) / spread
	f.Base = (sumY - f.PerUnit*sumX) / n
	first, last := points[0], points[len(points)-1]
	if first.Size > 0 && first.Cost > 0 && last.Cost > 0 {
		f.Exponent = math.Log(last.Cost/first.Cost) / math.Log(float64(last.Size)/float64(first.Size))
	}
	var unexplained, total, largest float64
	for _, p := range points {
		residual := p.Cost - f.Base - f.PerUnit*float64(p.Size)
		unexplained += residual * residual
		total += (p.Cost - sumY/n) * (p.Cost - sumY/n)
		f.LargestResidual = max(f.LargestResidual, math.Abs(residual))
		largest = max(largest, math.Abs(p.Cost))
	}
	f.R2 = 1
	if total > 0 {
		f.R2 = 1 - unexplained/total
	}
	if largest > 0 {
		f.LargestResidual /= largest
	}
	return f, nil
}

// Slopes runs the measure and fits one line per quantity. Each size is run several times and the lowest cost is
// used, because other processes on the machine can only increase it.
func (m Measure) Slopes(repeats int) ([]Slope, error) {
	points := map[Quantity][]Point{}
	for _, size := range m.Sizes {
		lowest := Cost{}
		for range max(repeats, 1) {
			cost, err := m.Run(size)
			if err != nil {
				return nil, errors.Wrapf(err, "measure %s at size %d", m.Name, size)
			}
			for q, c := range cost {
				if before, ok := lowest[q]; !ok || c < before {
					lowest[q] = c
				}
			}
		}
		for q, c := range lowest {
			points[q] = append(points[q], Point{Size: size, Cost: c})
		}
	}
	var slopes []Slope
	for _, q := range []Quantity{HeapBytes, CPUMicroseconds, WireBytes} {
		if len(points[q]) == 0 {
			continue
		}
		fit, err := FitLine(points[q])
		if err != nil {
			return nil, errors.Wrapf(err, "measure %s", m.Name)
		}
		slopes = append(slopes, Slope{Measure: m.Name, Unit: m.Unit, Quantity: q, Fit: fit, Points: points[q]})
	}
	return slopes, nil
}

// All returns all measures.
func All() []Measure {
	return slices.Concat(allocatorMeasures(), jobMeasures(), agentMeasures(), tableMeasures(),
		ownershipMeasures(), messageMeasures(), submitMeasures(), backendMeasures())
}
