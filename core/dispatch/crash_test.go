package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/dispatch"
	"dogwoodglade/core/resource"
	"dogwoodglade/core/supervise"
)

// Guards against a task that crashes one backend server after the other, and against the jobs of other tasks on these
// servers failing with it.
func TestDeadlyTaskIsGivenUp(t *testing.T) {
	for seed := range uint64(5) {
		sim := newPlay(seed, 11, 32, raceTimingJobs, constant(0.5*fullLoad))
		var deadly batch.TaskID
		armed := false
		sim.At(5*time.Second, func() { armed = true })
		sim.Deadly = func(id batch.TaskID) bool {
			if armed {
				deadly, armed = id, false
			}
			return id == deadly && sim.Crashes[id] < 6 // so that the simulation ends
		}
		sim.Run(15)
		if n := sim.Crashes[deadly]; n == 0 || n > 2 {
			t.Errorf("seed %d: %d backend servers crashed under a task, want at most 2", seed, n)
		}
		failed := 0
		for _, r := range sim.Results {
			failed += r.Failed
		}
		if j := sim.Jobs[deadly.Job]; failed != 1 || !j.Answered {
			t.Errorf("seed %d: %d jobs failed, the deadly one answered: %v", seed, failed, j.Answered)
		}
	}
}

// crashRig is a dispatcher with some backend servers on which the test ends runs.
type crashRig struct {
	*dispatch.Dispatcher
	now     time.Time
	reports map[string]supervise.Report
	running map[supervise.RunID]string // agents
	blamed  []dispatch.Crash
	answers []dispatch.Answer
}

func newCrashRig(now time.Time, agents ...string) *crashRig {
	x := &crashRig{
		Dispatcher: dispatch.New(), now: now,
		reports: map[string]supervise.Report{}, running: map[supervise.RunID]string{},
	}
	for _, agent := range agents {
		x.reports[agent] = supervise.Report{Offered: true, Server: supervise.Server{
			ID: agent, Pool: "pool", Capacity: resource.Amount{Processor: 16000},
		}}
		x.Connect(x.now, agent)
		x.end(agent, "")
	}
	return x
}

func (x *crashRig) record(actions []dispatch.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case *dispatch.StartRuns:
			for _, s := range a.Starts {
				x.running[s.RunID] = a.Agent
			}
		case dispatch.CrashesBlamed:
			x.blamed = append(x.blamed, a.Blamed...)
		case dispatch.Answer:
			x.answers = append(x.answers, a)
		}
	}
}

// end reports the end of all runs on a backend server.
func (x *crashRig) end(agent string, end supervise.End) {
	r := x.reports[agent]
	for id, on := range x.running {
		if on == agent {
			delete(x.running, id)
			r.Ended = append(r.Ended, supervise.RunEnd{RunID: id, End: end})
		}
	}
	slices.SortFunc(r.Ended, func(a, b supervise.RunEnd) int { return a.Task.Compare(b.Task) })
	x.record(x.HandleReport(x.now, agent, r))
}

// agents returns where the tasks of a job run.
func (x *crashRig) agents(id batch.JobID) []string {
	var agents []string
	for run, agent := range x.running {
		if run.Task.Job == id {
			agents = append(agents, agent)
		}
	}
	return agents
}

// Guards against a job that begins anew with its crashes when its caller gives up and submits it again, here or at
// another entry.
func TestCrashesOutliveJob(t *testing.T) {
	x := newCrashRig(time.Unix(1000, 0), "agent-1", "agent-2")
	job := named("deadly", 1)
	x.record(x.Submit(x.now, job))
	x.end(x.agents("deadly")[0], supervise.Crashed)
	second := x.agents("deadly")[0]
	x.record(x.Cancel(x.now, "deadly"))
	x.end(second, supervise.Crashed)
	task := batch.TaskID{Job: "deadly"}
	if want := []dispatch.Crash{{Task: task, Count: 1}, {Task: task, Count: 2}}; !slices.Equal(x.blamed, want) {
		t.Errorf("blamed %v, want %v", x.blamed, want)
	}
	other := newCrashRig(x.now, "agent-3")
	other.record(other.MergeCrashes(other.now, x.blamed))
	late := newCrashRig(x.now, "agent-4")
	late.record(late.MergeCrashes(late.now, other.Crashes(other.now)))
	for _, d := range []*crashRig{x, other, late} {
		d.answers = nil
		d.record(d.Submit(d.now, job))
		want := batch.Failed{Task: task, Crashes: 2}
		if len(d.running) > 0 || len(d.answers) != 1 || d.answers[0].Outcome != want {
			t.Errorf("submitted again: running %v, answers %+v", d.running, d.answers)
		}
		d.now = d.now.Add(11 * time.Minute)
		d.record(d.Submit(d.now, job))
		if len(d.running) != 1 {
			t.Error("the crashes are remembered for longer than the retention period")
		}
	}
}

