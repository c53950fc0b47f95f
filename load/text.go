package load

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"dogwoodglade/core/invariant"
	"dogwoodglade/core/job"
)

// outcomeName returns the state and the reason of an answer, separated by a space.
func outcomeName(a job.Answer) string {
	return strings.TrimSpace(string(a.State) + " " + string(a.Reason))
}

func stateOf(name string) string {
	state, _, _ := strings.Cut(name, " ")
	return state
}

// Result holds the reports of the run and of the baseline, and the verdicts on the guarantees.
type Result struct {
	Seed       uint64
	Run        *Report
	Baseline   *Report            `json:",omitempty"` // run of the same jobs without a dispatcher
	Ratio      []Ratio            `json:",omitempty"`
	Guarantees []GuaranteeVerdict `json:"Promises,omitempty"`
	Events     int                `json:",omitempty"` // number of events on which the verdicts are based
	// Evicted lists the processes whose oldest events were evicted, so that the verdicts cover only part of
	// the run.
	Evicted []string `json:",omitempty"`
}

// Ratio holds the figures of a window of the run, divided by those of the baseline. A ratio is 0 if the baseline
// figure is 0.
type Ratio struct {
	Window               string
	P50, P99, P999       float64
	InTime, InTimeTasks  float64
	ProcessorTimePerTask float64 // of the whole run
}

// GuaranteeVerdict is the verdict on one guarantee.
type GuaranteeVerdict struct {
	Guarantee  string `json:"Promise"`
	Violations int
	First      string `json:",omitempty"` // reason of the first violation
}

// CompareToBaseline sets the ratios between the run and the baseline.
func (r *Result) CompareToBaseline() {
	names := []string{"steady", "burst"}
	baseline := r.Baseline.windows()
	for i, w := range r.Run.windows() {
		b := baseline[i]
		r.Ratio = append(r.Ratio, Ratio{
			Window: names[i], P50: ratio(w.Response.P50, b.Response.P50), P99: ratio(w.Response.P99, b.Response.P99),
			P999:                 ratio(w.Response.P999, b.Response.P999),
			InTime:               ratio(float64(w.InTime), float64(b.InTime)),
			InTimeTasks:          ratio(float64(w.InTimeTasks), float64(b.InTimeTasks)),
			ProcessorTimePerTask: ratio(r.Run.ProcessorMilliseconds, r.Baseline.ProcessorMilliseconds),
		})
	}
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// AddVerdicts adds the verdicts on the guarantees.
func (r *Result) AddVerdicts(verdicts []invariant.Verdict) {
	for _, v := range verdicts {
		g := GuaranteeVerdict{Guarantee: string(v.Guarantee), Violations: len(v.Violations)}
		if !v.Holds() {
			g.First = v.Violations[0].Reason
		}
		r.Guarantees = append(r.Guarantees, g)
	}
}

// Failures describes the failures of the system under load: wrong answers and violated guarantees.
func (r *Result) Failures() []string {
	var failures []string
	if n := r.Run.AnswerErrors.Answers; n > 0 {
		failures = append(failures, fmt.Sprintf("%d wrong answers", n))
	}
	for _, g := range r.Guarantees {
		if g.Violations > 0 {
			failures = append(failures, fmt.Sprintf("%s violated %d times", g.Guarantee, g.Violations))
		}
	}
	return failures
}

// Text formats the result as plain text.
func (r *Result) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d\n", r.Seed)
	if r.Baseline != nil {
		r.Baseline.writeText(&b, "baseline (round robin over slots, no dispatcher)")
	}
	r.Run.writeText(&b, "run")
	for _, x := range r.Ratio {
		fmt.Fprintf(&b, "ratio to baseline, %s: p50 %.3f, p99 %.3f, p99.9 %.3f, jobs in time %.3f, tasks in time %.3f, "+
			"processor time %.2f\n", x.Window, x.P50, x.P99, x.P999, x.InTime, x.InTimeTasks, x.ProcessorTimePerTask)
	}
	for _, g := range r.Guarantees {
		if g.Violations == 0 {
			fmt.Fprintf(&b, "%s kept\n", g.Guarantee)
		} else {
			fmt.Fprintf(&b, "%s violated %d times: %s\n", g.Guarantee, g.Violations, g.First)
		}
	}
	if r.Guarantees != nil {
		fmt.Fprintf(&b, "checked %d events\n", r.Events)
	}
	if len(r.Evicted) > 0 {
		fmt.Fprintf(&b, "oldest events evicted at %s: the verdicts cover only part of the run\n",
			strings.Join(r.Evicted, ", "))
	}
	return b.String()
}

func (r *Report) writeText(b *strings.Builder, title string) {
	fmt.Fprintf(b, "%s: %.1f s, processor time %.1f s, %.2f ms per task of a complete job; "+
		"submissions at most %.1f ms behind the plan\n",
		title, r.Seconds, r.ProcessorSeconds, r.ProcessorMilliseconds, r.MaxLagMilliseconds)
	names := []string{"steady", "burst"}
	for i, w := range r.windows() {
		fmt.Fprintf(b, "  %s %.1f s: %d jobs, %d tasks, %d jobs cancelled, work for %.1f slots\n",
			names[i], w.Seconds, w.Jobs, w.Tasks, w.Cancelled, ratio(w.RunSeconds, w.Seconds))
		writeCounts(b, "answers", w.Answers)
		fmt.Fprintf(b, "    response time minus longest task, ms: p50 %.1f, p99 %.1f, p99.9 %.1f (%d jobs)\n",
			w.Response.P50, w.Response.P99, w.Response.P999, w.Response.Count)
		fmt.Fprintf(b, "    in time: %d jobs (%.1f%%), %.1f jobs/s, %.1f tasks/s\n",
			w.InTime, 100*w.InTimeShare, w.InTimeRate, ratio(float64(w.InTimeTasks), w.Seconds))
		if w.Refusal.Count > 0 {
			fmt.Fprintf(b, "    time to refusal, ms: p50 %.1f, p99 %.1f (%d jobs)\n",
				w.Refusal.P50, w.Refusal.P99, w.Refusal.Count)
		}
	}
	writeCounts(b, "resubmissions", r.Resubmissions)
	e := r.AnswerErrors
	fmt.Fprintf(b, "    wrong answers: %d "+
		"(%d mismatched, %d missing, %d duplicate results, %d resubmissions that differ)\n",
		e.Answers, e.Mismatched, e.Missing, e.Duplicate, e.Differing)
}

func writeCounts(b *strings.Builder, title string, counts map[string]int) {
	if len(counts) == 0 {
		return
	}
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%d %s", counts[name], name))
	}
	fmt.Fprintf(b, "    %s: %s\n", title, strings.Join(parts, ", "))
}
