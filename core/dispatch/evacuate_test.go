package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/dispatch"
	"dogwoodglade/core/evacuation"
	"dogwoodglade/core/resource"
	"dogwoodglade/core/supervise"
)

// evacuatedSite returns a dispatcher with backend servers in data centres a and b, each with room for four tasks.
func evacuatedSite(now time.Time) *dispatch.Dispatcher {
	d := dispatch.New()
	for _, agent := range []string{"a-1", "a-2", "a-3", "a-4", "b-1"} {
		d.Connect(now, agent)
		d.SetDataCentre(agent, agent[:1])
		d.HandleReport(now, agent, supervise.Report{
			Offered: true, Server: supervise.Server{ID: agent, Pool: "pool", Capacity: resource.Amount{Processor: 4000}},
		})
	}
	return d
}

// startsIn returns how many starts of the actions are in a data centre.
func startsIn(dataCentre string, actions []dispatch.Action) int {
	n := 0
	for _, a := range actions {
		if x, ok := a.(*dispatch.StartRuns); ok && x.Agent[:1] == dataCentre {
			n += len(x.Starts)
		}
	}
	return n
}

func numberedJob(n, tasks int) batch.Job {
	j := smallJob
	j.ID = batch.JobID(fmt.Sprint(n))
	j.Steps = []batch.Step{{Count: tasks, Demand: resource.Amount{Processor: 1000}, Estimate: 500 * time.Millisecond}}
	return j
}

// Guards against starts and probes in an evacuated data centre, and against capacity there that other entries count on.
func TestNoStartsInEvacuatedDataCentre(t *testing.T) {
	now := time.Unix(1000, 0)
	d := evacuatedSite(now)
	if got := d.Load().Total().Cores; got != 20 {
		t.Fatalf("got %v cores", got)
	}
	d.SetEvacuations(now, evacuation.NewState(7, map[string]uint64{"a": 7}))
	if got := d.Load().Total(); got.Cores != 4 || got.Free.Processor != 4000 {
		t.Errorf("got %v cores, %v free", got.Cores, got.Free)
	}
	var actions []dispatch.Action
	for i := range 100 {
		now = now.Add(50 * time.Millisecond)
		if i < 8 {
			actions = append(actions, d.Submit(now, numberedJob(i, 2))...)
		}
		actions = append(actions, d.Tick(now)...)
	}
	if a, b := startsIn("a", actions), startsIn("b", actions); a != 0 || b != 4 {
		t.Errorf("got %d starts in the evacuated data centre and %d in the other one", a, b)
	}
}

// Guards against an agent that reconnects, and whose backend server is then used although its data centre is evacuated.
func TestReconnectedAgentStaysEvacuated(t *testing.T) {
	now := time.Unix(1000, 0)
	d := evacuatedSite(now)
	d.SetEvacuations(now, evacuation.NewState(7, map[string]uint64{"a": 7, "b": 7}))
	d.Disconnect(now, "a-1", now)
	d.Connect(now, "a-1")
	d.SetDataCentre("a-1", "a")
	actions := d.HandleReport(now, "a-1", supervise.Report{
		Offered: true, Server: supervise.Server{ID: "a-1", Pool: "pool", Capacity: resource.Amount{Processor: 4000}},
	})
	actions = append(actions, d.Submit(now, numberedJob(1, 2))...)
	if n := startsIn("a", actions); n > 0 {
		t.Errorf("got %d starts", n)
	}
}

// Guards against callers that wait although all backend servers are in evacuated data centres: also jobs that wait
// already are refused, once other entries could have been asked.
func TestEvacuatedPoolRefusesAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	d := evacuatedSite(now)
	d.Tick(now)
	now = now.Add(time.Minute)
	d.Tick(now)
	d.Submit(now, numberedJob(1, 20))
	d.Submit(now, numberedJob(2, 2))
	d.SetEvacuations(now, evacuation.NewState(7, map[string]uint64{"a": 7, "b": 7}))
	if stranded := d.Stranded(); len(stranded) != 1 || stranded[0] != "2" {
		t.Errorf("got %v to pass on", stranded)
	}
	for _, actions := range [][]dispatch.Action{d.Tick(now), d.Submit(now, numberedJob(3, 2))} {
		if o := outcomesOf(actions); len(o) != 1 || batch.OutcomeName(o[0]) != "NotRun:NoServer" {
			t.Errorf("got %v", o)
		}
	}
	if open, _ := d.JobCounts(); open != 1 {
		t.Errorf("%d jobs are open, want that with runs", open)
	}
}

