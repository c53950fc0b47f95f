package bench

import (
	"math"
	"time"
)

// BurstRow describes how one policy handled the jobs that arrived during a burst. Work is the sum of the run
// times of tasks.
type BurstRow struct {
	Site, Workload, Policy string
	// InTime is the work of the jobs that completed before their deadline, divided by the highest such
	// figure of the ideal queue and all policies of the run.
	InTime float64
	// InTimeRecovering is the same work, divided by that of the best ideal queue that limits waits so that
	// delays are back to normal within the target time.
	InTimeRecovering float64
	// InTimePerSlot is the same work, divided by the total slot time during the burst.
	InTimePerSlot float64
	Jobs          int
	Answered      int // completed before the deadline
	Refused       int // reported as refused; FalseRefusals counts those of which a task ran
	FalseRefusals int `json:"Untrue"` // refused jobs of which a task ran before or after the refusal; of the whole trace
	PartlyRun     int `json:"Partly"` // failed before the deadline after some tasks had run
	Expired       int
	RefusalP99    float64 // from arrival to refusal, in milliseconds
	Recovery      float64 // seconds from the end of the burst to normal delays; -1 if they did not return to normal
	// FairShares holds the work of each customer's jobs that completed before their deadline, divided by that
	// of an ideal queue with only this customer's jobs and its fair share of the slots.
	FairShares    map[string]float64
	WastedPerTask float64
}

// recoveryBucket is the resolution of the recovery time.
const recoveryBucket = 250 * time.Millisecond

const burstEnd = burstStart + burstDuration

func inBurst(r *request) bool { return r.arrival >= burstStart && r.arrival < burstEnd }

func inTime(r *request, outcome jobOutcome) bool {
	return outcome.state == complete && outcome.closedAfter <= r.deadline
}

func (r *Report) addBurst(res results) {
	for i, wl := range res.workloads {
		maxWork := workInTime(wl, res.idealResults[i])
		for p := range res.policies {
			maxWork = max(maxWork, workInTime(wl, res.policyResults[i][p]))
		}
		recovering := maxRecoverableWork(res.site, wl)
		row := func(policy string, traceResults []traceResult) BurstRow {
			row := newBurstRow(res.site, wl, policy, traceResults)
			done := float64(workInTime(wl, traceResults))
			row.InTime, row.InTimeRecovering = ratio(done, float64(maxWork)), ratio(done, float64(recovering))
			row.InTimePerSlot = ratio(done, float64(burstDuration)*float64(res.site.totalSlots()*len(traceResults)))
			return row
		}
		r.Burst = append(r.Burst, row(idealPolicy, res.idealResults[i]))
		for p, policy := range res.policies {
			row := row(policy.name, res.policyResults[i][p])
			r.Burst = append(r.Burst, row)
			if policy.name == chosenPolicy {
				r.addBurstTargets(res.site, row)
			}
		}
	}
}

// maxRecoverableWork returns the highest work in time of those ideal queues with a wait limit whose delays
// return to normal within the target time. Without a wait limit, the queue is so long at the end of the burst
// that it takes longer than that to drain.
func maxRecoverableWork(s site, wl workload) time.Duration {
	const step = 200 * time.Millisecond
	var most time.Duration
	for limit := step; limit <= burstDeadline; limit += step {
		var traceResults []traceResult
		for _, tr := range wl.traces {
			traceResults = append(traceResults, traceResult{jobOutcomes: ideal(s, tr, s.totalSlots(), limit)})
		}
		if seconds := recovery(wl, traceResults); seconds >= 0 && seconds <= targetRecovery {
			most = max(most, workInTime(wl, traceResults))
		}
	}
	return most
}

// workInTime returns the work of the jobs of the burst that completed before their deadline.
func workInTime(wl workload, traceResults []traceResult) time.Duration {
	var sum time.Duration
	for k, result := range traceResults {
		for i, outcome := range result.jobOutcomes {
			if request := &wl.traces[k].requests[i]; inBurst(request) && inTime(request, outcome) {
				sum += request.work()
			}
		}
	}
	return sum
}

