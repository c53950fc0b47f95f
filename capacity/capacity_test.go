package capacity

import (
	"math"
	"testing"
)

// If the fit did not report curvature, a quadratic cost could be mistaken for a linear one and be underestimated at
// the target size.
func TestFitLineReportsDeviationFromLine(t *testing.T) {
	line := []Point{{10, 25}, {20, 45}, {40, 85}, {80, 165}}
	f, err := FitLine(line)
	if err != nil || math.Abs(f.PerUnit-2) > 1e-9 || math.Abs(f.Base-5) > 1e-9 || f.R2 < 1-1e-9 ||
		f.LargestResidual > 1e-9 {
		t.Errorf("line: got %+v, %v", f, err)
	}
	square := []Point{{10, 100}, {20, 400}, {40, 1600}, {80, 6400}}
	f, err = FitLine(square)
	if err != nil || math.Abs(f.Exponent-2) > 1e-9 || f.R2 > 0.99 || f.LargestResidual < 0.05 {
		t.Errorf("square: got %+v, %v", f, err)
	}
	if _, err := FitLine([]Point{{10, 1}, {10, 2}}); err == nil {
		t.Error("one size: got no error")
	}
}
