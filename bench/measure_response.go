package bench

import "time"

// ResponseRow describes the delays, in milliseconds, of the jobs of one workload and class under one policy. The
// deadline is taken as the delay of a job that did not complete. Ratios are relative to the ideal queue with the
// same jobs. For the LessHop ratios, the network delay of one message from owner to agent (Hop) is subtracted
// first.
type ResponseRow struct {
	Site, Workload, Class, Policy string
	Jobs                          int
	Unanswered                    int // jobs that did not complete
	Mean, P50, P99, P999          float64
	Hop                           float64
	MeanRatio, MeanRatioLessHop   float64
	P99Ratio, P99RatioLessHop     float64
	P999Ratio, P999RatioLessHop   float64
	WastedPerTask                 float64
	MessagesPerTask               float64
}

func (r *Report) addResponse(res results) {
	for i, wl := range res.workloads {
		rows := map[string]ResponseRow{}
		for _, class := range []string{classAll, classShort, classLong} {
			base := newResponseRow(res.site, wl, class, idealPolicy, res.idealResults[i], ResponseRow{})
			r.Response = append(r.Response, base)
			for p, policy := range res.policies {
				row := newResponseRow(res.site, wl, class, policy.name, res.policyResults[i][p], base)
				r.Response = append(r.Response, row)
				if class == classAll {
					rows[policy.name] = row
				}
			}
		}
		r.addResponseTargets(res, wl.name, rows)
	}
}

func newResponseRow(
	s site, wl workload, class, policy string, traceResults []traceResult, base ResponseRow,
) ResponseRow {
	row := ResponseRow{Site: s.name, Workload: wl.name, Class: class, Policy: policy}
	var delays []time.Duration
	tasks, messages, wasted := 0, 0, 0
	for k, result := range traceResults {
		messages, wasted = messages+result.messages, wasted+result.wastedMessages
		for i, outcome := range result.jobOutcomes {
			request := &wl.traces[k].requests[i]
			tasks += len(request.tasks)
			if class != classAll && class != request.class() {
				continue
			}
			row.Jobs++
			if outcome.state != complete {
				row.Unanswered++
				outcome.delay = request.deadline // otherwise a policy would look better by not completing slow jobs
			}
			delays = append(delays, outcome.delay)
		}
	}
	sorted(delays)
	row.Mean, row.P50 = milliseconds(mean(delays)), milliseconds(percentile(delays, 50))
	row.P99, row.P999 = milliseconds(percentile(delays, 99)), milliseconds(percentile(delays, 99.9))
	if policy != idealPolicy {
		row.Hop = milliseconds(s.oneWayDelay)
	}
	row.MeanRatio, row.MeanRatioLessHop = ratio(row.Mean, base.Mean), ratio(row.Mean-row.Hop, base.Mean)
	row.P99Ratio, row.P99RatioLessHop = ratio(row.P99, base.P99), ratio(row.P99-row.Hop, base.P99)
	row.P999Ratio, row.P999RatioLessHop = ratio(row.P999, base.P999), ratio(row.P999-row.Hop, base.P999)
	row.WastedPerTask = ratio(float64(wasted), float64(tasks))
	row.MessagesPerTask = ratio(float64(messages), float64(tasks))
	return row
}

// addResponseTargets adds targets for the chosen policy: relative to the ideal queue at 80% load, and to the
// best baseline at 60% and 95% load. The best figure of each kind may come from different baselines.
func (r *Report) addResponseTargets(res results, workload string, rows map[string]ResponseRow) {
	chosen, ok := rows[chosenPolicy]
	if !ok {
		return
	}
	add := func(name string, value, limit float64) {
		r.addTarget(Response, res.site, workload, name, value, limit, false)
	}
	add("jobs without an answer", float64(chosen.Unanswered), 0)
	switch workload {
	case steadyName(0.80):
		add("mean delay to ideal, less hop", chosen.MeanRatioLessHop, targetMeanRatio)
		add("mean delay to ideal, with hop", chosen.MeanRatio, targetMeanRatio)
		add("p99 delay to ideal, less hop", chosen.P99RatioLessHop, targetP99Ratio)
		add("p99 delay to ideal, with hop", chosen.P99Ratio, targetP99Ratio)
		add("wasted messages per task", chosen.WastedPerTask, targetWasted)
	case steadyName(0.60), steadyName(0.95):
		first := true
		var best ResponseRow
		for _, policy := range res.policies {
			if row := rows[policy.name]; policy.baseline && first {
				best, first = row, false
			} else if policy.baseline {
				best.Mean, best.P99 = min(best.Mean, row.Mean), min(best.P99, row.P99)
				best.P999 = min(best.P999, row.P999)
				best.WastedPerTask = min(best.WastedPerTask, row.WastedPerTask)
			}
		}
		if first {
			return
		}
		add("mean delay to best baseline, ms", chosen.Mean, best.Mean)
		add("p99 delay to best baseline, ms", chosen.P99, best.P99)
		add("p99.9 delay to best baseline, ms", chosen.P999, best.P999)
		add("wasted messages per task to best baseline", chosen.WastedPerTask, best.WastedPerTask)
	}
}
