package dispatch_test

import (
	"slices"
	"testing"
	"time"

	"dogwoodglade/internal/batchplay"
)

// wave is a load of 1.4 times the capacity for 4 s, as when a fifth of the backend servers is lost on its crest, and its
// trough after that.
func wave(s float64) float64 {
	switch {
	case s < 2:
		return 0.7 * fullLoad
	case s < 6:
		return 1.4 * fullLoad
	}
	return 0.5 * fullLoad
}

// Guards against a short overload in which urgent jobs are served no better than others, in which a route or the large
// jobs of a route starve, after which jobs are still late, or in which refusals come too late for another attempt.
func TestWaveServesByPriorityAndStarvesNobody(t *testing.T) {
	for seed := range uint64(10) {
		sim := newPlay(seed, 11, 32, raceTimingJobs, wave)
		sim.Run(10)
		all, urgent := sim.ValueShare(""), sim.ValueShare("split")
		for _, k := range raceTimingJobs {
			got := sim.ValueShare(k.Name)
			if got < 0.75*all {
				t.Errorf("seed %d: %s got %.3f of its value, all kinds %.3f", seed, k.Name, got, all)
			}
			if k.Priority > 0 && got > urgent {
				t.Errorf("seed %d: %s got %.3f of its value, the most urgent kind %.3f", seed, k.Name, got, urgent)
			}
			checkSizes(t, sim, k.Name)
			// A caller can use a quarter of the time until a target of 0.5 s to try elsewhere.
			for _, w := range sim.Results[k.Name].RefusalTimes {
				if w > 125*time.Millisecond && k.Priority == 0 {
					t.Errorf("seed %d: %s was refused after %v", seed, k.Name, w)
				}
			}
		}
		for id, j := range sim.Jobs {
			if j.SubmittedAt > 7*time.Second && !j.InTime {
				t.Errorf("seed %d: job %s of %s was not in time, %v after the wave", seed, id, j.Kind.Name, j.SubmittedAt-6*time.Second)
			}
		}
	}
}

// checkSizes checks that the largest tenth of the jobs of a kind and the fifth below it are in time at least half as
// often as all of them.
func checkSizes(t *testing.T, sim *batchplay.Simulation, kind string) {
	var jobs []*batchplay.Job
	inTime := 0
	for _, j := range sim.Jobs {
		if j.Kind.Name == kind {
			jobs = append(jobs, j)
			if j.InTime {
				inTime++
			}
		}
	}
	slices.SortFunc(jobs, func(a, b *batchplay.Job) int { return int(1e6 * (a.Work() - b.Work())) })
	whole := float64(inTime) / float64(len(jobs))
	for _, part := range [][]*batchplay.Job{jobs[len(jobs)*9/10:], jobs[len(jobs)*7/10 : len(jobs)*9/10]} {
		n := 0
		for _, j := range part {
			if j.InTime {
				n++
			}
		}
		if share := float64(n) / float64(len(part)); share < whole/2 {
			t.Errorf("%s: %.3f of the large jobs were in time, of all %.3f", kind, share, whole)
		}
	}
}
