package main

import (
	"slices"
	"testing"
	"time"
)

// Guards against a program that breaks a promise beside signals, broken connections, and a store and backend servers
// that misbehave. The seeds are short ones that have all kinds of targets.
func TestShortSoak(t *testing.T) {
	binary, cleanUp, err := build(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	defer cleanUp()
	var runs []options
	for seed := range uint64(2) {
		runs = append(runs, options{
			seed: 1001 + seed, duration: 6 * time.Second, entries: 3, agents: 3, binary: binary, logDirectory: t.TempDir(),
		})
	}
	for _, r := range regressions {
		r.binary, r.logDirectory = binary, t.TempDir()
		runs = append(runs, r.options)
	}
	if err := runAll(t.Context(), runs, 2, t.Output()); err != nil {
		t.Error(err)
	}
}

// Guards against a seed that does not repeat its plan, and against kinds of disturbances that never come.
func TestPlans(t *testing.T) {
	all := targets{
		processes: []string{"entry-1", "agent-1"}, links: []string{"entry-1/inner"}, backends: []string{"agent-1"},
	}
	seen := map[kind]bool{}
	for seed := range uint64(60) {
		plan := newPlan(seed, 20*time.Second, all)
		if !slices.Equal(plan, newPlan(seed, 20*time.Second, all)) {
			t.Errorf("seed %d: two plans", seed)
		}
		for _, d := range plan {
			seen[d.Kind] = true
		}
	}
	for _, kinds := range [][]kind{plannedKinds, processKinds, linkKinds, backendKinds, storeKinds, callerKinds} {
		for _, k := range kinds {
			if !seen[k] {
				t.Errorf("no plan has %s", k)
			}
		}
	}
}
