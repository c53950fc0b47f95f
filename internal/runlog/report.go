package main

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Causes of a second run.
const (
	resubmitted = "resubmission"
	forwarded   = "forward"      // or another entry for a reason that was not logged
	placedAgain = "placed again" // by the same entry, with the end that it logged, or the agent if the entry logged none
)

// causeCount counts the second runs with one cause.
type causeCount struct {
	runs     int
	possible int // while the earlier run was possible
	unlogged int // of these, the end of the earlier run was not logged
	gaps     []time.Duration
}

// overlap is a run that started while an earlier one was possible.
type overlap struct {
	task          taskKey
	cause         string
	first, second *run
	until         time.Time // until when the first run was possible
}

type report struct {
	lines, skipped, jobs, runs int
	resubmittedJobs            int
	resubmissions              int
	resubmittedDuringRun       int
	resubmittedDuringOpenRun   int // of these, only during runs whose end was not logged
	causes                     map[string]*causeCount
	overlaps                   []overlap // of runs on different agents
}

func newReport(h history, lease time.Duration) report {
	r := report{lines: h.lines, skipped: h.skipped, jobs: len(h.jobs), causes: map[string]*causeCount{}}
	runsOf := map[string][]*run{}
	for key, runs := range h.runs {
		r.runs += len(runs)
		runsOf[key.job] = append(runsOf[key.job], runs...)
	}
	submitted := map[string][]submission{}
	for job, lines := range h.jobs {
		submitted[job] = submissions(lines)
		r.addSubmissions(&h, submitted[job], runsOf[job], lease)
	}
	for _, key := range slices.SortedFunc(maps.Keys(h.runs), compareKeys) {
		r.addRuns(&h, key, submitted[key.job], lease)
	}
	slices.SortStableFunc(r.overlaps, func(a, b overlap) int { return a.second.started.Compare(b.second.started) })
	return r
}

func (r *report) addSubmissions(h *history, submissions []submission, runs []*run, lease time.Duration) {
	if len(submissions) < 2 {
		return
	}
	r.resubmittedJobs++
	for _, s := range submissions[1:] {
		r.resubmissions++
		possible, logged := false, false
		for _, x := range runs {
			if x.began().Before(s.at) && h.openUntil(x, lease).After(s.at) {
				possible, logged = true, logged || !x.ended.IsZero()
			}
		}
		if possible {
			r.resubmittedDuringRun++
		}
		if possible && !logged {
			r.resubmittedDuringOpenRun++
		}
	}
}

// began returns the earliest time at which a run may have begun.
func (r *run) began() time.Time {
	if r.sent.IsZero() {
		return r.started
	}
	return r.sent
}

func (r *report) addRuns(h *history, key taskKey, submissions []submission, lease time.Duration) {
	runs := h.runs[key]
	for i := 1; i < len(runs); i++ {
		// The earlier run that may last longest, not only the one that started last.
		first := slices.MaxFunc(runs[:i], func(a, b *run) int { return h.openUntil(a, lease).Compare(h.openUntil(b, lease)) })
		second, until := runs[i], h.openUntil(first, lease)
		name := h.explain(key, runs[i-1], second, submissions)
		c := r.causes[name]
		if c == nil {
			c = &causeCount{}
			r.causes[name] = c
		}
		c.runs++
		if second.agent != first.agent {
			c.gaps = append(c.gaps, second.started.Sub(until))
		}
		if !second.started.Before(until) {
			continue
		}
		c.possible++
		if first.ended.IsZero() {
			c.unlogged++
		}
		if second.agent != first.agent {
			r.overlaps = append(r.overlaps, overlap{key, name, first, second, until})
		}
	}
}

// explain returns what came between two runs of a task.
func (h *history) explain(key taskKey, first, second *run, submissions []submission) string {
	if len(submissions) > 1 {
		for _, s := range submissions[1:] {
			if s.at.After(first.began()) && !s.at.After(second.started) {
				return resubmitted
			}
		}
	}
	if second.entry != first.entry && second.entry != "" && first.entry != "" {
		return forwarded
	}
	state := ""
	for _, l := range h.losses[key] {
		if l.Time.After(first.began()) && !l.Time.After(second.started) {
			state = l.State
		}
	}
	if state == "" {
		return placedAgain + ", unreported " + cmp.Or(first.end, "end")
	}
	return placedAgain + " after " + state
}

// format returns the report as text, with at most the given number of overlaps.
func (r report) format(maxOverlaps int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d log lines, %d other lines, %d jobs, %d runs\n", r.lines, r.skipped, r.jobs, r.runs)
	fmt.Fprintf(&b, "resubmitted: %d jobs, %d times; %d times while an earlier run was possible, %d of them by an end not logged\n",
		r.resubmittedJobs, r.resubmissions, r.resubmittedDuringRun, r.resubmittedDuringOpenRun)
	const row = "%-32v %6v %21v %15v %10v %10v %17v\n"
	fmt.Fprintf(&b, row, "second run by", "runs", "earlier run possible", "end not logged", "least gap", "under 100", "to another agent")
	for _, name := range slices.Sorted(maps.Keys(r.causes)) {
		c := r.causes[name]
		fmt.Fprintf(&b, row, name, c.runs, c.possible, c.unlogged, leastGap(c.gaps),
			countBelow(c.gaps, 100*time.Millisecond), len(c.gaps))
	}
	fmt.Fprintf(&b, "overlaps by the logs, on different agents: %d\n", len(r.overlaps))
	for _, x := range r.overlaps[:min(len(r.overlaps), maxOverlaps)] {
		fmt.Fprintf(&b, "  %s.%d.%d: run %d on %s from %s to %s (%s), run %d on %s from %s: %s\n", x.task.job, x.task.step,
			x.task.task, x.first.number, x.first.agent, clock(x.first.started), clock(x.until),
			cmp.Or(x.first.end, "not logged"), x.second.number, x.second.agent, clock(x.second.started), x.cause)
	}
	return b.String()
}

func leastGap(gaps []time.Duration) string {
	if len(gaps) == 0 {
		return "-"
	}
	return fmt.Sprint(slices.Min(gaps).Milliseconds())
}

func countBelow(gaps []time.Duration, limit time.Duration) int {
	n := 0
	for _, g := range gaps {
		if g < limit {
			n++
		}
	}
	return n
}

func clock(t time.Time) string { return t.Format("15:04:05.000") }
