package dispatch_test

import (
	"slices"
	"testing"
	"time"
)

// fullLoad is the factor on the rates of raceKinds that keeps 11 backend servers of 32 cores busy.
const fullLoad = 1.78

func constant(factor float64) func(float64) float64 {
	return func(float64) float64 { return factor }
}

// Guards against a queue that does not keep up under overload: at 1.2 and 1.9 times the capacity callers must
// get nearly what a queue could give that refuses the excess without a delay, no kind of job may starve, and
// refusals must come early.
func TestOverloadServesNearCapacity(t *testing.T) {
	for _, c := range []struct {
		load  float64
		share float64 // of the worth that the processors could earn at equal shares of all kinds
		least float64 // of the worst kind, against all
	}{
		{load: 0.9, share: 0.95, least: 0.9},
		{load: 1.2, share: 0.95, least: 0.75},
		{load: 1.9, share: 0.95, least: 0.75},
	} {
		for seed := range uint64(3) {
			p := newPlay(seed, 11, 32, raceKinds, constant(c.load*fullLoad))
			p.run(20)
			all := p.earned("")
			if want := c.share * min(1, 1/c.load); all < want {
				t.Errorf("load %.1f, seed %d: callers got %.3f of the worth, want %.3f", c.load, seed, all, want)
			}
			for _, k := range raceKinds {
				if got := p.earned(k.name); got < c.least*all {
					t.Errorf("load %.1f, seed %d: %s got %.3f of its worth, all %.3f", c.load, seed, k.name, got, all)
				}
				early := 0
				waits := p.results[k.name].refusalWait
				for _, w := range waits {
					if w <= 100*time.Millisecond {
						early++
					}
				}
				if len(waits) > 20 && float64(early) < 0.9*float64(len(waits)) {
					t.Errorf("load %.1f, seed %d: %d of %d refusals of %s came at once", c.load, seed, early, len(waits), k.name)
				}
			}
			if p.overfull > 0 {
				t.Errorf("seed %d: %d orders beyond the capacity of a backend server", seed, p.overfull)
			}
		}
	}
}

// Guards against a queue that stays long after a wave: two seconds after it, callers are served as before.
func TestRecoversAfterWave(t *testing.T) {
	wave := func(s float64) float64 {
		if s >= 4 && s < 8 {
			return 2 * fullLoad
		}
		return 0.6 * fullLoad
	}
	p := newPlay(1, 11, 32, raceKinds, wave)
	begun := p.now
	p.run(14)
	for id, j := range p.jobs {
		if at := j.arrived.Sub(begun); at > 10*time.Second && !j.inTime {
			t.Errorf("job %s of %s, %v after the wave, was not in time", id, j.kind.name, at-8*time.Second)
		}
	}
}

// Guards against a backend server that fails at once and draws all work, and against jobs that fail with it.
func TestFailingServerGetsNoWork(t *testing.T) {
	p := newPlay(1, 11, 32, raceKinds, constant(0.5*fullLoad))
	p.servers["agent-00"].fails = 1
	p.run(20)
	for name, r := range p.results {
		if r.failed > 0 {
			t.Errorf("%s: %d of %d jobs failed", name, r.failed, r.asked)
		}
	}
	if got := p.earned(""); got < 0.95 {
		t.Errorf("callers got %.3f of the worth", got)
	}
}

// Guards against jobs that fail because a second run of a task goes to another backend server that fails a part of
// what it runs: such servers never fail several jobs in a row for long, but a caller gets only two runs of a task.
func TestPartlyFailingServersGetNoSecondRuns(t *testing.T) {
	failed, asked := 0, 0
	for seed := range uint64(5) {
		p := newPlay(seed, 11, 32, raceKinds, constant(0.5*fullLoad))
		p.at(p.now.Add(3*time.Second), func() {
			p.servers["agent-03"].fails, p.servers["agent-07"].fails = 0.45, 0.45
		})
		p.run(12)
		for _, r := range p.results {
			failed += r.failed
			asked += r.asked
		}
	}
	// One in a thousand: the share that the users count as served in full.
	if failed > asked/1000 {
		t.Errorf("%d of %d jobs failed", failed, asked)
	}
}

// Guards against callers of one pool who wait, are refused or are passed on because another pool of the site is
// overloaded.
func TestOverloadedPoolLeavesOthersAlone(t *testing.T) {
	calm := kind{name: "calm", rate: 30, width: 4, work: 0.1, cores: 3, worth: 0.02, attempts: 2, priority: 1, pool: "other"}
	others := []string{"agent-00", "agent-01", "agent-02", "agent-03"}
	earned := func(seed uint64, servers int, kinds []kind) float64 {
		p := newPlay(seed, servers, 32, kinds, constant(1.5*fullLoad))
		for _, name := range others {
			p.servers[name].pool = "other"
			p.report(name, nil)
		}
		p.run(10)
		return p.earned("calm")
	}
	for seed := range uint64(3) {
		alone := earned(seed, len(others), []kind{calm})
		beside := earned(seed, 11, append(slices.Clone(raceKinds), calm))
		// The draws differ, so that the two figures do as well.
		if beside < alone-0.02 {
			t.Errorf("seed %d: callers got %.3f of the worth beside an overloaded pool, %.3f alone", seed, beside, alone)
		}
	}
}

// Guards against work that waits for a backend server that turned slow while others are free: only what it runs
// when that begins may be late.
func TestSlowServerIsAvoided(t *testing.T) {
	p := newPlay(1, 11, 32, raceKinds, constant(0.5*fullLoad))
	p.at(p.now.Add(5*time.Second), func() { p.servers["agent-00"].speed = 6 })
	p.run(20)
	if got := p.earned(""); got < 0.97 {
		t.Errorf("callers got %.3f of the worth", got)
	}
}

// Guards against jobs that wait for a backend server on which everything stands still although it reports that it
// is well: its runs are begun anew elsewhere.
func TestHangingServerIsLeft(t *testing.T) {
	p := newPlay(1, 11, 32, raceKinds, constant(0.5*fullLoad))
	p.at(p.now.Add(5*time.Second), func() { p.hang("agent-00") })
	p.run(20)
	if got := p.earned(""); got < 0.95 {
		t.Errorf("callers got %.3f of the worth", got)
	}
	unanswered := 0
	for _, j := range p.jobs {
		if !j.answered {
			unanswered++
		}
	}
	// The probes, one a second, stay there.
	if unanswered > 20 {
		t.Errorf("%d of %d jobs have no answer", unanswered, len(p.jobs))
	}
}

// Guards against a start that refuses callers because the first run of a route took much longer than its estimate.
func TestStartIsNotRefused(t *testing.T) {
	for seed := range uint64(10) {
		p := newPlay(seed, 4, 32, raceKinds, constant(0.6*fullLoad*4/11))
		p.run(2)
		refused, asked := 0, 0
		for _, r := range p.results {
			refused += r.refused
			asked += r.asked
		}
		if refused > asked/50 {
			t.Errorf("seed %d: %d of the first %d jobs were refused", seed, refused, asked)
		}
	}
}
