package bench

import "time"

// BlockingRow compares the waits of short tasks beside long ones with the waits of the same tasks alone.
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
		row := func(policy string, besides, alones outcome) BlockingRow {
			b := BlockingRow{Site: res.site.name, Workload: name, Policy: policy}
			b.fill(requests, besides, alone, alones)
			return b
		}
		r.Blocking = append(r.Blocking, row(idealPolicy, res.ideal[i][0], res.ideal[i+1][0]),
			divided(res.site, name, alone, res.ideal[i+1][0], res.workloads[i+1]))
		for p, policy := range res.policies {
			b := row(policy.name, res.outcomes[i][p][0], res.outcomes[i+1][p][0])
			r.Blocking = append(r.Blocking, b)
			if policy.name == chosenPolicy {
				r.blockingTargets(res.site, b)
			}
		}
	}
}

// dividedPolicy is an ideal queue for the short tasks on the slots that long work leaves on average. No policy
// that lets long tasks run to their end can do much better, as they hold that many slots at any rate.
const dividedPolicy = "ideal, divided"

func divided(s site, name string, alone []request, alones outcome, wl workload) BlockingRow {
	b := BlockingRow{Site: s.name, Workload: name, Policy: dividedPolicy}
	b.fill(alone, outcome{answers: ideal(s, wl.traces[0], wl.leftSlots, noWaitLimit)}, alone, alones)
	return b
}

func (b *BlockingRow) fill(requests []request, beside outcome, alone []request, alones outcome) {
	short, long, unanswered := taskWaits(requests, beside)
	own, _, missing := taskWaits(alone, alones)
	b.Unanswered = unanswered + missing
	b.AloneP50, b.AloneP99 = milliseconds(percentile(own, 50)), milliseconds(percentile(own, 99))
	b.BesideP50, b.BesideP99 = milliseconds(percentile(short, 50)), milliseconds(percentile(short, 99))
	b.P50Ratio, b.P99Ratio = ratio(b.BesideP50, b.AloneP50), ratio(b.BesideP99, b.AloneP99)
	b.LongestLongWait = milliseconds(percentile(long, 100))
}

// taskWaits returns the sorted waits of the tasks on the short and the long route, without stragglers on the
// short route.
func taskWaits(requests []request, o outcome) (short, long []time.Duration, unanswered int) {
	for i, a := range o.answers {
		switch {
		case a.state != complete:
			unanswered++
		case requests[i].route == routeLong:
			long = append(long, a.waits...)
		case !requests[i].stray:
			short = append(short, a.waits...)
		}
	}
	return sorted(short), sorted(long), unanswered
}

func (r *Report) blockingTargets(s site, b BlockingRow) {
	r.target(Blocking, s, b.Workload, "p99 wait of short tasks to alone", b.P99Ratio, targetBlocking, false)
	r.target(Blocking, s, b.Workload, "longest wait of long tasks, ms", b.LongestLongWait, targetLongWait, false)
	r.target(Blocking, s, b.Workload, "jobs without an answer", float64(b.Unanswered), 0, false)
}
