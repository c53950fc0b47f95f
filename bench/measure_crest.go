package bench

import (
	"math"
	"time"
)

// CrestRow is the service of one policy to the jobs that arrived in a burst.
type CrestRow struct {
	Site, Workload, Policy string
	// InTime is the work answered in time, relative to the most that the ideal queue or any policy of the
	// run answered in time.
	InTime float64
	// InTimeRecovering is the same relative to the most that an ideal queue answers which limits its waits so
	// that it returns to normal within the target.
	InTimeRecovering float64
	// InTimePerSlot is the work answered in time, relative to the slot time of the burst.
	InTimePerSlot float64
	Jobs          int
	Answered      int
	Refused       int // truthfully: nothing ran
	Untrue        int // refusals after which a task ran, or had run; of the whole trace
	Partly        int // ended without an answer before the deadline, after a part had run
	Expired       int
	RefusalP99    float64 // from arrival to refusal, in milliseconds
	Recovery      float64 // seconds from the end of the burst to normal response times; -1 if not seen
	// FairShares holds each customer's work answered in time, relative to what the ideal queue answers of it
	// alone on its fair share of the slots.
	FairShares    map[string]float64
	WastedPerTask float64
}

// recoveryBucket is the resolution of the time to recover.
const recoveryBucket = 250 * time.Millisecond

const burstEnd = crestBefore + crestBurst

func inBurst(r *request) bool { return r.arrival >= crestBefore && r.arrival < burstEnd }

func inTime(r *request, a answer) bool { return a.state == complete && a.closed <= r.deadline }

func (r *Report) addCrest(res results) {
	for i, wl := range res.workloads {
		could := workInTime(wl, res.ideal[i])
		for p := range res.policies {
			could = max(could, workInTime(wl, res.outcomes[i][p]))
		}
		recovering := workRecovering(res.site, wl)
		row := func(policy string, outcomes []outcome) CrestRow {
			row := crestRow(res.site, wl, policy, outcomes)
			done := float64(workInTime(wl, outcomes))
			row.InTime, row.InTimeRecovering = ratio(done, float64(could)), ratio(done, float64(recovering))
			row.InTimePerSlot = ratio(done, float64(crestBurst)*float64(res.site.totalSlots()*len(outcomes)))
			return row
		}
		r.Crest = append(r.Crest, row(idealPolicy, res.ideal[i]))
		for p, policy := range res.policies {
			row := row(policy.name, res.outcomes[i][p])
			r.Crest = append(r.Crest, row)
			if policy.name == chosenPolicy {
				r.crestTargets(res.site, row)
			}
		}
	}
}

// workRecovering returns the most work in time of the ideal queues that limit their waits and return to
// normal within the target. A queue that is full at the end of a burst needs longer than that to drain.
func workRecovering(s site, wl workload) time.Duration {
	const step = 200 * time.Millisecond
	var most time.Duration
	for limit := step; limit <= crestDeadline; limit += step {
		var outcomes []outcome
		for _, tr := range wl.traces {
			outcomes = append(outcomes, outcome{answers: ideal(s, tr, s.totalSlots(), limit)})
		}
		if seconds := recovery(wl, outcomes); seconds >= 0 && seconds <= targetRecovery {
			most = max(most, workInTime(wl, outcomes))
		}
	}
	return most
}

// workInTime is the slot time of the jobs of the burst that were answered in time.
func workInTime(wl workload, outcomes []outcome) time.Duration {
	var sum time.Duration
	for k, o := range outcomes {
		for i, a := range o.answers {
			if request := &wl.traces[k].requests[i]; inBurst(request) && inTime(request, a) {
				sum += request.work()
			}
		}
	}
	return sum
}

func crestRow(s site, wl workload, policy string, outcomes []outcome) CrestRow {
	row := CrestRow{Site: s.name, Workload: wl.name, Policy: policy}
	var refusals []time.Duration
	tasks, wasted := 0, 0
	for k, o := range outcomes {
		wasted, row.Untrue = wasted+o.wasted, row.Untrue+o.untrue
		for i, a := range o.answers {
			request := &wl.traces[k].requests[i]
			tasks += len(request.tasks)
			if inBurst(request) {
				row.Jobs++
				row.count(request, a)
				if a.state == refused {
					refusals = append(refusals, a.closed)
				}
			}
		}
	}
	row.RefusalP99 = milliseconds(percentile(sorted(refusals), 99))
	row.Recovery = recovery(wl, outcomes)
	row.FairShares = fairShares(s, wl, outcomes)
	row.WastedPerTask = ratio(float64(wasted), float64(tasks))
	return row
}

func (row *CrestRow) count(r *request, a answer) {
	switch {
	case inTime(r, a):
		row.Answered++
	case a.state == refused:
		row.Refused++
	case a.state == failed:
		row.Partly++
	default:
		row.Expired++
	}
}

// recovery returns the seconds from the end of the burst until nine of ten jobs on the short route that
// arrive in a bucket have a delay that was normal, at p99, before the burst.
func recovery(wl workload, outcomes []outcome) float64 {
	var normal []time.Duration
	after := make([][]time.Duration, crestAfter/recoveryBucket)
	for k, o := range outcomes {
		for i, a := range o.answers {
			r := &wl.traces[k].requests[i]
			delay := a.delay
			if a.state != complete {
				delay = math.MaxInt64 // no answer is never a normal response
			}
			switch {
			case r.route != routeShort:
			case r.arrival >= crestWarmUp && r.arrival < crestBefore && a.state == complete:
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

func fairShares(s site, wl workload, outcomes []outcome) map[string]float64 {
	shares := map[string]float64{}
	for customer, slotCount := range wl.fairSlots {
		var done, owed time.Duration
		for k, o := range outcomes {
			all := wl.traces[k].requests
			own := &trace{}
			for i, a := range o.answers {
				if all[i].customer != customer {
					continue
				}
				own.requests = append(own.requests, all[i])
				if inBurst(&all[i]) && inTime(&all[i], a) {
					done += all[i].work()
				}
			}
			alone := workload{traces: []*trace{own}}
			owed += workInTime(alone, []outcome{{answers: ideal(s, own, slotCount, noWaitLimit)}})
		}
		shares[customer] = ratio(float64(done), float64(owed))
	}
	return shares
}

func (r *Report) crestTargets(s site, row CrestRow) {
	add := func(name string, value, limit float64, least bool) {
		r.target(Crest, s, row.Workload, name, value, limit, least)
	}
	add("work answered in time", row.InTime, targetInTime, true)
	add("work in time, to ideal recovering in 2 s", row.InTimeRecovering, targetInTime, true)
	recovered := row.Recovery
	if recovered < 0 {
		recovered = crestAfter.Seconds()
	}
	add("seconds to recover", recovered, targetRecovery, false)
	add("p99 time to refusal, ms", row.RefusalP99, targetRefusal, false)
	add("untrue refusals", float64(row.Untrue), 0, false)
	// A customer that bursts is not harmed by another one: its share is reported, but has no target.
	if share, ok := row.FairShares[customerQuiet]; ok {
		add("fair share of customer "+customerQuiet, share, targetFairShare, true)
	}
}
