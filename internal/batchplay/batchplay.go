// Package batchplay simulates callers, entries, agents and backend servers of batch jobs, for tests that play a load on
// the state machines of core/dispatch and core/overflow without a network and in simulated time, and check what callers
// get.
package batchplay

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/dispatch"
	"dogwoodglade/core/evacuation"
	"dogwoodglade/core/home"
	"dogwoodglade/core/overflow"
	"dogwoodglade/core/resource"
	"dogwoodglade/core/supervise"
	"dogwoodglade/internal/timeline"
)

const (
	tickInterval = 50 * time.Millisecond
	// loadTicks and reportTicks are the intervals between the loads that entries exchange, and between the reports of
	// agents, in ticks.
	loadTicks   = 2
	reportTicks = 3
	// minProgressAge is the age of a run from which agents report its progress.
	minProgressAge = 80 * time.Millisecond
	// settleTime is how long a simulation continues after the last job was submitted.
	settleTime = 30 * time.Second
)

// Entry is an entry, with its share of the callers of its data centre.
type Entry struct {
	home.Entry
	Callers float64
}

// Options describe a simulation.
type Options struct {
	Seed    uint64
	Kinds   []Kind
	Load    func(seconds float64, kind, dataCentre string) float64 // factor on the rates, by the time since the start
	Entries []Entry                                                // the rates are divided evenly over their data centres
	Servers []ServerOptions
	// CallerDelay is the time for a message between a caller and an entry, NearDelay between processes of one data
	// centre, and FarDelay between those of different ones. The time to process the message is included.
	CallerDelay, NearDelay, FarDelay time.Duration
}

// SingleEntry returns options for one entry that dispatches to all of the given number of backend servers.
func SingleEntry(seed uint64, servers int, cores float64, kinds []Kind, load func(seconds float64) float64) Options {
	o := Options{
		Seed: seed, Kinds: kinds, Load: func(seconds float64, _, _ string) float64 { return load(seconds) },
		Entries:   []Entry{{Entry: home.Entry{Name: "entry", Weight: 1}, Callers: 1}},
		NearDelay: 1500 * time.Microsecond,
	}
	for i := range servers {
		o.Servers = append(o.Servers, ServerOptions{
			Name: agentName(i), RunTimeFactor: []float64{0.8, 1, 1.25}[i%3],
			Capacity: resource.Amount{Processor: int(cores * 1000), Memory: 65536},
		})
	}
	return o
}

// Simulation runs a load in simulated time. Each backend server has its own speed, some runs take much longer than the
// others, and no backend server may be given more than its capacity.
type Simulation struct {
	Servers       map[string]*Server // by agent
	Jobs          map[batch.JobID]*Job
	Results       map[string]*Results     // by kind
	Overcommitted int                     // start requests beyond the capacity of a backend server
	Deadly        func(batch.TaskID) bool // whether a task crashes the backend server that starts it; nil if none does
	Crashes       map[batch.TaskID]int    // of backend servers, by the task that caused them

	options     Options
	random      *rand.Rand
	startedAt   time.Time
	now         time.Time
	events      timeline.EventQueue
	entries     []*entry
	agents      []string // sorted
	dataCentres []string
	sequence    int
}

type entry struct {
	Entry
	dispatcher *dispatch.Dispatcher
	peers      *overflow.Peers
	sent       overflow.SentLoads // to the other entries
}

// New returns a simulation at its start. The home of each agent is the one that home.Rank gives it.
func New(o Options) *Simulation {
	start := time.Unix(1000, 0)
	sim := &Simulation{
		Servers: map[string]*Server{}, Jobs: map[batch.JobID]*Job{}, Results: map[string]*Results{},
		Crashes: map[batch.TaskID]int{},
		options: o, random: rand.New(rand.NewPCG(o.Seed, 1)), startedAt: start, now: start,
	}
	var homes []home.Entry
	for _, e := range o.Entries {
		sim.entries = append(sim.entries, &entry{Entry: e, dispatcher: dispatch.New(), peers: overflow.New()})
		homes = append(homes, e.Entry)
		if !slices.Contains(sim.dataCentres, e.DataCentre) {
			sim.dataCentres = append(sim.dataCentres, e.DataCentre)
		}
	}
	for _, so := range o.Servers {
		first := home.Rank(so.Name, "", so.DataCentre, evacuation.State{}, homes)[0].Name
		i := slices.IndexFunc(sim.entries, func(e *entry) bool { return e.Name == first })
		sim.Servers[so.Name] = &Server{ServerOptions: so, home: sim.entries[i], runs: map[supervise.RunID]*run{}}
		sim.perform(sim.entries[i], sim.entries[i].dispatcher.Connect(sim.now, so.Name))
		sim.report(so.Name, nil)
	}
	sim.agents = slices.Sorted(maps.Keys(sim.Servers))
	for _, k := range o.Kinds {
		sim.Results[k.Name] = &Results{}
	}
	sim.sendLoads()
	return sim
}

