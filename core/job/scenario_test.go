package job_test

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"dogwoodglade/core/job"
	"dogwoodglade/core/shard"
	"dogwoodglade/core/task"
)

// Each script shows one failure after which a task could start twice or a caller could get a wrong answer.
// A command prints the starts and answers that it caused, and fails on a broken promise.
func TestScenarios(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(paths) == 0 {
		t.Fatalf("find scripts: %v, %v", paths, err)
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			w := newWorld(func(int) int { return 0 }, func(text string) { t.Fatal(text) }, noFault)
			datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
				w.log = nil
				w.command(t, d)
				return strings.Join(w.log, "\n")
			})
			w.settle()
		})
	}
}

func (w *world) command(t *testing.T, d *datadriven.TestData) {
	key, index, owner, agent, text, status, ms := 0, 0, "e1", "a1", "", 200, 0
	for name, value := range map[string]any{
		"key": &key, "ask": &index, "owner": &owner, "agent": &agent, "text": &text, "status": &status, "ms": &ms,
	} {
		scan(t, d, name, value)
	}
	o := w.owner(owner)
	switch d.Cmd {
	case "submit":
		w.submitCommand(t, d, o, keys[key])
	case "deliver":
		for i := 0; i < len(w.net); i++ {
			if (text == "" || w.net[i].text == text) && w.deliverNth(i, d.HasArg("keep")) && !d.HasArg("keep") {
				i = -1
			}
		}
	case "grant":
		w.grant(index, w.agent(agent))
		if !d.HasArg("hold") {
			w.deliverAll()
		}
	case "refuse":
		w.refuseAsk(0)
		if !d.HasArg("hold") {
			w.deliverAll()
		}
	case "end":
		a := w.agent(agent)
		w.end(a, a.running[0], status)
		if !d.HasArg("hold") {
			w.deliverAll()
		}
	case "cancel":
		w.runOwner(o, o.Cancel(w.now, keys[key]))
	case "advance":
		w.advance(time.Duration(ms) * time.Millisecond)
	case "lookup":
		a := o.Lookup(w.now, keys[key])
		w.logf("%s %s", a.State, a.Reason)
	case "pause":
		o.paused = true
	case "resume":
		o.paused = false
	case "kill":
		if d.HasArg("agent") {
			w.kill(w.agent(agent))
		} else {
			o.dead = true
			w.asks = slices.DeleteFunc(w.asks, func(a ask) bool { return a.owner == o })
		}
	case "take-over":
		w.takeOver()
	case "reconnect":
		w.reconnect(o, w.agent(agent))
	case "hand-over":
		w.handOver(o)
	case "in-flight":
		w.logf("%v", o.InFlight(agent))
	default:
		t.Fatalf("unknown command %q", d.Cmd)
	}
}

func scan(t *testing.T, d *datadriven.TestData, name string, value any) {
	if d.HasArg(name) {
		d.ScanArgs(t, name, value)
	}
}

func (w *world) owner(name string) *owner {
	for _, o := range w.owners {
		if o.name == name {
			return o
		}
	}
	return nil
}

func (w *world) submitCommand(t *testing.T, d *datadriven.TestData, o *owner, id task.JobID) {
	tasks, s, body, ticket := 1, job.Submission{Route: "r"}, "", ""
	scan(t, d, "tasks", &tasks)
	scan(t, d, "route", &s.Route)
	scan(t, d, "body", &body)
	scan(t, d, "ticket", &ticket)
	if body != "" {
		s.Bodies = [][]byte{[]byte(body)}
	}
	c := client{idempotent: d.HasArg("idempotent"), tasks: tasks}
	if ticket != "" {
		c.ticket = w.owner(ticket).IssueTicket()
	}
	w.submit(o, id, s, c)
}

// handOver moves the shard from a draining owner to a new one, without fences.
func (w *world) handOver(old *owner) {
	records, open := old.Drain(w.now)
	w.takeOver()
	next := w.owners[len(w.owners)-1]
	w.net = nil
	w.runOwner(next, next.Recovered(w.now, "", records))
	w.runOwner(next, next.RecoveryComplete(w.now))
	w.logf("%d records, open %v", len(records), open)
	w.check(old.IssueTicket() == shard.Ticket{}, "a draining owner issued a ticket")
	w.log = append(w.log, fmt.Sprintf("drained %t", old.Drained()))
}
