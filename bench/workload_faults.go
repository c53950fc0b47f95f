package bench

import "time"

// Loads and times of the fault traces.
const (
	faultLoad     = 0.7
	wavePeriod    = 20 * time.Second
	waveReach     = 2 * time.Second // jobs that arrived this long before a wave may be cancelled by it
	waveShare     = 0.5
	neverLoad     = 0.1
	faultDeadline = 30 * time.Second
)

// faults are the traces in which something goes wrong.
func (g generator) faults() []workload {
	to := g.settings.Duration / faultsPart
	base := g.mixed(faultLoad, to)
	base.deadline = faultDeadline
	never := base
	never.route, never.never, never.load = "never", true, neverLoad
	return []workload{
		g.cancellations(base),
		g.one("failing backend server", fault{failingFrom: to / 3, failingTo: to * 2 / 3}, base),
		g.one("jobs that can never run", fault{}, base, never),
		g.changedRunTimes(base),
		g.one("allocator lost", fault{allocatorLostAt: to / 2}, base),
	}
}

// cancellations lets callers cancel half of the jobs of the last 2 s, all at once.
func (g generator) cancellations(base stream) workload {
	wl := g.one("cancellation waves", fault{}, base)
	random := g.random(wl.name, 1)
	for i := range wl.traces[0].requests {
		r := &wl.traces[0].requests[i]
		wave := (r.arrival/wavePeriod + 1) * wavePeriod
		if wave-r.arrival <= waveReach && random.Float64() < waveShare {
			r.cancelAt = wave
		}
	}
	return wl
}

// changedRunTimes moves a route from short to long run times and another one back, at the same load. No
// message declares a size, so sizes can only be far off by what was observed before.
func (g generator) changedRunTimes(base stream) workload {
	half := base.to / 2
	part := func(route string, times runTimes, maxTasks int, load float64, from, to time.Duration) stream {
		s := base
		s.route, s.times, s.maxTasks, s.load, s.from, s.to = route, times, maxTasks, load, from, to
		return s
	}
	return g.one("run times far off", fault{},
		part("rising", shortTasks(), maxTasksPerJob, 0.2, 0, half),
		part("rising", longTasks(), longJobTasks, 0.2, half, base.to),
		part("falling", longTasks(), longJobTasks, 0.2, 0, half),
		part("falling", shortTasks(), maxTasksPerJob, 0.2, half, base.to),
		part(routeShort, shortTasks(), maxTasksPerJob, faultLoad-0.4, 0, base.to),
	)
}
