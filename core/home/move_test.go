package home_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"dogwoodglade/core/evacuation"
	"dogwoodglade/core/home"
)

// Guards against agents that all change their home at once when an evacuation is ordered or taken back: 240 agents and 55
// entries in five data centres. Agents that have nothing to do with it stay, and of the others at most a twentieth of the
// site moves within half a second.
func TestMovesAfterEvacuationAreSpread(t *testing.T) {
	const agents, window = 240, 500 * time.Millisecond
	var entries []home.Entry
	dataCentres := []string{"a", "b", "c", "d", "e"}
	for _, dc := range dataCentres {
		entries = append(entries, entriesOf(dc, "large", 3, 0.8)...)
		entries = append(entries, entriesOf(dc, "small", 8, 0.192)...)
	}
	first := func(agent int, state evacuation.State) home.Entry {
		return home.Rank(fmt.Sprint("agent-", agent), "r", dataCentres[agent%5], state, entries)[0]
	}
	for _, dc := range dataCentres {
		evacuated := evacuation.NewState(7, map[string]uint64{dc: 7})
		var moves []time.Duration
		unrelated := 0
		for i := range agents {
			before, after := first(i, evacuation.State{}), first(i, evacuated)
			if before.Name == after.Name {
				continue
			}
			if after.DataCentre != dc {
				unrelated++
			}
			moves = append(moves, home.MoveDelay(fmt.Sprint("agent-", i), true))
		}
		slices.Sort(moves)
		most := 0
		for i, at := range moves {
			n, _ := slices.BinarySearch(moves, at+window)
			most = max(most, n-i)
		}
		t.Logf("%s: %d agents move, %d of them within %v", dc, len(moves), most, window)
		if most > agents/20 || unrelated > agents/20 || moves[len(moves)-1] > 6*time.Second {
			t.Errorf("%s: %d agents move within %v, %d to entries elsewhere, the last after %v", dc, most, window, unrelated,
				moves[len(moves)-1])
		}
	}
}

// Guards against entries without a data centre in their settings that get no agents beside others that have one, or fewer
// than their share, also when a data centre is evacuated.
func TestEntriesWithoutDataCentreGetAgents(t *testing.T) {
	entries := slices.Concat(entriesOf("", "x", 4, 0.8), entriesOf("a", "x", 4, 0.8), entriesOf("b", "x", 4, 0.8))
	for _, state := range []evacuation.State{{}, evacuation.NewState(7, map[string]uint64{"a": 7})} {
		count := map[string]int{}
		for i := range agents {
			e := home.Rank(fmt.Sprint("agent-", i), "r", "b", state, entries)[0]
			count[e.DataCentre]++
		}
		// One dispatcher of each kind. The agents of b serve it and, with half of those of a or alone, the one without.
		if share := float64(count[""]) / agents; share < 0.25 || count["b"] < agents/4 {
			t.Errorf("with %v evacuated, the entries without a data centre have %.2f of the agents of b, those of b %d",
				state.DataCentres(), share, count["b"])
		}
	}
}
