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

// kind is a kind of job of a played load.
type kind struct {
	name     string
	rate     float64 // jobs a second
	width    float64 // mean number of tasks
	work     float64 // mean run time of a task in seconds
	cores    float64
	worth    float64
	attempts int
	priority int
	pool     string // "" is "pool"
}

// raceKinds are the kinds of a deployment that times races: splits, verifications and updates of screens.
var raceKinds = []kind{
	{name: "split", rate: 34.4, width: 8, work: 0.051, cores: 3.1, worth: 0.0291, attempts: 4},
	{name: "verify", rate: 6.25, width: 4, work: 0.76, cores: 3.1, worth: 0.16, attempts: 2, priority: 2},
	{name: "board", rate: 100, width: 2, work: 0.17, cores: 3.1, worth: 0.01, attempts: 2, priority: 1},
}

const (
	playStretch = 1.6
	playTarget  = 60 * time.Millisecond
	// A few tasks take several times as long as the others.
	tailShare  = 0.03
	tailFactor = 7
	messages   = 1500 * time.Microsecond // from an order to the start of its run, and from its end to its report
)

// play is a load on one dispatcher, in simulated time. The backend servers run tasks as real ones do: at their
// own speed, with stragglers, and nothing beyond their capacity.
type play struct {
	random   *rand.Rand
	now      time.Time
	events   timeline.Timeline
	d        *dispatch.Dispatcher
	servers  map[string]*playServer
	jobs     map[batch.JobID]*playJob
	kinds    []kind
	load     func(t float64) float64 // factor on the rates at a second
	sequence int
	busy     float64 // core-seconds of runs
	overfull int     // orders beyond the capacity of a backend server

	results map[string]*tally
}

type playServer struct {
	speed    float64 // factor on run times
	fails    float64 // share of the runs
	pool     string
	capacity resource.Amount
	used     resource.Amount
	gone     bool
	hangs    bool // nothing that runs gets on
	runs     map[supervise.RunID]*playRun
}

type playRun struct {
	started time.Time
	runTime time.Duration
	hung    time.Time // when it stopped getting on
}

func (r *playRun) percent(now time.Time) int {
	if !r.hung.IsZero() {
		now = r.hung
	}
	return int(min(100*now.Sub(r.started)/max(r.runTime, 1), 99))
}

type playJob struct {
	kind     kind
	arrived  time.Time
	durs     []float64 // of its tasks, in seconds
	demand   resource.Amount
	chain    float64
	value    float64
	answered bool
	inTime   bool
}

// tally is what the callers of one kind of job got.
type tally struct {
	asked, inTime, late, refused, failed, useless int
	owed, earned                                  float64
	refusalWait                                   []time.Duration
}

func newPlay(seed uint64, servers int, cores float64, kinds []kind, load func(t float64) float64) *play {
	p := &play{
		random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), d: dispatch.New(),
		servers: map[string]*playServer{}, jobs: map[batch.JobID]*playJob{}, kinds: kinds, load: load,
		results: map[string]*tally{},
	}
	for i := range servers {
		name := fmt.Sprintf("agent-%02d", i)
		speed := []float64{0.8, 1, 1.25}[i%3]
		p.servers[name] = &playServer{
			speed: speed, capacity: resource.Amount{Processor: int(cores * 1000), Memory: 65536},
			runs: map[supervise.RunID]*playRun{},
		}
		p.perform(p.d.Connect(p.now, name))
		p.report(name, nil)
	}
	for _, k := range kinds {
		p.results[k.name] = &tally{}
	}
	return p
}

func (p *play) at(t time.Time, do func()) { p.events.At(t, do) }

func (p *play) report(agent string, ended []supervise.Ended) {
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
		Server: supervise.Server{ID: agent, Pool: cmp.Or(s.pool, "pool"), Born: 1, Capacity: s.capacity},
	}))
}

// run plays the load for some seconds and waits for all answers.
func (p *play) run(seconds float64) {
	end := p.now.Add(time.Duration(seconds * float64(time.Second)))
	begun := p.now
	for _, k := range p.kinds {
		p.arrive(k, begun, end)
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
			p.at(p.now.Add(50*time.Millisecond), tick)
		}
	}
	p.at(p.now, tick)
	for {
		at, do, ok := p.events.Next()
		if !ok {
			return
		}
		p.now = at
		do()
	}
}

func (p *play) arrive(k kind, begun, end time.Time) {
	rate := k.rate * p.load(p.now.Sub(begun).Seconds())
	next := p.now.Add(time.Duration(p.random.ExpFloat64() / rate * float64(time.Second)))
	if next.After(end) {
		return
	}
	at := p.now
	p.now = next
	p.at(next, func() {
		p.submit(k)
		p.arrive(k, begun, end)
	})
	p.now = at
}

