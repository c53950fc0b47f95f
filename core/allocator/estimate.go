package allocator

import (
	"math/bits"
	"time"
)

const (
	// bucketUnit is the lower bound of the first bucket of a histogram of run times.
	bucketUnit = 256 * time.Microsecond
	// bucketsPerOctave bounds the error of a quantile to about a tenth.
	bucketsPerOctave = 4
	bucketCount      = 24 * bucketsPerOctave // up to more than 1 h

	// sampleWindow is the weight of samples at which all are halved, so that a changed run time shows
	// within as many tasks.
	sampleWindow = 256
	// summaryInterval is how many samples pass between summaries of a histogram that has filled up.
	summaryInterval = 8
	coldSamples     = 16
	// cappedShare of the samples, the longest ones, count in the mean like the next shorter one, so that a
	// few stragglers do not make a route long.
	cappedShare = 0.05
	// estimateLifetime is how long an estimate may refuse work without a new sample. A far too high one
	// would otherwise refuse all work that could correct it.
	estimateLifetime = 5 * time.Second
	tailQuantile     = 0.9
	// longHysteresis keeps a route whose estimate is close to the threshold in its class.
	longHysteresis = 0.8
)

// class divides work by its estimated run time.
type class int

const (
	short class = iota
	long
	classCount
)

// estimator summarises observed run times in a histogram of logarithmic buckets.
type estimator struct {
	weights [bucketCount]float64
	total   float64
	pending int           // samples since the last summary
	mean    time.Duration // with the longest samples capped; 0 if nothing was observed
	median  time.Duration
	tail    time.Duration // exceeded by one of ten
}

func bucketOf(d time.Duration) int {
	x := uint64(max(d/bucketUnit, 1))
	octave := bits.Len64(x) - 1
	quarter := (x << 2 >> octave) & 3
	return min(octave*bucketsPerOctave+int(quarter), bucketCount-1)
}

func bucketMiddle(i int) time.Duration {
	octave, quarter := i/bucketsPerOctave, i%bucketsPerOctave
	width := (bucketUnit << octave) / bucketsPerOctave
	return bucketUnit<<octave + width*time.Duration(quarter) + width/2
}

// observe adds a run time and reports whether the summary was renewed.
func (e *estimator) observe(d time.Duration) bool {
	e.weights[bucketOf(d)]++
	e.total++
	e.pending++
	if e.total > coldSamples && e.pending < summaryInterval {
		return false
	}
	e.pending = 0
	if e.total >= sampleWindow {
		for i := range e.weights {
			e.weights[i] /= 2
		}
		e.total /= 2
	}
	e.summarise()
	return true
}

func (e *estimator) summarise() {
	// Up to one sample of three is capped, so that one straggler does not decide a cold start.
	full := e.total - max(e.total*cappedShare, min(1, e.total/3))
	var seen, sum float64
	for i, weight := range e.weights {
		if weight == 0 {
			continue
		}
		value := float64(bucketMiddle(i))
		if seen <= e.total/2 {
			e.median = time.Duration(value)
		}
		if seen <= e.total*tailQuantile {
			e.tail = time.Duration(value)
		}
		seen += weight
		if seen >= full {
			sum += (e.total - seen + weight) * value
			break
		}
		sum += weight * value
	}
	e.mean = time.Duration(sum / e.total)
}

// routeState is what the allocator knows of a route: its run times, its running grants and its lanes.
type routeState struct {
	name     string
	estimate estimator
	class    class
	lanes    []*lane
	oldest   *grant // list of running grants in the order of their start
	newest   *grant
	running  int
	used     int64
	observed int64         // time of the latest sample
	mean     time.Duration // estimate that the lanes' work is counted with
}

func (a *Allocator) routeOf(name string) *routeState {
	r, ok := a.routes[name]
	if !ok {
		r = &routeState{name: name, mean: a.overall.mean}
		a.routes[name] = r
	}
	r.used = a.now
	return r
}

// median returns the typical run time of the route. A route without samples is taken to be like the pool.
func (a *Allocator) median(r *routeState) time.Duration {
	if r.estimate.total > 0 {
		return r.estimate.median
	}
	return a.overall.median
}

// allowance is the run time that admission control allows for: one that few tasks exceed, but no more than
// half of the deadline unless the typical task needs more.
func (a *Allocator) allowance(r *routeState, deadline time.Duration) time.Duration {
	tail := r.estimate.tail
	if r.estimate.total == 0 {
		tail = a.overall.tail
	}
	return min(tail, max(a.median(r), deadline/2))
}

// known reports whether the run time of the route is known well enough to refuse work for it.
func (a *Allocator) known(r *routeState) bool {
	if r.estimate.total == 0 {
		return a.overall.total > 0
	}
	return a.now-r.observed <= int64(estimateLifetime)
}

// observe learns from a finished grant. Failures and cancellations that ended early say nothing about the
// run time.
func (a *Allocator) observe(r *routeState, outcome Outcome, runTime time.Duration) {
	if outcome == Unused || (outcome != Succeeded && runTime <= r.mean) {
		return
	}
	r.observed = a.now
	a.overall.observe(runTime)
	if r.estimate.observe(runTime) {
		a.reclassify(r)
	}
}

// reclassify renews the class of the route and the work that waits for it.
func (a *Allocator) reclassify(r *routeState) {
	mean := r.estimate.mean
	if r.estimate.total == 0 {
		mean = a.overall.mean
	}
	threshold := a.pool.LongThreshold
	isLong := r.estimate.total > 0 && mean > threshold
	if r.class == long && r.estimate.total > 0 && float64(mean) > float64(threshold)*longHysteresis {
		isLong = true
	}
	if !isLong && r.estimate.total < coldSamples && a.overdue(r) {
		isLong, mean = true, max(mean, threshold)
	}
	next := short
	if isLong && a.options.Classes {
		next = long
	}
	if next == r.class && mean == r.mean {
		return
	}
	for _, l := range r.lanes {
		l.customer.uncount(l)
	}
	if next != r.class {
		for g := r.oldest; g != nil; g = g.nextOfRoute {
			a.changeClass(g, next)
		}
	}
	r.class, r.mean = next, mean
	for _, l := range r.lanes {
		l.customer.count(l)
		a.refresh(l.customer)
	}
}

// overdue reports whether the running grants of a route with few samples show that it is long, before the
// first of them ends. Single grants may be stragglers.
func (a *Allocator) overdue(r *routeState) bool {
	count := 0
	for g := r.oldest; g != nil && a.now-g.at > int64(a.pool.LongThreshold); g = g.nextOfRoute {
		count++
	}
	return count >= 2 && float64(count) >= r.estimate.total
}

// reclassifyCold renews the routes whose class still depends on running grants.
func (a *Allocator) reclassifyCold() {
	for _, r := range a.routes {
		if r.estimate.total < coldSamples && (r.running > 1 || r.class == long) {
			a.reclassify(r)
		}
	}
}

func (r *routeState) link(g *grant) {
	g.previousOfRoute = r.newest
	if r.newest != nil {
		r.newest.nextOfRoute = g
	} else {
		r.oldest = g
	}
	r.newest = g
	r.running++
}

func (r *routeState) unlink(g *grant) {
	if g.previousOfRoute != nil {
		g.previousOfRoute.nextOfRoute = g.nextOfRoute
	} else {
		r.oldest = g.nextOfRoute
	}
	if g.nextOfRoute != nil {
		g.nextOfRoute.previousOfRoute = g.previousOfRoute
	} else {
		r.newest = g.previousOfRoute
	}
	g.previousOfRoute, g.nextOfRoute = nil, nil
	r.running--
}
