package bench

import (
	"bytes"
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"dogwoodglade/core/allocator"
)

func shortSettings(measures ...string) Settings {
	return Settings{
		Seed: 1, Site: Trappelop, Measures: measures, Duration: 10 * time.Second, Repetitions: 1,
	}.WithDefaults()
}

// Guards against results that depend on goroutine scheduling or map order, which could not be reproduced.
func TestReportDependsOnSeedOnly(t *testing.T) {
	var all []namedPolicy
	for _, p := range policies() {
		if p.baseline || p.name == chosenPolicy { // the other policies share the code of the chosen one
			all = append(all, p)
		}
	}
	encode := func(s Settings) []byte {
		t.Helper()
		data, err := run(s, all).JSON()
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	oneWorker, eightWorkers, otherSeed := shortSettings(), shortSettings(), shortSettings()
	oneWorker.Workers, eightWorkers.Workers, otherSeed.Seed = 1, 8, 2
	first := encode(oneWorker)
	if !bytes.Equal(first, encode(eightWorkers)) {
		t.Error("the report changed with the number of workers")
	}
	if bytes.Equal(first, encode(otherSeed)) {
		t.Error("the report did not change with the seed")
	}
}

// knownTrace returns a site with two slots and a trace of three jobs whose ideal schedule is known. The first job
// occupies the slots until 0.1 s and 0.3 s. The second has one task of 0.4 s, which waits 0.1 s. The third has one
// task of 0.1 s, which waits until 0.3 s.
func knownTrace() (site, *trace) {
	s := site{name: "hand", oneWayDelay: time.Millisecond, entries: 1, servers: 2, slots: 1}
	job := func(arrival time.Duration, tasks ...time.Duration) request {
		return request{
			arrival: arrival, deadline: time.Minute, customer: customerOne, route: routeShort, tasks: tasks,
		}
	}
	const ms = time.Millisecond
	return s, &trace{requests: []request{job(0, 100*ms, 300*ms), job(0, 400*ms), job(50*ms, 100*ms)}}
}

// Every ratio of the report is relative to the ideal queue, so an error in its schedule would falsify them all.
func TestIdealQueueMatchesKnownSchedule(t *testing.T) {
	s, tr := knownTrace()
	outcomes := ideal(s, tr, s.totalSlots(), unlimitedWait)
	want := []time.Duration{0, 100 * time.Millisecond, 250 * time.Millisecond}
	for i, outcome := range outcomes {
		if outcome.state != complete || outcome.delay != want[i] {
			t.Errorf("job %d: %v with delay %v, want %v", i, outcome.state, outcome.delay, want[i])
		}
	}
	idealMean := meanDelay(t, outcomes)
	for _, p := range policies() {
		result := simulate(s, tr, newRand(1, p.name), p.create)
		if got := meanDelay(t, result.jobOutcomes); got < idealMean {
			t.Errorf("%s: mean delay %v is less than the ideal %v", p.name, got, idealMean)
		}
	}
}

// At loads without refusals, the allocator without network delay must have the same mean delay as the ideal
// queue. A difference is an error in the simulation or the allocator.
func TestAllocatorMatchesIdealQueueWithoutNetworkDelay(t *testing.T) {
	settings := Settings{Seed: 1, Duration: time.Minute}.WithDefaults()
	s := sites(Trappelop)[0]
	s.oneWayDelay = 0
	for _, wl := range workloads(settings, s, Response) {
		idealMean := meanDelay(t, ideal(s, wl.traces[0], s.totalSlots(), unlimitedWait))
		p := policies()[0]
		result := simulate(s, wl.traces[0], newRand(1, p.name), p.create)
		if got := meanDelay(t, result.jobOutcomes); got != idealMean {
			t.Errorf("%s: mean delay %v, ideal %v", wl.name, got, idealMean)
		}
	}
}

func meanDelay(t *testing.T, outcomes []jobOutcome) time.Duration {
	t.Helper()
	var all []time.Duration
	for i, outcome := range outcomes {
		if outcome.state != complete {
			t.Fatalf("job %d: %v", i, outcome.state)
		}
		all = append(all, outcome.delay)
	}
	return mean(all)
}

// A job that the ideal queue refuses must not change the slots, even if two of its tasks were assigned to the
// same slot.
func TestIdealQueueRefusalRestoresSlots(t *testing.T) {
	s, tr := knownTrace()
	late := tr.requests[1]
	late.tasks = slices.Repeat([]time.Duration{time.Second}, 5)
	late.deadline = 2 * time.Second
	tr.requests = slices.Insert(tr.requests, 1, late)
	outcomes := ideal(s, tr, s.totalSlots(), unlimitedWait)
	if outcomes[1].state != refused || outcomes[2].delay != 100*time.Millisecond ||
		outcomes[3].delay != 250*time.Millisecond {
		t.Errorf("got %+v", outcomes)
	}
}

// refusingPolicy refuses every job. With startsFirst it has sent one of the tasks to an agent before.
type refusingPolicy struct {
	queueingPolicy
	startsFirst bool
}

func (r *refusingPolicy) place(j *job, tasks []*task) {
	if r.startsFirst {
		r.sim.startTask(r.sim.servers[0], tasks[0])
	}
	r.sim.closeJob(j, refused)
}

func newRefusingPolicy(startsFirst bool) func(*simulation) policy {
	return func(sim *simulation) policy {
		return &refusingPolicy{
			queueingPolicy: queueingPolicy{sim: sim, queues: make([][]*task, len(sim.servers))}, startsFirst: startsFirst,
		}
	}
}

// A faulty policy, or one that improves its delays by not completing jobs, must miss targets.
func TestFaultyPolicyMissesTargets(t *testing.T) {
	toFirst := func(q *queueingPolicy, _ *task, start func(*server)) { start(q.sim.servers[0]) }
	for _, test := range []struct {
		name     string
		create   func(*simulation) policy
		measures []string
		missed   []string
	}{
		{"one backend server only", newQueueingPolicy(toFirst), Measures(), []string{
			"mean delay to ideal, less hop", "mean delay to ideal, with hop", "p99 delay to ideal, less hop",
			"mean delay to best baseline, ms", "p99 delay to best baseline, ms",
			"work answered in time", "seconds to recover", "fair share of customer quiet",
			"longest wait of long tasks, ms",
		}},
		{"late refusals", newAllocatorPolicy(allocator.DefaultOptions().WithAdmission(false)), []string{Burst}, []string{
			"work answered in time", "p99 time to refusal, ms",
		}},
		{"refuses all", newRefusingPolicy(false), []string{Response, Burst}, []string{
			"jobs without an answer", "mean delay to ideal, less hop", "p99 delay to best baseline, ms",
			"work answered in time", "work in time, to ideal recovering in 2 s", "seconds to recover",
			"fair share of customer quiet",
		}},
		{"untrue refusals", newRefusingPolicy(true), []string{Burst}, []string{"untrue refusals"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			all := []namedPolicy{
				{name: chosenPolicy, create: test.create},
				{name: "two choices", create: newQueueingPolicy(pickShorterOfTwo), baseline: true},
			}
			r := run(shortSettings(test.measures...), all)
			missed := map[string]bool{}
			for _, m := range r.Missed() {
				missed[m.Name] = true
			}
			for _, name := range test.missed {
				if !missed[name] {
					t.Errorf("target %q was not missed", name)
				}
			}
			if !strings.Contains(r.Text(), "MISSED") {
				t.Error("the text does not mark missed targets")
			}
		})
	}
}

// A simulation that loses a slot, or frees it twice, would change the capacity during the run.
func TestAllSlotsAreFreeAtEnd(t *testing.T) {
	settings := shortSettings(Faults)
	settings.Duration = 50 * time.Second
	s := sites(Atlas)[0]
	for _, wl := range append(workloads(settings, s, Faults), workloads(settings, s, Burst)[0]) {
		for _, p := range policies() {
			sim := newSimulation(s, wl.traces[0], newRand(1, p.name), p.create)
			sim.runAll()
			for _, sv := range sim.servers {
				if sv.free != s.slots || len(sv.running) != 0 {
					t.Errorf("%s, %s: %d of %d slots are free at the end", wl.name, p.name, sv.free, s.slots)
				}
			}
			for i, outcome := range sim.jobOutcomes {
				if outcome.state == open {
					t.Errorf("%s, %s: job %d was never closed", wl.name, p.name, i)
				}
			}
		}
	}
}

// The load of the generated jobs must be the one stated in the report.
func TestTraceLoadMatchesWorkload(t *testing.T) {
	settings := Settings{Seed: 3}.WithDefaults()
	s := sites(Trappelop)[0]
	for i, wl := range workloads(settings, s, Response) {
		var sum time.Duration
		for _, r := range wl.traces[0].requests {
			sum += r.work()
		}
		load := float64(sum) / float64(settings.Duration) / float64(s.totalSlots())
		if want := steadyLoads[i]; load < want*0.96 || load > want*1.04 {
			t.Errorf("%s: load %.3f", wl.name, load)
		}
	}
}

// Without validation, a misspelt measure would run nothing and report that no target was missed.
func TestRunRejectsInvalidSettings(t *testing.T) {
	for name, s := range map[string]Settings{
		"Site":        {Site: "nowhere"},
		"Measures":    {Measures: []string{"nothing"}},
		"Duration":    {Duration: time.Millisecond},
		"Repetitions": {Repetitions: -1},
		"Workers":     {Workers: -1},
	} {
		_, err := Run(s)
		var settingErr *SettingError
		if !errors.As(err, &settingErr) || settingErr.Setting != name {
			t.Errorf("%s: got %v", name, err)
		}
	}
}

// Guards against an off-by-one error in the rank, which would return the maximum as the p99.9 of a small sample
// or read beyond the end of it.
func TestPercentile(t *testing.T) {
	samples := make([]time.Duration, 1000)
	for i := range samples {
		samples[i] = time.Duration(i + 1)
	}
	for p, want := range map[float64]time.Duration{0: 1, 50: 500, 99: 990, 99.9: 999, 100: 1000} {
		if got := percentile(samples, p); got != want {
			t.Errorf("p%v is %d, want %d", p, got, want)
		}
	}
}
