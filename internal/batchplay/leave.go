package batchplay

import (
	"maps"
	"slices"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/resource"
	"dogwoodglade/core/supervise"
)

// leaveReportDelay is the time until an agent reports the ends of the runs on a backend server that has left, when their
// lease has expired.
const leaveReportDelay = supervise.MaxRunAfterAgentExit

// LeaveIn makes a backend server accept no more runs and leave after the given time, with all that still runs there. Its
// agent reports the time that is left if told is set.
func (sim *Simulation) LeaveIn(agent string, notice time.Duration, told bool) {
	s := sim.Servers[agent]
	s.gone = true
	if told {
		s.leavesAt = sim.now.Add(notice)
	}
	sim.report(agent, nil)
	sim.after(notice, func() { s.end(sim) })
	sim.after(notice+leaveReportDelay, func() {
		s.down = false
		for _, id := range slices.SortedFunc(maps.Keys(s.runs), func(a, b supervise.RunID) int { return a.Task.Compare(b.Task) }) {
			sim.endRun(agent, id, supervise.Lost)
		}
	})
}

// end stops the progress of all runs.
func (s *Server) end(sim *Simulation) {
	s.down = true
	for id, r := range s.runs {
		r.hungAt = sim.now
		s.Lost = append(s.Lost, id.Task.Job)
		s.Wasted += sim.processorTime(id, r)
	}
}

// processorTime returns the core-seconds that a run has used.
func (sim *Simulation) processorTime(id supervise.RunID, r *run) float64 {
	return float64(sim.demand(id.Task).Processor) / 1000 * sim.now.Sub(r.started).Seconds()
}

func (sim *Simulation) demand(id batch.TaskID) resource.Amount {
	return sim.Jobs[id.Job].job.Steps[id.Step].Demand
}
