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

// moveSite is a dispatcher with backend servers of four cores. It keeps the runs that were started and not stopped.
type moveSite struct {
	*dispatch.Dispatcher
	now     time.Time
	clocks  map[string]time.Duration      // how far the clock of an agent is behind
	runs    map[string][]supervise.RunID  // by agent
	stopped map[string][]supervise.RunEnd // by agent, not reported yet
	percent map[batch.JobID]int           // progress in reports
	started map[supervise.RunID]time.Time // when its start request was sent
}

func newMoveSite(agents ...string) *moveSite {
	s := &moveSite{
		Dispatcher: dispatch.New(), now: time.Unix(1000, 0), clocks: map[string]time.Duration{},
		runs: map[string][]supervise.RunID{}, stopped: map[string][]supervise.RunEnd{},
		percent: map[batch.JobID]int{}, started: map[supervise.RunID]time.Time{},
	}
	for _, agent := range agents {
		s.connect(agent)
	}
	return s
}

func (s *moveSite) connect(agent string) {
	s.perform(s.Connect(s.now, agent))
	s.report(agent, 0)
}

// report delivers a report with the progress of the runs and the ends of those that were stopped.
func (s *moveSite) report(agent string, leavesIn time.Duration, ended ...supervise.RunEnd) {
	r := supervise.Report{
		Clock: time.Duration(s.now.Add(-s.clocks[agent]).UnixNano()), Offered: leavesIn == 0, LeavesIn: leavesIn,
		Ended: append(s.stopped[agent], ended...),
		Server: supervise.Server{
			ID: agent, Pool: "pool", Leaving: leavesIn > 0, Capacity: resource.Amount{Processor: 4000},
		},
	}
	s.stopped[agent] = nil
	for _, id := range s.runs[agent] {
		r.Progress = append(r.Progress, supervise.Progress{
			RunID: id, Percent: s.percent[id.Task.Job], Age: s.now.Sub(s.started[id]),
		})
	}
	s.perform(s.HandleReport(s.now, agent, r))
}

func (s *moveSite) perform(actions []dispatch.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case *dispatch.StartRuns:
			for _, x := range a.Starts {
				s.runs[a.Agent] = append(s.runs[a.Agent], x.RunID)
				s.started[x.RunID] = s.now
			}
		case *dispatch.StopRuns:
			for _, id := range a.Runs {
				s.end(a.Agent, id, supervise.Stopped)
			}
		}
	}
}

// end makes a run end. The agent reports that the next time.
func (s *moveSite) end(agent string, id supervise.RunID, how supervise.End) {
	for i, x := range s.runs[agent] {
		if x == id {
			s.runs[agent] = append(s.runs[agent][:i:i], s.runs[agent][i+1:]...)
			s.stopped[agent] = append(s.stopped[agent], supervise.RunEnd{RunID: id, End: how, RunTime: s.now.Sub(s.started[id])})
		}
	}
}

func (s *moveSite) submit(j batch.Job) { s.perform(s.Submit(s.now, j)) }

func (s *moveSite) wait(d time.Duration) { s.now = s.now.Add(d) }

// running returns how many runs of a job an agent has.
func (s *moveSite) running(agent string, job batch.JobID) int {
	n := 0
	for _, id := range s.runs[agent] {
		if id.Task.Job == job {
			n++
		}
	}
	return n
}

// Guards against a task that is stopped to be moved, and finds its room taken by a job that has arrived since.
func TestRoomIsHeldForMovedTasks(t *testing.T) {
	s := newMoveSite("agent-1")
	s.submit(named("moved", 4))
	s.percent["moved"] = 5
	s.connect("agent-2")
	s.wait(300 * time.Millisecond)
	s.report("agent-1", 2*time.Second)
	if n := len(s.stopped["agent-1"]); n != 4 {
		t.Fatalf("%d runs were stopped, want 4", n)
	}
	s.submit(named("new", 4))
	s.perform(s.Tick(s.now))
	if n := s.running("agent-2", "new"); n != 0 {
		t.Errorf("%d tasks of another job were started in the room that is held", n)
	}
	s.report("agent-1", 1900*time.Millisecond)
	if n := s.running("agent-2", "moved"); n != 4 {
		t.Errorf("%d moved tasks were started, want 4", n)
	}
	// The room is given up once they have started.
	for _, id := range s.runs["agent-2"] {
		s.end("agent-2", id, supervise.Done)
	}
	s.report("agent-2", 0)
	if n := s.running("agent-2", "new"); n != 4 {
		t.Errorf("%d tasks were started after the moved ones, want 4", n)
	}
}

