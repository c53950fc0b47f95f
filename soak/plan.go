package main

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// disturbance is one event of a plan: a fault, planned maintenance, or a change in the behaviour of callers.
type disturbance struct {
	Start     time.Duration // from the start of the plan
	Duration  time.Duration // how long it lasts, or a scale for it, depending on the kind
	Kind      kind
	Target    string  // process, link or backend server; empty for the store, callers and the configuration
	Intensity float64 // share, factor or seconds, depending on the kind
}

// String returns the disturbance as a line of the plan.
func (d disturbance) String() string {
	return strings.TrimSpace(fmt.Sprintf("%6.2fs for %5.2fs  %-16s %-22s %s",
		d.Start.Seconds(), d.Duration.Seconds(), d.Kind, d.Target, intensityText(d.Intensity)))
}

func intensityText(x float64) string {
	if x == 0 {
		return ""
	}
	return fmt.Sprintf("%.2f", x)
}

// kind is a kind of disturbance.
type kind string

// Kinds of disturbances. Those of the first group are planned maintenance, which must not cut off requests.
const (
	stopProcess         kind = "Stop" // SIGTERM, then a restart after the process has exited
	leaveBackend        kind = "Leave"
	changeConfiguration kind = "Configure"

	killProcess  kind = "Kill"
	pauseProcess kind = "Pause"
	// restartProcess is a kill and a start at once.
	restartProcess kind = "KillStart"
	// throttleProcess suspends the process for the larger part of each throttlePeriod, as a processor quota does.
	throttleProcess kind = "Throttle"

	delayLink      kind = "Delay"
	resetLink      kind = "Reset"
	resetEntry     kind = "ResetEntry" // connections of callers and of other processes at the same moment
	blackholeLink  kind = "Silence"
	blockForward   kind = "CutForward"
	blockBackward  kind = "CutBackward"
	blockLink      kind = "Cut"
	crashBackend   kind = "Crash"   // a crash and a restart under the same ID
	replaceBackend kind = "Replace" // a crash and a restart under a new ID
	restartBackend kind = "Restart" // a crash and a restart under the same ID after the duration
	slowBackend    kind = "Slow"
	failBackend    kind = "Fail"
	hangBackend    kind = "Hang"
	refuseRequests kind = "RefuseOrders"
	loseResponses  kind = "LoseAnswers"
	delayRequests  kind = "LateOrders"
	shrinkBackend  kind = "Shrink"

	storeBusy          kind = "StoreBusy"
	storeReset         kind = "StoreReset"
	storeNoResponse    kind = "StoreSilent"
	storeSlow          kind = "StoreSlow"
	storeLoseResponses kind = "StoreLost"
	storeDelayWrites   kind = "StoreLate"
	dropHistory        kind = "DropHistory"

	callerBurst   kind = "Burst"
	callerCancels kind = "Cancels"
	callerGiveUps kind = "GiveUps"
	callerReturns kind = "Returns" // callers leave early and submit the job again
	deadlyJobs    kind = "Deadly"  // some jobs crash the backend servers that start their tasks
)

var (
	plannedKinds = []kind{stopProcess, leaveBackend, changeConfiguration}
	processKinds = []kind{killProcess, pauseProcess, stopProcess}
	linkKinds    = []kind{delayLink, resetLink, blackholeLink, blockForward, blockBackward, blockLink}
	backendKinds = []kind{
		crashBackend, replaceBackend, slowBackend, failBackend, hangBackend, refuseRequests, loseResponses, delayRequests,
		leaveBackend,
	}
	storeKinds = []kind{
		storeBusy, storeReset, storeNoResponse, storeSlow, storeLoseResponses, storeDelayWrites, dropHistory,
	}
	capacityKinds = []kind{shrinkBackend}
	entryKinds    = []kind{resetEntry}
	callerKinds   = []kind{callerBurst, callerCancels, callerGiveUps}
	// jobKinds are drawn after all others, so that the plans of earlier seeds keep their disturbances.
	jobKinds = []kind{deadlyJobs}
	// restartKinds are added by withRestarts only.
	restartKinds = []kind{restartProcess, restartBackend}
)

func (k kind) planned() bool { return slices.Contains(plannedKinds, k) }

// targets lists what a plan may disturb.
type targets struct{ processes, entries, links, backends, dataCentres []string }

const (
	// meanGap is the mean time between the starts of independent disturbances. Most last longer, so they overlap.
	meanGap = 900 * time.Millisecond
	// maxDuration is the upper bound of disturbance.Duration.
	maxDuration = 4 * time.Second
	// shrinkStretch is the factor on the duration of shrinkBackend. Most of them then outlast shrinkTimeout.
	shrinkStretch = 3
	// meanShrinkGap and meanEntryGap are the mean times between the starts of disturbances of these groups.
	meanShrinkGap = 4 * time.Second
	meanEntryGap  = 3 * time.Second
	// seriesGap is the mean time between the starts of disturbances of the same series.
	seriesGap = 600 * time.Millisecond
	// plannedShare is the share of the seeds with planned maintenance only. They check the guarantees that do not apply
	// under faults.
	plannedShare = 0.3
	// seriesShare is the share of the disturbances that are repeated as a series over several targets.
	seriesShare = 0.2
	// deadlyShare is the share of the seeds with faults in which some jobs are deadly.
	deadlyShare = 0.5
)

