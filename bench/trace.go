package bench

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// request is a job of the trace, as submitted to the entry that owns it.
type request struct {
	arrival   time.Duration
	deadline  time.Duration // after arrival
	cancelAt  time.Duration // time since the start of the trace; 0 means never
	customer  string
	route     string
	owner     int  // index of the entry
	emptyPool bool // its pool has no backend servers
	straggler bool // a straggler on the short route; excluded from the waits of short tasks
	tasks     []time.Duration
}

// Classes of jobs in reports.
const (
	classAll   = "all"
	classShort = "short" // every task is shorter than longTaskThreshold
	classLong  = "long"
)

// longTaskThreshold is the run time from which a task counts as long.
const longTaskThreshold = 2 * time.Second

func (r *request) longest() time.Duration { return slices.Max(r.tasks) }

func (r *request) class() string {
	if r.longest() >= longTaskThreshold {
		return classLong
	}
	return classShort
}

// work returns the sum of the run times of the tasks.
func (r *request) work() time.Duration {
	var sum time.Duration
	for _, t := range r.tasks {
		sum += t
	}
	return sum
}

// trace is the input of a simulation. It is the same for every policy.
type trace struct {
	requests  []request
	faults    faultSchedule
	keepWaits bool // keep the wait of each task, for the blocking measure
}

// faultSchedule holds the times of the faults of a trace. Zero means that the fault does not occur.
type faultSchedule struct {
	failingFrom, failingTo time.Duration // backend server 0 fails the tasks that it starts in this period
	allocatorFailsAt       time.Duration
}

func (f faultSchedule) failing(server int, now time.Duration) bool {
	return server == 0 && now >= f.failingFrom && now < f.failingTo
}

// runTimes is a probability distribution of run times.
type runTimes struct {
	draw func(*rand.Rand) time.Duration
	mean time.Duration
}

// uniform returns the uniform distribution between two run times.
func uniform(low, high time.Duration) runTimes {
	return runTimes{
		draw: func(r *rand.Rand) time.Duration { return low + time.Duration(r.Int64N(int64(high-low)+1)) },
		mean: (low + high) / 2,
	}
}

// logUniform returns the log-uniform distribution between two run times: from 50 ms to 1 s, for instance,
// 50 to 100 ms is as likely as 500 ms to 1 s.
func logUniform(low, high time.Duration) runTimes {
	span := math.Log(float64(high) / float64(low))
	return runTimes{
		draw: func(r *rand.Rand) time.Duration {
			return time.Duration(float64(low) * math.Exp(r.Float64()*span))
		},
		mean: time.Duration(float64(high-low) / span),
	}
}

// mix returns a distribution that draws from rare with the given probability and otherwise from common.
func mix(common, rare runTimes, probability float64) runTimes {
	return runTimes{
		draw: func(r *rand.Rand) time.Duration {
			if r.Float64() < probability {
				return rare.draw(r)
			}
			return common.draw(r)
		},
		mean: time.Duration(float64(common.mean)*(1-probability) + float64(rare.mean)*probability),
	}
}

// withStragglers multiplies run times by the factor with the given probability.
func withStragglers(t runTimes, probability, factor float64) runTimes {
	slow := runTimes{
		draw: func(r *rand.Rand) time.Duration { return time.Duration(float64(t.draw(r)) * factor) },
		mean: time.Duration(float64(t.mean) * factor),
	}
	return mix(t, slow, probability)
}

// Run times of the traces (docs/design.md, section 1).
const (
	longShare        = 0.03
	stragglerShare   = 0.001
	stragglerFactor  = 10
	maxTasksPerJob   = 20
	steadyDeadline   = 5 * time.Minute // long enough for every job of a steady load to complete
	shortMin         = 50 * time.Millisecond
	shortMax         = time.Second
	longMin, longMax = 2 * time.Second, 8 * time.Second
)

func shortTasks() runTimes { return logUniform(shortMin, shortMax) }
func longTasks() runTimes  { return uniform(longMin, longMax) }

// mixedTasks returns the run times of a route with mostly short tasks, some long tasks and rare stragglers.
func mixedTasks() runTimes {
	return withStragglers(mix(shortTasks(), longTasks(), longShare), stragglerShare, stragglerFactor)
}

// stream describes jobs of one kind that arrive in a Poisson process.
type stream struct {
	customer  string
	route     string
	runTimes  runTimes
	maxTasks  int
	deadline  time.Duration
	emptyPool bool
	straggler bool
	load      float64 // mean number of busy slots, as a share of all slots of the site
	from, to  time.Duration
}

// generate generates the jobs of all streams in order of their arrival.
func generate(s site, random *rand.Rand, streams ...stream) []request {
	var all []request
	for _, st := range streams {
		all = append(all, st.generate(s, random)...)
	}
	slices.SortStableFunc(all, func(a, b request) int { return cmp.Compare(a.arrival, b.arrival) })
	return all
}

func (st stream) generate(s site, random *rand.Rand) []request {
	meanTasks := float64(1+st.maxTasks) / 2
	interval := meanTasks * float64(st.runTimes.mean) / (st.load * float64(s.totalSlots()))
	var requests []request
	for at := st.from; ; {
		at += time.Duration(random.ExpFloat64() * interval)
		if at >= st.to {
			return requests
		}
		r := request{
			arrival: at, deadline: st.deadline, customer: st.customer, route: st.route,
			owner: random.IntN(s.entries), emptyPool: st.emptyPool, straggler: st.straggler,
			tasks: make([]time.Duration, 1+random.IntN(st.maxTasks)),
		}
		for i := range r.tasks {
			r.tasks[i] = st.runTimes.draw(random)
		}
		requests = append(requests, r)
	}
}
