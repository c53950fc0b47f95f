package allocator

import (
	"math/bits"
	"time"
)

const (
	// firstBucket is the lower bound of the first bucket of a histogram of run times.
	firstBucket = 256 * time.Microsecond
	// bucketsPerOctave limits the error of a quantile to about a tenth.
	bucketsPerOctave = 4
	bucketCount      = 24 * bucketsPerOctave // up to more than 1 h

	// sampleWindow is the total weight at which the weights of all samples are halved, so that a change of the
	// run time shows after about as many tasks.
	sampleWindow = 256
	// summaryInterval is the number of samples between summaries once there are more than coldSamples.
	summaryInterval = 8
	// coldSamples is the number of samples below which running grants may also make a route long.
	coldSamples = 16
	// cappedFraction is the fraction of the samples, the longest ones, that count in the mean only as much as
	// the next shorter sample, so that a few stragglers do not make a route long.
	cappedFraction = 0.05
	// estimateLifetime is the age of the latest sample up to which work is refused by an estimate. Otherwise, a
	// far too high estimate would refuse all the work that could correct it.
	estimateLifetime = 5 * time.Second
	tailQuantile     = 0.9
	// longHysteresis is the fraction of the threshold below which a long route becomes short again, so that a
	// route close to the threshold does not keep changing class.
	longHysteresis = 0.8
)

// class is the class of work by its estimated run time.
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
	mean    time.Duration // with the longest samples capped; 0 without samples
	median  time.Duration
	tail    time.Duration // the 90th percentile, exceeded by one task of ten
}

func bucketOf(d time.Duration) int {
	x := uint64(max(d/firstBucket, 1))
	octave := bits.Len64(x) - 1
	quarter := (x << 2 >> octave) & 3
	return min(octave*bucketsPerOctave+int(quarter), bucketCount-1)
}

func bucketMidpoint(i int) time.Duration {
	octave, quarter := i/bucketsPerOctave, i%bucketsPerOctave
	width := (firstBucket << octave) / bucketsPerOctave
	return firstBucket<<octave + width*time.Duration(quarter) + width/2
}

// observe adds a run time and reports whether the mean and the quantiles were recomputed.
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
	// With few samples, up to one of three is capped, so that a single straggler does not dominate the mean.
	uncapped := e.total - max(e.total*cappedFraction, min(1, e.total/3))
	var seen, sum float64
	for i, weight := range e.weights {
		if weight == 0 {
			continue
		}
		value := float64(bucketMidpoint(i))
		if seen <= e.total/2 {
			e.median = time.Duration(value)
		}
		if seen <= e.total*tailQuantile {
			e.tail = time.Duration(value)
		}
		seen += weight
		if seen >= uncapped {
			sum += (e.total - seen + weight) * value
			break
		}
		sum += weight * value
	}
	e.mean = time.Duration(sum / e.total)
}

// routeState holds the run times, the running grants and the lanes of a route.
type routeState struct {
	name       string
	estimate   estimator
	class      class
	lanes      []*lane
	oldest     *grant // linked list of running grants, oldest first
	newest     *grant
	running    int
	lastUsed   int64
	lastSample int64         // time of the latest run time sample
	mean       time.Duration // estimated run time from which the work of the lanes is computed
}

func (a *Allocator) routeOf(name string) *routeState {
	r, ok := a.routes[name]
	if !ok {
		r = &routeState{name: name, mean: a.poolEstimate.mean}
		a.routes[name] = r
	}
	r.lastUsed = a.now
	return r
}

// medianRunTime returns the median run time of the route, or that of the pool if the route has no samples.
func (a *Allocator) medianRunTime(r *routeState) time.Duration {
	if r.estimate.total > 0 {
		return r.estimate.median
	}
	return a.poolEstimate.median
}

// runTimeAllowance returns the run time that admission control sets aside for a task: the 90th percentile, but
// at most half of the deadline or the median, whichever is longer.
func (a *Allocator) runTimeAllowance(r *routeState, deadline time.Duration) time.Duration {
	tail := r.estimate.tail
	if r.estimate.total == 0 {
		tail = a.poolEstimate.tail
	}
	return min(tail, max(a.medianRunTime(r), deadline/2))
}

// hasEstimate reports whether the run time estimate is fresh enough to refuse work. A route without samples uses
// the estimate of the pool.
func (a *Allocator) hasEstimate(r *routeState) bool {
	if r.estimate.total == 0 {
		return a.poolEstimate.total > 0
	}
	return a.now-r.lastSample <= int64(estimateLifetime)
}

// observeRunTime adds the run time of a finished grant to the estimates. It ignores failures and cancellations
// before the mean run time, which say nothing about the time that a task needs.
func (a *Allocator) observeRunTime(r *routeState, outcome Outcome, runTime time.Duration) {
	if outcome == Unused || (outcome != Succeeded && runTime <= r.mean) {
		return
	}
	r.lastSample = a.now
	a.poolEstimate.observe(runTime)
	if r.estimate.observe(runTime) {
		a.reclassify(r)
	}
}

// reclassify updates the class and the mean run time of a route, and the queued work computed from them.
func (a *Allocator) reclassify(r *routeState) {
	mean := r.estimate.mean
	if r.estimate.total == 0 {
		mean = a.poolEstimate.mean
	}
	threshold := a.pool.LongThreshold
	isLong := r.estimate.total > 0 && mean > threshold
	if r.class == long && r.estimate.total > 0 && float64(mean) > float64(threshold)*longHysteresis {
		isLong = true
	}
	if !isLong && r.estimate.total < coldSamples && a.runningLong(r) {
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
		l.customer.removeWork(l)
	}
	if next != r.class {
		for g := r.oldest; g != nil; g = g.nextOfRoute {
			a.changeClass(g, next)
		}
	}
	r.class, r.mean = next, mean
	for _, l := range r.lanes {
		l.customer.addWork(l)
		a.refresh(l.customer)
	}
}

// runningLong reports whether the running grants of a route with few samples already show that it is long. A
// single grant does not, because it may be a straggler.
func (a *Allocator) runningLong(r *routeState) bool {
	count := 0
	for g := r.oldest; g != nil && a.now-g.grantedAt > int64(a.pool.LongThreshold); g = g.nextOfRoute {
		count++
	}
	return count >= 2 && float64(count) >= r.estimate.total
}

// reclassifyCold reclassifies the routes whose class still depends on running grants.
func (a *Allocator) reclassifyCold() {
	for _, r := range a.routes {
		if r.estimate.total < coldSamples && (r.running > 1 || r.class == long) {
			a.reclassify(r)
		}
	}
}

func (r *routeState) addGrant(g *grant) {
	g.previousOfRoute = r.newest
	if r.newest != nil {
		r.newest.nextOfRoute = g
	} else {
		r.oldest = g
	}
	r.newest = g
	r.running++
}

func (r *routeState) removeGrant(g *grant) {
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
