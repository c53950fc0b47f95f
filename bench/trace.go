package bench

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// request is a job of the trace, as the entry that owns it receives it.
type request struct {
	arrival  time.Duration
	deadline time.Duration // after arrival
	cancelAt time.Duration // 0: never
	customer string
	route    string
	owner    int  // index of the entry
	never    bool // its pool has no backend server
	stray    bool // a straggler, not part of the measured work
	tasks    []time.Duration
}

// Classes of jobs in reports.
const (
	classAll   = "all"
	classShort = "short" // no task of longTask or more
	classLong  = "long"
)

// longTask separates jobs with long tasks from jobs without.
const longTask = 2 * time.Second

func (r *request) longest() time.Duration { return slices.Max(r.tasks) }

func (r *request) class() string {
	if r.longest() >= longTask {
		return classLong
	}
	return classShort
}

// work returns the slot time that the job needs.
func (r *request) work() time.Duration {
	var sum time.Duration
	for _, t := range r.tasks {
		sum += t
	}
	return sum
}

// trace is what happens in one simulation, for every policy alike.
type trace struct {
	requests  []request
	fault     fault
	keepWaits bool // for the blocking measure, which needs the wait of each task
}

// fault is what goes wrong at the processes during the trace. Zero times mean never.
type fault struct {
	failingFrom, failingTo time.Duration // backend server 0 fails what it starts in this time
	allocatorLostAt        time.Duration
}

func (f fault) failing(server int, now time.Duration) bool {
	return server == 0 && now >= f.failingFrom && now < f.failingTo
}

// runTimes is a distribution of run times with its mean.
type runTimes struct {
	draw func(*rand.Rand) time.Duration
	mean time.Duration
}

// uniform is uniform between two run times.
func uniform(low, high time.Duration) runTimes {
	return runTimes{
		draw: func(r *rand.Rand) time.Duration { return low + time.Duration(r.Int64N(int64(high-low)+1)) },
		mean: (low + high) / 2,
	}
}

// logUniform has as many run times between 50 and 100 ms as between 500 ms and 1 s.
func logUniform(low, high time.Duration) runTimes {
	span := math.Log(float64(high) / float64(low))
	return runTimes{
		draw: func(r *rand.Rand) time.Duration {
			return time.Duration(float64(low) * math.Exp(r.Float64()*span))
		},
		mean: time.Duration(float64(high-low) / span),
	}
}

// mix draws from rare with the given probability, otherwise from common.
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

// withStragglers makes run times longer by the factor with the given probability.
func withStragglers(t runTimes, probability, factor float64) runTimes {
	slow := runTimes{
		draw: func(r *rand.Rand) time.Duration { return time.Duration(float64(t.draw(r)) * factor) },
		mean: time.Duration(float64(t.mean) * factor),
	}
	return mix(t, slow, probability)
}

// Run times of section 1.
const (
	longShare        = 0.03
	stragglerShare   = 0.001
	stragglerFactor  = 10
	maxTasksPerJob   = 20
	steadyDeadline   = 5 * time.Minute // long enough that every job of a steady load is answered
	shortMin         = 50 * time.Millisecond
	shortMax         = time.Second
	longMin, longMax = 2 * time.Second, 8 * time.Second
)

func shortTasks() runTimes { return logUniform(shortMin, shortMax) }
func longTasks() runTimes  { return uniform(longMin, longMax) }

// mixedTasks are the tasks of one route that has mostly short tasks.
func mixedTasks() runTimes {
	return withStragglers(mix(shortTasks(), longTasks(), longShare), stragglerShare, stragglerFactor)
}

// stream is a Poisson process of jobs of one kind.
type stream struct {
	customer string
	route    string
	times    runTimes
	maxTasks int
	deadline time.Duration
	never    bool
	stray    bool
	load     float64 // share of the site's slots
	from, to time.Duration
}

// generate draws the jobs of all streams and merges them by arrival.
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
	interval := meanTasks * float64(st.times.mean) / (st.load * float64(s.totalSlots()))
	var requests []request
	for at := st.from; ; {
		at += time.Duration(random.ExpFloat64() * interval)
		if at >= st.to {
			return requests
		}
		r := request{
			arrival: at, deadline: st.deadline, customer: st.customer, route: st.route,
			owner: random.IntN(s.entries), never: st.never, stray: st.stray,
			tasks: make([]time.Duration, 1+random.IntN(st.maxTasks)),
		}
		for i := range r.tasks {
			r.tasks[i] = st.times.draw(random)
		}
		requests = append(requests, r)
	}
}
