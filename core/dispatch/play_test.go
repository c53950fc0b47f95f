package dispatch_test

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/dispatch"
	"dogwoodglade/core/resource"
	"dogwoodglade/core/supervise"
	"dogwoodglade/internal/timeline"
)

// jobKind describes jobs of one kind in a simulated load.
type jobKind struct {
	name        string
	rate        float64 // jobs a second
	meanTasks   float64 // mean number of tasks
	meanRunTime float64 // mean run time of a task in seconds
	cores       float64
	value       float64 // value to the caller of an average job that is in time, in a unit common to all kinds
	attempts    int
	priority    int
	pool        string // "pool" if empty
}

// raceTimingJobs are the kinds of jobs of a deployment that times races: split times, verifications and updates of
// scoreboards.
var raceTimingJobs = []jobKind{
	{name: "split", rate: 34.4, meanTasks: 8, meanRunTime: 0.051, cores: 3.1, value: 0.0291, attempts: 4},
	{name: "verify", rate: 6.25, meanTasks: 4, meanRunTime: 0.76, cores: 3.1, value: 0.16, attempts: 2, priority: 2},
	{name: "board", rate: 100, meanTasks: 2, meanRunTime: 0.17, cores: 3.1, value: 0.01, attempts: 2, priority: 1},
}

const (
	jobStretch = 1.6
	jobTarget  = 60 * time.Millisecond
	// Some tasks, the stragglers, take several times as long as the others.
	stragglerShare  = 0.03
	stragglerFactor = 7
	// messageDelay is the time from a start request to the start of the run, and from the end of the run to the report.
	messageDelay = 1500 * time.Microsecond
)

// simulation runs a load on one dispatcher in simulated time. The backend servers behave like real ones: each has
// its own speed, some runs are stragglers, and none may exceed its capacity.
type simulation struct {
	random        *rand.Rand
	now           time.Time
	events        timeline.EventQueue
	d             *dispatch.Dispatcher
	servers       map[string]*simServer
	jobs          map[batch.JobID]*simJob
	kinds         []jobKind
	load          func(t float64) float64 // factor on the rates, by the seconds since the start
	sequence      int
	busy          float64 // core-seconds of runs
	overcommitted int     // start requests beyond the capacity of a backend server

	results map[string]*callerResults
}

type simServer struct {
	runTimeFactor float64 // factor on run times
	failureShare  float64 // share of its runs that fail
	pool          string
	capacity      resource.Amount
	used          resource.Amount
	gone          bool
	hanging       bool // its runs make no progress
	runs          map[supervise.RunID]*simRun
}

type simRun struct {
	started time.Time
	runTime time.Duration
	hungAt  time.Time // when it stopped making progress
}

func (r *simRun) percent(now time.Time) int {
	if !r.hungAt.IsZero() {
		now = r.hungAt
	}
	return int(min(100*now.Sub(r.started)/max(r.runTime, 1), 99))
}

type simJob struct {
	kind        jobKind
	submittedAt time.Time
	runTimes    []float64 // of its tasks, in seconds
	demand      resource.Amount
	longestTask float64
	value       float64
	answered    bool
	inTime      bool
	took        time.Duration // from the submission to the answer
}

// callerResults counts the outcomes that the callers of one kind of job got, and the value of their jobs. A late answer
// has a fifth of the value.
type callerResults struct {
	submitted, inTime, late, refused, failed, tooLate int
	offeredValue, earnedValue                         float64
	refusalTimes                                      []time.Duration
}

func newSimulation(seed uint64, servers int, cores float64, kinds []jobKind, load func(t float64) float64) *simulation {
	sim := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), d: dispatch.New(),
		servers: map[string]*simServer{}, jobs: map[batch.JobID]*simJob{}, kinds: kinds, load: load,
		results: map[string]*callerResults{},
	}
	for i := range servers {
		name := fmt.Sprintf("agent-%02d", i)
		runTimeFactor := []float64{0.8, 1, 1.25}[i%3]
		sim.servers[name] = &simServer{
			runTimeFactor: runTimeFactor, capacity: resource.Amount{Processor: int(cores * 1000), Memory: 65536},
			runs: map[supervise.RunID]*simRun{},
		}
		sim.perform(sim.d.Connect(sim.now, name))
		sim.report(name, nil)
	}
	for _, k := range kinds {
		sim.results[k.name] = &callerResults{}
	}
	return sim
}

