package dispatch_test

import (
	"testing"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/dispatch"
	"dogwoodglade/core/resource"
	"dogwoodglade/core/supervise"
	"dogwoodglade/internal/batchplay"
)

// Guards against runs that go on where they cannot end: an eighth of the backend servers get a notice of 2 s at once under
// high load. Their runs are lost, more work is thrown away, and the tasks start again only when the loss is known.
func TestRunsMoveOffLeavingServers(t *testing.T) {
	leaving := []string{"agent-02", "agent-09"}
	play := func(seed uint64, load float64, told bool) (sim *batchplay.Simulation, wasted float64, lost []batch.JobID) {
		sim = newPlay(seed, 16, 32, raceTimingJobs, constant(load*fullLoad*16/11))
		sim.At(6*time.Second, func() {
			for _, agent := range leaving {
				sim.LeaveIn(agent, 2*time.Second, told)
			}
		})
		sim.Run(9)
		for _, agent := range leaving {
			wasted += sim.Servers[agent].Wasted
			lost = append(lost, sim.Servers[agent].Lost...)
		}
		if sim.Overcommitted > 0 {
			t.Errorf("load %.1f, seed %d: %d starts beyond the capacity", load, seed, sim.Overcommitted)
		}
		return sim, wasted, lost
	}
	for _, load := range []float64{0.8, 1.0} {
		var affected, inTime, inTimeBefore int
		var wasted, wastedBefore float64
		for seed := range uint64(8) {
			before, w, jobs := play(seed, load, false)
			after, x, lost := play(seed, load, true)
			wastedBefore, wasted = wastedBefore+w, wasted+x
			if len(lost) > 0 {
				t.Errorf("load %.1f, seed %d: runs of the jobs %v were lost", load, seed, lost)
			}
			for _, id := range jobs {
				affected++
				inTimeBefore += countIf(before.Jobs[id].InTime)
				inTime += countIf(after.Jobs[id].InTime)
			}
		}
		t.Logf("load %.1f: %d jobs affected, %d in time, %.1f core-seconds thrown away there; without the notice %d, %.1f",
			load, affected, inTime, wasted, inTimeBefore, wastedBefore)
		if affected == 0 || inTime <= inTimeBefore || wasted >= wastedBefore {
			t.Errorf("load %.1f: of %d jobs %d were in time, and %.1f core-seconds thrown away; without the notice %d, %.1f",
				load, affected, inTime, wasted, inTimeBefore, wastedBefore)
		}
	}
}

func countIf(b bool) int {
	if b {
		return 1
	}
	return 0
}

// leavingSite is a dispatcher with a backend server agent-1 that has four runs and will leave, and an empty agent-2.
type leavingSite struct {
	*dispatch.Dispatcher
	now   time.Time
	spare int // cores of agent-2
}

func newLeavingSite(t *testing.T, spare int) *leavingSite {
	t.Helper()
	s := &leavingSite{Dispatcher: dispatch.New(), now: time.Unix(1000, 0), spare: spare}
	s.Connect(s.now, "agent-1")
	s.report(s.now, "agent-1", 0)
	starts, _ := requests(s.Submit(s.now, named("job", 4)))
	if len(starts) != 4 {
		t.Fatalf("%d tasks were started, want 4", len(starts))
	}
	s.Connect(s.now, "agent-2")
	s.report(s.now, "agent-2", 0)
	return s
}

// report delivers a report that an agent made at a time. Its runs have reached 10 per cent in 300 ms.
func (s *leavingSite) report(madeAt time.Time, agent string, leavesIn time.Duration, ended ...supervise.RunEnd) []dispatch.Action {
	cores := 4
	if agent == "agent-2" {
		cores = s.spare
	}
	r := supervise.Report{
		Clock: time.Duration(madeAt.UnixNano()), Offered: leavesIn == 0, LeavesIn: leavesIn, Ended: ended,
		Server: supervise.Server{
			ID: agent, Pool: "pool", Leaving: leavesIn > 0, Capacity: resource.Amount{Processor: 1000 * cores},
		},
	}
	if leavesIn > 0 {
		for i := range 4 {
			id := supervise.RunID{Attempt: 1}
			id.Task.Job, id.Task.Index = "job", i
			r.Progress = append(r.Progress, supervise.Progress{RunID: id, Percent: 10, Age: 300 * time.Millisecond})
		}
	}
	return s.HandleReport(s.now, agent, r)
}

// requests returns the runs that are started and those that are stopped.
func requests(actions []dispatch.Action) (starts, stops []supervise.RunID) {
	for _, a := range actions {
		switch a := a.(type) {
		case *dispatch.StartRuns:
			for _, x := range a.Starts {
				starts = append(starts, x.RunID)
			}
		case *dispatch.StopRuns:
			stops = append(stops, a.Runs...)
		}
	}
	return starts, stops
}

// Guards against runs that are stopped although they end in time or cannot be placed elsewhere, against more stops than
// there is room, and against a report that was held up and extends the time that is left.
func TestOnlyRunsThatCanBePlacedAreMoved(t *testing.T) {
	for _, c := range []struct {
		name     string
		spare    int
		leavesIn time.Duration
		delay    time.Duration // of the report
		want     int
	}{
		{"ends in time", 4, 3 * time.Second, 0, 0},
		{"cannot end", 4, 2 * time.Second, 0, 4},
		{"room for one", 1, 2 * time.Second, 0, 1},
		{"no room", 0, 2 * time.Second, 0, 0},
		{"cannot end, report held up", 4, 2 * time.Second, time.Second, 4},
	} {
		s := newLeavingSite(t, c.spare)
		s.now = s.now.Add(300 * time.Millisecond)
		madeAt := s.now
		s.now = s.now.Add(c.delay)
		_, stops := requests(s.report(madeAt, "agent-1", c.leavesIn))
		if len(stops) != c.want {
			t.Errorf("%s: %d runs were stopped, want %d", c.name, len(stops), c.want)
		}
		_, again := requests(s.report(madeAt, "agent-1", c.leavesIn))
		if len(again) > 0 {
			t.Errorf("%s: runs %v were stopped beyond the room, or twice", c.name, again)
		}
	}
}

// Guards against two runs of a task: the agent is lost after the stops were sent, so that it is not known whether the runs
// have ended.
func TestAgentLostBetweenNoticeAndExit(t *testing.T) {
	s := newLeavingSite(t, 4)
	s.now = s.now.Add(300 * time.Millisecond)
	starts, stops := requests(s.report(s.now, "agent-1", 2*time.Second))
	if len(stops) != 4 || len(starts) > 0 {
		t.Fatalf("got %d stops and %d starts at the notice, want 4 and none", len(stops), len(starts))
	}
	s.now = s.now.Add(20 * time.Millisecond)
	runsEndBy := s.now.Add(supervise.MaxRunAfterAgentLoss)
	starts, _ = requests(s.Disconnect(s.now, "agent-1", runsEndBy))
	for len(starts) == 0 && s.now.Before(runsEndBy.Add(time.Second)) {
		s.now = s.now.Add(50 * time.Millisecond)
		more, _ := requests(s.Tick(s.now))
		starts = append(starts, more...)
	}
	if len(starts) != 4 || s.now.Before(runsEndBy) {
		t.Errorf("%d tasks were started %v before their runs have certainly ended", len(starts), runsEndBy.Sub(s.now))
	}
}
