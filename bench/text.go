package bench

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// Text returns the report as plain-text tables.
func (r Report) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "Seed %d, steady loads of %g s, %d repetitions of each burst.\n", r.Seed, r.DurationSeconds,
		r.Repetitions)
	for _, note := range r.Notes {
		fmt.Fprintf(&b, "- %s\n", note)
	}
	r.writeResponse(&b)
	r.writeBurst(&b)
	r.writeBlocking(&b)
	r.writeFaults(&b)
	r.writeTargets(&b)
	return b.String()
}

// writeTable writes a title, a header and rows of tab-separated cells in aligned columns. Without rows it writes
// nothing.
func writeTable(b *strings.Builder, title, header string, rows []string) {
	if len(rows) == 0 {
		return
	}
	fmt.Fprintf(b, "\n%s\n\n", title)
	w := tabwriter.NewWriter(b, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, row := range append([]string{header}, rows...) {
		_, _ = fmt.Fprintf(w, "%s\t\n", row) // writing to a strings.Builder never fails
	}
	_ = w.Flush()
}

// formatRatio formats a ratio. Zero, which stands for a ratio without a denominator, becomes a dash.
func formatRatio(ratio float64) string {
	if ratio == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3f", ratio)
}

// groups calls add for each sequence of consecutive rows with the same key.
func groups[R any](rows []R, key func(R) string, add func(key string, group []R)) {
	for start := 0; start < len(rows); {
		end := start
		for end < len(rows) && key(rows[end]) == key(rows[start]) {
			end++
		}
		add(key(rows[start]), rows[start:end])
		start = end
	}
}

func (r Report) writeResponse(b *strings.Builder) {
	key := func(row ResponseRow) string {
		return fmt.Sprintf("Response at %s, %s, %s jobs (ms; ratios to the ideal queue)", row.Site, row.Workload, row.Class)
	}
	groups(r.Response, key, func(title string, group []ResponseRow) {
		var lines []string
		for _, g := range group {
			lines = append(lines, fmt.Sprintf("%s\t%d\t%.2f\t%.2f\t%.1f\t%.1f\t%s\t%s\t%s\t%s\t%s\t%s\t%.4f\t%.2f",
				g.Policy, g.Jobs, g.Mean, g.P50, g.P99, g.P999,
				formatRatio(g.MeanRatio), formatRatio(g.MeanRatioLessHop), formatRatio(g.P99Ratio), formatRatio(g.P99RatioLessHop),
				formatRatio(g.P999Ratio), formatRatio(g.P999RatioLessHop), g.WastedPerTask, g.MessagesPerTask))
		}
		writeTable(b, title, "policy\tjobs\tmean\tp50\tp99\tp99.9\tmean x with hop\tless hop\tp99 x with hop\t"+
			"less hop\tp99.9 x with hop\tless hop\twasted/task\tmessages/task", lines)
	})
}

func (r Report) writeBurst(b *strings.Builder) {
	key := func(row BurstRow) string {
		return fmt.Sprintf("Crest at %s, %s (jobs that arrived in the burst)", row.Site, row.Workload)
	}
	groups(r.Burst, key, func(title string, group []BurstRow) {
		var lines []string
		for _, g := range group {
			recovery := "not seen"
			if g.Recovery >= 0 {
				recovery = fmt.Sprintf("%.2f", g.Recovery)
			}
			lines = append(lines, fmt.Sprintf("%s\t%.3f\t%.3f\t%.3f\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%s\t%s\t%.4f",
				g.Policy, g.InTime, g.InTimeRecovering, g.InTimePerSlot, g.Jobs, g.Answered, g.Refused, g.FalseRefusals,
				g.PartlyRun, g.Expired,
				g.RefusalP99, recovery, formatShares(g.FairShares), g.WastedPerTask))
		}
		writeTable(b, title, "policy\twork in time\tto recovering\tper slot time\tjobs\tin time\trefused\tuntrue\t"+
			"partly run\texpired\trefusal p99 ms\trecovery s\tfair shares\twasted/task", lines)
	})
}

func formatShares(m map[string]float64) string {
	var parts []string
	for _, customer := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, fmt.Sprintf("%s %.3f", customer, m[customer]))
	}
	return strings.Join(parts, ", ")
}

func (r Report) writeBlocking(b *strings.Builder) {
	key := func(row BlockingRow) string {
		return fmt.Sprintf("Blocking at %s, %s (waits of tasks, ms)", row.Site, row.Workload)
	}
	groups(r.Blocking, key, func(title string, group []BlockingRow) {
		var lines []string
		for _, g := range group {
			lines = append(lines, fmt.Sprintf("%s\t%.2f\t%.2f\t%s\t%.1f\t%.1f\t%s\t%.0f\t%d", g.Policy, g.AloneP50,
				g.BesideP50, formatRatio(g.P50Ratio), g.AloneP99, g.BesideP99, formatRatio(g.P99Ratio), g.LongestLongWait,
				g.Unanswered))
		}
		writeTable(b, title, "policy\tp50 alone\tp50 beside\tratio\tp99 alone\tp99 beside\tratio\t"+
			"longest long wait\tunanswered", lines)
	})
}

func (r Report) writeFaults(b *strings.Builder) {
	key := func(row FaultRow) string {
		return fmt.Sprintf("Faults at %s, %s (delay of complete jobs, ms)", row.Site, row.Workload)
	}
	groups(r.Faults, key, func(title string, group []FaultRow) {
		var lines []string
		for _, g := range group {
			lines = append(lines, fmt.Sprintf("%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%s\t%.1f\t%.0f\t%.1f\t%.4f",
				g.Policy, g.Jobs, g.Complete, g.Failed, g.Refused, g.Expired, g.Cancelled, g.Mean,
				formatRatio(g.MeanRatio), g.P99, g.Longest, g.RefusalP99, g.WastedPerTask))
		}
		writeTable(b, title, "policy\tjobs\tcomplete\tfailed\trefused\texpired\tcancelled\tmean\tmean x ideal\t"+
			"p99\tlongest\trefusal p99\twasted/task", lines)
	})
}

func (r Report) writeTargets(b *strings.Builder) {
	var lines []string
	met := 0
	for _, t := range r.Targets {
		bound, verdict := "at most", "MISSED"
		if t.AtLeast {
			bound = "at least"
		}
		if t.Met {
			verdict = "met"
			met++
		}
		lines = append(lines, fmt.Sprintf("%s\t%s\t%s\t%s\t%.4g\t%s %.4g\t%s",
			t.Measure, t.Site, t.Workload, t.Name, t.Value, bound, t.Limit, verdict))
	}
	title := fmt.Sprintf("Targets of policy %q: %d of %d met", chosenPolicy, met, len(r.Targets))
	writeTable(b, title, "measure\tsite\tworkload\tfigure\tvalue\ttarget\tverdict", lines)
}
