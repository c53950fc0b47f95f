package dispatch_test

import (
	"slices"
	"testing"
	"time"
)

// fullLoad is the factor on the rates of raceTimingJobs that fully loads 11 backend servers of 32 cores.
const fullLoad = 1.78

func constant(factor float64) func(float64) float64 {
	return func(float64) float64 { return factor }
}

// Guards against poor use of the capacity under overload. At 1.2 and 1.9 times the capacity, callers must get nearly
// as much value as from a queue that refuses the excess without delay, no kind of job may starve, and refusals must
// come early.
func TestOverloadServesNearCapacity(t *testing.T) {
	for _, c := range []struct {
		load  float64
		share float64 // required share of the value that the processors could deliver if all kinds got equal shares
		least float64 // required share of the worst kind, relative to all kinds
	}{
		{load: 0.9, share: 0.95, least: 0.9},
		{load: 1.2, share: 0.95, least: 0.75},
		{load: 1.9, share: 0.95, least: 0.75},
	} {
		for seed := range uint64(3) {
			sim := newSimulation(seed, 11, 32, raceTimingJobs, constant(c.load*fullLoad))
			sim.run(20)
			all := sim.valueShare("")
			if want := c.share * min(1, 1/c.load); all < want {
				t.Errorf("load %.1f, seed %d: callers got %.3f of the value, want %.3f", c.load, seed, all, want)
			}
			for _, k := range raceTimingJobs {
				if got := sim.valueShare(k.name); got < c.least*all {
					t.Errorf("load %.1f, seed %d: %s got %.3f of its value, all kinds %.3f", c.load, seed, k.name, got, all)
				}
				early := 0
				waits := sim.results[k.name].refusalTimes
				for _, w := range waits {
					if w <= 100*time.Millisecond {
						early++
					}
				}
				if len(waits) > 20 && float64(early) < 0.9*float64(len(waits)) {
					t.Errorf("load %.1f, seed %d: %d of %d refusals of %s came within 100 ms", c.load, seed, early, len(waits), k.name)
				}
			}
			if sim.overcommitted > 0 {
				t.Errorf("seed %d: %d starts beyond the capacity of a backend server", seed, sim.overcommitted)
			}
		}
	}
}

// Guards against a queue that stays long after a burst: two seconds after it, all jobs must be in time again.
func TestRecoversAfterBurst(t *testing.T) {
	burst := func(s float64) float64 {
		if s >= 4 && s < 8 {
			return 2 * fullLoad
		}
		return 0.6 * fullLoad
	}
	sim := newSimulation(1, 11, 32, raceTimingJobs, burst)
	startedAt := sim.now
	sim.run(14)
	for id, j := range sim.jobs {
		if at := j.submittedAt.Sub(startedAt); at > 10*time.Second && !j.inTime {
			t.Errorf("job %s of %s, %v after the burst, was not in time", id, j.kind.name, at-8*time.Second)
		}
	}
}

// Guards against a backend server that fails every run immediately, becomes free again and so attracts all work, and
// against jobs that fail because of it.
func TestFailingServerGetsNoWork(t *testing.T) {
	sim := newSimulation(1, 11, 32, raceTimingJobs, constant(0.5*fullLoad))
	sim.servers["agent-00"].failureShare = 1
	sim.run(20)
	for name, r := range sim.results {
		if r.failed > 0 {
			t.Errorf("%s: %d of %d jobs failed", name, r.failed, r.submitted)
		}
	}
	if got := sim.valueShare(""); got < 0.95 {
		t.Errorf("callers got %.3f of the value", got)
	}
}

// Guards against jobs that fail because a retry goes to another backend server that fails some of its runs. Such a
// backend server rarely fails several jobs in a row, so that quarantine does not catch it, and a task gets only two
// runs.
func TestNoRetriesOnPartlyFailingServers(t *testing.T) {
	failed, submitted := 0, 0
	for seed := range uint64(5) {
		sim := newSimulation(seed, 11, 32, raceTimingJobs, constant(0.5*fullLoad))
		sim.schedule(sim.now.Add(3*time.Second), func() {
			sim.servers["agent-03"].failureShare, sim.servers["agent-07"].failureShare = 0.45, 0.45
		})
		sim.run(12)
		for _, r := range sim.results {
			failed += r.failed
			submitted += r.submitted
		}
	}
	// Users regard the service as reliable if at most one job in a thousand fails.
	if failed > submitted/1000 {
		t.Errorf("%d of %d jobs failed", failed, submitted)
	}
}

