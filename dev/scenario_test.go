package dev_test

import (
	"context"
	"fmt"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"dogwoodglade/core/job"
	"dogwoodglade/dev"
	"dogwoodglade/internal/memnet"
	"dogwoodglade/io/caller"
)

// The scripts in testdata/scenarios provoke the failures that the promises must survive. Each runs a whole
// site on a paused clock, and ends with the verdict of the invariant checker over the merged time line.
func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/scenarios/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("got %d scripts, %v", len(files), err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &scenario{t: t, answers: map[string]<-chan string{}}
				defer s.close()
				datadriven.RunTest(t, file, s.run)
			})
		})
	}
}

// scenario is the state of a running script.
type scenario struct {
	t       *testing.T
	site    *dev.Site
	network *memnet.Network
	cleanUp func()
	http    *http.Transport
	answers map[string]<-chan string // of submissions, by key
	edits   int
}

func (s *scenario) close() {
	if s.site == nil {
		return
	}
	s.http.CloseIdleConnections()
	for _, host := range s.hosts() {
		s.stall(host, false)
	}
	s.cleanUp()
	synctest.Wait()
}

// run performs one command of a script.
func (s *scenario) run(t *testing.T, d *datadriven.TestData) string {
	commands := map[string]func(d *datadriven.TestData) string{
		"site": s.startSite, "submit": s.submit, "await": s.await, "wait": s.wait, "start": s.start,
		"stop": s.stop, "kill": s.kill, "freeze": s.freeze, "thaw": s.thaw, "cut": s.cut, "heal": s.heal,
		"platform": s.platform, "edit": s.edit, "cancel": s.cancel, "starts": s.starts, "tables": s.tables,
		"verdict": s.verdict, "events": s.events, "count": s.count, "ended": s.ended,
	}
	command, ok := commands[d.Cmd]
	if !ok {
		d.Fatalf(t, "unknown command %s", d.Cmd)
	}
	return command(d)
}

func (s *scenario) startSite(d *datadriven.TestData) string {
	settings := dev.Settings{Seed: 1}
	s.scan(d, "entries", &settings.Entries)
	s.scan(d, "agents", &settings.Agents)
	s.scan(d, "slots", &settings.Slots)
	s.network = memnet.New()
	settings.Host = func(process string) dev.Host { return s.network.Host(process) }
	site, cleanUp, err := dev.New(settings)
	if err != nil {
		d.Fatalf(s.t, "%v", err)
	}
	s.site, s.cleanUp = site, cleanUp
	s.http = &http.Transport{DialContext: s.network.Host("caller").Dial}
	return ""
}

func (s *scenario) client(entry int) *caller.Client {
	return caller.NewClient(s.site.Entries[entry-1].Process.CallerAddress(), &http.Client{Transport: s.http})
}

// submit starts one or more submissions with keys KEY-1, KEY-2 and so on, or KEY if there is one.
func (s *scenario) submit(d *datadriven.TestData) string {
	key, entry, tasks, count, run, deadline := "", 1, 1, 1, "100ms", "10s"
	d.ScanArgs(s.t, "key", &key)
	s.scan(d, "entry", &entry)
	s.scan(d, "tasks", &tasks)
	s.scan(d, "count", &count)
	s.scan(d, "run", &run)
	s.scan(d, "deadline", &deadline)
	as := key
	s.scan(d, "as", &as)
	for i := range count {
		suffix := ""
		if count > 1 {
			suffix = fmt.Sprintf("-%d", i+1)
		}
		submission := sampleJob(key+suffix, tasks, s.duration(run))
		submission.Deadline = s.duration(deadline)
		s.scan(d, "route", &submission.Route)
		submission.Idempotent = new(bool)
		*submission.Idempotent = d.HasArg("idempotent")
		s.send(s.client(entry), as+suffix, submission, d.HasArg("ticket"))
	}
	return ""
}

func (s *scenario) send(c *caller.Client, as string, submission job.Submission, withTicket bool) {
	answer := make(chan string, 1)
	s.answers[as] = answer
	go func() {
		if withTicket {
			ticket, err := c.IssueTicket(context.Background(), submission.ID)
			if err != nil {
				answer <- "no ticket"
				return
			}
			submission.Ticket = ticket
		}
		a, err := c.Submit(context.Background(), submission)
		if err != nil {
			answer <- "no answer"
			return
		}
		answer <- describe(a)
	}()
}

func describe(a job.Answer) string {
	text := string(a.State)
	if a.Reason != job.ReasonNone {
		text += " " + string(a.Reason)
	}
	if len(a.Results) > 0 {
		text += fmt.Sprintf(" with %d results", len(a.Results))
	}
	return text
}

// await prints how many of the named submissions got which answer. If the outcomes depend on chance, allow
// names the states that are right, and it prints only the number of answers and those of other states.
func (s *scenario) await(d *datadriven.TestData) string {
	counts := map[string]int{}
	allowed, never := map[string]bool{}, map[string]bool{}
	for _, arg := range d.CmdArgs {
		for _, value := range arg.Vals {
			switch arg.Key {
			case "allow":
				allowed[value] = true
			case "never":
				never[value] = true
			}
		}
	}
	for as, answer := range s.answers {
		if slices.ContainsFunc(d.CmdArgs, func(a datadriven.CmdArg) bool {
			return a.Key == as || strings.HasPrefix(as, a.Key+"-")
		}) {
			text := <-answer
			state, reason, _ := strings.Cut(text, " ")
			if allowed[state] || len(never) > 0 && !never[reason] {
				text = "as allowed"
			}
			counts[text]++
			delete(s.answers, as)
		}
	}
	var lines []string
	for text, n := range counts {
		lines = append(lines, fmt.Sprintf("%d: %s\n", n, text))
	}
	slices.Sort(lines)
	return strings.Join(lines, "")
}

func (s *scenario) duration(text string) time.Duration {
	duration, err := time.ParseDuration(text)
	if err != nil {
		s.t.Fatal(err)
	}
	return duration
}

func (s *scenario) wait(d *datadriven.TestData) string {
	time.Sleep(s.duration(d.CmdArgs[0].Key))
	return ""
}

// scan reads an argument if it is given.
func (s *scenario) scan(d *datadriven.TestData, key string, value any) {
	if d.HasArg(key) {
		d.ScanArgs(s.t, key, value)
	}
}
