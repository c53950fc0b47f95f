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

	// demandWeight is the weight of one step in the moving average of the demand of a task.
	demandWeight = 0.05

	// unservedRetryAfter is the delay for callers of a pool without a backend server. After the loss of many processes,
	// backend servers announce themselves again within two seconds. The retries are spread over the time after that.
	unservedRetryAfter  = 2 * time.Second
	unservedRetrySpread = time.Millisecond
)

// routeState is what the dispatcher has learned about the jobs of a route.
type routeState struct {
	runTimeRatio float64 // typical run time relative to the estimate
	runs         int     // observed so far

	firstCallerAt      time.Time // when a job last arrived whose caller has not submitted it before
	firstCallerVersion uint64    // of the configuration, of that job
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