func (sim *simulation) schedule(t time.Time, do func()) { sim.events.Schedule(t, do) }

func (sim *simulation) report(agent string, ended []supervise.RunEnd) {
	s := sim.servers[agent]
	var progress []supervise.Progress
	if ended == nil {
		ids := slices.SortedFunc(maps.Keys(s.runs), func(a, b supervise.RunID) int { return a.Task.Compare(b.Task) })
		for _, id := range ids {
			if r := s.runs[id]; sim.now.Sub(r.started) > 80*time.Millisecond {
				progress = append(progress, supervise.Progress{RunID: id, Percent: r.percent(sim.now), Age: sim.now.Sub(r.started)})
			}
		}
	}
	sim.perform(sim.d.HandleReport(sim.now, agent, supervise.Report{
		Offered: !s.gone, Ended: ended, Progress: progress,
		Server: supervise.Server{ID: agent, Pool: cmp.Or(s.pool, "pool"), Incarnation: 1, Capacity: s.capacity},
	}))
}

// run applies the load for the given number of seconds, then lets the simulation continue for 30 s.
func (sim *simulation) run(seconds float64) {
	end := sim.now.Add(time.Duration(seconds * float64(time.Second)))
	startedAt := sim.now
	for _, k := range sim.kinds {
		sim.scheduleArrivals(k, startedAt, end)
	}
	ticks := 0
	var tick func()
	tick = func() {
		sim.perform(sim.d.Tick(sim.now))
		if ticks++; ticks%3 == 0 {
			for _, agent := range slices.Sorted(maps.Keys(sim.servers)) {
				sim.report(agent, nil)
			}
		}
		if sim.now.Before(end.Add(30 * time.Second)) {
			sim.schedule(sim.now.Add(50*time.Millisecond), tick)
		}
	}
	sim.schedule(sim.now, tick)
	for {
		at, do, ok := sim.events.Pop()
		if !ok {
			return
		}
		sim.now = at
		do()
	}
}

func (sim *simulation) scheduleArrivals(k jobKind, startedAt, end time.Time) {
	rate := k.rate * sim.load(sim.now.Sub(startedAt).Seconds())
	next := sim.now.Add(time.Duration(sim.random.ExpFloat64() / rate * float64(time.Second)))
	if next.After(end) {
		return
	}
	at := sim.now
	sim.now = next
	sim.schedule(next, func() {
		sim.submit(k)
		sim.scheduleArrivals(k, startedAt, end)
	})
	sim.now = at
}

// logNormal draws a log-normally distributed value with mean 1.
func (sim *simulation) logNormal(sigma float64) float64 {
	return math.Exp(sigma*sim.random.NormFloat64() - sigma*sigma/2)
}

func (sim *simulation) submit(k jobKind) {
	sim.sequence++
	id := batch.JobID(fmt.Sprintf("%016x", sim.sequence))
	width := max(1, int(math.Round(k.meanTasks*sim.logNormal(0.4))))
	base := k.meanRunTime / (1 + stragglerShare*(stragglerFactor-1)) * sim.logNormal(0.4)
	j := &simJob{kind: k, submittedAt: sim.now}
	j.demand = resource.Amount{Processor: int(k.cores * 1000 * sim.logNormal(0.2)), Memory: 64}
	total := 0.0
	for range width {
		d := base * sim.logNormal(0.15)
		if sim.random.Float64() < stragglerShare {
			d *= stragglerFactor
		}
		j.runTimes = append(j.runTimes, d)
		j.longestTask = max(j.longestTask, d)
		total += d
	}
	j.value = k.value * min(0.3+0.7*total/(k.meanTasks*k.meanRunTime), 4)
	sim.jobs[id] = j
	results := sim.results[k.name]
	results.submitted++
	results.offeredValue += j.value
	estimate := time.Duration(base * sim.logNormal(0.4) * float64(time.Second))
	sim.perform(sim.d.Submit(sim.now, batch.Job{
		ID: id, Route: k.name, Pool: cmp.Or(k.pool, "pool"), Attempts: k.attempts, Priority: k.priority,
		Stretch: jobStretch, Target: jobTarget,
		Steps: []batch.Step{{Count: width, Demand: j.demand, Estimate: estimate}},
	}))
}