// At calls a function at a time after the start.
func (sim *Simulation) At(after time.Duration, do func()) {
	sim.events.Schedule(sim.startedAt.Add(after), do)
}

func (sim *Simulation) after(d time.Duration, do func()) { sim.events.Schedule(sim.now.Add(d), do) }

// delay returns the time for a message between processes of two data centres.
func (sim *Simulation) delay(a, b string) time.Duration {
	if a == b {
		return sim.options.NearDelay
	}
	return sim.options.FarDelay
}

// Run applies the load for the given number of seconds, then lets the simulation continue until all jobs have ended.
func (sim *Simulation) Run(seconds float64) {
	end := sim.now.Add(time.Duration(seconds * float64(time.Second)))
	for _, dc := range sim.dataCentres {
		for _, k := range sim.options.Kinds {
			sim.scheduleArrival(k, dc, end)
		}
	}
	ticks := 0
	var tick func()
	tick = func() {
		sim.tick(ticks)
		ticks++
		if sim.now.Before(end.Add(settleTime)) {
			sim.after(tickInterval, tick)
		}
	}
	sim.after(0, tick)
	for {
		at, do, ok := sim.events.Pop()
		if !ok {
			return
		}
		sim.now = at
		do()
	}
}

func (sim *Simulation) tick(count int) {
	for _, e := range sim.entries {
		sim.perform(e, e.dispatcher.Tick(sim.now))
	}
	if count%loadTicks == 0 {
		sim.sendLoads()
	}
	if count%reportTicks == 0 {
		for _, agent := range sim.agents {
			sim.report(agent, nil)
		}
	}
}

func (sim *Simulation) sendLoads() {
	for _, e := range sim.entries {
		e.sent = e.sent.WithRegular(sim.now, e.dispatcher.Load())
		sim.sendLoad(e)
	}
}

func (sim *Simulation) sendLoad(e *entry) {
	l, _ := e.sent.Latest()
	for _, other := range sim.entries {
		if other != e {
			sim.after(sim.delay(e.DataCentre, other.DataCentre), func() { other.peers.RecordReport(sim.now, e.Name, l) })
		}
	}
}

// sendChangedLoad sends the load of an entry before the next interval if the other entries would choose differently.
func (sim *Simulation) sendChangedLoad(e *entry) {
	if l := e.dispatcher.Load(); e.sent.MaySendPrompt(sim.now, l) {
		e.sent = e.sent.WithPrompt(sim.now, l)
		sim.sendLoad(e)
	}
}

func (sim *Simulation) scheduleArrival(k Kind, dataCentre string, end time.Time) {
	seconds := sim.now.Sub(sim.startedAt).Seconds()
	rate := k.Rate * sim.options.Load(seconds, k.Name, dataCentre) / float64(len(sim.dataCentres))
	next := sim.now.Add(time.Duration(sim.random.ExpFloat64() / rate * float64(time.Second)))
	if next.After(end) {
		return
	}
	sim.events.Schedule(next, func() {
		sim.submit(k, dataCentre)
		sim.scheduleArrival(k, dataCentre, end)
	})
}

// submit sends a new job to an entry of the data centre.
func (sim *Simulation) submit(k Kind, dataCentre string) {
	sim.sequence++
	j := sim.drawJob(k)
	j.entry = sim.drawEntry(dataCentre)
	sim.Jobs[j.job.ID] = j
	r := sim.Results[k.Name]
	r.Submitted++
	r.offered += j.value
	sim.after(sim.options.CallerDelay, func() { sim.assign(j) })
}