// Guards against a job whose tasks crash one backend server after the other within milliseconds: those that reach a
// server that another one has just crashed are refused, and were started on the next server at once.
func TestTasksWaitForSiblingOnCrashedServer(t *testing.T) {
	x := newCrashRig(time.Unix(1000, 0), "agent-1", "agent-2")
	x.record(x.Submit(x.now, named("job", 3)))
	first := x.agents("job")[0]
	r := x.reports[first]
	r.Offered, r.ProcessEnded = false, true
	refused := supervise.RunID{Task: batch.TaskID{Job: "job", Index: 2}, Attempt: 1}
	delete(x.running, refused)
	r.Ended = []supervise.RunEnd{{RunID: refused, End: supervise.Refused}}
	x.record(x.HandleReport(x.now, first, r))
	x.now = x.now.Add(time.Second)
	x.record(x.Tick(x.now))
	if n := len(x.running); n != 2 {
		t.Fatalf("%d runs, want the two on the crashed backend server", n)
	}
	r.Ended = nil
	for i := range 2 {
		id := supervise.RunID{Task: batch.TaskID{Job: "job", Index: i}, Attempt: 1}
		delete(x.running, id)
		r.Ended = append(r.Ended, supervise.RunEnd{RunID: id, End: supervise.Crashed, Unconfirmed: true})
	}
	x.record(x.HandleReport(x.now, first, r))
	if len(x.running) != 1 || len(x.blamed) != 2 || x.blamed[0].Count != 0 {
		t.Errorf("running %v, blamed %v; want one task at a time, and no count for starts without an answer", x.running, x.blamed)
	}
}

// Guards against an open job whose crashes at another entry are ignored.
func TestMergedCrashesEndOpenJob(t *testing.T) {
	x := newCrashRig(time.Unix(1000, 0), "agent-1")
	x.record(x.Submit(x.now, named("job", 2)))
	x.record(x.MergeCrashes(x.now, []dispatch.Crash{{Task: batch.TaskID{Job: "job", Index: 1}, Count: 2}}))
	if len(x.answers) != 1 || batch.OutcomeName(x.answers[0].Outcome) != "Failed" {
		t.Errorf("got %+v", x.answers)
	}
	x.end("agent-1", supervise.Stopped)
	if l := x.Load().Pools["pool"]; l.Queued != 0 {
		t.Errorf("%v core-seconds remain in the queue", l.Queued)
	}
}

// Guards against suspects that crash several backend servers at once or run beside each other, and against jobs that
// wait behind them.
func TestSuspectsRunApart(t *testing.T) {
	x := newCrashRig(time.Unix(1000, 0), "agent-1", "agent-2", "agent-3", "agent-4", "agent-5")
	x.record(x.Submit(x.now, named("a", 2)))
	x.record(x.Submit(x.now, named("b", 2)))
	var crashes []dispatch.Crash
	for _, job := range []batch.JobID{"a", "b"} {
		for i := range 2 {
			crashes = append(crashes, dispatch.Crash{Task: batch.TaskID{Job: job, Index: i}, Count: 1})
		}
	}
	for i := range 40 { // more than the queue looks ahead
		job := batch.JobID(fmt.Sprint(i))
		crashes = append(crashes, dispatch.Crash{Task: batch.TaskID{Job: job}, Count: 1})
		x.record(x.MergeCrashes(x.now, crashes))
		x.record(x.Submit(x.now, named(job, 1)))
	}
	x.record(x.Submit(x.now, named("other", 3)))
	if n := len(x.agents("other")); n != 3 {
		t.Errorf("%d tasks of another job run beside waiting suspects, want 3", n)
	}
	for _, agent := range []string{"agent-1", "agent-2", "agent-3", "agent-4", "agent-5"} {
		x.end(agent, supervise.Refused)
	}
	for range 100 {
		x.now = x.now.Add(100 * time.Millisecond)
		x.record(x.Tick(x.now))
		suspects := 0
		for id, agent := range x.running {
			if id.Task.Job == "other" {
				continue
			}
			if suspects++; slices.Contains(x.agents("other"), agent) {
				t.Errorf("%v was started on %s beside tasks of another job", id, agent)
			}
		}
		if suspects > 1 {
			t.Fatalf("%d suspects run on 5 backend servers, want one", suspects)
		}
		for _, agent := range x.running {
			x.end(agent, supervise.Done)
		}
	}
	if len(x.answers) != 43 {
		t.Errorf("%d of 43 jobs were answered", len(x.answers))
	}
}

