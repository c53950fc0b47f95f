package home_test

import (
	"fmt"
	"testing"

	"dogwoodglade/core/home"
)

// Guards against entries that get far more or fewer agents than their weight, and against agents that move
// although their home is still there.
func TestRankSpreadsByWeight(t *testing.T) {
	entries := []home.Entry{
		{Name: "a-1", Region: "a", Weight: 1},
		{Name: "a-2", Region: "a", Weight: 3},
		{Name: "b-1", Region: "b", Weight: 1},
	}
	const agents = 4000
	count := map[string]int{}
	for i := range agents {
		name := fmt.Sprintf("agent-%d", i)
		first := home.Rank(name, "a", entries)[0]
		count[first.Name]++
		rest := home.Rank(name, "a", entries[1:])
		if first.Name == "a-2" && rest[0].Name != "a-2" {
			t.Fatalf("%s moved from a-2 to %s when a-1 went", name, rest[0].Name)
		}
	}
	if share := float64(count["a-2"]) / agents; share < 0.72 || share > 0.78 || count["b-1"] > 0 {
		t.Errorf("got %v, want three quarters at a-2 and none at b-1", count)
	}
}
