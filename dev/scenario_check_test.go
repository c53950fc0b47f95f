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

// edit applies an edit at an entry: deadline=TIME of the sample route, attempts=N of it, or pool=NAME to add
// a pool and point the route at it.
func (s *scenario) edit(d *datadriven.TestData) string {
	entry := 1
	s.scan(d, "entry", &entry)
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
		edits = append(edits, table.SetRoute(id, r.WithDeadline(s.duration(text))))
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

// tables prints how many running entries have which version of the routes.
func (s *scenario) tables(*datadriven.TestData) string {
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
	s.scan(d, "entry", &entry)
	key := ""
	d.ScanArgs(s.t, "key", &key)
	count := 1
	s.scan(d, "count", &count)
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

// count prints how often a process recorded an event.
func (s *scenario) count(d *datadriven.TestData) string {
	n := 0
	for _, e := range s.site.Events() {
		if e.Number.String() == d.CmdArgs[0].Key && e.Process == d.CmdArgs[1].Key {
			n++
		}
	}
	return fmt.Sprintf("%d\n", n)
}

// ended prints whether at most a tenth of the tasks of the keys with a prefix failed, and awaits the keys.
func (s *scenario) ended(d *datadriven.TestData) string {
	failed, all := 0, 0
	for as, answer := range s.answers {
		if strings.HasPrefix(as, d.CmdArgs[0].Key+"-") {
			all++
			if text := <-answer; !strings.HasPrefix(text, string(job.Complete)) {
				failed++
			}
			delete(s.answers, as)
		}
	}
	if failed > all/10 {
		return fmt.Sprintf("%d of %d failed\n", failed, all)
	}
	return "at most a tenth failed\n"
}

// starts prints the number of starts of the tasks of the keys with a prefix.
func (s *scenario) starts(d *datadriven.TestData) string {
	n := 0
	for _, e := range s.site.Events() {
		if e.Number == event.TaskStarted && strings.HasPrefix(e.Key, d.CmdArgs[0].Key) {
			n++
		}
	}
	return fmt.Sprintf("%d\n", n)
}

// verdict prints the verdicts of the promises over the merged time line.
func (s *scenario) verdict(*datadriven.TestData) string {
	var lines strings.Builder
	for _, v := range invariant.Check(s.site.Events()) {
		if v.Kept() {
			continue
		}
		fmt.Fprintf(&lines, "%s broken: %s (%d times)\n", v.Guarantee, v.Violations[0].Reason, len(v.Violations))
	}
	if lines.Len() == 0 {
		return "all promises kept\n"
	}
	return lines.String()
}

// events prints the time line of a key, for the debugging of a script.
func (s *scenario) events(d *datadriven.TestData) string {
	var lines strings.Builder
	for _, e := range s.site.Events() {
		if e.Key == d.CmdArgs[0].Key || e.Key == "" {
			fmt.Fprintf(&lines, "%s %s %s task=%d %s %s\n", e.Stamp.Time().Format("05.000"), e.Process, e.Number, e.Task, e.Peer, e.State)
		}
	}
	return lines.String()
}