// Guards against moved tasks that wait behind jobs that arrived later, because their job could not meet its target when it
// started: the backend server that held their room is lost, and another one comes.
func TestMovedTasksComeFirst(t *testing.T) {
	s := newMoveSite("agent-1")
	s.submit(named("first", 4))
	s.submit(named("moved", 4))
	s.wait(400 * time.Millisecond)
	s.perform(s.Tick(s.now)) // it cannot meet its target any more
	for _, id := range s.runs["agent-1"] {
		s.end("agent-1", id, supervise.Done)
	}
	s.report("agent-1", 0)
	s.percent["moved"] = 5
	s.wait(300 * time.Millisecond)
	s.connect("agent-2")
	s.report("agent-1", 2*time.Second)
	if n := len(s.stopped["agent-1"]); n != 4 {
		t.Fatalf("%d runs were stopped, want 4", n)
	}
	s.perform(s.Disconnect(s.now, "agent-2", s.now))
	s.submit(named("new", 4))
	s.report("agent-1", 1900*time.Millisecond)
	s.connect("agent-3")
	if moved, later := s.running("agent-3", "moved"), s.running("agent-3", "new"); moved != 4 || later != 0 {
		t.Errorf("%d moved tasks and %d of a later job were started, want 4 and none", moved, later)
	}
}

// Guards against runs that are stopped although placing their tasks would not use the room: because of the most tasks of a
// step on one backend server, a suspect there, or a refusal a moment ago.
func TestRoomRespectsPlacing(t *testing.T) {
	job := named("job", 4)
	job.Steps[0].MaxPerServer = 2
	s := newMoveSite("agent-1", "agent-2")
	s.submit(job)
	s.percent["job"] = 5
	s.wait(300 * time.Millisecond)
	s.report("agent-1", 2*time.Second)
	if n := len(s.stopped["agent-1"]); n != 0 {
		t.Errorf("%d runs were stopped although their step has two tasks on the other backend server", n)
	}

	s = newMoveSite("agent-1")
	s.submit(named("job", 4))
	s.percent["job"] = 5
	s.connect("agent-2")
	s.submit(named("refused", 1))
	s.wait(300 * time.Millisecond)
	s.end("agent-2", s.runs["agent-2"][0], supervise.Refused)
	s.report("agent-2", 0)
	s.report("agent-1", 2*time.Second)
	if n := len(s.stopped["agent-1"]); n != 0 {
		t.Errorf("%d runs were stopped at once after a refusal", n)
	}
	s.wait(100 * time.Millisecond)
	s.report("agent-1", 1900*time.Millisecond)
	if n := len(s.stopped["agent-1"]); n == 0 {
		t.Error("no run was stopped after the pause")
	}
}

// Guards against runs that are left on leaving backend servers because their tasks have been moved before.
func TestMovesAreNotLimited(t *testing.T) {
	s := newMoveSite("agent-0")
	j := named("job", 4)
	j.Steps[0].Estimate = 3 * time.Second
	s.submit(j)
	for i := range 6 {
		from, to := fmt.Sprint("agent-", i), fmt.Sprint("agent-", i+1)
		s.connect(to)
		s.wait(150 * time.Millisecond)
		s.percent["job"] = 2
		s.report(from, 2*time.Second)
		s.report(from, 1900*time.Millisecond)
		if n := s.running(to, "job"); n != 4 {
			t.Fatalf("%d of 4 tasks were moved to %s", n, to)
		}
	}
}

// Guards against a run that is stopped by its estimate alone just before its progress tells that it ends in time.
func TestMoveAwaitsProgress(t *testing.T) {
	for percent, want := range map[int]int{0: 4, 4: 4, 30: 0} {
		s := newMoveSite("agent-1")
		j := named("job", 4)
		j.Steps[0].Estimate = 3 * time.Second
		s.submit(j)
		s.connect("agent-2")
		s.wait(100 * time.Millisecond)
		s.report("agent-1", 2*time.Second)
		if n := len(s.stopped["agent-1"]); n != 0 {
			t.Errorf("%d runs were stopped before they could show progress", n)
		}
		s.percent["job"] = percent
		s.wait(200 * time.Millisecond)
		s.report("agent-1", 1800*time.Millisecond)
		if n := len(s.stopped["agent-1"]); n != want {
			t.Errorf("at %d%%: %d runs were stopped, want %d", percent, n, want)
		}
	}
}

// Guards against an end of the time left that is computed with a difference between two clocks from long ago: the agent's
// clock has lost a second since.
func TestClockDifferenceAges(t *testing.T) {
	s := newMoveSite("agent-1", "agent-2")
	for range 100 {
		s.clocks["agent-1"] += 10 * time.Millisecond
		s.wait(200 * time.Millisecond)
		s.report("agent-1", 0)
	}
	s.report("agent-2", 3*time.Second) // so that the job runs on agent-1
	s.submit(named("job", 4))
	s.percent["job"] = 10
	s.wait(300 * time.Millisecond)
	s.report("agent-2", 0)
	s.report("agent-1", 3*time.Second)
	if n := len(s.stopped["agent-1"]); n != 0 {
		t.Errorf("%d runs were stopped that end in time", n)
	}
}

