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

	"dogwoodglade/core/event"
	"dogwoodglade/core/invariant"
	"dogwoodglade/core/job"
	"dogwoodglade/core/pool"
	"dogwoodglade/core/route"
	"dogwoodglade/core/table"
	"dogwoodglade/core/task"
	"dogwoodglade/dev"
	"dogwoodglade/internal/memnet"
	"dogwoodglade/io/caller"
	"dogwoodglade/io/platform"
	"dogwoodglade/io/tables"
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

func (s *scenario) start(d *datadriven.TestData) string {
	for _, arg := range d.CmdArgs {
		var err error
		switch arg.Key {
		case "entry":
			_, err = s.site.StartEntry()
		case "agent":
			_, err = s.site.StartAgent()
		case "failing-server":
			_, err = s.site.StartFailingServer(s.site.Agents[0].Process.Address())
		case "server":
			agent := len(s.site.Agents)
			_, err = s.site.StartServer(s.site.Agents[agent-1].Process.Address())
		}
		if err != nil {
			d.Fatalf(s.t, "%v", err)
		}
	}
	return ""
}

// stop begins planned stops, and waits for them unless the argument "later" is given.
func (s *scenario) stop(d *datadriven.TestData) string {
	done := make(chan struct{})
	stops := 0
	for _, arg := range d.CmdArgs {
		if stop, _ := s.part(arg.Key); stop != nil {
			stops++
			go func() {
				stop()
				done <- struct{}{}
			}()
		}
	}
	if d.HasArg("later") {
		go func() {
			for range stops {
				<-done
			}
		}()
		return ""
	}
	for range stops {
		<-done
	}
	return ""
}

func (s *scenario) kill(d *datadriven.TestData) string {
	for _, arg := range d.CmdArgs {
		if _, kill := s.part(arg.Key); kill != nil {
			kill()
		}
	}
	return ""
}

// part returns how to stop and to kill a process by its name.
func (s *scenario) part(name string) (stop, kill func()) {
	for _, p := range s.site.Entries {
		if p.Name == name {
			return p.Stop, p.Kill
		}
	}
	for _, p := range s.site.Agents {
		if p.Name == name {
			return p.Stop, p.Kill
		}
	}
	for _, p := range s.site.Servers {
		if p.Name == name {
			return p.Stop, p.Kill
		}
	}
	return nil, nil
}

func (s *scenario) hosts() []string {
	hosts := []string{"platform", "caller"}
	for _, p := range s.site.Entries {
		hosts = append(hosts, p.Name)
	}
	for _, p := range s.site.Agents {
		hosts = append(hosts, p.Name)
	}
	for _, p := range s.site.Servers {
		hosts = append(hosts, p.Name)
	}
	return hosts
}

func (s *scenario) stall(host string, stalled bool) {
	for _, other := range s.hosts() {
		s.network.Stall(host, other, stalled)
	}
}

func (s *scenario) freeze(d *datadriven.TestData) string {
	s.stall(d.CmdArgs[0].Key, true)
	return ""
}

func (s *scenario) thaw(d *datadriven.TestData) string {
	s.stall(d.CmdArgs[0].Key, false)
	return ""
}

func (s *scenario) cut(d *datadriven.TestData) string {
	s.network.Cut(d.CmdArgs[0].Key, d.CmdArgs[1].Key, true)
	return ""
}

func (s *scenario) heal(d *datadriven.TestData) string {
	s.network.Cut(d.CmdArgs[0].Key, d.CmdArgs[1].Key, false)
	return ""
}

func (s *scenario) platform(d *datadriven.TestData) string {
	faults := platform.Faults{Down: d.HasArg("down")}
	delay := "0s"
	s.scan(d, "delay", &delay)
	faults.Delay = s.duration(delay)
	lost := 0
	s.scan(d, "lost", &lost)
	faults.LostAnswers = float64(lost) / 100
	if err := s.site.Platform.SetFaults(faults); err != nil {
		d.Fatalf(s.t, "%v", err)
	}
	return ""
}

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
			return "refused: " + tables.Reason(err) + "\n"
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
		fmt.Fprintf(&lines, "%s broken: %s (%d times)\n", v.Promise, v.Violations[0].Reason, len(v.Violations))
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

// scan reads an argument if it is given.
func (s *scenario) scan(d *datadriven.TestData, key string, value any) {
	if d.HasArg(key) {
		d.ScanArgs(s.t, key, value)
	}
}
