package dispatch

import (
	"math"
	"slices"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/resource"
)

const (
	// slowFactor is the steady slowdown above which a backend server is slow: hosts of different generations differ by
	// that much permanently. A slow one gets the jobs that can be in time there, and those that cannot be in time anywhere.
	slowFactor = 1.75
	// maxSteadySlowdown is the steady slowdown above which a backend server counts as faulty instead of slow.
	maxSteadySlowdown = 3.0
	// steadyWeight is the weight of one run in the steady slowdown. The first runs have the same weight; with less than
	// minSteadyRuns of them it is not known, as a passing fault may last that long.
	steadyWeight  = 0.02
	minSteadyRuns = 20
)

// observeSteadySpeed updates the steady slowdown of a backend server with the run time of a run relative to the others, as
// natural logarithm.
func (s *server) observeSteadySpeed(sample float64) {
	s.steadyRuns++
	s.logSteadySlowdown += max(steadyWeight, 1/float64(s.steadyRuns)) * (sample - s.logSteadySlowdown)
}

// usualSlowdown returns the run times relative to other backend servers that are usual here: 1 unless it is slow.
func (s *server) usualSlowdown() float64 {
	if !s.slow() {
		return 1
	}
	return math.Exp(s.logSteadySlowdown)
}

// slow reports whether run times on the backend server are always so much longer than elsewhere that they may decide
// whether a job is in time.
func (s *server) slow() bool {
	return s.steadyRuns >= minSteadyRuns && s.logSteadySlowdown > math.Log(slowFactor) &&
		s.logSteadySlowdown < math.Log(maxSteadySlowdown)
}

// SlowServers returns the number of connected backend servers that are slow.
func (d *Dispatcher) SlowServers() int {
	n := 0
	for _, s := range d.sortedServers {
		if s.usable() && s.slow() {
			n++
		}
	}
	return n
}

// needsSlack reports whether the backend server is slow and works, so that only some jobs are in time there. A degraded
// one gets only probes, which must not be prevented: it would never recover.
func (s *server) needsSlack() bool {
	return (s.slow() || s.slowdown() > degradedFactor) && !s.degraded()
}

// degradedSlowdown returns the slowdown above which the backend server is degraded. One that was slow from its first runs
// on may be so for good. Taken as degraded, it would idle for seconds, because it would learn that from probes only.
func (s *server) degradedSlowdown() float64 {
	if s.steadyRuns < minSteadyRuns && s.logSteadySlowdown > math.Log(slowFactor) {
		return maxSteadySlowdown
	}
	return degradedFactor * s.usualSlowdown()
}

// extraRunTime returns how much longer a task of a step is predicted to run on the backend server than on a typical one.
func (d *Dispatcher) extraRunTime(s *server, route string, st batch.Step) time.Duration {
	return time.Duration(float64(d.route(route).predictRunTime(st.Estimate)) * (s.slowdown() - 1))
}

// hasFastServer reports whether a usable backend server of the pool is neither slow nor degraded, and could run a task of
// the step if it were empty. The given backend servers are left out.
func (d *Dispatcher) hasFastServer(pool string, st batch.Step, except []*server) bool {
	return slices.ContainsFunc(d.sortedServers, func(s *server) bool {
		return s.usable() && s.info.Pool == pool && !s.needsSlack() && !s.degraded() && st.Demand.Fits(s.capacity) &&
			(st.Label == "" || slices.Contains(s.info.Labels, st.Label)) && !slices.Contains(except, s)
	})
}

// fastEnough reports whether a task of a job may be placed on a slow backend server although there are fast ones. A job
// that can still be in time waits for a backend server on which it is. One that cannot only has to end while its answer is
// useful.
func (d *Dispatcher) fastEnough(now time.Time, j *job, st *step, s *server) bool {
	end := now.Add(d.extraRunTime(s, j.Route, st.Step))
	if late := j.late || now.After(j.targetStart) || j.targetStart.After(j.startDeadline); late {
		return !end.After(j.startDeadline)
	}
	return !end.After(j.targetStart)
}

// inTimeOn reports whether a job that arrives now is in time if a task of the step starts on the backend server at once.
func (d *Dispatcher) inTimeOn(s *server, j batch.Job, st batch.Step) bool {
	slack := time.Duration((j.Stretch-1)*float64(d.criticalPath(j))) + j.Target - overheadAllowance
	return d.extraRunTime(s, j.Route, st) <= slack
}

// mayMeasure reports whether a task of the job may be placed on a slow backend server on which it is not in time, because no
// task has run there for so long that its speed may have changed. Without this, it would not be used again if all jobs of
// the pool are too long for it.
func (s *server) mayMeasure(now time.Time, j *job) bool {
	idle := now.Sub(s.lastStart)
	return len(s.runs) == 0 && idle >= maxProbeInterval &&
		(j.late || now.Add(probeSlack).Before(j.targetStart) || idle >= 2*maxProbeInterval)
}

// withFree returns the load with the free capacity of a backend server.
func (l PoolLoad) withFree(s *server, free resource.Amount) PoolLoad {
	switch {
	case !s.needsSlack():
		l.Free, l.hasFast = l.Free.Plus(free), true
	case free.Processor > 0:
		l.FreeSlow, l.Slowdown = l.FreeSlow.Plus(free), max(l.Slowdown, s.slowdown())
	}
	return l
}

// withoutSlow returns the load of a pool in which all backend servers are slow, so that any job may use them.
func (l PoolLoad) withoutSlow() PoolLoad {
	l.Free, l.FreeSlow, l.Slowdown = l.Free.Plus(l.FreeSlow), resource.Amount{}, 0
	return l
}

// FreeFor returns the free capacity on which a job is in time: that of slow backend servers only if all its steps could run
// on the slowest of them, by their estimates.
func (l PoolLoad) FreeFor(j batch.Job) resource.Amount {
	if l.Slowdown == 0 {
		return l.Free
	}
	var longest, extra time.Duration
	for _, st := range j.Steps {
		longest = max(longest, st.Estimate)
		extra += time.Duration(float64(st.Estimate) * (l.Slowdown - 1))
	}
	if slack := time.Duration((j.Stretch-1)*float64(longest)) + j.Target - overheadAllowance; extra > slack {
		return l.Free
	}
	return l.Free.Plus(l.FreeSlow)
}

// Without returns the load without free capacity that a job will use, first that of fast backend servers.
func (l PoolLoad) Without(used resource.Amount) PoolLoad {
	fast := used.Min(l.Free)
	l.Free, l.FreeSlow = l.Free.Minus(fast), l.FreeSlow.Minus(used.Minus(fast))
	return l
}
