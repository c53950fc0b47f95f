package main

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxDowntime is the maximum time after which a backend server is back under its ID.
	maxDowntime = 2 * time.Second
	// maxWaveRestarts is the maximum number of backend servers that restart in a wave, and of processes that are killed.
	maxWaveRestarts = 3
	// agentRestartShare is the share of the restarts beside which the agent of the backend server is killed too.
	agentRestartShare = 0.3
)

// withRestarts adds restarts to the waves of a plan, which begin with resetEntry. The orders to a backend server are
// late from the beginning of the wave on, so that some of them are on their way when it restarts.
func withRestarts(plan []disturbance, seed uint64, t targets) []disturbance {
	r := rand.New(rand.NewPCG(seed, 11))
	var added []disturbance
	for _, d := range plan {
		if d.Kind != resetEntry {
			continue
		}
		for _, i := range r.Perm(len(t.backends))[:1+r.IntN(min(maxWaveRestarts, len(t.backends)))] {
			target := t.backends[i]
			at := d.Start + time.Duration(r.Float64()*float64(waveLength))
			late := drawDisturbance(r, d.Start, delayRequests, target)
			late.Duration = waveLength
			added = append(added, late, disturbance{
				Start: at, Kind: restartBackend, Target: target, Duration: time.Duration(r.Float64() * float64(maxDowntime)),
			})
			if r.Float64() < agentRestartShare {
				at += time.Duration(r.Float64() * float64(maxDowntime))
				added = append(added, disturbance{Start: at, Kind: restartProcess, Target: target})
			}
		}
		for range r.IntN(maxWaveRestarts + 1) {
			added = append(added, disturbance{
				Start: d.Start + time.Duration(r.Float64()*float64(waveLength)), Kind: restartProcess,
				Target: t.processes[r.IntN(len(t.processes))],
			})
		}
	}
	plan = append(slices.Clone(plan), added...)
	slices.SortStableFunc(plan, func(a, b disturbance) int { return cmp.Compare(a.Start, b.Start) })
	return plan
}
