package main

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// roundLength is the time of a round of newConfigurationPlan.
	roundLength = 10 * time.Second
	// turnedAwayTime is how long the store turns entries away, twice the time-out of a watcher's poll.
	turnedAwayTime = 4 * time.Second
	// maxRoundChanges is the maximum number of changes of the configuration while entries are turned away.
	maxRoundChanges = 4
	// roundProcessShare is the share of the rounds in which an entry is killed, paused or stopped too.
	roundProcessShare = 0.4
)

// turnAwayKinds are the ways in which the store does not answer an entry.
var turnAwayKinds = []kind{blockLink, blockForward, blockBackward}

// newConfigurationPlan draws rounds of changes of the configuration. In each, the connections of all entries to the store
// become silent. When the guarantees with a time limit apply again, the store turns half or more of the entries away,
// but not all, and the configuration changes.
func newConfigurationPlan(seed uint64, duration time.Duration, t targets) []disturbance {
	r := rand.New(rand.NewPCG(seed, 13))
	var plan []disturbance
	for at := time.Duration(0); at < duration; at += roundLength {
		plan = append(plan, disturbance{Start: at, Kind: changeConfiguration})
		silent := at + drawTime(r, 300*time.Millisecond)
		for _, name := range t.entries {
			plan = append(plan, disturbance{Start: silent, Kind: blackholeLink, Target: storeLinkOf(name), Intensity: 1})
		}
		turnAway := silent + settleTime + drawTime(r, time.Second)
		k := turnAwayKinds[r.IntN(len(turnAwayKinds))]
		least := len(t.entries) / 2
		for _, i := range r.Perm(len(t.entries))[:least+r.IntN(len(t.entries)-least)] {
			plan = append(plan, disturbance{
				Start: turnAway, Duration: turnedAwayTime, Kind: k, Target: storeLinkOf(t.entries[i]),
			})
		}
		change := turnAway + drawTime(r, 100*time.Millisecond)
		for range 1 + r.IntN(maxRoundChanges) {
			plan = append(plan, disturbance{Start: change, Kind: changeConfiguration})
			change += drawTime(r, turnedAwayTime/2)
		}
		if r.Float64() < roundProcessShare {
			d := drawDisturbance(r, turnAway+drawTime(r, time.Second), processKinds[r.IntN(len(processKinds))],
				t.entries[r.IntN(len(t.entries))])
			d.Duration = min(d.Duration, turnedAwayTime/2)
			plan = append(plan, d)
		}
	}
	plan = slices.DeleteFunc(plan, func(d disturbance) bool { return d.Start > duration })
	slices.SortStableFunc(plan, func(a, b disturbance) int { return cmp.Compare(a.Start, b.Start) })
	return plan
}

// drawTime draws a time below a limit.
func drawTime(r *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(r.Float64() * float64(limit))
}
