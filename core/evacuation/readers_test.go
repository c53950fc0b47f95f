package evacuation_test

import (
	"fmt"
	"testing"
	"time"

	"dogwoodglade/core/evacuation"
)

// Guards against a store that all agents of a site call while it is away: 240 agents at 7 entries, for a minute.
func TestReadsDuringOutage(t *testing.T) {
	const entries, agents, outage = 7, 240, time.Minute
	begin := time.Unix(1000, 0)
	reads, asked := 0, map[string]bool{}
	for e := range entries {
		names := map[string]string{}
		for i := e; i < agents; i += entries {
			names[fmt.Sprint("agent-", i)] = fmt.Sprint("dc-", i%5)
		}
		var r evacuation.Readers
		for age := time.Duration(0); age < outage; age += 150 * time.Millisecond {
			for _, name := range r.Next(begin.Add(age), age, names) {
				reads++
				asked[name] = true
			}
		}
	}
	t.Logf("%.1f reads a second", float64(reads)/outage.Seconds())
	if limit := entries * (int(outage.Seconds()) + 8); reads > limit {
		t.Errorf("%d reads, want at most one a second and eight more of each entry, %d", reads, limit)
	}
	if len(asked) != agents {
		t.Errorf("%d of %d agents were asked", len(asked), agents)
	}
}

// Guards against an entry whose knowledge stays old although one of its agents reaches the store, and against agents that
// are asked beside it.
func TestReaderIsKept(t *testing.T) {
	begin := time.Unix(1000, 0)
	names := map[string]string{"a": "", "b": "", "c": "", "d": "", "e": "", "f": ""}
	var r evacuation.Readers
	confirmedAt, reads, oldest := begin, 0, time.Duration(0)
	for now := begin; now.Before(begin.Add(time.Minute)); now = now.Add(150 * time.Millisecond) {
		age := now.Sub(confirmedAt)
		if now.After(begin.Add(10 * time.Second)) {
			oldest = max(oldest, age)
		}
		for _, name := range r.Next(now, age, names) {
			reads++
			if name == "f" {
				confirmedAt = now
				r.Succeeded(name)
			}
		}
	}
	if oldest > evacuation.MaxAge+300*time.Millisecond || reads > 6+60/2 {
		t.Errorf("%d reads, and the knowledge was up to %v old", reads, oldest)
	}
}

// Guards against an entry that asks only agents of its own data centre for many seconds, which are cut off from the store
// together with it. Their names carry the data centre.
func TestReadersOfAllDataCentresAreAskedFirst(t *testing.T) {
	begin := time.Unix(1000, 0)
	names := map[string]string{}
	for i := range 30 {
		names[fmt.Sprint("a-", i)] = "a"
	}
	for _, dataCentre := range []string{"b", "c", "d"} {
		names[dataCentre+"-1"] = dataCentre
		names[dataCentre+"-2"] = dataCentre
	}
	var r evacuation.Readers
	asked, turns := map[string]bool{}, map[string]int{}
	reached := time.Duration(-1)
	for after := time.Duration(0); after < 40*time.Second; after += 150 * time.Millisecond {
		chosen := r.Next(begin.Add(after), evacuation.MaxAge+1, names)
		for _, name := range chosen {
			asked[names[name]] = true
			turns[name]++
		}
		if len(chosen) == 2 && len(turns) <= 6 && names[chosen[0]] == names[chosen[1]] {
			t.Errorf("after %v both of a round are in data centre %s", after, names[chosen[0]])
		}
		if len(asked) == 4 && reached < 0 {
			reached = after
		}
	}
	t.Logf("all data centres were asked after %v", reached)
	if reached < 0 || reached > time.Second {
		t.Errorf("all data centres were asked after %v", reached)
	}
	if len(turns) != len(names) {
		t.Errorf("%d of %d agents were asked", len(turns), len(names))
	}
}