// Guards against runs of a late step that are left, because the time in which the answer is of use was computed from that
// step alone.
func TestUsefulTimeCountsAllSteps(t *testing.T) {
	s := newMoveSite("agent-1")
	j := named("job", 4)
	j.Timeout = 0
	j.Steps[0].Estimate = 2 * time.Second
	last := j.Steps[0]
	last.After = []int{0}
	j.Steps = append(j.Steps, last)
	s.submit(j)
	s.wait(11 * time.Second)
	for _, id := range s.runs["agent-1"] {
		s.end("agent-1", id, supervise.Done)
	}
	s.report("agent-1", 0)
	s.connect("agent-2")
	s.percent["job"] = 10
	s.wait(300 * time.Millisecond)
	s.report("agent-1", 2*time.Second)
	if n := len(s.stopped["agent-1"]); n != 4 {
		t.Errorf("%d of 4 runs were stopped", n)
	}
}

// Guards against room that is held for good for a job that went on to another entry.
func TestWithdrawnJobHoldsNoRoom(t *testing.T) {
	s := newMoveSite("agent-1")
	s.submit(named("moved", 3))
	s.percent["moved"] = 5
	s.connect("agent-2")
	s.submit(named("refused", 1))
	s.wait(300 * time.Millisecond)
	s.report("agent-1", 2*time.Second)
	if n := len(s.stopped["agent-1"]); n != 3 {
		t.Fatalf("%d runs were stopped, want 3", n)
	}
	for _, id := range s.runs["agent-2"] {
		s.end("agent-2", id, supervise.Refused)
	}
	s.report("agent-2", 0) // no task is started there for a moment
	for i := range s.stopped["agent-1"] {
		s.stopped["agent-1"][i].End = supervise.Refused
	}
	s.report("agent-1", 1900*time.Millisecond)
	for _, id := range []batch.JobID{"moved", "refused"} {
		if !s.Withdraw(id) {
			t.Fatalf("job %s was not withdrawn", id)
		}
	}
	s.wait(100 * time.Millisecond)
	s.submit(named("new", 4))
	if n := s.running("agent-2", "new"); n != 4 {
		t.Errorf("%d of 4 tasks were started where the withdrawn job had room", n)
	}
}

// Guards against room that stays idle although its task waits: the pool is saturated, and a job that comes first does not
// fit.
func TestMovedTasksStartBehindLargerOnes(t *testing.T) {
	s := newMoveSite("agent-1")
	moved := named("moved", 4)
	moved.Target = 10 * time.Second
	s.submit(moved)
	s.percent["moved"] = 5
	s.connect("agent-2")
	s.wait(300 * time.Millisecond)
	s.report("agent-1", 2*time.Second)
	if n := len(s.stopped["agent-1"]); n != 4 {
		t.Fatalf("%d runs were stopped, want 4", n)
	}
	first := named("first", 1)
	first.Steps[0].Demand.Processor = 4000
	s.submit(first)
	s.report("agent-1", 1900*time.Millisecond)
	if n := s.running("agent-2", "moved"); n != 4 {
		t.Errorf("%d of 4 moved tasks were started", n)
	}
}

// Guards against room that stays idle on a backend server that has become too small for the task.
func TestShrunkServerHoldsNoRoom(t *testing.T) {
	s := newMoveSite("agent-1")
	moved := named("moved", 1)
	moved.Steps[0].Demand.Processor = 4000
	s.submit(moved)
	s.percent["moved"] = 5
	s.connect("agent-2")
	s.wait(300 * time.Millisecond)
	s.report("agent-1", 2*time.Second)
	if n := len(s.stopped["agent-1"]); n != 1 {
		t.Fatalf("%d runs were stopped, want 1", n)
	}
	s.perform(s.HandleReport(s.now, "agent-2", supervise.Report{
		Clock: time.Duration(s.now.UnixNano()), Offered: true,
		Server: supervise.Server{ID: "agent-2", Pool: "pool", Capacity: resource.Amount{Processor: 3000}},
	}))
	s.submit(named("new", 3))
	if n := s.running("agent-2", "new"); n != 3 {
		t.Errorf("%d of 3 tasks were started where room was held for a task that does not fit", n)
	}
}

// Guards against runs that are stopped although the other backend server has no place for them, however little its runs
// demand.
func TestRoomNeedsPlaces(t *testing.T) {
	for runs, want := range map[int]int{254: 2, 256: 0} {
		s := newMoveSite("agent-1")
		s.submit(named("moved", 4))
		s.percent["moved"] = 5
		s.connect("agent-2")
		for i := range runs {
			tiny := named(batch.JobID(fmt.Sprint("tiny-", i)), 1)
			tiny.Steps[0].Demand.Processor, tiny.Steps[0].Estimate = 1, 10*time.Second
			s.submit(tiny)
		}
		if n := len(s.runs["agent-2"]); n != runs {
			t.Fatalf("%d tiny tasks were started, want %d", n, runs)
		}
		s.wait(300 * time.Millisecond)
		s.report("agent-1", 2*time.Second)
		if n := len(s.stopped["agent-1"]); n != want {
			t.Errorf("beside %d runs, %d were stopped to be moved, want %d", runs, n, want)
		}
	}
}
