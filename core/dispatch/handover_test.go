package dispatch_test

import (
	"slices"
	"testing"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/dispatch"
	"dogwoodglade/core/resource"
	"dogwoodglade/core/supervise"
)

// startsOf returns the start requests among the actions.
func startsOf(actions []dispatch.Action) []supervise.Start {
	var starts []supervise.Start
	for _, a := range actions {
		if s, ok := a.(*dispatch.StartRuns); ok {
			starts = append(starts, s.Starts...)
		}
	}
	return starts
}

// withOneServer returns a dispatcher with a backend server of four cores and the report of its agent.
func withOneServer(now time.Time) (*dispatch.Dispatcher, supervise.Report) {
	d := dispatch.New()
	d.Tick(now)
	d.Connect(now, "agent-1")
	report := supervise.Report{
		Offered: true, Server: supervise.Server{ID: "i-1", Pool: "pool", Capacity: resource.Amount{Processor: 4000}},
	}
	d.HandleReport(now, "agent-1", report)
	d.Tick(now)
	return d, report
}

func named(id batch.JobID, tasks int) batch.Job {
	j := smallJob
	j.ID, j.Timeout = id, 10*time.Second
	j.Steps = slices.Clone(j.Steps)
	j.Steps[0].Count = tasks
	return j
}

// Guards against callers that are refused while the agents of an entry that has stopped choose another one, and against
// callers that wait although no backend server will come.
func TestJobsWaitForServersThatMove(t *testing.T) {
	now := time.Unix(1000, 0)
	d, report := withOneServer(now)
	now = now.Add(10 * time.Second)
	d.Tick(now)
	d.Disconnect(now, "agent-1", now)
	if o := outcomesOf(d.Submit(now.Add(20*time.Millisecond), named("waits", 2))); len(o) > 0 {
		t.Fatalf("just after the loss of the backend server: got %s", batch.OutcomeName(o[0]))
	}
	now = now.Add(200 * time.Millisecond)
	if o := outcomesOf(d.Tick(now)); len(o) > 0 {
		t.Fatalf("200 ms after the loss: got %s", batch.OutcomeName(o[0]))
	}
	d.Connect(now, "agent-1")
	if starts := startsOf(d.HandleReport(now, "agent-1", report)); len(starts) != 2 {
		t.Fatalf("got %d starts when the backend server returned, want 2", len(starts))
	}
	d.Tick(now)
	d.Disconnect(now, "agent-1", now)
	if o := outcomesOf(d.Submit(now, named("refused", 2))); len(o) > 0 {
		t.Fatalf("just after the second loss: got %s", batch.OutcomeName(o[0]))
	}
	if o := outcomesOf(d.Tick(now.Add(time.Second))); !slices.ContainsFunc(o, func(o batch.Outcome) bool {
		return batch.OutcomeName(o) == "NotRun:NoServer"
	}) {
		t.Errorf("a second after the loss: got %v, want a refusal", o)
	}
	if o := outcomesOf(d.Submit(now.Add(time.Second), named("late", 2))); len(o) != 1 {
		t.Errorf("a second after the loss: got %v, want a refusal at once", o)
	}
	d.NoteServed(now.Add(2*time.Second), "pool")
	if o := outcomesOf(d.Submit(now.Add(2*time.Second), named("elsewhere", 2))); len(o) > 0 {
		t.Errorf("while another entry has backend servers: got %s", batch.OutcomeName(o[0]))
	}
}

