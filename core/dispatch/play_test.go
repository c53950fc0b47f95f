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
	value       float64
	attempts    int
	priority    int
	pool        string // "pool" if empty
}

// raceTimingJobs are the kinds of jobs of a deployment that times races: split times, verifications and updates of
// score boards.
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
	messageDelay    = 1500 * time.Microsecond // delay from a start request to the start of the run, and from its end to the report
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
}

// callerResults counts what the callers of one kind of job got.
type callerResults struct {
	submitted, inTime, late, refused, failed, tooLate int
	offeredValue, earnedValue                         float64
	refusalTimes                                      []time.Duration
}

func newSimulation(seed uint64, servers int, cores float64, kinds []jobKind, load func(t float64) float64) *simulation {
	p := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), d: dispatch.New(),
		servers: map[string]*simServer{}, jobs: map[batch.JobID]*simJob{}, kinds: kinds, load: load,
		results: map[string]*callerResults{},
	}
	for i := range servers {
		name := fmt.Sprintf("agent-%02d", i)
		speed := []float64{0.8, 1, 1.25}[i%3]
		p.servers[name] = &simServer{
			runTimeFactor: speed, capacity: resource.Amount{Processor: int(cores * 1000), Memory: 65536},
			runs: map[supervise.RunID]*simRun{},
		}
		p.perform(p.d.Connect(p.now, name))
		p.report(name, nil)
	}
	for _, k := range kinds {
		p.results[k.name] = &callerResults{}
	}
	return p
}

func (p *simulation) schedule(t time.Time, do func()) { p.events.Schedule(t, do) }

func (p *simulation) report(agent string, ended []supervise.RunEnd) {
	s := p.servers[agent]
	var progress []supervise.Progress
	if ended == nil {
		ids := slices.SortedFunc(maps.Keys(s.runs), func(a, b supervise.RunID) int { return a.Task.Compare(b.Task) })
		for _, id := range ids {
			if r := s.runs[id]; p.now.Sub(r.started) > 80*time.Millisecond {
				progress = append(progress, supervise.Progress{RunID: id, Percent: r.percent(p.now), Age: p.now.Sub(r.started)})
			}
		}
	}
	p.perform(p.d.Report(p.now, agent, supervise.Report{
		Offered: !s.gone, Ended: ended, Progress: progress,
		Server: supervise.Server{ID: agent, Pool: cmp.Or(s.pool, "pool"), Incarnation: 1, Capacity: s.capacity},
	}))
}

// run applies the load for some seconds and waits for all answers.
func (p *simulation) run(seconds float64) {
	end := p.now.Add(time.Duration(seconds * float64(time.Second)))
	begun := p.now
	for _, k := range p.kinds {
		p.scheduleArrivals(k, begun, end)
	}
	ticks := 0
	var tick func()
	tick = func() {
		p.perform(p.d.Tick(p.now))
		if ticks++; ticks%3 == 0 {
			for _, agent := range slices.Sorted(maps.Keys(p.servers)) {
				p.report(agent, nil)
			}
		}
		if p.now.Before(end.Add(30 * time.Second)) {
			p.schedule(p.now.Add(50*time.Millisecond), tick)
		}
	}
	p.schedule(p.now, tick)
	for {
		at, do, ok := p.events.Pop()
		if !ok {
			return
		}
		p.now = at
		do()
	}
}

func (p *simulation) scheduleArrivals(k jobKind, begun, end time.Time) {
	rate := k.rate * p.load(p.now.Sub(begun).Seconds())
	next := p.now.Add(time.Duration(p.random.ExpFloat64() / rate * float64(time.Second)))
	if next.After(end) {
		return
	}
	at := p.now
	p.now = next
	p.schedule(next, func() {
		p.submit(k)
		p.scheduleArrivals(k, begun, end)
	})
	p.now = at
}

// logNormal draws a log-normally distributed value with mean 1.
func (p *simulation) logNormal(sigma float64) float64 {
	return math.Exp(sigma*p.random.NormFloat64() - sigma*sigma/2)
}

