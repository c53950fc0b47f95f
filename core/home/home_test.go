package home_test

import (
	"fmt"
	"testing"

	"dogwoodglade/core/home"
)

const agents = 4000

// countFirstChoices counts how many agents of a data centre choose each entry as their home.
func countFirstChoices(t *testing.T, dataCentre string, entries []home.Entry) map[string]int {
	t.Helper()
	count := map[string]int{}
	for i := range agents {
		name := fmt.Sprintf("agent-%d", i)
		count[home.Rank(name, "r", dataCentre, entries)[0].Name]++
	}
	return count
}

// Guards against entries that get far more or fewer agents than their weight, and against agents that move although
// their home still exists.
func TestRankSpreadsByWeight(t *testing.T) {
	entries := []home.Entry{
		{Name: "a-1", Region: "r", DataCentre: "a", Weight: 1},
		{Name: "a-2", Region: "r", DataCentre: "a", Weight: 3},
		{Name: "b-1", Region: "r", DataCentre: "b", Weight: 4},
		{Name: "far", Region: "other", DataCentre: "a", Weight: 9},
	}
	count := countFirstChoices(t, "a", entries)
	if share := float64(count["a-2"]) / agents; share < 0.72 || share > 0.78 || count["b-1"]+count["far"] > 0 {
		t.Errorf("got %v, want three quarters at a-2 and none at b-1", count)
	}
	moved := 0
	for i := range agents {
		name := fmt.Sprintf("agent-%d", i)
		first, rest := home.Rank(name, "r", "a", entries)[0], home.Rank(name, "r", "a", entries[1:])
		if first.Name == "a-2" && rest[0].Name != "a-2" {
			moved++
		}
		if last := home.Rank(name, "r", "a", entries)[3].Name; last != "far" {
			t.Fatalf("%s ranks %s last, want the entry of another region", name, last)
		}
	}
	// Data centre a has 3 of 7 left, which is 6/7 of its share, so one agent in seven may leave it.
	if share := float64(moved) / float64(count["a-2"]); share > 1.0/7+0.03 {
		t.Errorf("%.3f of the agents moved from a-2 when a-1 left", share)
	}
}

// Guards against small entries that have to serve all agents of their data centre as well as its callers, while
// large entries in other data centres have spare processor time.
func TestRankRelievesSmallDataCentres(t *testing.T) {
	var entries []home.Entry
	for _, dc := range []string{"a", "b", "c", "d"} {
		for i := range 3 {
			e := home.Entry{Name: fmt.Sprintf("%s-%d", dc, i), Region: "r", DataCentre: dc, Weight: 0.2}
			if i < 2 && (dc == "a" || dc == "b") {
				e.Weight = 0.8
			} else if i == 2 && dc > "b" {
				continue
			}
			entries = append(entries, e)
		}
	}
	total := map[string]int{}
	for _, dc := range []string{"a", "b", "c", "d"} {
		for name, n := range countFirstChoices(t, dc, entries) {
			total[name] += n
			if (dc == "a" || dc == "b") && name[:1] != dc {
				t.Errorf("%d agents of %s chose %s instead of an entry of their data centre", n, dc, name)
			}
		}
	}
	// The weights add up to 3.2 for the large entries and 1.2 for the small ones.
	for _, e := range entries {
		share, want := float64(total[e.Name])/(4*agents), e.Weight/4.4
		if share < 0.85*want || share > 1.15*want {
			t.Errorf("%s got %.3f of the agents, want %.3f", e.Name, share, want)
		}
	}
}

// Guards against agents that find no home when their data centre has lost its entries, and against all of them
// choosing the same entry.
func TestRankWithoutOwnDataCentre(t *testing.T) {
	entries := []home.Entry{
		{Name: "a-1", Region: "r", DataCentre: "a", Weight: 0.4},
		{Name: "b-1", Region: "r", DataCentre: "b", Weight: 0.4},
		{Name: "seed", Weight: 0},
	}
	count := countFirstChoices(t, "c", entries)
	if share := float64(count["a-1"]) / agents; share < 0.47 || share > 0.53 || count["seed"] > 0 {
		t.Errorf("got %v, want half at each", count)
	}
}
