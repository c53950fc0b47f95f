package bench

import "time"

// Loads and times of the fault traces.
const (
	faultLoad          = 0.7
	cancellationPeriod = 20 * time.Second
	cancellationWindow = 2 * time.Second // only jobs that arrived within this time before a wave are cancelled
	cancellationShare  = 0.5
	emptyPoolLoad      = 0.1
	faultDeadline      = 30 * time.Second
)

// faults returns the workloads of the faults measure.
func (g generator) faults() []workload {
	to := g.settings.Duration / faultsDivisor
	base := g.mixed(faultLoad, to)
	base.deadline = faultDeadline
	emptyPoolJobs := base
	emptyPoolJobs.route, emptyPoolJobs.emptyPool, emptyPoolJobs.load = "never", true, emptyPoolLoad
	return []workload{
		g.cancellations(base),
		g.singleTrace("failing backend server", faultSchedule{failingFrom: to / 3, failingTo: to * 2 / 3}, base),
		g.singleTrace("jobs that can never run", faultSchedule{}, base, emptyPoolJobs),
		g.changedRunTimes(base),
		g.singleTrace("allocator lost", faultSchedule{allocatorFailsAt: to / 2}, base),
	}
}

// cancellations returns a workload in which, every 20 s, half of the jobs of the last 2 s are cancelled at once.
func (g generator) cancellations(base stream) workload {
	wl := g.singleTrace("cancellation waves", faultSchedule{}, base)
	random := g.traceRand(wl.name, 1)
	for i := range wl.traces[0].requests {
		r := &wl.traces[0].requests[i]
		wave := (r.arrival/cancellationPeriod + 1) * cancellationPeriod
		if wave-r.arrival <= cancellationWindow && random.Float64() < cancellationShare {
			r.cancelAt = wave
		}
	}
	return wl
}

// changedRunTimes returns a workload in which, halfway through the trace, one route changes from short to long run
// times and another from long to short, at the same load. Jobs do not declare run times, so estimates from earlier
// tasks are far off after the change.
func (g generator) changedRunTimes(base stream) workload {
	half := base.to / 2
	part := func(route string, times runTimes, maxTasks int, load float64, from, to time.Duration) stream {
		s := base
		s.route, s.runTimes, s.maxTasks, s.load, s.from, s.to = route, times, maxTasks, load, from, to
		return s
	}
	return g.singleTrace("run times far off", faultSchedule{},
		part("rising", shortTasks(), maxTasksPerJob, 0.2, 0, half),
		part("rising", longTasks(), longJobTasks, 0.2, half, base.to),
		part("falling", longTasks(), longJobTasks, 0.2, 0, half),
		part("falling", shortTasks(), maxTasksPerJob, 0.2, half, base.to),
		part(routeShort, shortTasks(), maxTasksPerJob, faultLoad-0.4, 0, base.to),
	)
}
