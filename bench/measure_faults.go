package bench

import "time"

// FaultRow counts the final states of the jobs of a trace with faults, and gives their delays in milliseconds.
type FaultRow struct {
	Site, Workload, Policy string
	Jobs                   int
	Complete, Failed       int
	Refused, Expired       int
	Cancelled              int
	Mean, P99, Longest     float64 // delay of the completed jobs
	MeanRatio              float64 // mean delay divided by that of the ideal queue
	RefusalP99             float64
	WastedPerTask          float64
}

func (r *Report) addFaults(res results) {
	for i, wl := range res.workloads {
		base := newFaultRow(res.site, wl, idealPolicy, res.idealResults[i][0], 0)
		r.Faults = append(r.Faults, base)
		for p, policy := range res.policies {
			r.Faults = append(r.Faults, newFaultRow(res.site, wl, policy.name, res.policyResults[i][p][0], base.Mean))
		}
	}
}

func newFaultRow(s site, wl workload, policy string, result traceResult, base float64) FaultRow {
	row := FaultRow{Site: s.name, Workload: wl.name, Policy: policy, Jobs: len(result.jobOutcomes)}
	counts := map[state]int{}
	var delays, refusals []time.Duration
	tasks := 0
	for i, outcome := range result.jobOutcomes {
		counts[outcome.state]++
		tasks += len(wl.traces[0].requests[i].tasks)
		switch outcome.state {
		case complete:
			delays = append(delays, outcome.delay)
		case refused:
			refusals = append(refusals, outcome.closedAfter)
		}
	}
	row.Complete, row.Failed, row.Refused = counts[complete], counts[failed], counts[refused]
	row.Expired, row.Cancelled = counts[expired], counts[cancelled]
	row.Mean, row.P99 = milliseconds(mean(delays)), milliseconds(percentile(sorted(delays), 99))
	row.Longest = milliseconds(percentile(delays, 100))
	row.MeanRatio = ratio(row.Mean, base)
	row.RefusalP99 = milliseconds(percentile(sorted(refusals), 99))
	row.WastedPerTask = ratio(float64(result.wastedMessages), float64(tasks))
	return row
}