func (sim *Simulation) drawEntry(dataCentre string) *entry {
	if len(sim.entries) == 1 {
		return sim.entries[0]
	}
	var best *entry
	var bestScore float64
	for _, e := range sim.entries {
		if e.DataCentre != dataCentre || e.Callers <= 0 {
			continue
		}
		if score := sim.random.ExpFloat64() / e.Callers; best == nil || score < bestScore {
			best, bestScore = e, score
		}
	}
	return best
}

// assign dispatches a job at the entry that received it, or forwards it.
func (sim *Simulation) assign(j *Job) {
	e := j.entry
	if !e.dispatcher.CanStartNow(sim.now, j.job) {
		if to := e.peers.Choose(sim.now, e.dispatcher.LocalLoad(sim.now), j.job); to != "" {
			sim.forward(j, to)
			return
		}
	}
	sim.dispatch(e, j)
}

func (sim *Simulation) dispatch(e *entry, j *Job) {
	j.dispatchedBy = e
	sim.perform(e, e.dispatcher.Submit(sim.now, j.job))
}

func (sim *Simulation) forward(j *Job, to string) {
	i := slices.IndexFunc(sim.entries, func(e *entry) bool { return e.Name == to })
	j.dispatchedBy = sim.entries[i]
	sim.after(sim.delay(j.entry.DataCentre, sim.entries[i].DataCentre), func() { sim.dispatch(sim.entries[i], j) })
}

// retry assigns a job again that an entry has refused. It reports false if no other entry has room.
func (sim *Simulation) retry(j *Job, a dispatch.Answer) bool {
	if o, ok := a.Outcome.(batch.NotRun); !ok || o.Reason != batch.Overloaded {
		return false
	}
	e, refusedBy := j.entry, j.dispatchedBy.Name
	if e.Name == refusedBy {
		j.refusals = j.refusals.With(refusedBy)
	} else {
		// The load of the other entry precedes its refusal.
		e.peers.RecordReport(sim.now, refusedBy, j.dispatchedBy.dispatcher.Load())
		e.peers.MarkFull(refusedBy, j.job.Pool)
		j.refusals = j.refusals.With(refusedBy)
		if e.dispatcher.CanStartNow(sim.now, j.job) {
			sim.dispatch(e, j)
			return true
		}
	}
	to, ok := e.peers.ChooseAfterRefusal(sim.now, j.job, j.refusals)
	if ok {
		sim.forward(j, to)
	}
	return ok
}

func (sim *Simulation) perform(e *entry, actions []dispatch.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case *dispatch.StartRuns:
			for _, s := range a.Starts {
				sim.startRun(e, a.Agent, s)
			}
		case *dispatch.StopRuns:
			for _, id := range a.Runs {
				delay := 2 * sim.delay(e.DataCentre, sim.Servers[a.Agent].DataCentre)
				sim.after(delay, func() { sim.endRun(a.Agent, id, supervise.Stopped) })
			}
		case dispatch.Answer:
			sim.answered(e, a)
		}
	}
}

// answered passes the outcome of a job on to its caller.
func (sim *Simulation) answered(e *entry, a dispatch.Answer) {
	j := sim.Jobs[a.Job]
	if e == j.entry {
		if sim.retry(j, a) {
			return
		}
		sim.after(sim.options.CallerDelay, func() { sim.record(j, a.Outcome) })
		return
	}
	sim.after(sim.delay(e.DataCentre, j.entry.DataCentre), func() {
		if sim.retry(j, a) {
			return
		}
		sim.after(sim.options.CallerDelay, func() { sim.record(j, a.Outcome) })
	})
}

// ValueShare returns the share of the offered value that callers got, for one kind of job or, if the name is empty, for
// all.
func (sim *Simulation) ValueShare(kind string) float64 {
	var offered, earned float64
	for name, r := range sim.Results {
		if kind == "" || name == kind {
			offered += r.offered
			earned += r.earned
		}
	}
	return earned / offered
}

// ValueShares returns the share of the value that callers got of the jobs submitted in each interval of the given
// length, in increasing order.
func (sim *Simulation) ValueShares(interval time.Duration) []float64 {
	offered, earned := map[int]float64{}, map[int]float64{}
	for _, j := range sim.Jobs {
		i := int(j.SubmittedAt / interval)
		offered[i] += j.value
		earned[i] += j.earned
	}
	var shares []float64
	for i, o := range offered {
		shares = append(shares, earned[i]/o)
	}
	slices.SortFunc(shares, cmp.Compare[float64])
	return shares
}
