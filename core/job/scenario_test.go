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

// Each script tests a failure after which a task could start twice or a caller could get a wrong answer. A
// command prints the starts and answers that it causes, and fails if a guarantee is violated. The commands grant,
// refuse and end also deliver all messages, unless they have the argument hold. The argument keep of deliver leaves
// the messages in transit, so that they are delivered again.
func TestScenarios(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(paths) == 0 {
		t.Fatalf("find scripts: %v, %v", paths, err)
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			sim := newSimulation(func(int) int { return 0 }, func(text string) { t.Fatal(text) }, noDefect)
			datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
				sim.log = nil
				sim.runCommand(t, d)
				return strings.Join(sim.log, "\n")
			})
			sim.finish()
		})
	}
}

func (sim *simulation) runCommand(t *testing.T, d *datadriven.TestData) {
	key, index, owner, agent, kind, status, ms := 0, 0, "e1", "a1", "", 200, 0
	for name, value := range map[string]any{
		"key": &key, "request": &index, "owner": &owner, "agent": &agent, "kind": &kind, "status": &status, "ms": &ms,
	} {
		scanArg(t, d, name, value)
	}
	o := sim.owner(owner)
	switch d.Cmd {
	case "submit":
		sim.submitCommand(t, d, o, keys[key])
	case "deliver":
		for i := 0; i < len(sim.messages); i++ {
			if (kind == "" || sim.messages[i].kind == kind) && sim.deliverNth(i, d.HasArg("keep")) && !d.HasArg("keep") {
				i = -1
			}
		}
	case "grant":
		sim.grant(index, sim.agent(agent))
		if !d.HasArg("hold") {
			sim.deliverAll()
		}
	case "refuse":
		sim.refuseSlotRequest(0)
		if !d.HasArg("hold") {
			sim.deliverAll()
		}
	case "end":
		a := sim.agent(agent)
		sim.endTask(a, a.running[0], status)
		if !d.HasArg("hold") {
			sim.deliverAll()
		}
	case "cancel":
		sim.performOwnerActions(o, o.Cancel(sim.now, keys[key]))
	case "advance":
		sim.advance(time.Duration(ms) * time.Millisecond)
	case "lookup":
		a := o.Lookup(sim.now, keys[key])
		sim.logf("%s %s", a.State, a.Reason)
	case "pause":
		o.paused = true
	case "resume":
		o.paused = false
	case "kill":
		if d.HasArg("agent") {
			sim.killAgent(sim.agent(agent))
		} else {
			o.dead = true
			sim.slotRequests = slices.DeleteFunc(sim.slotRequests, func(req slotRequest) bool { return req.owner == o })
		}
	case "take-over":
		sim.takeOver()
	case "reconnect":
		sim.reconnect(o, sim.agent(agent))
	case "hand-over":
		sim.handOver(o)
	case "in-flight":
		sim.logf("%v", o.InFlight(agent))
	default:
		t.Fatalf("unknown command %q", d.Cmd)
	}
}

func scanArg(t *testing.T, d *datadriven.TestData, name string, value any) {
	if d.HasArg(name) {
		d.ScanArgs(t, name, value)
	}
}

func (sim *simulation) owner(name string) *owner {
	for _, o := range sim.owners {
		if o.name == name {
			return o
		}
	}
	return nil
}

func (sim *simulation) submitCommand(t *testing.T, d *datadriven.TestData, o *owner, id task.JobID) {
	tasks, s, body, ticket := 1, job.Submission{Route: "r"}, "", ""
	scanArg(t, d, "tasks", &tasks)
	scanArg(t, d, "route", &s.Route)
	scanArg(t, d, "body", &body)
	scanArg(t, d, "ticket", &ticket)
	if body != "" {
		s.Bodies = [][]byte{[]byte(body)}
	}
	options := jobOptions{idempotent: d.HasArg("idempotent"), tasks: tasks}
	if ticket != "" {
		options.ticket = sim.owner(ticket).IssueTicket()
	}
	sim.submit(o, id, s, options)
}

// handOver moves the shard from a draining owner to a new owner. It drops all messages in transit,
// including those of takeOver, because a planned handover does not fence the agents.
func (sim *simulation) handOver(old *owner) {
	records, open := old.Drain(sim.now)
	sim.takeOver()
	next := sim.owners[len(sim.owners)-1]
	sim.messages = nil
	sim.performOwnerActions(next, next.RecordsRecovered(sim.now, "", records))
	sim.performOwnerActions(next, next.RecoveryComplete(sim.now))
	sim.logf("%d records, open %v", len(records), open)
	sim.check(old.IssueTicket() == shard.Ticket{}, "a draining owner issued a ticket")
	sim.log = append(sim.log, fmt.Sprintf("drained %t", old.Drained()))
}
