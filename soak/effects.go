package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/platform/standin"
)

// Effects that the stand-in does not report.
const (
	effectKilled    = "Killed"
	effectPaused    = "Paused"
	effectThrottled = "Throttled"
	// effectResubmitted is a job that its caller submitted again while a run of an earlier submission was active.
	effectResubmitted = "ResubmittedBesideRun"
	// effectTwoBackends is a resubmitted job with a task that ran on two backend servers.
	effectTwoBackends = "ResubmittedOnTwoBackends"
)

// newEffects returns counts of zero for all effects, so that a report shows those that are missing.
func newEffects() map[string]int {
	counts := map[string]int{
		effectKilled: 0, effectPaused: 0, effectThrottled: 0, effectResubmitted: 0, effectTwoBackends: 0,
	}
	for _, e := range standin.Effects {
		counts[string(e)] = 0
	}
	return counts
}

// nearMisses are the least times between the end of a run and a later start of the same task on another backend server,
// by the outcome of the earlier run. A negative time means that the runs overlapped.
type nearMisses map[string]time.Duration

// String returns the least of all times, followed by those of each outcome.
func (n nearMisses) String() string {
	if len(n) == 0 {
		return "none"
	}
	var text strings.Builder
	least := slices.Min(slices.Collect(maps.Values(n)))
	fmt.Fprint(&text, least.Round(time.Microsecond))
	for _, outcome := range slices.Sorted(maps.Keys(n)) {
		fmt.Fprintf(&text, ", %s %v", outcome, n[outcome].Round(time.Microsecond))
	}
	return text.String()
}

// RecordEffect counts that a disturbance has taken effect.
func (c *checker) RecordEffect(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.effects[name]++
}

func (record *jobRecord) resubmittedBesideRun() bool {
	return len(record.submissions) > 0 &&
		slices.ContainsFunc(record.runs, func(r *runRecord) bool { return r.endedAt.IsZero() })
}

// Summary returns how often each effect was seen, and the near misses.
func (c *checker) Summary() (effects map[string]int, misses nearMisses) {
	c.mu.Lock()
	defer c.mu.Unlock()
	misses = nearMisses{}
	now := time.Now()
	twoBackends := 0
	for _, record := range c.jobs {
		earlier := map[batch.TaskID][]*runRecord{}
		moved := false
		for _, r := range record.runs {
			for _, e := range earlier[r.Task] {
				if e.Backend == r.Backend {
					continue
				}
				moved = true
				end, outcome := e.endedAt, e.outcome
				if end.IsZero() {
					end, outcome = now, "active"
				}
				if least, ok := misses[outcome]; !ok || r.At.Sub(end) < least {
					misses[outcome] = r.At.Sub(end)
				}
			}
			earlier[r.Task] = append(earlier[r.Task], r)
		}
		if moved && len(record.submissions) > 1 {
			twoBackends++
		}
	}
	c.effects[effectTwoBackends] = twoBackends
	return maps.Clone(c.effects), misses
}
