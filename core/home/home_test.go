package home_test

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"

	"dogwoodglade/core/evacuation"
	"dogwoodglade/core/home"
)

const agents = 4000

// countFirstChoices counts how many agents of a data centre choose each entry as their home.
func countFirstChoices(t *testing.T, dataCentre string, entries []home.Entry) map[string]int {
	t.Helper()
	count := map[string]int{}
	for i := range agents {
		name := fmt.Sprintf("agent-%d", i)
		count[home.Rank(name, "r", dataCentre, evacuation.State{}, entries)[0].Name]++
	}
	return count
}

// entriesOf returns numbered entries of one weight in a data centre.
func entriesOf(dataCentre, size string, count int, weight float64) []home.Entry {
	var list []home.Entry
	for i := range count {
		list = append(list, home.Entry{
			Name: fmt.Sprintf("%s-%s-%d", dataCentre, size, i), Region: "r", DataCentre: dataCentre, Weight: weight,
		})
	}
	return list
}

// Guards against backend servers that are divided among so many entries that a job of eight tasks finds no entry with
// capacity for all of them, and against dispatchers that are too few or too small for their agents.
func TestLargestEntriesDispatch(t *testing.T) {
	var large []home.Entry
	for i, dc := range []string{"a", "b", "c", "d", "e"} {
		large = append(large, entriesOf(dc, "large", 3, 0.8)...)
		large = append(large, entriesOf(dc, "small", 7+i%3, 0.192)...)
	}
	for _, c := range []struct {
		name        string
		entries     []home.Entry
		dispatchers int // the fewest, largest first, with a quarter of the region's weight
	}{
		{"three equal entries", slices.Concat(entriesOf("a", "x", 1, 0.4), entriesOf("b", "x", 1, 0.4), entriesOf("c", "x", 1, 0.4)), 1},
		{"eight equal entries", slices.Concat(entriesOf("a", "x", 4, 0.4), entriesOf("b", "x", 4, 0.4)), 2},
		{"four large and six small", slices.Concat(entriesOf("a", "l", 4, 0.8), entriesOf("b", "s", 6, 0.192)), 2},
		{"fifteen large and forty small", large, 7},
	} {
		count := map[string]int{}
		perDataCentre := map[string]int{}
		for _, dc := range []string{"a", "b", "c", "d", "e"} {
			for name, n := range countFirstChoices(t, dc, c.entries) {
				if count[name] == 0 {
					perDataCentre[name[:1]]++
				}
				count[name] += n
			}
		}
		if len(count) != c.dispatchers {
			t.Errorf("%s: %d entries have agents, want %d: %v", c.name, len(count), c.dispatchers, count)
		}
		largest := slices.MaxFunc(c.entries, func(a, b home.Entry) int { return int(1000 * (a.Weight - b.Weight)) })
		for _, e := range c.entries {
			if count[e.Name] > 0 && e.Weight < largest.Weight {
				t.Errorf("%s: %s has agents although larger entries have none", c.name, e.Name)
			}
		}
		if c.dispatchers == 7 {
			for dc, n := range perDataCentre {
				if n > 2 {
					t.Errorf("%s: %d dispatchers in data centre %s, want at most 2: %v", c.name, n, dc, count)
				}
			}
		}
	}
}

// Guards against dispatchers that get far more or fewer agents than their weight, and against agents that move although
// their home still exists.
func TestRankSpreadsByWeight(t *testing.T) {
	entries := append(
		[]home.Entry{
			{Name: "a-1", Region: "r", DataCentre: "a", Weight: 3},
			{Name: "a-2", Region: "r", DataCentre: "a", Weight: 4},
			{Name: "b-1", Region: "r", DataCentre: "b", Weight: 4},
			{Name: "b-2", Region: "r", DataCentre: "b", Weight: 3},
			{Name: "far", Region: "other", DataCentre: "a", Weight: 9},
		},
		entriesOf("c", "small", 40, 1)...,
	)
	count := countFirstChoices(t, "a", entries)
	if share := float64(count["a-2"]) / agents; share < 4.0/7-0.03 || share > 4.0/7+0.03 || count["a-1"]+count["a-2"] < agents {
		t.Errorf("got %v, want four sevenths at a-2 and the rest at a-1", count)
	}
	moved := 0
	for i := range agents {
		name := fmt.Sprintf("agent-%d", i)
		ranked := home.Rank(name, "r", "a", evacuation.State{}, entries)
		rest := home.Rank(name, "r", "a", evacuation.State{}, entries[1:])
		if ranked[0].Name == "a-2" && rest[0].Name != "a-2" {
			moved++
		}
		if last := ranked[len(ranked)-1].Name; last != "far" {
			t.Fatalf("%s ranks %s last, want the entry of another region", name, last)
		}
	}
	// Without a-1, the dispatchers are a-2, b-1, b-2 and two small ones with a weight of 13 in three data centres, so
	// data centre a has 12/13 of its share and one agent in thirteen may leave it.
	if share := float64(moved) / float64(count["a-2"]); share > 1.0/13+0.03 {
		t.Errorf("%.3f of the agents moved from a-2 when a-1 left", share)
	}
}