// Guards against jobs that wait, are refused or are forwarded because another pool of the site is overloaded.
func TestOverloadedPoolDoesNotAffectOthers(t *testing.T) {
	calm := jobKind{
		name: "calm", rate: 30, meanTasks: 4, meanRunTime: 0.1, cores: 3, value: 0.02, attempts: 2, priority: 1,
		pool: "other",
	}
	others := []string{"agent-00", "agent-01", "agent-02", "agent-03"}
	earned := func(seed uint64, servers int, kinds []jobKind) float64 {
		sim := newSimulation(seed, servers, 32, kinds, constant(1.5*fullLoad))
		for _, name := range others {
			sim.servers[name].pool = "other"
			sim.report(name, nil)
		}
		sim.run(10)
		return sim.valueShare("calm")
	}
	for seed := range uint64(3) {
		alone := earned(seed, len(others), []jobKind{calm})
		beside := earned(seed, 11, append(slices.Clone(raceTimingJobs), calm))
		// The random draws of the two runs differ, and so do the two values.
		if beside < alone-0.02 {
			t.Errorf("seed %d: callers got %.3f of the value beside an overloaded pool, %.3f alone", seed, beside, alone)
		}
	}
}

// Guards against work that waits for a backend server that has become slow while others are free. Only the runs that
// are on it at that time may be late.
func TestSlowServerIsAvoided(t *testing.T) {
	sim := newSimulation(1, 11, 32, raceTimingJobs, constant(0.5*fullLoad))
	sim.schedule(sim.now.Add(5*time.Second), func() { sim.servers["agent-00"].runTimeFactor = 6 })
	sim.run(20)
	if got := sim.valueShare(""); got < 0.97 {
		t.Errorf("callers got %.3f of the value", got)
	}
}

// Guards against jobs that wait for a backend server whose runs make no progress although it reports itself as
// healthy. Its runs must be restarted elsewhere.
func TestRunsMoveOffHangingServer(t *testing.T) {
	sim := newSimulation(1, 11, 32, raceTimingJobs, constant(0.5*fullLoad))
	sim.schedule(sim.now.Add(5*time.Second), func() { sim.hangServer("agent-00") })
	sim.run(20)
	if got := sim.valueShare(""); got < 0.95 {
		t.Errorf("callers got %.3f of the value", got)
	}
	unanswered := 0
	for _, j := range sim.jobs {
		if !j.answered {
			unanswered++
		}
	}
	// The probes sent to the hanging backend server, one a second, do not end.
	if unanswered > 20 {
		t.Errorf("%d of %d jobs were not answered", unanswered, len(sim.jobs))
	}
}

// wideTaskJobs are raceTimingJobs with tasks so large that a backend server of 32 cores runs four at a time.
func wideTaskJobs() []jobKind {
	kinds := slices.Clone(raceTimingJobs)
	for i := range kinds {
		kinds[i].cores = 7.6
		kinds[i].rate *= 3.1 / 7.6
	}
	return kinds
}

// Guards against jobs that wait for backend servers which hang or have become slow, if each of them runs too few tasks
// for their run times to be compared.
func TestFaultyServersWithFewRuns(t *testing.T) {
	for _, c := range []struct {
		name  string
		begin func(sim *simulation, agent string)
		end   func(sim *simulation, agent string)
	}{
		{"hanging", (*simulation).hangServer, (*simulation).resumeServer},
		{
			"slow", func(sim *simulation, agent string) { sim.servers[agent].runTimeFactor *= 6 },
			func(sim *simulation, agent string) { sim.servers[agent].runTimeFactor /= 6 },
		},
	} {
		for seed := range uint64(3) {
			sim := newSimulation(seed, 20, 32, wideTaskJobs(), constant(0.5*fullLoad*20/11))
			for _, agent := range []string{"agent-03", "agent-11"} {
				sim.schedule(sim.now.Add(5*time.Second), func() { c.begin(sim, agent) })
				sim.schedule(sim.now.Add(11*time.Second), func() { c.end(sim, agent) })
			}
			sim.run(16)
			late := 0
			for _, j := range sim.jobs {
				if !j.inTime {
					late++
				}
			}
			// Two backend servers of 20 are faulty for 6 of 16 s: 4% of the jobs would run on them.
			if share := float64(late) / float64(len(sim.jobs)); share > 0.01 {
				t.Errorf("%s, seed %d: %.4f of the jobs were not in time, want 0.01", c.name, seed, share)
			}
			for id, j := range sim.jobs {
				if took := sim.answeredAfter(j); took > 2*time.Second && j.longestTask < 0.3 {
					t.Errorf("%s, seed %d: job %s of %s was answered after %v", c.name, seed, id, j.kind.name, took)
				}
			}
		}
	}
}

// Guards against refusals just after the start because the first run of a route took much longer than its estimate.
func TestNoRefusalsAtStart(t *testing.T) {
	for seed := range uint64(10) {
		sim := newSimulation(seed, 4, 32, raceTimingJobs, constant(0.6*fullLoad*4/11))
		sim.run(2)
		refused, submitted := 0, 0
		for _, r := range sim.results {
			refused += r.refused
			submitted += r.submitted
		}
		if refused > submitted/50 {
			t.Errorf("seed %d: %d of the first %d jobs were refused", seed, refused, submitted)
		}
	}
}
