package dev_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/datadriven"

	"dogwoodglade/core/event"
	"dogwoodglade/core/invariant"
	"dogwoodglade/core/job"
	"dogwoodglade/core/pool"
	"dogwoodglade/core/route"
	"dogwoodglade/core/table"
	"dogwoodglade/core/task"
	"dogwoodglade/dev"
	"dogwoodglade/io/tables"
)

// edit applies edits at an entry: deadline=TIME and attempts=N change the sample route, pool=NAME adds a pool and
// changes the route to use it.
func (s *scenario) edit(d *datadriven.TestData) string {
	entry := 1
	s.scanOptional(d, "entry", &entry)
	s.edits++
	id := fmt.Sprintf("edit-%d", s.edits)
	target := s.site.Entries[entry-1].Process.Tables()
	r := target.Current().Routes[dev.SampleRoute]
	if r.Name == "" {
		r = route.New(dev.SampleRoute, dev.SamplePool)
	}
	var edits []table.Edit
	var text string
	if d.HasArg("deadline") {
		d.ScanArgs(s.t, "deadline", &text)
		edits = append(edits, table.SetRoute(id, r.WithDeadline(s.parseDuration(text))))
	}
	if d.HasArg("attempts") {
		attempts := 0
		d.ScanArgs(s.t, "attempts", &attempts)
		edits = append(edits, table.SetRoute(id, r.WithAttempts(attempts)))
	}
	if d.HasArg("pool") {
		d.ScanArgs(s.t, "pool", &text)
		edits = append(edits, table.SetPool(id, pool.New(text)), table.SetRoute(id+"-route", r.WithPool(text)))
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for _, e := range edits {
		if _, err := target.Edit(ctx, e, 0); err != nil {
			return "refused: " + tables.ErrorType(err) + "\n"
		}
	}
	return ""
}

// printTableVersions prints the number of running entries at each version of the Routes table.
func (s *scenario) printTableVersions(*datadriven.TestData) string {
	counts := map[uint64]int{}
	for _, e := range s.site.Entries {
		if !e.Stopped() {
			counts[e.Process.Tables().Current().Versions.Routes]++
		}
	}
	var lines []string
	for version, n := range counts {
		lines = append(lines, fmt.Sprintf("%d entries at version %d\n", n, version))
	}
	slices.Sort(lines)
	return strings.Join(lines, "")
}

func (s *scenario) cancel(d *datadriven.TestData) string {
	entry := 1
	s.scanOptional(d, "entry", &entry)
	key := ""
	d.ScanArgs(s.t, "key", &key)
	count := 1
	s.scanOptional(d, "count", &count)
	for i := range count {
		id := task.JobID{Customer: "atlas", Key: key}
		if count > 1 {
			id.Key = fmt.Sprintf("%s-%d", key, i+1)
		}
		if _, err := s.client(entry).Cancel(context.Background(), id); err != nil {
			return "no answer\n"
		}
	}
	return ""
}

// countEvents prints how many times a process recorded an event.
func (s *scenario) countEvents(d *datadriven.TestData) string {
	n := 0
	for _, e := range s.site.Events() {
		if e.Number.String() == d.CmdArgs[0].Key && e.Process == d.CmdArgs[1].Key {
			n++
		}
	}
	return fmt.Sprintf("%d\n", n)
}

// awaitMostlySucceeded waits for the submissions whose key has the prefix, and prints whether at most a tenth of them
// failed.
func (s *scenario) awaitMostlySucceeded(d *datadriven.TestData) string {
	failed, total := 0, 0
	for label, answer := range s.answers {
		if strings.HasPrefix(label, d.CmdArgs[0].Key+"-") {
			total++
			if text := <-answer; !strings.HasPrefix(text, string(job.Complete)) {
				failed++
			}
			delete(s.answers, label)
		}
	}
	if failed > total/10 {
		return fmt.Sprintf("%d of %d failed\n", failed, total)
	}
	return "at most a tenth failed\n"
}

// countStarts prints how many times tasks of jobs whose key has the prefix were started.
func (s *scenario) countStarts(d *datadriven.TestData) string {
	n := 0
	for _, e := range s.site.Events() {
		if e.Number == event.TaskStarted && strings.HasPrefix(e.Key, d.CmdArgs[0].Key) {
			n++
		}
	}
	return fmt.Sprintf("%d\n", n)
}

// checkGuarantees prints which guarantees the merged timeline violates.
func (s *scenario) checkGuarantees(*datadriven.TestData) string {
	var lines strings.Builder
	for _, v := range invariant.Check(s.site.Events()) {
		if v.Holds() {
			continue
		}
		fmt.Fprintf(&lines, "%s violated: %s (%d times)\n", v.Guarantee, v.Violations[0].Reason, len(v.Violations))
	}
	if lines.Len() == 0 {
		return "all guarantees hold\n"
	}
	return lines.String()
}

// printEvents prints the events of a key and those without a key, for debugging a script.
func (s *scenario) printEvents(d *datadriven.TestData) string {
	var lines strings.Builder
	for _, e := range s.site.Events() {
		if e.Key == d.CmdArgs[0].Key || e.Key == "" {
			fmt.Fprintf(&lines, "%s %s %s task=%d %s %s\n",
				e.Stamp.Time().Format("05.000"), e.Process, e.Number, e.Task, e.Peer, e.State)
		}
	}
	return lines.String()
}