// Guards against agents of data centres without a dispatcher that all choose the same one, and against agents that
// leave the dispatcher of their own data centre for them.
func TestRankRelievesSmallDataCentres(t *testing.T) {
	var entries []home.Entry
	for _, dc := range []string{"a", "b", "c", "d"} {
		entries = append(entries, entriesOf(dc, "small", 2, 0.2)...)
		if dc == "a" || dc == "b" {
			entries = append(entries, entriesOf(dc, "large", 2, 0.8)...)
		}
	}
	total := map[string]int{}
	for _, dc := range []string{"a", "b", "c", "d"} {
		for name, n := range countFirstChoices(t, dc, entries) {
			total[name[:1]] += n
			if (dc == "a" || dc == "b") && name[:1] != dc {
				t.Errorf("%d agents of %s chose %s instead of an entry of their data centre", n, dc, name)
			}
		}
	}
	for _, dc := range []string{"a", "b"} {
		if share := float64(total[dc]) / (4 * agents); share < 0.47 || share > 0.53 {
			t.Errorf("the dispatcher of %s got %.3f of the agents, want half", dc, share)
		}
	}
}

// Guards against agents that find no home when their data centre has lost its entries, and against all of them
// choosing the same entry.
func TestRankWithoutOwnDataCentre(t *testing.T) {
	entries := slices.Concat(
		entriesOf("a", "x", 4, 0.4), entriesOf("b", "x", 4, 0.4), []home.Entry{{Name: "seed", Weight: 0}},
	)
	total := map[string]int{}
	for name, n := range countFirstChoices(t, "c", entries) {
		total[name[:1]] += n
	}
	if share := float64(total["a"]) / agents; share < 0.47 || share > 0.53 || total["s"] > 0 {
		t.Errorf("got %v, want half at each data centre", total)
	}
}

// Guards against agents that scatter over all entries when a dispatcher is lost: those of the lost one must agree on
// the next.
func TestNextDispatcherAfterLoss(t *testing.T) {
	entries := slices.Concat(entriesOf("a", "x", 1, 0.4), entriesOf("b", "x", 1, 0.4), entriesOf("c", "x", 1, 0.4))
	for len(entries) > 1 {
		count := countFirstChoices(t, "a", entries)
		if len(count) != 1 {
			t.Fatalf("with %d entries left: got %v, want one home", len(entries), count)
		}
		entries = slices.DeleteFunc(entries, func(e home.Entry) bool { return count[e.Name] > 0 })
	}
}

// Guards against one entry with an impossible weight that changes how agents are distributed over the others.
func TestImpossibleWeightChangesNoOther(t *testing.T) {
	entries := slices.Concat(entriesOf("a", "x", 4, 0.4), entriesOf("b", "x", 4, 0.4))
	count := func(list []home.Entry) map[string]int {
		total := countFirstChoices(t, "a", list)
		for name, n := range countFirstChoices(t, "b", list) {
			total[name] += n
		}
		return total
	}
	want := count(entries)
	for _, weight := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -100, 1e300} {
		odd := home.Entry{Name: "odd", Address: "10.0.0.9:99999", Region: "r", DataCentre: "a", Weight: weight}
		for _, list := range [][]home.Entry{append([]home.Entry{odd}, entries...), append(slices.Clone(entries), odd)} {
			if got := count(list); !maps.Equal(got, want) {
				t.Errorf("weight %v: got %v, want %v", weight, got, want)
			}
		}
	}
}

// Guards against dispatchers of an evacuated data centre that have no usable backend server, so that started jobs there
// wait until they time out, and against more agents that change their home than necessary.
func TestEvacuatedDispatchersGetAgents(t *testing.T) {
	dataCentres := []string{"a", "b", "c"}
	var entries []home.Entry
	for _, dc := range dataCentres {
		entries = append(entries, entriesOf(dc, "x", 4, 0.8)...)
	}
	evacuated := evacuation.NewState(7, map[string]uint64{"a": 7})
	others := 0
	usable := map[string]int{} // agents that are not evacuated, by data centre of their home
	for _, dc := range dataCentres {
		for i := range agents {
			name := fmt.Sprintf("%s-agent-%d", dc, i)
			before := home.Rank(name, "r", dc, evacuation.State{}, entries)[0]
			after := home.Rank(name, "r", dc, evacuated, entries)[0]
			if before != after && (dc == "a" || after.DataCentre != "a") {
				others++
			}
			if dc != "a" {
				usable[after.DataCentre]++
			}
		}
	}
	if others > 2*agents/100 { // the weights of the other dispatchers are small, not 0
		t.Errorf("%d agents change their home for one that is not evacuated, or are evacuated", others)
	}
	for _, dc := range dataCentres {
		if share := float64(usable[dc]) / (2 * agents); math.Abs(share-1.0/3) > 0.05 {
			t.Errorf("the dispatchers of %s have %.2f of the usable agents", dc, share)
		}
	}
}
