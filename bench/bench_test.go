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

func small(measures ...string) Settings {
	return Settings{
		Seed: 1, Site: Trappelop, Measures: measures, Duration: 10 * time.Second, Repetitions: 1,
	}.Defaults()
}

// A report that depends on the schedule of goroutines or on the order of a map cannot be repeated by others.
func TestReportDependsOnSeedOnly(t *testing.T) {
	var all []namedPolicy
	for _, p := range policies() {
		if p.baseline || p.name == chosenPolicy { // the other variants share its code
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
	one, many, other := small(), small(), small()
	one.Workers, many.Workers, other.Seed = 1, 8, 2
	first := encode(one)
	if !bytes.Equal(first, encode(many)) {
		t.Error("the report changed with the number of workers")
	}
	if bytes.Equal(first, encode(other)) {
		t.Error("the report did not change with the seed")
	}
}

// handTrace is a case whose ideal schedule is known: two slots and three jobs. The first job holds both slots
// until 0.1 s and 0.3 s. The second waits 0.1 s for its task of 0.4 s, and the third until 0.3 s for 0.1 s.
func handTrace() (site, *trace) {
	s := site{name: "hand", oneWay: time.Millisecond, entries: 1, servers: 2, slots: 1}
	job := func(arrival time.Duration, tasks ...time.Duration) request {
		return request{
			arrival: arrival, deadline: time.Minute, customer: customerOne, route: routeShort, tasks: tasks,
		}
	}
	const ms = time.Millisecond
	return s, &trace{requests: []request{job(0, 100*ms, 300*ms), job(0, 400*ms), job(50*ms, 100*ms)}}
}

// An ideal queue with an error in its schedule would make every ratio wrong.
func TestIdealQueueByHand(t *testing.T) {
	s, tr := handTrace()
	answers := ideal(s, tr, s.totalSlots(), noWaitLimit)
	want := []time.Duration{0, 100 * time.Millisecond, 250 * time.Millisecond}
	for i, a := range answers {
		if a.state != complete || a.delay != want[i] {
			t.Errorf("job %d: %v with delay %v, want %v", i, a.state, a.delay, want[i])
		}
	}
	best := delays(t, answers)
	for _, p := range policies() {
		o := simulate(s, tr, source(1, p.name), p.create)
		if got := delays(t, o.answers); got < best {
			t.Errorf("%s: mean delay %v is less than the ideal %v", p.name, got, best)
		}
	}
}

// Without network delay, the allocator has all that the ideal queue has at loads that it admits, so that any
// difference in the mean delay is an error of the simulation or of the allocator.
func TestAllocatorIsIdealWithoutNetwork(t *testing.T) {
	settings := Settings{Seed: 1, Duration: time.Minute}.Defaults()
	s := sites(Trappelop)[0]
	s.oneWay = 0
	for _, wl := range workloads(settings, s, Response) {
		best := delays(t, ideal(s, wl.traces[0], s.totalSlots(), noWaitLimit))
		p := policies()[0]
		o := simulate(s, wl.traces[0], source(1, p.name), p.create)
		if got := delays(t, o.answers); got != best {
			t.Errorf("%s: mean delay %v, ideal %v", wl.name, got, best)
		}
	}
}

func delays(t *testing.T, answers []answer) time.Duration {
	t.Helper()
	var all []time.Duration
	for i, a := range answers {
		if a.state != complete {
			t.Fatalf("job %d: %v", i, a.state)
		}
		all = append(all, a.delay)
	}
	return mean(all)
}

// A job refused by the ideal queue must leave the slots as they were, even if it was given one slot twice.
func TestIdealQueueRefusesWithoutEffect(t *testing.T) {
	s, tr := handTrace()
	late := tr.requests[1]
	late.tasks = slices.Repeat([]time.Duration{time.Second}, 5)
	late.deadline = 2 * time.Second
	tr.requests = slices.Insert(tr.requests, 1, late)
	answers := ideal(s, tr, s.totalSlots(), noWaitLimit)
	if answers[1].state != refused || answers[2].delay != 100*time.Millisecond ||
		answers[3].delay != 250*time.Millisecond {
		t.Errorf("got %+v", answers)
	}
}

// refusing is a policy that refuses every job, if dishonest after it has sent a task to an agent.
type refusing struct {
	queueing
	dishonest bool
}

func (r *refusing) place(j *job, tasks []*work) {
	if r.dishonest {
		r.w.start(r.w.servers[0], tasks[0])
	}
	r.w.close(j, refused)
}

func newRefusing(dishonest bool) func(*world) policy {
	return func(w *world) policy {
		return &refusing{queueing: queueing{w: w, queues: make([][]*work, len(w.servers))}, dishonest: dishonest}
	}
}

// A broken policy, or one that gains by not answering, must not pass for the chosen one.
func TestBrokenPolicyMissesItsTargets(t *testing.T) {
	toFirst := func(q *queueing, _ *work, start func(*server)) { start(q.w.servers[0]) }
	for _, test := range []struct {
		name     string
		create   func(*world) policy
		measures []string
		missed   []string
	}{
		{"one backend server only", newQueueing(toFirst), Measures(), []string{
			"mean delay to ideal, less hop", "mean delay to ideal, with hop", "p99 delay to ideal, less hop",
			"mean delay to best baseline, ms", "p99 delay to best baseline, ms",
			"work answered in time", "seconds to recover", "fair share of customer quiet",
			"longest wait of long tasks, ms",
		}},
		{"late refusals", newGranted(allocator.DefaultOptions().WithAdmission(false)), []string{Crest}, []string{
			"work answered in time", "p99 time to refusal, ms",
		}},
		{"refuses all", newRefusing(false), []string{Response, Crest}, []string{
			"jobs without an answer", "mean delay to ideal, less hop", "p99 delay to best baseline, ms",
			"work answered in time", "work in time, to ideal recovering in 2 s", "seconds to recover",
			"fair share of customer quiet",
		}},
		{"untrue refusals", newRefusing(true), []string{Crest}, []string{"untrue refusals"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			all := []namedPolicy{
				{name: chosenPolicy, create: test.create},
				{name: "two choices", create: newQueueing(pickShorter), baseline: true},
			}
			r := run(small(test.measures...), all)
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

// A slot that a fake loses, or frees twice, would change the capacity during the run.
func TestSlotsAreConserved(t *testing.T) {
	settings := small(Faults)
	settings.Duration = 50 * time.Second
	s := sites(Atlas)[0]
	for _, wl := range append(workloads(settings, s, Faults), workloads(settings, s, Crest)[0]) {
		for _, p := range policies() {
			w := newWorld(s, wl.traces[0], source(1, p.name), p.create)
			w.runAll()
			for _, sv := range w.servers {
				if sv.free != s.slots || len(sv.running) != 0 {
					t.Errorf("%s, %s: %d of %d slots free at the end", wl.name, p.name, sv.free, s.slots)
				}
			}
			for i, a := range w.answers {
				if a.state == open {
					t.Errorf("%s, %s: job %d has no answer", wl.name, p.name, i)
				}
			}
		}
	}
}

// A generator with another mean than the load asks for would measure another load than the report says.
func TestTraceHasTheStatedLoad(t *testing.T) {
	settings := Settings{Seed: 3}.Defaults()
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

// A misspelt name must not run an empty measure and report that no target was missed.
func TestInvalidSettingsAreRefused(t *testing.T) {
	for name, s := range map[string]Settings{
		"Site":        {Site: "nowhere"},
		"Measures":    {Measures: []string{"nothing"}},
		"Duration":    {Duration: time.Millisecond},
		"Repetitions": {Repetitions: -1},
		"Workers":     {Workers: -1},
	} {
		_, err := Run(s)
		var wrong *SettingError
		if !errors.As(err, &wrong) || wrong.Setting != name {
			t.Errorf("%s: got %v", name, err)
		}
	}
}

// An off-by-one in the rank would report the p99.9 of small samples as their maximum, or beyond it.
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