func newBurstRow(s site, wl workload, policy string, traceResults []traceResult) BurstRow {
	row := BurstRow{Site: s.name, Workload: wl.name, Policy: policy}
	var refusals []time.Duration
	tasks, wasted := 0, 0
	for k, result := range traceResults {
		wasted, row.FalseRefusals = wasted+result.wastedMessages, row.FalseRefusals+result.falseRefusals
		for i, outcome := range result.jobOutcomes {
			request := &wl.traces[k].requests[i]
			tasks += len(request.tasks)
			if inBurst(request) {
				row.Jobs++
				row.countOutcome(request, outcome)
				if outcome.state == refused {
					refusals = append(refusals, outcome.closedAfter)
				}
			}
		}
	}
	row.RefusalP99 = milliseconds(percentile(sorted(refusals), 99))
	row.Recovery = recovery(wl, traceResults)
	row.FairShares = fairShares(s, wl, traceResults)
	row.WastedPerTask = ratio(float64(wasted), float64(tasks))
	return row
}

func (row *BurstRow) countOutcome(r *request, outcome jobOutcome) {
	switch {
	case inTime(r, outcome):
		row.Answered++
	case outcome.state == refused:
		row.Refused++
	case outcome.state == failed:
		row.PartlyRun++
	default:
		row.Expired++
	}
}

// recovery returns the seconds from the end of the burst to the first bucket in which the p90 delay of the
// arriving jobs on the short route is at most their p99 delay before the burst, or -1 if there is none.
func recovery(wl workload, traceResults []traceResult) float64 {
	var normal []time.Duration
	after := make([][]time.Duration, afterBurst/recoveryBucket)
	for k, result := range traceResults {
		for i, outcome := range result.jobOutcomes {
			r := &wl.traces[k].requests[i]
			delay := outcome.delay
			if outcome.state != complete {
				delay = math.MaxInt64 // a job that did not complete never counts as a normal delay
			}
			switch {
			case r.route != routeShort:
			case r.arrival >= burstWarmUp && r.arrival < burstStart && outcome.state == complete:
				normal = append(normal, delay)
			case r.arrival >= burstEnd:
				bucket := (r.arrival - burstEnd) / recoveryBucket
				after[bucket] = append(after[bucket], delay)
			}
		}
	}
	limit := percentile(sorted(normal), 99)
	for bucket, delays := range after {
		if percentile(sorted(delays), 90) <= limit {
			return (time.Duration(bucket) * recoveryBucket).Seconds()
		}
	}
	return -1
}

func fairShares(s site, wl workload, traceResults []traceResult) map[string]float64 {
	shares := map[string]float64{}
	for customer, slotCount := range wl.fairSlots {
		var done, entitled time.Duration
		for k, result := range traceResults {
			all := wl.traces[k].requests
			own := &trace{}
			for i, outcome := range result.jobOutcomes {
				if all[i].customer != customer {
					continue
				}
				own.requests = append(own.requests, all[i])
				if inBurst(&all[i]) && inTime(&all[i], outcome) {
					done += all[i].work()
				}
			}
			alone := workload{traces: []*trace{own}}
			entitled += workInTime(alone, []traceResult{{jobOutcomes: ideal(s, own, slotCount, unlimitedWait)}})
		}
		shares[customer] = ratio(float64(done), float64(entitled))
	}
	return shares
}

func (r *Report) addBurstTargets(s site, row BurstRow) {
	add := func(name string, value, limit float64, atLeast bool) {
		r.addTarget(Burst, s, row.Workload, name, value, limit, atLeast)
	}
	add("work answered in time", row.InTime, targetInTime, true)
	add("work in time, to ideal recovering in 2 s", row.InTimeRecovering, targetInTime, true)
	recovered := row.Recovery
	if recovered < 0 {
		recovered = afterBurst.Seconds()
	}
	add("seconds to recover", recovered, targetRecovery, false)
	add("p99 time to refusal, ms", row.RefusalP99, targetRefusal, false)
	add("untrue refusals", float64(row.FalseRefusals), 0, false)
	// Only the quiet customer can suffer from the burst of another one, so the share of the bursting customer
	// is reported without a target.
	if share, ok := row.FairShares[customerQuiet]; ok {
		add("fair share of customer "+customerQuiet, share, targetFairShare, true)
	}
}
