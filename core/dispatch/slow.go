package dispatch

import (
	"math"
	"time"

	"dogwoodglade/core/batch"
)

const (
	// slowFactor is the steady slowdown above which a backend server is slow: hosts of different generations differ by
	// that much for good. A slow one gets the jobs that can be in time there, and those that cannot be in time anywhere.
	slowFactor = 1.5
	// steadyWeight is the weight of one run in the steady slowdown, and steadyPrior that of the assumption that a backend
	// server is like the others, in runs.
	steadyWeight = 0.02
	steadyPrior  = 10
)

// observeSteadySpeed updates the steady slowdown of a backend server with the run time of a run relative to the others, as
// natural logarithm.
func (s *server) observeSteadySpeed(sample float64) {
	s.steadyRuns++
	s.logSteadySlowdown += max(steadyWeight, 1/float64(s.steadyRuns+steadyPrior)) * (sample - s.logSteadySlowdown)
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
func (s *server) slow() bool { return s.logSteadySlowdown > math.Log(slowFactor) }

// extraRunTime returns how much longer a task of a step is predicted to run on the backend server than on a typical one.
func (d *Dispatcher) extraRunTime(s *server, route string, st batch.Step) time.Duration {
	return time.Duration(float64(d.route(route).predictRunTime(st.Estimate)) * (s.slowdown() - 1))
}

// fastEnough reports whether a task of a job may be placed on a backend server. A job that can still be in time waits for
// a backend server on which it is. One that cannot only has to end while its answer is useful. A degraded backend server
// gets only probes, which must not be prevented: it would never recover.
func (d *Dispatcher) fastEnough(now time.Time, j *job, st *step, s *server) bool {
	if !s.slow() || s.degraded() || !d.pool(j.Pool).anyFast {
		return true
	}
	end := now.Add(d.extraRunTime(s, j.Route, st.Step))
	if late := now.After(j.targetStart) || j.targetStart.After(j.startDeadline); late {
		return !end.After(j.startDeadline)
	}
	return !end.After(j.targetStart)
}

// inTimeOn reports whether a job that arrives now is in time if a task of the step starts on the backend server at once.
func (d *Dispatcher) inTimeOn(s *server, j batch.Job, st batch.Step) bool {
	if !s.slow() || s.degraded() || !d.pool(j.Pool).anyFast {
		return true
	}
	runTime := d.route(j.Route).predictRunTime(st.Estimate)
	slack := time.Duration((j.Stretch-1)*float64(runTime)) + j.Target - overheadAllowance
	return d.extraRunTime(s, j.Route, st) <= slack
}