// Guards against cold backend servers that all get work at the moment at which an evacuation is taken back, and against
// some that never do.
func TestReadmissionIsGradual(t *testing.T) {
	now := time.Unix(1000, 0)
	d := evacuatedSite(now)
	d.SetEvacuations(now, evacuation.NewState(7, map[string]uint64{"a": 7}))
	now = now.Add(time.Minute)
	d.SetEvacuations(now, evacuation.NewState(9, nil))
	if got := d.Load().Total().Cores; got != 8 {
		t.Errorf("got %v cores at once", got)
	}
	now = now.Add(time.Second)
	d.Tick(now)
	d.SetEvacuations(now, evacuation.NewState(10, map[string]uint64{"c": 10})) // must not begin the time anew
	if got := d.Load().Total().Cores; got != 16 {
		t.Errorf("got %v cores after a second", got)
	}
	d.Tick(now.Add(time.Second))
	if got := d.Load().Total().Cores; got != 20 {
		t.Errorf("got %v cores in the end", got)
	}
}

// Guards against started jobs whose outcome becomes unknown because all backend servers here are evacuated: when the
// evacuation is taken back, or an agent of another data centre connects, they complete. Otherwise they end at the caller's
// time-out.
func TestStartedJobOutlastsEvacuation(t *testing.T) {
	for _, c := range []struct {
		name    string
		resume  func(now time.Time, d *dispatch.Dispatcher) []dispatch.Action
		outcome string
	}{
		{"taken back", func(now time.Time, d *dispatch.Dispatcher) []dispatch.Action {
			return d.SetEvacuations(now, evacuation.NewState(9, nil))
		}, "Completed"},
		{"other agent", func(now time.Time, d *dispatch.Dispatcher) []dispatch.Action {
			return connectServer(now, d, "b-1", 4000)
		}, "Completed"},
		{"timed out", func(time.Time, *dispatch.Dispatcher) []dispatch.Action { return nil }, "Unknown:DeadlinePassed"},
	} {
		now := time.Unix(1000, 0)
		d := dispatch.New()
		d.Tick(now)
		now = now.Add(time.Minute)
		connectServer(now, d, "a-1", 4000)
		d.Tick(now)
		running := d.Submit(now, numberedJob(1, 8).WithTimeout(10*time.Second))
		running = append(running, d.SetEvacuations(now, evacuation.NewState(7, map[string]uint64{"a": 7}))...)
		var outcomes []batch.Outcome
		for i := range 120 {
			now = now.Add(100 * time.Millisecond)
			actions := d.Tick(now)
			if i == 30 {
				actions = append(actions, c.resume(now, d)...)
			}
			if i%5 == 4 {
				actions = append(actions, endRuns(now, d, running)...)
				running = nil
			}
			running = append(running, actions...)
			outcomes = append(outcomes, outcomesOf(actions)...)
		}
		if len(outcomes) != 1 || batch.OutcomeName(outcomes[0]) != c.outcome {
			t.Errorf("%s: got %v, want %s", c.name, outcomes, c.outcome)
		}
	}
}

// connectServer connects an agent with a backend server in the data centre that its name begins with.
func connectServer(now time.Time, d *dispatch.Dispatcher, agent string, processor int) []dispatch.Action {
	d.Connect(now, agent)
	d.SetDataCentre(agent, agent[:1])
	return d.HandleReport(now, agent, serverReport(agent, processor))
}

func serverReport(agent string, processor int) supervise.Report {
	return supervise.Report{
		Offered: true, Server: supervise.Server{ID: agent, Pool: "pool", Capacity: resource.Amount{Processor: processor}},
	}
}

// endRuns reports the end of the runs that the actions start.
func endRuns(now time.Time, d *dispatch.Dispatcher, actions []dispatch.Action) []dispatch.Action {
	var ended []dispatch.Action
	for _, a := range actions {
		x, ok := a.(*dispatch.StartRuns)
		if !ok {
			continue
		}
		r := serverReport(x.Agent, 4000)
		for _, s := range x.Starts {
			r.Ended = append(r.Ended, supervise.RunEnd{RunID: s.RunID, End: supervise.Done, RunTime: 500 * time.Millisecond})
		}
		ended = append(ended, d.HandleReport(now, x.Agent, r)...)
	}
	return ended
}

// Guards against refusals during an evacuation by an entry that knows only the evacuated backend servers yet: it has
// been restarted, or an agent outside has not reported, or has lost its connection a moment ago.
func TestEvacuatedPoolAwaitsOtherAgents(t *testing.T) {
	evacuated := evacuation.NewState(7, map[string]uint64{"a": 7})
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		name    string
		prepare func(d *dispatch.Dispatcher) (now time.Time)
	}{
		{"restarted", func(d *dispatch.Dispatcher) time.Time {
			connectServer(start, d, "a-1", 4000)
			return start.Add(100 * time.Millisecond)
		}},
		{"not reported", func(d *dispatch.Dispatcher) time.Time {
			now := start.Add(time.Minute)
			connectServer(now, d, "a-1", 4000)
			d.NoteServed(now, "pool")
			d.Connect(now, "b-1")
			d.SetDataCentre("b-1", "b")
			return now.Add(100 * time.Millisecond)
		}},
		{"connection lost", func(d *dispatch.Dispatcher) time.Time {
			connectServer(start, d, "a-1", 4000)
			connectServer(start, d, "b-1", 4000)
			now := start.Add(time.Minute)
			d.Tick(now)
			d.Disconnect(now, "b-1", now.Add(time.Second))
			return now.Add(100 * time.Millisecond)
		}},
	} {
		d := dispatch.New()
		d.SetEvacuations(start, evacuated)
		d.Tick(start)
		now := c.prepare(d)
		actions := append(d.Submit(now, numberedJob(1, 2)), d.Tick(now)...)
		if o := outcomesOf(actions); len(o) > 0 {
			t.Errorf("%s: got %s", c.name, batch.OutcomeName(o[0]))
		}
		if o := outcomesOf(d.Tick(now.Add(time.Second))); len(o) != 1 || batch.OutcomeName(o[0]) != "NotRun:NoServer" {
			t.Errorf("%s: got %v in the end", c.name, o)
		}
	}
}

