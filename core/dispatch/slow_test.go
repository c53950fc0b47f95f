package dispatch_test

import (
	"testing"
	"time"

	"dogwoodglade/internal/batchplay"
)

// Guards against backend servers of an earlier generation, which take more than twice as long as the others for good,
// that are treated as faulty and idle under overload, or that make callers worse off because they get jobs that the
// others can serve in time. They add a fifth to the capacity, and at least a third of that must reach callers.
func TestTwoGenerationsOfServers(t *testing.T) {
	value := func(seed uint64, load float64, generations []float64) float64 {
		o := batchplay.SingleEntry(seed, 4*len(generations), 32, raceTimingJobs, constant(load*fullLoad))
		for i := range o.Servers {
			o.Servers[i].RunTimeFactor = generations[i%len(generations)]
		}
		sim := batchplay.New(o)
		sim.Run(12)
		return sim.ValueShare("")
	}
	for _, c := range []struct{ load, gain float64 }{
		{0.7, -0.005}, // the speed of a backend server is learned from its first runs
		{0.9, -0.005},
		{1.1, 0.2 / 3},
		{1.3, 0.2 / 3},
	} {
		const seeds = 3
		with, without := 0.0, 0.0
		for seed := range uint64(seeds) {
			with += value(seed, c.load, []float64{0.7, 0.7, 1.7}) / seeds
			without += value(seed, c.load, []float64{0.7, 0.7}) / seeds
		}
		if want := without * (1 + c.gain); with < want {
			t.Errorf("load %.1f: callers got %.3f of the value, %.3f without slow backend servers, want %.3f",
				c.load, with, without, want)
		}
	}
}

// Guards against slow backend servers that are never used again after a passing fault, as no job can be in time there by
// the last run times that were seen.
func TestSlowServersRecoverFromFault(t *testing.T) {
	const (
		fault     = 6 * time.Second
		recovered = 14 * time.Second
		end       = 24 * time.Second
	)
	inTime := func(faulty bool) float64 {
		o := batchplay.SingleEntry(1, 12, 32, raceTimingJobs, constant(1.3*fullLoad))
		for i := range o.Servers {
			o.Servers[i].RunTimeFactor = []float64{0.7, 0.7, 1.7}[i%3]
		}
		sim := batchplay.New(o)
		setSlow := func(factor float64) {
			for i, s := range o.Servers {
				if i%3 == 2 {
					sim.Servers[s.Name].RunTimeFactor = factor
				}
			}
		}
		if faulty {
			sim.At(fault, func() { setSlow(8 * 1.7) })
			sim.At(fault+3*time.Second, func() { setSlow(1.7) })
		}
		sim.Run(end.Seconds())
		submitted, served := 0.0, 0.0
		for _, j := range sim.Jobs {
			if j.SubmittedAt < recovered {
				continue
			}
			submitted += j.Kind.Value
			if j.InTime {
				served += j.Kind.Value
			}
		}
		return served / submitted
	}
	if got, want := inTime(true), inTime(false)-0.02; got < want {
		t.Errorf("%.3f of the value was in time after the fault, want %.3f", got, want)
	}
}
