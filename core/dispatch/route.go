package dispatch

import (
	"math"
	"time"
)

const (
	// ratioWeight is the weight of one run in the moving average of the ratio of run times to estimates.
	ratioWeight = 0.03
	// priorRuns is the weight of the initial ratio of a new route, in runs.
	priorRuns = 5
	// overheadAllowance is the time that a job needs besides its runs, for messages, start requests and answers.
	overheadAllowance = 15 * time.Millisecond
	// maxRunTime limits predicted run times. It is longer than any caller waits.
	maxRunTime = 10 * time.Minute
	// lateFactor is the multiple of the target time up to which a late answer is still useful to the caller.
	lateFactor = 3

	// shedMinWait and shedMaxWait are the predicted waits between which the share of jobs that are refused on arrival
	// (shed) rises from 0 to 1. Only jobs that would have to wait are refused. Short jobs thus meet their short
	// targets, and no kind of job starves.
	shedMinWait = 60 * time.Millisecond
	shedMaxWait = 200 * time.Millisecond

	// slackShare is the share of a job's slack, the time until the latest start that meets its target, that the work
	// queued ahead of it may take. More such work arrives while the job waits.
	slackShare = 1.0
	// demandWeight is the weight of one step in the moving average of the demand of a task.
	demandWeight = 0.05
	// urgentShedFactor scales the share of refusals for jobs of the most urgent routes.
	urgentShedFactor = 0.35
	// shedSizeExponent makes refusals more likely for the larger jobs of a route: the fewer core-seconds a job needs,
	// the more callers the same processors serve. With the square root, large jobs are still served.
	shedSizeExponent = 0.5
	maxRelativeSize  = 4.0  // relative to the typical work of the route; larger jobs count as this size
	workWeight       = 0.02 // weight of one job in the moving average of the work of a job

	// maxRetryAfter bounds the time over which retries are spread.
	maxRetryAfter = 10 * time.Second
	// unservedRetryAfter is the delay for callers of a pool without a backend server. After the loss of many processes,
	// backend servers announce themselves again within two seconds. The retries are spread over the time after that.
	unservedRetryAfter  = 2 * time.Second
	unservedRetrySpread = time.Millisecond
)

// routeState is what the dispatcher has learned about the jobs of a route.
type routeState struct {
	runTimeRatio  float64 // typical run time relative to the estimate
	runs          int     // observed so far
	shedRemainder float64 // sum of refusal shares that has not led to a refusal yet
	typicalWork   float64 // typical core-seconds of a job
}

func (d *Dispatcher) route(name string) *routeState {
	r, ok := d.routes[name]
	if !ok {
		r = &routeState{runTimeRatio: 1}
		d.routes[name] = r
	}
	return r
}

// observeRun updates the typical run time. The first runs have a higher weight, but no single run decides: one may
// take seven times as long as the others.
func (r *routeState) observeRun(ratio float64) {
	r.runs++
	weight := max(ratioWeight, 1/float64(r.runs+priorRuns))
	sample := min(max(math.Log(ratio/r.runTimeRatio), -maxSpeedSample), maxSpeedSample)
	r.runTimeRatio *= math.Exp(weight * sample)
}

// predictRunTime predicts the run time of a task on a typical backend server.
func (r *routeState) predictRunTime(estimate time.Duration) time.Duration {
	return time.Duration(min(float64(estimate)*r.runTimeRatio, float64(maxRunTime)))
}

// shouldShed reports whether to refuse the next job of the route, so that the given share of jobs is refused. The
// shares are summed up instead of drawn at random, so that no kind of job is refused several times in a row by
// chance.
func (r *routeState) shouldShed(share float64) bool {
	r.shedRemainder += share
	if r.shedRemainder < 1 {
		return false
	}
	r.shedRemainder--
	return true
}

// shedWeight returns the factor by which the share of refusals applies to a job.
func (r *routeState) shedWeight(priority int, work float64) float64 {
	if r.typicalWork == 0 {
		r.typicalWork = work
	}
	r.typicalWork += workWeight * (work - r.typicalWork)
	weight := 1.0
	if r.typicalWork > 0 {
		weight = math.Pow(min(max(work/r.typicalWork, 1/maxRelativeSize), maxRelativeSize), shedSizeExponent)
	}
	if priority == 0 {
		weight *= urgentShedFactor
	}
	return weight
}

// shedShare returns the share of arriving jobs to refuse at a predicted wait.
func shedShare(wait time.Duration) float64 {
	share := float64(wait-shedMinWait) / float64(shedMaxWait-shedMinWait)
	return min(max(share, 0), 1)
}

// retrySchedule spreads the retries of refused callers over the time that the queue needs to drain.
type retrySchedule struct{ next time.Time }

// reserve returns the delay after which a caller may retry. wait is the predicted wait for the queue, and work is how
// long the caller's job would occupy all backend servers of the pool.
func (r *retrySchedule) reserve(now time.Time, wait, work time.Duration) time.Duration {
	earliest := now.Add(wait)
	if r.next.Before(earliest) {
		r.next = earliest
	}
	r.next = r.next.Add(work)
	return min(r.next.Sub(now), maxRetryAfter)
}
