package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/dispatch"
	"dogwoodglade/core/resource"
	"dogwoodglade/core/supervise"
)

func outcomesOf(actions []dispatch.Action) []batch.Outcome {
	var outcomes []batch.Outcome
	for _, a := range actions {
		if answer, ok := a.(dispatch.Answer); ok {
			outcomes = append(outcomes, answer.Outcome)
		}
	}
	return outcomes
}

var smallJob = batch.Job{
	ID: "1", Route: "r", Pool: "pool", Attempts: 2, Stretch: 1.6, Target: 60 * time.Millisecond,
	Steps: []batch.Step{{Count: 2, Demand: resource.Amount{Processor: 1000}, Estimate: 500 * time.Millisecond}},
}

// Guards against refusals when a whole site restarts: entries are up about 100 ms before agents have chosen them as
// their home.
func TestStartingEntryWaitsForAgents(t *testing.T) {
	now := time.Unix(1000, 0)
	d := dispatch.New()
	d.Tick(now)
	if o := outcomesOf(d.Submit(now.Add(50*time.Millisecond), smallJob)); len(o) > 0 {
		t.Fatalf("got %s at once", batch.OutcomeName(o[0]))
	}
	now = now.Add(200 * time.Millisecond)
	d.Connect(now, "agent-1")
	started := false
	for _, a := range d.HandleReport(now, "agent-1", supervise.Report{
		Offered: true, Server: supervise.Server{ID: "i-1", Pool: "pool", Capacity: resource.Amount{Processor: 4000}},
	}) {
		_, ok := a.(*dispatch.StartRuns)
		started = started || ok
	}
	if !started {
		t.Error("the job was not started when the agent connected")
	}
}

// Guards against callers who wait although no backend server can serve them. An entry that has been up for a while
// and has no backend server must refuse at once.
func TestEntryWithoutServersRefuses(t *testing.T) {
	now := time.Unix(1000, 0)
	d := dispatch.New()
	d.Tick(now)
	o := outcomesOf(d.Submit(now.Add(2*time.Second), smallJob))
	if len(o) != 1 || batch.OutcomeName(o[0]) != "NotRun:NoServer" {
		t.Errorf("got %v", o)
	}
}

// Guards against callers who are sent away for ten seconds although the backend servers that were lost are back in two,
// and against all of them returning at the same moment.
func TestRetryAfterWithoutServers(t *testing.T) {
	now := time.Unix(1000, 0)
	d := dispatch.New()
	d.Tick(now)
	now = now.Add(time.Minute)
	delays := map[time.Duration]bool{}
	for i := range 500 {
		j := smallJob
		j.ID = batch.JobID(fmt.Sprint(i))
		refused, ok := outcomesOf(d.Submit(now, j))[0].(batch.NotRun)
		if !ok || refused.RetryAfter < 2*time.Second || refused.RetryAfter > 3*time.Second {
			t.Fatalf("job %d: got %+v, want a retry in 2 to 3 s", i, refused)
		}
		delays[refused.RetryAfter] = true
	}
	if len(delays) < 100 {
		t.Errorf("500 callers return at %d moments", len(delays))
	}
}

// Guards against start requests and refusals that alternate at network speed: an agent that cannot start runs for a
// moment refuses at once.
func TestNoStartsRightAfterRefusal(t *testing.T) {
	now := time.Unix(1000, 0)
	d := dispatch.New()
	d.Connect(now, "agent-1")
	report := supervise.Report{
		Offered: true, Server: supervise.Server{ID: "i-1", Pool: "pool", Capacity: resource.Amount{Processor: 4000}},
	}
	d.HandleReport(now, "agent-1", report)
	job := smallJob
	job.Timeout = 10 * time.Second
	actions := d.Submit(now, job)
	starts := 0
	for range 1000 {
		now = now.Add(time.Millisecond)
		report.Ended = nil
		for _, a := range actions {
			if s, ok := a.(*dispatch.StartRuns); ok {
				starts += len(s.Starts)
				for _, x := range s.Starts {
					report.Ended = append(report.Ended, supervise.RunEnd{RunID: x.RunID, End: supervise.Refused, Reason: "Orphans"})
				}
			}
		}
		actions = append(d.HandleReport(now, "agent-1", report), d.Tick(now)...)
	}
	if starts > 100 {
		t.Errorf("%d start requests in a second", starts)
	}
}

// Guards against an entry that refuses or forwards every job for good after all of its backend servers have failed
// for a while: without jobs it does not learn that they have recovered. Also guards against missing log lines: each
// change between degraded and recovered is reported once, with the reasons.
func TestAllServersFailAndRecover(t *testing.T) {
	now := time.Unix(1000, 0)
	d := dispatch.New()
	server := supervise.Server{ID: "i-1", Pool: "pool", Capacity: resource.Amount{Processor: 4000}}
	d.Connect(now, "agent-1")
	d.HandleReport(now, "agent-1", supervise.Report{Offered: true, Server: server})
	var changes []dispatch.HealthChanged
	completed := 0
	for i := range 60 {
		end := supervise.Failed
		if i >= 10 {
			end = supervise.Done
		}
		job := smallJob
		job.ID, job.Attempts, job.Steps = batch.JobID(fmt.Sprint(i)), 1, []batch.Step{job.Steps[0]}
		job.Steps[0].Count = 1
		now = now.Add(500 * time.Millisecond)
		if !d.CanStartNow(now, job) {
			continue // the entry would forward it
		}
		actions := d.Submit(now, job)
		for len(actions) > 0 {
			var ended []supervise.RunEnd
			for _, a := range actions {
				switch a := a.(type) {
				case *dispatch.StartRuns:
					for _, s := range a.Starts {
						ended = append(ended, supervise.RunEnd{RunID: s.RunID, End: end, RunTime: 500 * time.Millisecond})
					}
				case dispatch.HealthChanged:
					changes = append(changes, a)
				case dispatch.Answer:
					if _, ok := a.Outcome.(batch.Completed); ok {
						completed++
					}
				}
			}
			actions = nil
			if len(ended) > 0 {
				actions = d.HandleReport(now, "agent-1", supervise.Report{Offered: true, Server: server, Ended: ended})
			}
		}
	}
	if len(changes) != 2 || !changes[0].Degraded || changes[0].FailureShare <= 0 || changes[1].Degraded ||
		changes[1].Agent != "agent-1" {
		t.Errorf("got %+v, want one report of a degraded backend server and one of its recovery", changes)
	}
	if completed < 40 {
		// The longest probe interval is 4 s, and one more probe follows 1 s later: 10 jobs.
		t.Errorf("%d of 50 jobs completed after the recovery, want 40", completed)
	}
}
