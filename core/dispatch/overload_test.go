package dispatch_test

import (
	"slices"
	"testing"
	"time"

	"dogwoodglade/internal/batchplay"
)

// raceTimingJobs are the kinds of jobs of a deployment that times races: split times, verifications and updates of
// scoreboards.
var raceTimingJobs = []batchplay.Kind{
	{Name: "split", Rate: 34.4, MeanTasks: 8, MeanRunTime: 0.051, Cores: 3.1, Value: 0.0291, Attempts: 4},
	{Name: "verify", Rate: 6.25, MeanTasks: 4, MeanRunTime: 0.76, Cores: 3.1, Value: 0.16, Attempts: 2, Priority: 2},
	{Name: "board", Rate: 100, MeanTasks: 2, MeanRunTime: 0.17, Cores: 3.1, Value: 0.01, Attempts: 2, Priority: 1},
}

// newPlay returns the simulation of a load on one dispatcher.
func newPlay(
	seed uint64, servers int, cores float64, kinds []batchplay.Kind, load func(float64) float64,
) *batchplay.Simulation {
	return batchplay.New(batchplay.SingleEntry(seed, servers, cores, kinds, load))
}

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
			sim := newPlay(seed, 11, 32, raceTimingJobs, constant(c.load*fullLoad))
			sim.Run(20)
			all := sim.ValueShare("")
			if want := c.share * min(1, 1/c.load); all < want {
				t.Errorf("load %.1f, seed %d: callers got %.3f of the value, want %.3f", c.load, seed, all, want)
			}
			for _, k := range raceTimingJobs {
				if got := sim.ValueShare(k.Name); got < c.least*all {
					t.Errorf("load %.1f, seed %d: %s got %.3f of its value, all kinds %.3f", c.load, seed, k.Name, got, all)
				}
				early := 0
				waits := sim.Results[k.Name].RefusalTimes
				for _, w := range waits {
					if w <= 100*time.Millisecond {
						early++
					}
				}
				if len(waits) > 20 && float64(early) < 0.9*float64(len(waits)) {
					t.Errorf("load %.1f, seed %d: %d of %d refusals of %s came within 100 ms", c.load, seed, early, len(waits), k.Name)
				}
			}
			if sim.Overcommitted > 0 {
				t.Errorf("seed %d: %d starts beyond the capacity of a backend server", seed, sim.Overcommitted)
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
	sim := newPlay(1, 11, 32, raceTimingJobs, burst)
	sim.Run(14)
	for id, j := range sim.Jobs {
		if at := j.SubmittedAt; at > 10*time.Second && !j.InTime {
			t.Errorf("job %s of %s, %v after the burst, was not in time", id, j.Kind.Name, at-8*time.Second)
		}
	}
}

// Guards against a backend server that fails every run immediately, becomes free again and so attracts all work, and
// against jobs that fail because of it.
func TestFailingServerGetsNoWork(t *testing.T) {
	sim := newPlay(1, 11, 32, raceTimingJobs, constant(0.5*fullLoad))
	sim.Servers["agent-00"].FailureShare = 1
	sim.Run(20)
	for name, r := range sim.Results {
		if r.Failed > 0 {
			t.Errorf("%s: %d of %d jobs failed", name, r.Failed, r.Submitted)
		}
	}
	if got := sim.ValueShare(""); got < 0.95 {
		t.Errorf("callers got %.3f of the value", got)
	}
}

// Guards against jobs that fail because a retry goes to another backend server that fails some of its runs. Such a
// backend server rarely fails several jobs in a row, so that quarantine does not catch it, and a task gets only two
// runs.
func TestNoRetriesOnPartlyFailingServers(t *testing.T) {
	failed, submitted := 0, 0
	for seed := range uint64(5) {
		sim := newPlay(seed, 11, 32, raceTimingJobs, constant(0.5*fullLoad))
		sim.At(3*time.Second, func() {
			sim.Servers["agent-03"].FailureShare, sim.Servers["agent-07"].FailureShare = 0.45, 0.45
		})
		sim.Run(12)
		for _, r := range sim.Results {
			failed += r.Failed
			submitted += r.Submitted
		}
	}
	// Users regard the service as reliable if at most one job in a thousand fails.
	if failed > submitted/1000 {
		t.Errorf("%d of %d jobs failed", failed, submitted)
	}
}