// Guards against jobs that stay in the queue of an entry that cannot run them, and against withdrawing a job of which a
// task may have run: its callers would be told that it has not.
func TestStrandedJobsCanBeWithdrawn(t *testing.T) {
	now := time.Unix(1000, 0)
	d, report := withOneServer(now)
	d.Submit(now, named("runs", 4))
	d.Submit(now, named("waits", 2))
	if got := d.Stranded(); len(got) > 0 {
		t.Errorf("an entry with a backend server: %v are stranded", got)
	}
	d.Drain()
	if got := d.Stranded(); !slices.Equal(got, []batch.JobID{"waits"}) {
		t.Errorf("a draining entry: %v are stranded, want the job that has not started", got)
	}
	if d.Withdraw("runs") {
		t.Error("a running job was withdrawn")
	}
	if !d.Withdraw("waits") || d.Withdraw("waits") {
		t.Error("the waiting job was not withdrawn exactly once")
	}
	if open, _ := d.JobStatus("waits"); open || d.Load().Pools["pool"].Queued != 0 {
		t.Errorf("the withdrawn job is open (%v) or queued (%v core-seconds)", open, d.Load().Pools["pool"].Queued)
	}
	var ended []supervise.RunEnd
	for i := range 4 {
		ended = append(ended, supervise.RunEnd{
			RunID: supervise.RunID{Task: batch.TaskID{Job: "runs", Index: i}, Attempt: 1}, End: supervise.Lost,
		})
	}
	report.Offered, report.Ended = false, ended
	d.HandleReport(now, "agent-1", report)
	if d.Withdraw("runs") {
		t.Error("a job whose runs were lost was withdrawn")
	}
}

// Guards against jobs that never end because the agents chose another home when some of their tasks had started, and
// against new jobs that an entry starts on backend servers of another one.
func TestStartedJobsContinueOnReleasedServers(t *testing.T) {
	now := time.Unix(1000, 0)
	d, report := withOneServer(now)
	starts := startsOf(d.Submit(now, named("wide", 6)))
	if len(starts) != 4 {
		t.Fatalf("got %d starts, want 4", len(starts))
	}
	d.Submit(now, named("waits", 1))
	report.Offered, report.Released = false, true
	report.Ended = []supervise.RunEnd{
		{RunID: starts[0].RunID, End: supervise.Done, RunTime: 10 * time.Millisecond},
		{RunID: starts[1].RunID, End: supervise.Done, RunTime: 10 * time.Millisecond},
		{RunID: starts[2].RunID, End: supervise.Done, RunTime: 10 * time.Millisecond},
	}
	starts = startsOf(d.HandleReport(now, "agent-1", report))
	if len(starts) != 2 || starts[0].Task.Job != "wide" || starts[1].Task.Job != "wide" {
		t.Errorf("got the starts %v, want the two remaining tasks of the started job", starts)
	}
	if got := d.Stranded(); !slices.Equal(got, []batch.JobID{"waits"}) {
		t.Errorf("%v are stranded, want the job that has not started", got)
	}
}

// Guards against callers that wait until their time-out for a job that can neither continue here nor be given to another
// entry, because its tasks may have run. They are told that the outcome is unknown.
func TestStartedJobWithoutServersEnds(t *testing.T) {
	for _, draining := range []bool{false, true} {
		now := time.Unix(1000, 0)
		d, report := withOneServer(now)
		starts := startsOf(d.Submit(now, named("started", 2)))
		if draining {
			d.Drain()
		}
		now = now.Add(50 * time.Millisecond)
		report.Offered, report.Ended = false, nil
		for _, s := range starts {
			report.Ended = append(report.Ended, supervise.RunEnd{RunID: s.RunID, End: supervise.Lost})
		}
		d.HandleReport(now, "agent-1", report)
		d.Disconnect(now, "agent-1", now)
		if draining {
			d.NoteServed(now, "pool") // at another entry, which the agent has chosen
		}
		if o := outcomesOf(d.Tick(now.Add(100 * time.Millisecond))); !draining && len(o) > 0 {
			t.Errorf("draining %v: got %s while a backend server may come", draining, batch.OutcomeName(o[0]))
		} else if draining && (len(o) != 1 || batch.OutcomeName(o[0]) != "Unknown:Draining") {
			t.Errorf("draining %v: got %v, want that the outcome is unknown", draining, o)
		}
		if o := outcomesOf(d.Tick(now.Add(time.Second))); !draining &&
			(len(o) != 1 || batch.OutcomeName(o[0]) != "Unknown:NoServer") {
			t.Errorf("draining %v: got %v after a second, want that the outcome is unknown", draining, o)
		}
	}
}
