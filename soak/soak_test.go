package main

import (
	"slices"
	"testing"
	"time"
)

// Guards against violations of the guarantees under signals, broken connections, and faults of the store and of backend
// servers. Runs two short plans that together disturb all kinds of targets, a short plan
// of overlapping waves, and the seeds of earlier violations.
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
	runs = append(runs, options{
		seed: 1, duration: 6 * time.Second, entries: 3, agents: 3, overlapping: true, binary: binary, logDirectory: t.TempDir(),
	})
	for _, r := range regressions {
		r.binary, r.logDirectory = binary, t.TempDir()
		runs = append(runs, r.options)
	}
	if err := runAll(t.Context(), runs, 2, t.Output()); err != nil {
		t.Error(err)
	}
}

// Guards against plans that are not reproducible from their seed, and against kinds of disturbances that are never
// drawn.
func TestPlans(t *testing.T) {
	all := targets{
		processes: []string{"entry-1", "agent-1"}, entries: []string{"entry-1"}, links: []string{"entry-1/inner"},
		backends: []string{"agent-1"},
	}
	seen := map[kind]bool{}
	for seed := range uint64(60) {
		for _, draw := range []func(uint64, time.Duration, targets) []disturbance{newPlan, newOverlappingPlan} {
			plan := draw(seed, 20*time.Second, all)
			if !slices.Equal(plan, draw(seed, 20*time.Second, all)) {
				t.Errorf("seed %d gave two different plans", seed)
			}
			for _, d := range plan {
				seen[d.Kind] = true
			}
		}
	}
	for _, kinds := range [][]kind{
		plannedKinds, processKinds, linkKinds, backendKinds, storeKinds, callerKinds, capacityKinds, entryKinds, jobKinds,
		{throttleProcess, callerReturns},
	} {
		for _, k := range kinds {
			if !seen[k] {
				t.Errorf("no plan contains %s", k)
			}
		}
	}
}
