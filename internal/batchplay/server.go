package batchplay

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/resource"
	"dogwoodglade/core/supervise"
)

// ServerOptions describe a backend server.
type ServerOptions struct {
	Name          string // of its agent
	DataCentre    string
	Pool          string // "pool" if empty
	RunTimeFactor float64
	Capacity      resource.Amount
}

// Server is a backend server with its agent. The fields of ServerOptions may be changed during a simulation.
type Server struct {
	ServerOptions
	FailureShare float64       // share of its runs that fail
	Lost         []batch.JobID // jobs of the runs that ended with it
	Wasted       float64       // core-seconds of runs that were stopped or ended with it

	home    *entry
	used    resource.Amount
	gone    bool
	hanging bool // its runs make no progress
	down    bool // it has crashed and has not restarted yet
	runs    map[supervise.RunID]*run

	leavesAt time.Time // when it leaves, as its agent reports it; zero if it does not or reports nothing

	restarts int64
}

type run struct {
	started time.Time
	runTime time.Duration
	hungAt  time.Time // when it stopped making progress
}

func (r *run) percent(now time.Time) int {
	if !r.hungAt.IsZero() {
		now = r.hungAt
	}
	return int(min(100*now.Sub(r.started)/max(r.runTime, 1), 99))
}

// ended reports whether the run has had its run time, without the time in which it made no progress.
func (r *run) ended(now time.Time) bool {
	return r.hungAt.IsZero() && !now.Before(r.started.Add(r.runTime))
}

func agentName(i int) string { return fmt.Sprintf("agent-%02d", i) }

func (sim *Simulation) report(agent string, ended []supervise.RunEnd) {
	s := sim.Servers[agent]
	var progress []supervise.Progress
	if ended == nil {
		ids := slices.SortedFunc(maps.Keys(s.runs), func(a, b supervise.RunID) int { return a.Task.Compare(b.Task) })
		for _, id := range ids {
			r := s.runs[id]
			if age := sim.now.Sub(r.started); age > minProgressAge {
				progress = append(progress, supervise.Progress{RunID: id, Percent: r.percent(sim.now), Age: age})
			}
		}
	}
	r := supervise.Report{
		Clock: time.Duration(sim.now.UnixNano()), Offered: !s.gone, Ended: ended, Progress: progress,
		Server: supervise.Server{ID: agent, Pool: cmp.Or(s.Pool, "pool"), Incarnation: 1 + s.restarts, Capacity: s.Capacity},
	}
	if !s.leavesAt.IsZero() {
		r.Server.Leaving, r.LeavesIn = true, max(s.leavesAt.Sub(sim.now), 0)
	}
	sim.perform(s.home, s.home.dispatcher.HandleReport(sim.now, agent, r))
	if len(sim.entries) > 1 {
		sim.sendChangedLoad(s.home)
	}
}

func (sim *Simulation) startRun(e *entry, agent string, x supervise.Start) {
	s := sim.Servers[agent]
	if s.down {
		sim.after(2*sim.delay(e.DataCentre, s.DataCentre), func() {
			sim.report(agent, []supervise.RunEnd{{RunID: x.RunID, End: supervise.Refused}})
		})
		return
	}
	s.used = s.used.Plus(x.Demand)
	if !s.used.Fits(s.Capacity) {
		sim.Overcommitted++
	}
	runTime := time.Duration(sim.Jobs[x.Task.Job].runTimes[x.Task.Index] * s.RunTimeFactor * float64(time.Second))
	end := supervise.Done
	if s.FailureShare > 0 && sim.random.Float64() < s.FailureShare {
		runTime, end = runTime/10, supervise.Failed
	}
	delay := sim.delay(e.DataCentre, s.DataCentre)
	r := &run{started: sim.now.Add(delay), runTime: runTime}
	if s.hanging {
		r.hungAt = r.started
	}
	s.runs[x.RunID] = r
	if sim.Deadly != nil && sim.Deadly(x.Task) {
		sim.after(delay, func() { sim.crash(agent, x.Task) })
	}
	sim.after(2*delay+runTime, func() {
		if r.ended(sim.now) {
			sim.endRun(agent, x.RunID, end)
		}
	})
}

// endRun ends a run, if it still exists, and reports its end.
func (sim *Simulation) endRun(agent string, id supervise.RunID, end supervise.End) {
	s := sim.Servers[agent]
	r, ok := s.runs[id]
	if !ok || s.down {
		return
	}
	delete(s.runs, id)
	s.used = s.used.Minus(sim.demand(id.Task))
	if end == supervise.Stopped {
		s.Wasted += sim.processorTime(id, r)
	}
	sim.report(agent, []supervise.RunEnd{{RunID: id, End: end, RunTime: r.runTime}})
}

// SetPool moves a backend server to a pool.
func (sim *Simulation) SetPool(agent, pool string) {
	sim.Servers[agent].Pool = pool
	sim.report(agent, nil)
}

// Hang stops the progress of all current and later runs on a backend server.
func (sim *Simulation) Hang(agent string) {
	s := sim.Servers[agent]
	s.hanging = true
	for _, r := range s.runs {
		r.hungAt = sim.now
	}
}

// Resume ends the hanging of a backend server. Its runs continue where they stopped.
func (sim *Simulation) Resume(agent string) {
	s := sim.Servers[agent]
	s.hanging = false
	for id, r := range s.runs {
		if r.hungAt.IsZero() {
			continue
		}
		remaining := r.runTime - r.hungAt.Sub(r.started)
		r.started, r.hungAt = r.started.Add(sim.now.Sub(r.hungAt)), time.Time{}
		sim.after(max(remaining, 0)+sim.options.NearDelay, func() {
			if r.ended(sim.now) {
				sim.endRun(agent, id, supervise.Done)
			}
		})
	}
}

// Leave makes a backend server accept no more runs. Its current runs continue.
func (sim *Simulation) Leave(agent string) {
	sim.Servers[agent].gone = true
	sim.report(agent, nil)
}
