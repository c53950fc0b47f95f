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

// Guards against failures under which the guarantees P1 to P8 do not hold. Each script in testdata/scenarios runs a
// complete site on a fake clock, injects faults, and ends by checking the guarantees on the merged timeline.
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

// scenario holds the state of a running script.
type scenario struct {
	t         *testing.T
	site      *dev.Site
	network   *memnet.Network
	cleanUp   func()
	transport *http.Transport
	answers   map[string]<-chan string // of submissions, by label
	edits     int
}

func (s *scenario) close() {
	if s.site == nil {
		return
	}
	s.transport.CloseIdleConnections()
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
		"platform": s.setPlatformFaults, "edit": s.edit, "cancel": s.cancel,
		"count-starts": s.countStarts, "table-versions": s.printTableVersions,
		"check-guarantees": s.checkGuarantees, "print-events": s.printEvents, "count-events": s.countEvents,
		"await-mostly-succeeded": s.awaitMostlySucceeded,
	}
	command, ok := commands[d.Cmd]
	if !ok {
		d.Fatalf(t, "unknown command %s", d.Cmd)
	}
	return command(d)
}

func (s *scenario) startSite(d *datadriven.TestData) string {
	settings := dev.Settings{Seed: 1}
	s.scanOptional(d, "entries", &settings.Entries)
	s.scanOptional(d, "agents", &settings.Agents)
	s.scanOptional(d, "slots", &settings.Slots)
	s.network = memnet.New()
	settings.Host = func(process string) dev.Host { return s.network.Host(process) }
	site, cleanUp, err := dev.New(settings)
	if err != nil {
		d.Fatalf(s.t, "%v", err)
	}
	s.site, s.cleanUp = site, cleanUp
	s.transport = &http.Transport{DialContext: s.network.Host("caller").Dial}
	return ""
}

func (s *scenario) client(entry int) *caller.Client {
	return caller.NewClient(s.site.Entries[entry-1].Process.CallerAddress(), &http.Client{Transport: s.transport})
}

// submit starts count=N submissions without waiting for the answers. Their keys are KEY-1, KEY-2 and so on, or KEY if
// there is only one. The argument as=LABEL sets the label for await; it defaults to the key.
func (s *scenario) submit(d *datadriven.TestData) string {
	key, entry, tasks, count, run, deadline := "", 1, 1, 1, "100ms", "10s"
	d.ScanArgs(s.t, "key", &key)
	s.scanOptional(d, "entry", &entry)
	s.scanOptional(d, "tasks", &tasks)
	s.scanOptional(d, "count", &count)
	s.scanOptional(d, "run", &run)
	s.scanOptional(d, "deadline", &deadline)
	label := key
	s.scanOptional(d, "as", &label)
	for i := range count {
		suffix := ""
		if count > 1 {
			suffix = fmt.Sprintf("-%d", i+1)
		}
		submission := sampleJob(key+suffix, tasks, s.parseDuration(run))
		submission.Deadline = s.parseDuration(deadline)
		s.scanOptional(d, "route", &submission.Route)
		submission.Idempotent = new(bool)
		*submission.Idempotent = d.HasArg("idempotent")
		s.send(s.client(entry), label+suffix, submission, d.HasArg("ticket"))
	}
	return ""
}

func (s *scenario) send(c *caller.Client, label string, submission job.Submission, withTicket bool) {
	answer := make(chan string, 1)
	s.answers[label] = answer
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
		answer <- formatAnswer(a)
	}()
}

func formatAnswer(a job.Answer) string {
	text := string(a.State)
	if a.Reason != job.ReasonNone {
		text += " " + string(a.Reason)
	}
	if len(a.Results) > 0 {
		text += fmt.Sprintf(" with %d results", len(a.Results))
	}
	return text
}

// await waits for the submissions with the given labels and prints the number of each answer. A label also stands for
// its numbered submissions, such as LABEL-1. If the outcomes depend on chance, the argument allow lists the acceptable
// states, or never the unacceptable reasons; acceptable answers are then counted together, as "as allowed".
func (s *scenario) await(d *datadriven.TestData) string {
	counts := map[string]int{}
	allowedStates, disallowedReasons := map[string]bool{}, map[string]bool{}
	for _, arg := range d.CmdArgs {
		for _, value := range arg.Vals {
			switch arg.Key {
			case "allow":
				allowedStates[value] = true
			case "never":
				disallowedReasons[value] = true
			}
		}
	}
	for label, answer := range s.answers {
		if slices.ContainsFunc(d.CmdArgs, func(a datadriven.CmdArg) bool {
			return a.Key == label || strings.HasPrefix(label, a.Key+"-")
		}) {
			text := <-answer
			state, reason, _ := strings.Cut(text, " ")
			if allowedStates[state] || len(disallowedReasons) > 0 && !disallowedReasons[reason] {
				text = "as allowed"
			}
			counts[text]++
			delete(s.answers, label)
		}
	}
	var lines []string
	for text, n := range counts {
		lines = append(lines, fmt.Sprintf("%d: %s\n", n, text))
	}
	slices.Sort(lines)
	return strings.Join(lines, "")
}

func (s *scenario) parseDuration(text string) time.Duration {
	duration, err := time.ParseDuration(text)
	if err != nil {
		s.t.Fatal(err)
	}
	return duration
}

func (s *scenario) wait(d *datadriven.TestData) string {
	time.Sleep(s.parseDuration(d.CmdArgs[0].Key))
	return ""
}

// scanOptional reads an argument if it is present.
func (s *scenario) scanOptional(d *datadriven.TestData, key string, value any) {
	if d.HasArg(key) {
		d.ScanArgs(s.t, key, value)
	}
}
