package dispatch

import (
	"math"
	"time"
)

const (
	// ratioWeight is the weight of one run in what a route's run times are against their estimates.
	ratioWeight = 0.03
	// firstRuns is how many runs the estimates of a new route count like.
	firstRuns = 5
	// overheadAllowance is the time that a job needs beside its runs: messages, orders and answers.
	overheadAllowance = 15 * time.Millisecond
	// lateFactor bounds how late an answer is of use, as a multiple of the target.
	lateFactor = 3

	// shedFrom and shedAll are predicted waits. Between them, a rising share of the jobs that would have to
	// wait is refused on arrival; the short targets of short jobs are met and no kind of job is starved.
	shedFrom = 60 * time.Millisecond
	shedAll  = 200 * time.Millisecond

	// slackShare of the time until a job's latest start may be taken up by the work that goes first now. More
	// such work arrives meanwhile.
	slackShare = 1.0
	// demandWeight is the weight of a job in what a task usually asks for.
	demandWeight = 0.05
	// urgentShare is the part of the share that applies to jobs of the most urgent routes.
	urgentShare = 0.35
	// sizeExponent spreads refusals over the jobs of a route by their work: the fewer core-seconds a job needs,
	// the more callers are served with the same processors. The square root keeps large jobs served.
	sizeExponent = 0.5
	maxSize      = 4.0 // times the typical work; larger jobs count like this
	workWeight   = 0.02

	// maxRetryAfter bounds how far returns are spread.
	maxRetryAfter = 10 * time.Second
)

// routeState is what the dispatcher knows of a route.
type routeState struct {
	ratio float64 // typical run time against the estimate
	runs  int     // that were observed
	debt  float64 // share of a job that is to be refused
	work  float64 // typical core-seconds of a job
}

func (d *Dispatcher) route(name string) *routeState {
	r, ok := d.routes[name]
	if !ok {
		r = &routeState{ratio: 1}
		d.routes[name] = r
	}
	return r
}

// observe learns from a run. The first runs count more, but none decides alone: it may take seven times as long as
// the others.
func (r *routeState) observe(ratio float64) {
	r.runs++
	weight := max(ratioWeight, 1/float64(r.runs+firstRuns))
	sample := min(max(math.Log(ratio/r.ratio), -maxSpeedSample), maxSpeedSample)
	r.ratio *= math.Exp(weight * sample)
}

// runTime predicts the run time of a task of a step on a typical backend server.
func (r *routeState) runTime(estimate time.Duration) time.Duration {
	return time.Duration(float64(estimate) * r.ratio)
}

// shed reports whether the next job of the route is refused, so that the given share of them is. The shares
// add up instead of being drawn, so that no kind of job is refused by chance several times in a row.
func (r *routeState) shed(share float64) bool {
	r.debt += share
	if r.debt < 1 {
		return false
	}
	r.debt--
	return true
}

// shedWeight is how much of the share of refusals applies to a job.
func (r *routeState) shedWeight(priority int, work float64) float64 {
	if r.work == 0 {
		r.work = work
	}
	r.work += workWeight * (work - r.work)
	weight := 1.0
	if r.work > 0 {
		weight = math.Pow(min(max(work/r.work, 1/maxSize), maxSize), sizeExponent)
	}
	if priority == 0 {
		weight *= urgentShare
	}
	return weight
}

// shedShare is the share of arriving jobs that is refused at a predicted wait.
func shedShare(wait time.Duration) float64 {
	share := float64(wait-shedFrom) / float64(shedAll-shedFrom)
	return min(max(share, 0), 1)
}

// retryClock spreads the returns of refused callers over the time that the queue needs.
type retryClock struct{ next time.Time }

// after returns when a caller may return whose job keeps the backend servers busy for the given time.
func (c *retryClock) after(now time.Time, wait, work time.Duration) time.Duration {
	earliest := now.Add(wait)
	if c.next.Before(earliest) {
		c.next = earliest
	}
	c.next = c.next.Add(work)
	return min(c.next.Sub(now), maxRetryAfter)
}