// Guards against jobs that are refused as too large, so that their callers do not submit them again, because the backend
// servers with room for them are evacuated.
func TestEvacuationMakesNoJobTooLarge(t *testing.T) {
	now := time.Unix(1000, 0)
	d := dispatch.New()
	d.Tick(now)
	now = now.Add(time.Minute)
	connectServer(now, d, "a-1", 8000)
	connectServer(now, d, "b-1", 1000)
	d.Tick(now)
	large := numberedJob(1, 1)
	large.Steps[0].Demand = resource.Amount{Processor: 8000}
	large.Target = time.Minute
	d.Submit(now, large)
	large.ID = "2"
	d.Submit(now, large) // waits for the first
	d.SetEvacuations(now, evacuation.NewState(7, map[string]uint64{"a": 7}))
	r := serverReport("a-1", 8000)
	r.Offered = false // an evacuated agent offers its backend server to no entry
	d.HandleReport(now, "a-1", r)
	large.ID = "3"
	actions := append(d.Submit(now, large), d.Tick(now)...)
	if stranded := d.Stranded(); len(stranded) != 2 {
		t.Errorf("got %v to pass on", stranded)
	}
	actions = append(actions, d.Tick(now.Add(time.Second))...)
	outcomes := outcomesOf(actions)
	for _, o := range outcomes {
		if batch.OutcomeName(o) != "NotRun:NoServer" {
			t.Errorf("got %s", batch.OutcomeName(o))
		}
	}
	if len(outcomes) != 2 {
		t.Errorf("%d jobs were refused, want 2", len(outcomes))
	}
	large.ID, large.Steps[0].Demand.Processor = "4", 9000
	if o := outcomesOf(d.Submit(now, large)); len(o) != 1 || batch.OutcomeName(o[0]) != "NotRun:TooLarge" {
		t.Errorf("a job that is too large for all: got %v", o)
	}
}

// Guards against jobs without a time-out that end as unknown at the moment at which their data centre is evacuated, before
// agents from outside could take their place, and against some that wait for ever.
func TestJobWithoutTimeoutOutlastsEvacuation(t *testing.T) {
	for _, served := range []bool{true, false} {
		now := time.Unix(1000, 0)
		d := evacuatedSite(now)
		now = now.Add(time.Minute)
		d.Tick(now)
		j := numberedJob(1, 21)
		j.Timeout = 0
		actions := d.Submit(now, j)
		d.SetEvacuations(now, evacuation.NewState(7, map[string]uint64{"a": 7, "b": 7}))
		now = now.Add(500 * time.Millisecond)
		for _, a := range actions {
			if x, ok := a.(*dispatch.StartRuns); ok {
				r := supervise.Report{Server: supervise.Server{ID: x.Agent, Pool: "pool", Capacity: resource.Amount{Processor: 4000}}}
				for _, start := range x.Starts {
					r.Ended = append(r.Ended, supervise.RunEnd{RunID: start.RunID, End: supervise.Done, RunTime: 500 * time.Millisecond})
				}
				d.HandleReport(now, x.Agent, r)
			}
		}
		var outcomes []batch.Outcome
		started := 0
		for i := range 200 {
			now = now.Add(100 * time.Millisecond)
			if served && i == 70 {
				d.Connect(now, "c-1")
				d.SetDataCentre("c-1", "c")
				started = startsIn("c", d.HandleReport(now, "c-1", supervise.Report{
					Offered: true, Server: supervise.Server{ID: "c-1", Pool: "pool", Capacity: resource.Amount{Processor: 4000}},
				}))
			}
			outcomes = append(outcomes, outcomesOf(d.Tick(now))...)
		}
		switch {
		case served && (started != 1 || len(outcomes) > 0):
			t.Errorf("got %d starts and the outcomes %v with an agent from outside", started, outcomes)
		case !served && (len(outcomes) != 1 || batch.OutcomeName(outcomes[0]) != "Unknown:NoServer"):
			t.Errorf("got %v without an agent from outside", outcomes)
		}
	}
}
