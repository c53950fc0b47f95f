package bench

import "time"

// BlockingRow compares the waits of short tasks that share the slots with long tasks with the waits of the same
// short tasks alone. Waits are in milliseconds.
type BlockingRow struct {
	Site, Workload, Policy string
	AloneP50, AloneP99     float64
	BesideP50, BesideP99   float64
	P50Ratio, P99Ratio     float64
	LongestLongWait        float64
	Unanswered             int
}

func (r *Report) addBlocking(res results) {
	for i := 0; i+1 < len(res.workloads); i += 2 { // the workload and its short tasks alone
		name := res.workloads[i].name
		requests, alone := res.workloads[i].traces[0].requests, res.workloads[i+1].traces[0].requests
		row := func(policy string, mixedResult, aloneResult traceResult) BlockingRow {
			b := BlockingRow{Site: res.site.name, Workload: name, Policy: policy}
			b.fill(requests, mixedResult, alone, aloneResult)
			return b
		}
		r.Blocking = append(r.Blocking, row(idealPolicy, res.idealResults[i][0], res.idealResults[i+1][0]),
			partitionedRow(res.site, name, alone, res.idealResults[i+1][0], res.workloads[i+1]))
		for p, policy := range res.policies {
			b := row(policy.name, res.policyResults[i][p][0], res.policyResults[i+1][p][0])
			r.Blocking = append(r.Blocking, b)
			if policy.name == chosenPolicy {
				r.addBlockingTargets(res.site, b)
			}
		}
	}
}

// partitionedPolicy is an ideal queue for the short tasks, over the slots that long tasks leave free on average.
// Without preemption no policy can do much better, because the long tasks occupy the other slots in any case.
const partitionedPolicy = "ideal, divided"

func partitionedRow(s site, name string, alone []request, aloneResult traceResult, wl workload) BlockingRow {
	b := BlockingRow{Site: s.name, Workload: name, Policy: partitionedPolicy}
	b.fill(alone, traceResult{jobOutcomes: ideal(s, wl.traces[0], wl.remainingSlots, unlimitedWait)}, alone, aloneResult)
	return b
}

func (b *BlockingRow) fill(requests []request, mixedResult traceResult, alone []request, aloneResult traceResult) {
	short, long, unanswered := taskWaits(requests, mixedResult)
	shortAlone, _, missing := taskWaits(alone, aloneResult)
	b.Unanswered = unanswered + missing
	b.AloneP50, b.AloneP99 = milliseconds(percentile(shortAlone, 50)), milliseconds(percentile(shortAlone, 99))
	b.BesideP50, b.BesideP99 = milliseconds(percentile(short, 50)), milliseconds(percentile(short, 99))
	b.P50Ratio, b.P99Ratio = ratio(b.BesideP50, b.AloneP50), ratio(b.BesideP99, b.AloneP99)
	b.LongestLongWait = milliseconds(percentile(long, 100))
}

// taskWaits returns the sorted waits of the tasks on the short and the long route, without stragglers on the
// short route.
func taskWaits(requests []request, result traceResult) (short, long []time.Duration, unanswered int) {
	for i, outcome := range result.jobOutcomes {
		switch {
		case outcome.state != complete:
			unanswered++
		case requests[i].route == routeLong:
			long = append(long, outcome.waits...)
		case !requests[i].straggler:
			short = append(short, outcome.waits...)
		}
	}
	return sorted(short), sorted(long), unanswered
}

func (r *Report) addBlockingTargets(s site, b BlockingRow) {
	r.addTarget(Blocking, s, b.Workload, "p99 wait of short tasks to alone", b.P99Ratio, targetBlocking, false)
	r.addTarget(Blocking, s, b.Workload, "longest wait of long tasks, ms", b.LongestLongWait, targetLongWait, false)
	r.addTarget(Blocking, s, b.Workload, "jobs without an answer", float64(b.Unanswered), 0, false)
}
