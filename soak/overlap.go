package main

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// meanWaveGap is the mean time between the waves of a plan. A run, its session and its lease end within it.
	meanWaveGap = 1500 * time.Millisecond
	// waveLength is the time within which the disturbances of a wave start. It is the time that a caller waits before it
	// submits a job again, so that some of them meet the end of the earlier runs.
	waveLength = resendDelay
	// waveSize is the maximum number of disturbances of a wave.
	waveSize = 8
	// returnShare is the share of the callers that leave early and submit again.
	returnShare = 0.7
	// maxWaveDuration is the upper bound of the duration of a disturbance, so that it ends in the next wave.
	maxWaveDuration = 1800 * time.Millisecond
)

// waveKinds are the kinds of disturbances in a wave. Most of them delay or lose what ends the runs of a job.
var waveKinds = []kind{
	throttleProcess, throttleProcess, pauseProcess, killProcess, blackholeLink, blackholeLink, resetLink, blockForward,
	blockBackward, blockLink, delayLink, hangBackend, loseResponses, delayRequests, slowBackend,
}

// newOverlappingPlan draws waves of disturbances that overlap, while many callers leave and submit their jobs again. Each
// wave begins with broken connections of one entry.
func newOverlappingPlan(seed uint64, duration time.Duration, t targets) []disturbance {
	r := rand.New(rand.NewPCG(seed, 10))
	plan := []disturbance{{Duration: duration, Kind: callerReturns, Intensity: returnShare}}
	for at := time.Duration(0); at < duration; at += time.Duration(r.ExpFloat64() * float64(meanWaveGap)) {
		plan = append(plan, drawDisturbance(r, at, resetEntry, t.entries[r.IntN(len(t.entries))]))
		for range 1 + r.IntN(waveSize) {
			k := waveKinds[r.IntN(len(waveKinds))]
			candidates := t.candidates(k)
			d := drawDisturbance(r, at+time.Duration(r.Float64()*float64(waveLength)), k, candidates[r.IntN(len(candidates))])
			d.Duration = min(d.Duration, time.Duration(r.Float64()*float64(maxWaveDuration)))
			plan = append(plan, d)
		}
	}
	plan = slices.DeleteFunc(plan, func(d disturbance) bool { return d.Start > duration })
	slices.SortStableFunc(plan, func(a, b disturbance) int { return cmp.Compare(a.Start, b.Start) })
	return plan
}