// endAs reports the only run of a job as crashed.
func (x *crashRig) endAs(id batch.JobID, e supervise.RunEnd) {
	for run, agent := range x.running {
		if run.Task.Job == id {
			delete(x.running, run)
			e.RunID, e.End = run, supervise.Crashed
			r := x.reports[agent]
			r.Ended = []supervise.RunEnd{e}
			x.record(x.HandleReport(x.now, agent, r))
			return
		}
	}
}

// Guards against a job that is reported as failed although its task may not have run on the backend servers that crashed,
// and against a task that crashes more of them because of that.
func TestUncertainCrashesDoNotFailJob(t *testing.T) {
	task := batch.TaskID{Job: "job"}
	for name, c := range map[string]struct {
		ends  []supervise.RunEnd
		want  batch.Outcome
		again batch.Outcome
	}{
		"end may not have been listed": {
			ends: []supervise.RunEnd{{Uncertain: true}, {}},
			want: batch.Unknown{Reason: batch.Crashes}, again: batch.NotRun{Reason: batch.Crashes, RetryAfter: 9 * time.Minute},
		},
		"starts timed out": {
			ends: []supervise.RunEnd{{Unconfirmed: true, Uncertain: true}, {Unconfirmed: true, Uncertain: true}},
			want: batch.Unknown{Reason: batch.Crashes}, again: batch.NotRun{Reason: batch.Crashes, RetryAfter: 9 * time.Minute},
		},
		"starts cut off": {
			ends: []supervise.RunEnd{{Unconfirmed: true}, {Unconfirmed: true}},
			want: batch.Failed{Task: task, Crashes: 2}, again: batch.Failed{Task: task, Crashes: 2},
		},
	} {
		x := newCrashRig(time.Unix(1000, 0), "agent-1", "agent-2", "agent-3")
		x.record(x.Submit(x.now, named("job", 1)))
		for _, e := range c.ends {
			x.endAs("job", e)
		}
		if len(x.running) > 0 || len(x.answers) != 1 || x.answers[0].Outcome != c.want {
			t.Errorf("%s: running %v, answers %+v, want %+v", name, x.running, x.answers, c.want)
			continue
		}
		other := newCrashRig(x.now, "agent-4")
		other.record(other.MergeCrashes(other.now, x.Crashes(x.now)))
		for _, d := range []*crashRig{x, other} {
			d.now, d.answers = d.now.Add(time.Minute), nil
			if !d.GivenUp(d.now, named("job", 1)) {
				t.Errorf("%s: the job would be passed on", name)
			}
			d.record(d.Submit(d.now, named("job", 1)))
			if len(d.running) > 0 || len(d.answers) != 1 || d.answers[0].Outcome != c.again {
				t.Errorf("%s: submitted again: running %v, answers %+v, want %+v", name, d.running, d.answers, c.again)
			}
		}
	}
}

// Guards against an open job that goes on although other entries have seen as many crashes as this one allows in all.
func TestMergedUncertainCrashesEndOpenJob(t *testing.T) {
	x := newCrashRig(time.Unix(1000, 0), "agent-1", "agent-2")
	x.record(x.Submit(x.now, named("job", 1)))
	x.endAs("job", supervise.RunEnd{})
	x.record(x.MergeCrashes(x.now, []dispatch.Crash{{Task: batch.TaskID{Job: "job"}, Uncertain: 1}}))
	if want := (batch.Unknown{Reason: batch.Crashes}); len(x.answers) != 1 || x.answers[0].Outcome != want {
		t.Errorf("got %+v, want %+v", x.answers, want)
	}
}