// Guards against jobs that wait, are refused or are forwarded because another pool of the site is overloaded.
func TestOverloadedPoolDoesNotAffectOthers(t *testing.T) {
	calm := batchplay.Kind{
		Name: "calm", Rate: 30, MeanTasks: 4, MeanRunTime: 0.1, Cores: 3, Value: 0.02, Attempts: 2, Priority: 1,
		Pool: "other",
	}
	others := []string{"agent-00", "agent-01", "agent-02", "agent-03"}
	earned := func(seed uint64, servers int, kinds []batchplay.Kind) float64 {
		sim := newPlay(seed, servers, 32, kinds, constant(1.5*fullLoad))
		for _, name := range others {
			sim.SetPool(name, "other")
		}
		sim.Run(10)
		return sim.ValueShare("calm")
	}
	for seed := range uint64(3) {
		alone := earned(seed, len(others), []batchplay.Kind{calm})
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
	sim := newPlay(1, 11, 32, raceTimingJobs, constant(0.5*fullLoad))
	sim.At(5*time.Second, func() { sim.Servers["agent-00"].RunTimeFactor = 6 })
	sim.Run(20)
	if got := sim.ValueShare(""); got < 0.97 {
		t.Errorf("callers got %.3f of the value", got)
	}
}

// Guards against jobs that wait for a backend server whose runs make no progress although it reports itself as
// healthy. Its runs must be restarted elsewhere.
func TestRunsMoveOffHangingServer(t *testing.T) {
	sim := newPlay(1, 11, 32, raceTimingJobs, constant(0.5*fullLoad))
	sim.At(5*time.Second, func() { sim.Hang("agent-00") })
	sim.Run(20)
	if got := sim.ValueShare(""); got < 0.95 {
		t.Errorf("callers got %.3f of the value", got)
	}
	unanswered := 0
	for _, j := range sim.Jobs {
		if !j.Answered {
			unanswered++
		}
	}
	// The probes sent to the hanging backend server, one a second, do not end.
	if unanswered > 20 {
		t.Errorf("%d of %d jobs were not answered", unanswered, len(sim.Jobs))
	}
}

// wideTaskJobs are raceTimingJobs with tasks so large that a backend server of 32 cores runs four at a time.
func wideTaskJobs() []batchplay.Kind {
	kinds := slices.Clone(raceTimingJobs)
	for i := range kinds {
		kinds[i].Cores = 7.6
		kinds[i].Rate *= 3.1 / 7.6
	}
	return kinds
}

// Guards against jobs that wait for backend servers which hang or have become slow, if each of them runs too few tasks
// for their run times to be compared.
func TestFaultyServersWithFewRuns(t *testing.T) {
	for _, c := range []struct {
		name  string
		begin func(sim *batchplay.Simulation, agent string)
		end   func(sim *batchplay.Simulation, agent string)
	}{
		{"hanging", (*batchplay.Simulation).Hang, (*batchplay.Simulation).Resume},
		{
			"slow", func(sim *batchplay.Simulation, agent string) { sim.Servers[agent].RunTimeFactor *= 6 },
			func(sim *batchplay.Simulation, agent string) { sim.Servers[agent].RunTimeFactor /= 6 },
		},
	} {
		for seed := range uint64(3) {
			sim := newPlay(seed, 20, 32, wideTaskJobs(), constant(0.5*fullLoad*20/11))
			for _, agent := range []string{"agent-03", "agent-11"} {
				sim.At(5*time.Second, func() { c.begin(sim, agent) })
				sim.At(11*time.Second, func() { c.end(sim, agent) })
			}
			sim.Run(16)
			late := 0
			for _, j := range sim.Jobs {
				if !j.InTime {
					late++
				}
			}
			// Two backend servers of 20 are faulty for 6 of 16 s: 4% of the jobs would run on them.
			if share := float64(late) / float64(len(sim.Jobs)); share > 0.01 {
				t.Errorf("%s, seed %d: %.4f of the jobs were not in time, want 0.01", c.name, seed, share)
			}
			for id, j := range sim.Jobs {
				if took := sim.TimeToAnswer(j); took > 2*time.Second && j.LongestTask < 0.3 {
					t.Errorf("%s, seed %d: job %s of %s was answered after %v", c.name, seed, id, j.Kind.Name, took)
				}
			}
		}
	}
}

// Guards against refusals just after the start because the first run of a route took much longer than its estimate.
func TestNoRefusalsAtStart(t *testing.T) {
	for seed := range uint64(10) {
		sim := newPlay(seed, 4, 32, raceTimingJobs, constant(0.6*fullLoad*4/11))
		sim.Run(2)
		refused, submitted := 0, 0
		for _, r := range sim.Results {
			refused += r.Refused
			submitted += r.Submitted
		}
		if refused > submitted/50 {
			t.Errorf("seed %d: %d of the first %d jobs were refused", seed, refused, submitted)
		}
	}
}