// spread draws a value around 1.
func (p *play) spread(sigma float64) float64 {
	return math.Exp(sigma*p.random.NormFloat64() - sigma*sigma/2)
}

func (p *play) submit(k kind) {
	p.sequence++
	id := batch.JobID(fmt.Sprintf("%016x", p.sequence))
	width := max(1, int(math.Round(k.width*p.spread(0.4))))
	base := k.work / (1 + tailShare*(tailFactor-1)) * p.spread(0.4)
	j := &playJob{kind: k, arrived: p.now}
	j.demand = resource.Amount{Processor: int(k.cores * 1000 * p.spread(0.2)), Memory: 64}
	total := 0.0
	for range width {
		d := base * p.spread(0.15)
		if p.random.Float64() < tailShare {
			d *= tailFactor
		}
		j.durs = append(j.durs, d)
		j.chain = max(j.chain, d)
		total += d
	}
	j.value = k.worth * min(0.3+0.7*total/(k.width*k.work), 4)
	p.jobs[id] = j
	t := p.results[k.name]
	t.asked++
	t.owed += j.value
	estimate := time.Duration(base * p.spread(0.4) * float64(time.Second))
	p.perform(p.d.Submit(p.now, batch.Job{
		ID: id, Route: k.name, Pool: cmp.Or(k.pool, "pool"), Attempts: k.attempts, Priority: k.priority, Stretch: playStretch, Target: playTarget,
		Steps: []batch.Step{{Count: width, Demand: j.demand, Estimate: estimate}},
	}))
}

func (p *play) perform(actions []dispatch.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case *dispatch.StartRuns:
			for _, s := range a.Starts {
				p.start(a.Agent, s)
			}
		case *dispatch.StopRuns:
			for _, id := range a.Runs {
				p.at(p.now.Add(2*messages), func() { p.end(a.Agent, id, supervise.Stopped) })
			}
		case dispatch.Answer:
			p.answer(a)
		}
	}
}

func (p *play) start(agent string, s supervise.Start) {
	server := p.servers[agent]
	j := p.jobs[s.Task.Job]
	server.used = server.used.Plus(s.Demand)
	if !server.used.Fits(server.capacity) {
		p.overfull++
	}
	runTime := time.Duration(j.durs[s.Task.Index] * server.speed * float64(time.Second))
	end := supervise.Done
	p.busy += runTime.Seconds() * float64(s.Demand.Processor) / 1000
	if server.fails > 0 && p.random.Float64() < server.fails {
		runTime, end = runTime/10, supervise.Failed
	}
	r := &playRun{started: p.now.Add(messages), runTime: runTime}
	if server.hangs {
		r.hung = r.started
	}
	server.runs[s.RunID] = r
	p.at(p.now.Add(2*messages+runTime), func() {
		if server.hangs {
			return
		}
		p.end(agent, s.RunID, end)
	})
}

// end ends a run, if it goes on, and reports it.
func (p *play) end(agent string, id supervise.RunID, how supervise.End) {
	server := p.servers[agent]
	r, ok := server.runs[id]
	if !ok {
		return
	}
	delete(server.runs, id)
	server.used = server.used.Minus(p.jobs[id.Task.Job].demand)
	p.report(agent, []supervise.Ended{{RunID: id, End: how, RunTime: r.runTime}})
}

// hang stops the progress of all that runs on a backend server, now and later.
func (p *play) hang(agent string) {
	s := p.servers[agent]
	s.hangs = true
	for _, r := range s.runs {
		r.hung = p.now
	}
}

func (p *play) answer(a dispatch.Answer) {
	j := p.jobs[a.Job]
	t := p.results[j.kind.name]
	aim := time.Duration(playStretch*j.chain*float64(time.Second)) + playTarget
	j.answered = true
	switch a.Outcome.(type) {
	case batch.Completed:
		switch {
		case a.Taken <= aim:
			t.inTime++
			j.inTime = true
			t.earned += j.value
		case a.Taken <= 3*aim:
			t.late++
			t.earned += j.value / 5
		default:
			t.useless++
		}
	case batch.NotRun:
		t.refused++
		t.refusalWait = append(t.refusalWait, a.Taken)
	default:
		t.failed++
	}
}

// earned returns the share of the worth that callers got, of one kind or of all.
func (p *play) earned(name string) float64 {
	var owed, earned float64
	for k, t := range p.results {
		if name == "" || k == name {
			owed += t.owed
			earned += t.earned
		}
	}
	return earned / owed
}