// newPlan draws a random plan of the given duration. The same seed and targets give the same plan.
func newPlan(seed uint64, duration time.Duration, t targets) []disturbance {
	r := rand.New(rand.NewPCG(seed, 4))
	onlyPlanned := r.Float64() < plannedShare
	var plan []disturbance
	for at := time.Duration(0); at < duration; at += time.Duration(r.ExpFloat64() * float64(meanGap)) {
		k := drawKind(r, onlyPlanned)
		candidates := t.candidates(k)
		if len(candidates) == 0 {
			plan = append(plan, drawDisturbance(r, at, k, ""))
			continue
		}
		if r.Float64() >= seriesShare {
			plan = append(plan, drawDisturbance(r, at, k, candidates[r.IntN(len(candidates))]))
			continue
		}
		// Start a series over several targets, at intervals short enough that the disturbances overlap.
		start := at
		for _, i := range r.Perm(len(candidates))[:1+r.IntN(len(candidates))] {
			plan = append(plan, drawDisturbance(r, start, k, candidates[i]))
			start += time.Duration(r.ExpFloat64() * float64(seriesGap))
		}
	}
	if !onlyPlanned && r.Float64() < 0.3 {
		// Kill all processes at the same time.
		at := time.Duration(r.Float64() * float64(duration))
		for _, name := range t.processes {
			plan = append(plan, disturbance{Start: at, Duration: time.Second, Kind: killProcess, Target: name})
		}
	}
	if !onlyPlanned && r.Float64() < deadlyShare {
		plan = append(plan, drawDisturbance(r, time.Duration(r.Float64()*float64(duration)), deadlyJobs, ""))
	}
	if !onlyPlanned {
		// These have generators of their own, so that the other disturbances of a seed are those of earlier violations.
		plan = append(plan, drawGroup(rand.New(rand.NewPCG(seed, 8)), duration, meanShrinkGap, shrinkBackend, t.backends)...)
		plan = append(plan, drawGroup(rand.New(rand.NewPCG(seed, 9)), duration, meanEntryGap, resetEntry, t.entries)...)
		plan = append(plan,
			drawGroup(rand.New(rand.NewPCG(seed, 12)), duration, meanEvacuationGap, evacuateDataCentre, t.dataCentres)...)
	}
	plan = slices.DeleteFunc(plan, func(d disturbance) bool { return d.Start > duration })
	slices.SortStableFunc(plan, func(a, b disturbance) int { return cmp.Compare(a.Start, b.Start) })
	return plan
}

// drawGroup draws disturbances of one kind at random intervals.
func drawGroup(r *rand.Rand, duration, meanGap time.Duration, k kind, candidates []string) (group []disturbance) {
	for at := time.Duration(0); at < duration; at += time.Duration(r.ExpFloat64() * float64(meanGap)) {
		group = append(group, drawDisturbance(r, at, k, candidates[r.IntN(len(candidates))]))
	}
	return group
}

func drawKind(r *rand.Rand, onlyPlanned bool) kind {
	if onlyPlanned {
		return plannedKinds[r.IntN(len(plannedKinds))]
	}
	groups := [][]kind{
		processKinds, processKinds, linkKinds, linkKinds, backendKinds, backendKinds, storeKinds, callerKinds,
		{changeConfiguration},
	}
	group := groups[r.IntN(len(groups))]
	return group[r.IntN(len(group))]
}

// candidates returns the targets that a kind of disturbance applies to.
func (t targets) candidates(k kind) []string {
	switch {
	case slices.Contains(processKinds, k), k == throttleProcess:
		return t.processes
	case slices.Contains(linkKinds, k):
		return t.links
	case slices.Contains(backendKinds, k), slices.Contains(capacityKinds, k):
		return t.backends
	}
	return nil
}

func drawDisturbance(r *rand.Rand, at time.Duration, k kind, target string) disturbance {
	d := disturbance{
		Start: at, Kind: k, Target: target,
		Duration: time.Duration((0.05 + 0.95*r.Float64()) * float64(maxDuration)),
	}
	switch k {
	case resetLink, resetEntry, blackholeLink:
		d.Intensity = 0.2 + 0.8*r.Float64() // share of the connections
	case delayLink, storeSlow:
		d.Intensity = 0.02 + 0.3*r.Float64() // seconds
	case slowBackend:
		d.Intensity = 2 + 8*r.Float64()
	case failBackend, loseResponses, delayRequests, storeLoseResponses, storeDelayWrites:
		d.Intensity = 0.05 + 0.6*r.Float64()
	case evacuateDataCentre:
		d.Duration *= evacuateStretch
	case shrinkBackend:
		d.Intensity = 0.05 + 0.9*r.Float64() // share of the capacity that remains
		d.Duration *= shrinkStretch
	case deadlyJobs:
		d.Intensity = 0.01 + 0.04*r.Float64() // share of the jobs
	case callerBurst:
		d.Intensity = 2 + 4*r.Float64()
	case throttleProcess:
		d.Intensity = 0.1 + 0.4*r.Float64() // share of the time in which the process runs
	case callerCancels, callerGiveUps:
		d.Intensity = 0.1 + 0.4*r.Float64()
	}
	return d
}
