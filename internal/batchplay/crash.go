package batchplay

import (
	"maps"
	"slices"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/supervise"
)

const (
	// crashNoticeDelay is the time until an agent notices that nothing listens at its backend server's address.
	crashNoticeDelay = 20 * time.Millisecond
	// crashReportDelay is the time until it reports the ends of the runs, when their lease has expired.
	crashReportDelay = supervise.MaxRunAfterAgentExit
	// crashRestartDelay is the time until a new process of the backend server announces itself.
	crashRestartDelay = 3500 * time.Millisecond
)

// crash ends the process of a backend server because of a task that was started there. A new process follows.
func (sim *Simulation) crash(agent string, task batch.TaskID) {
	s := sim.Servers[agent]
	if s.down {
		return
	}
	sim.Crashes[task]++
	s.down, s.gone = true, true
	ids := slices.SortedFunc(maps.Keys(s.runs), func(a, b supervise.RunID) int { return a.Task.Compare(b.Task) })
	for _, id := range ids {
		s.runs[id].hungAt = sim.now
	}
	sim.after(crashNoticeDelay, func() { sim.report(agent, nil) })
	sim.after(crashReportDelay, func() {
		var ended []supervise.RunEnd
		for _, id := range ids {
			delete(s.runs, id)
			s.used = s.used.Minus(sim.Jobs[id.Task.Job].job.Steps[id.Task.Step].Demand)
			ended = append(ended, supervise.RunEnd{RunID: id, End: supervise.Crashed})
		}
		sim.report(agent, ended)
	})
	sim.after(crashRestartDelay, func() {
		s.down, s.gone = false, false
		s.restarts++
		sim.report(agent, nil)
	})
}