func (p *simulation) submit(k jobKind) {
	p.sequence++
	id := batch.JobID(fmt.Sprintf("%016x", p.sequence))
	width := max(1, int(math.Round(k.meanTasks*p.logNormal(0.4))))
	base := k.meanRunTime / (1 + stragglerShare*(stragglerFactor-1)) * p.logNormal(0.4)
	j := &simJob{kind: k, submittedAt: p.now}
	j.demand = resource.Amount{Processor: int(k.cores * 1000 * p.logNormal(0.2)), Memory: 64}
	total := 0.0
	for range width {
		d := base * p.logNormal(0.15)
		if p.random.Float64() < stragglerShare {
			d *= stragglerFactor
		}
		j.runTimes = append(j.runTimes, d)
		j.longestTask = max(j.longestTask, d)
		total += d
	}
	j.value = k.value * min(0.3+0.7*total/(k.meanTasks*k.meanRunTime), 4)
	p.jobs[id] = j
	t := p.results[k.name]
	t.submitted++
	t.offeredValue += j.value
	estimate := time.Duration(base * p.logNormal(0.4) * float64(time.Second))
	p.perform(p.d.Submit(p.now, batch.Job{
		ID: id, Route: k.name, Pool: cmp.Or(k.pool, "pool"), Attempts: k.attempts, Priority: k.priority, Stretch: jobStretch, Target: jobTarget,
		Steps: []batch.Step{{Count: width, Demand: j.demand, Estimate: estimate}},
	}))
}

func (p *simulation) perform(actions []dispatch.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case *dispatch.StartRuns:
			for _, s := range a.Starts {
				p.startRun(a.Agent, s)
			}
		case *dispatch.StopRuns:
			for _, id := range a.Runs {
				p.schedule(p.now.Add(2*messageDelay), func() { p.endRun(a.Agent, id, supervise.Stopped) })
			}
		case dispatch.Answer:
			p.answer(a)
		}
	}
}

func (p *simulation) startRun(agent string, s supervise.Start) {
	server := p.servers[agent]
	j := p.jobs[s.Task.Job]
	server.used = server.used.Plus(s.Demand)
	if !server.used.Fits(server.capacity) {
		p.overcommitted++
	}
	runTime := time.Duration(j.runTimes[s.Task.Index] * server.runTimeFactor * float64(time.Second))
	end := supervise.Done
	p.busy += runTime.Seconds() * float64(s.Demand.Processor) / 1000
	if server.failureShare > 0 && p.random.Float64() < server.failureShare {
		runTime, end = runTime/10, supervise.Failed
	}
	r := &simRun{started: p.now.Add(messageDelay), runTime: runTime}
	if server.hanging {
		r.hungAt = r.started
	}
	server.runs[s.RunID] = r
	p.schedule(p.now.Add(2*messageDelay+runTime), func() {
		if server.hanging {
			return
		}
		p.endRun(agent, s.RunID, end)
	})
}

// endRun ends a run, if it still exists, and reports its end.
func (p *simulation) endRun(agent string, id supervise.RunID, how supervise.End) {
	server := p.servers[agent]
	r, ok := server.runs[id]
	if !ok {
		return
	}
	delete(server.runs, id)
	server.used = server.used.Minus(p.jobs[id.Task.Job].demand)
	p.report(agent, []supervise.RunEnd{{RunID: id, End: how, RunTime: r.runTime}})
}

// hangServer stops the progress of all current and later runs on a backend server.
func (p *simulation) hangServer(agent string) {
	s := p.servers[agent]
	s.hanging = true
	for _, r := range s.runs {
		r.hungAt = p.now
	}
}

func (p *simulation) answer(a dispatch.Answer) {
	j := p.jobs[a.Job]
	t := p.results[j.kind.name]
	target := time.Duration(jobStretch*j.longestTask*float64(time.Second)) + jobTarget
	j.answered = true
	switch a.Outcome.(type) {
	case batch.Completed:
		switch {
		case a.Elapsed <= target:
			t.inTime++
			j.inTime = true
			t.earnedValue += j.value
		case a.Elapsed <= 3*target:
			t.late++
			t.earnedValue += j.value / 5
		default:
			t.tooLate++
		}
	case batch.NotRun:
		t.refused++
		t.refusalTimes = append(t.refusalTimes, a.Elapsed)
	default:
		t.failed++
	}
}

// valueShare returns the share of the offered value that callers got, for one kind of job or for all.
func (p *simulation) valueShare(name string) float64 {
	var owed, earned float64
	for k, t := range p.results {
		if name == "" || k == name {
			owed += t.offeredValue
			earned += t.earnedValue
		}
	}
	return earned / owed
}
