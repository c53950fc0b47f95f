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
