package main

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// disturbance is one thing that happens to the site.
type disturbance struct {
	At     time.Duration // from the start of the plan
	For    time.Duration
	Kind   kind
	Target string  // process, link or backend server; empty for the store, the callers and the operators
	Amount float64 // by kind: share of connections, factor, seconds
}

// String returns the disturbance as a line of the plan.
func (d disturbance) String() string {
	return strings.TrimSpace(fmt.Sprintf("%6.2fs for %5.2fs  %-16s %-22s %s",
		d.At.Seconds(), d.For.Seconds(), d.Kind, d.Target, amountText(d.Amount)))
}

func amountText(x float64) string {
	if x == 0 {
		return ""
	}
	return fmt.Sprintf("%.2f", x)
}

// kind is a kind of disturbance.
type kind string

// Kinds of disturbances. Those of the first group are planned work, which may cut off no request.
const (
	stopProcess  kind = "Stop" // SIGTERM, and a start when it has ended
	leaveBackend kind = "Leave"
	configure    kind = "Configure"

	killProcess  kind = "Kill"
	pauseProcess kind = "Pause"

	delayLink      kind = "Delay"
	resetLink      kind = "Reset"
	silenceLink    kind = "Silence"
	cutForward     kind = "CutForward"
	cutBackward    kind = "CutBackward"
	cutLink        kind = "Cut"
	crashBackend   kind = "Crash"   // it starts again under its ID
	replaceBackend kind = "Replace" // it crashes, and another one starts
	slowBackend    kind = "Slow"
	failBackend    kind = "Fail"
	hangBackend    kind = "Hang"
	refuseOrders   kind = "RefuseOrders"
	loseAnswers    kind = "LoseAnswers"
	lateOrders     kind = "LateOrders"

	storeBusy   kind = "StoreBusy"
	storeReset  kind = "StoreReset"
	storeSilent kind = "StoreSilent"
	storeSlow   kind = "StoreSlow"
	storeLost   kind = "StoreLost"
	storeLate   kind = "StoreLate"
	dropHistory kind = "DropHistory"

	burst   kind = "Burst"
	cancels kind = "Cancels"
	giveUps kind = "GiveUps"
)

var (
	plannedKinds = []kind{stopProcess, leaveBackend, configure}
	processKinds = []kind{killProcess, pauseProcess, stopProcess}
	linkKinds    = []kind{delayLink, resetLink, silenceLink, cutForward, cutBackward, cutLink}
	backendKinds = []kind{
		crashBackend, replaceBackend, slowBackend, failBackend, hangBackend, refuseOrders, loseAnswers, lateOrders, leaveBackend,
	}
	storeKinds  = []kind{storeBusy, storeReset, storeSilent, storeSlow, storeLost, storeLate, dropHistory}
	callerKinds = []kind{burst, cancels, giveUps}
)

func (k kind) planned() bool { return slices.Contains(plannedKinds, k) }

// targets are what a plan may disturb.
type targets struct{ processes, links, backends []string }

const (
	// meanGap is the mean time between disturbances that begin on their own. Most last longer, so they overlap.
	meanGap = 900 * time.Millisecond
	// maxDuration is the maxDuration time that a disturbance lasts.
	maxDuration = 4 * time.Second
	// seriesGap is the mean time between the steps of a series.
	seriesGap = 600 * time.Millisecond
	// plannedShare of the seeds have planned work only, so that promises about it are judged.
	plannedShare = 0.3
	// seriesShare of the disturbances come as series over several targets.
	seriesShare = 0.2
)

// newPlan draws a plan of the given length.
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
		// A series over many targets, close enough that its steps overlap.
		step := at
		for _, i := range r.Perm(len(candidates))[:1+r.IntN(len(candidates))] {
			plan = append(plan, drawDisturbance(r, step, k, candidates[i]))
			step += time.Duration(r.ExpFloat64() * float64(seriesGap))
		}
	}
	if !onlyPlanned && r.Float64() < 0.3 {
		// All processes are killed at once.
		at := time.Duration(r.Float64() * float64(duration))
		for _, name := range t.processes {
			plan = append(plan, disturbance{At: at, For: time.Second, Kind: killProcess, Target: name})
		}
	}
	plan = slices.DeleteFunc(plan, func(d disturbance) bool { return d.At > duration })
	slices.SortStableFunc(plan, func(a, b disturbance) int { return cmp.Compare(a.At, b.At) })
	return plan
}

func drawKind(r *rand.Rand, onlyPlanned bool) kind {
	if onlyPlanned {
		return plannedKinds[r.IntN(len(plannedKinds))]
	}
	groups := [][]kind{processKinds, processKinds, linkKinds, linkKinds, backendKinds, backendKinds, storeKinds, callerKinds, {configure}}
	group := groups[r.IntN(len(groups))]
	return group[r.IntN(len(group))]
}

// candidates returns what a kind candidates disturbance may be about.
func (t targets) candidates(k kind) []string {
	switch {
	case slices.Contains(processKinds, k):
		return t.processes
	case slices.Contains(linkKinds, k):
		return t.links
	case slices.Contains(backendKinds, k):
		return t.backends
	}
	return nil
}

func drawDisturbance(r *rand.Rand, at time.Duration, k kind, target string) disturbance {
	d := disturbance{At: at, Kind: k, Target: target, For: time.Duration((0.05 + 0.95*r.Float64()) * float64(maxDuration))}
	switch k {
	case resetLink, silenceLink:
		d.Amount = 0.2 + 0.8*r.Float64() // of the connections
	case delayLink, storeSlow:
		d.Amount = 0.02 + 0.3*r.Float64() // seconds
	case slowBackend:
		d.Amount = 2 + 8*r.Float64()
	case failBackend, loseAnswers, lateOrders, storeLost, storeLate:
		d.Amount = 0.05 + 0.6*r.Float64()
	case burst:
		d.Amount = 2 + 4*r.Float64()
	case cancels, giveUps:
		d.Amount = 0.1 + 0.4*r.Float64()
	}
	return d
}