func (sim *simulation) perform(actions []dispatch.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case *dispatch.StartRuns:
			for _, s := range a.Starts {
				sim.startRun(a.Agent, s)
			}
		case *dispatch.StopRuns:
			for _, id := range a.Runs {
				sim.schedule(sim.now.Add(2*messageDelay), func() { sim.endRun(a.Agent, id, supervise.Stopped) })
			}
		case dispatch.Answer:
			sim.answer(a)
		}
	}
}

func (sim *simulation) startRun(agent string, s supervise.Start) {
	server := sim.servers[agent]
	j := sim.jobs[s.Task.Job]
	server.used = server.used.Plus(s.Demand)
	if !server.used.Fits(server.capacity) {
		sim.overcommitted++
	}
	runTime := time.Duration(j.runTimes[s.Task.Index] * server.runTimeFactor * float64(time.Second))
	end := supervise.Done
	sim.busy += runTime.Seconds() * float64(s.Demand.Processor) / 1000
	if server.failureShare > 0 && sim.random.Float64() < server.failureShare {
		runTime, end = runTime/10, supervise.Failed
	}
	r := &simRun{started: sim.now.Add(messageDelay), runTime: runTime}
	if server.hanging {
		r.hungAt = r.started
	}
	server.runs[s.RunID] = r
	sim.schedule(sim.now.Add(2*messageDelay+runTime), func() {
		if server.hanging {
			return
		}
		sim.endRun(agent, s.RunID, end)
	})
}

// endRun ends a run, if it still exists, and reports its end.
func (sim *simulation) endRun(agent string, id supervise.RunID, end supervise.End) {
	server := sim.servers[agent]
	r, ok := server.runs[id]
	if !ok {
		return
	}
	delete(server.runs, id)
	server.used = server.used.Minus(sim.jobs[id.Task.Job].demand)
	sim.report(agent, []supervise.RunEnd{{RunID: id, End: end, RunTime: r.runTime}})
}

// hangServer stops the progress of all current and later runs on a backend server.
func (sim *simulation) hangServer(agent string) {
	s := sim.servers[agent]
	s.hanging = true
	for _, r := range s.runs {
		r.hungAt = sim.now
	}
}

// resumeServer ends the hanging of a backend server. Its runs continue where they stopped.
func (sim *simulation) resumeServer(agent string) {
	s := sim.servers[agent]
	s.hanging = false
	for id, r := range s.runs {
		if r.hungAt.IsZero() {
			continue
		}
		remaining := r.runTime - r.hungAt.Sub(r.started)
		r.started = r.started.Add(sim.now.Sub(r.hungAt))
		r.hungAt = time.Time{}
		sim.schedule(sim.now.Add(max(remaining, 0)+messageDelay), func() { sim.endRun(agent, id, supervise.Done) })
	}
}

// answeredAfter returns the time from the submission of a job to its answer, or to the end of the simulation.
func (sim *simulation) answeredAfter(j *simJob) time.Duration {
	if !j.answered {
		return sim.now.Sub(j.submittedAt)
	}
	return j.took
}

func (sim *simulation) answer(a dispatch.Answer) {
	j := sim.jobs[a.Job]
	j.took = a.Elapsed
	results := sim.results[j.kind.name]
	target := time.Duration(jobStretch*j.longestTask*float64(time.Second)) + jobTarget
	j.answered = true
	switch a.Outcome.(type) {
	case batch.Completed:
		switch {
		case a.Elapsed <= target:
			results.inTime++
			j.inTime = true
			results.earnedValue += j.value
		case a.Elapsed <= 3*target:
			results.late++
			results.earnedValue += j.value / 5
		default:
			results.tooLate++
		}
	case batch.NotRun:
		results.refused++
		results.refusalTimes = append(results.refusalTimes, a.Elapsed)
	default:
		results.failed++
	}
}

// valueShare returns the share of the offered value that callers got, for one kind of job or for all.
func (sim *simulation) valueShare(name string) float64 {
	var offered, earned float64
	for k, results := range sim.results {
		if name == "" || k == name {
			offered += results.offeredValue
			earned += results.earnedValue
		}
	}
	return earned / offered
}
