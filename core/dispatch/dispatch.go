// Package dispatch decides, for one entry, which batch job runs when and on which backend server: the queue,
// the refusals, the placement of tasks, and what happens when runs fail or backend servers are lost.
//
// An entry dispatches to the backend servers whose agents chose it as their home. It keeps the queue, so that
// waiting work is ordered, refused and cancelled without messages, and it is the only one that places on its
// backend servers, so that no start is rejected for want of room. All of its state can be lost: agents stop
// the runs of a lost entry, and callers submit again.
//
// The package opens no connection and reads no clock. It is called by batchentry, which performs its actions.
package dispatch

import (
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/resource"
	"dogwoodglade/core/supervise"
)

// Action is what the entry has to do: StartRuns, StopRuns, Answer, Judged.
type Action interface{ action() }

// StartRuns sends an agent starts, of one job or several.
type StartRuns struct {
	Agent  string
	Starts []supervise.Start
}

// StopRuns stops runs at an agent.
type StopRuns struct {
	Agent string
	Runs  []supervise.RunID
}

// Answer ends a job.
type Answer struct {
	Job     batch.JobID
	Route   string
	Outcome batch.Outcome
	Waited  time.Duration // from the submission to the first start; the whole time if nothing started
	Taken   time.Duration // from the submission to the answer
	Queue   time.Duration // predicted wait of the queue at the answer
	Agent   string        // where the run that decided the outcome was, if one did
}

// Judged reports that a backend server gets only probes from now on, or that it has recovered.
type Judged struct {
	Agent    string
	Bad      bool
	Slowness float64 // run times against those of other backend servers
	Failures float64 // share of the latest runs that failed
	InARow   int     // failures in a row, of different jobs
}

func (StartRuns) action() {}
func (StopRuns) action()  {}
func (Answer) action()    {}
func (Judged) action()    {}

type taskState int

const (
	blocked taskState = iota // waits for earlier steps
	waiting                  // may be placed
	placed                   // a run was ordered
	limbo                    // its agent was lost; the run may go on for a while
	done
)

type taskRun struct {
	id       batch.TaskID
	state    taskState
	attempt  int
	failures int
	server   *server
	failedOn []*server
	stopping bool
	moved    bool     // it was taken off a slow backend server once
	work     coreTime // predicted when it began to wait; 0 while it does not
}

type step struct {
	batch.Step
	tasks []*taskRun
	open  int // tasks that are not done
	need  int // steps that must be done before
	then  []int
}

type job struct {
	batch.Job
	arrived  time.Time
	start    time.Time // latest start that can still meet the target
	limit    time.Time // when the answer is of no use any more
	first    time.Time // when the first run was ordered
	steps    []*step
	open     int  // tasks that are not done
	runs     int  // runs that may exist
	begun    bool // a run existed, or may have
	waiting  []*taskRun
	work     coreTime // of waiting tasks
	answered bool
	queued   bool
	sequence uint64
	agent    string
	last     *server    // of the latest start
	next     *batch.Job // the same job, submitted again while its runs are being stopped
}

// started reports whether a run was ordered that may have begun.
func (j *job) started() bool { return !j.first.IsZero() }

// Dispatcher decides for one entry. It is not safe for concurrent use.
type Dispatcher struct {
	servers  map[string]*server // by agent
	order    []*server          // by name of the agent
	jobs     map[batch.JobID]*job
	pools    map[string]*poolState
	byName   []*poolState // the pools, sorted
	routes   map[string]*routeState
	sequence uint64
	draining bool
	begun    time.Time // of this dispatcher

	actions []Action
	starts  map[string]*StartRuns
	stops   map[string]*StopRuns
}

// New returns a dispatcher without backend servers.
func New() *Dispatcher {
	return &Dispatcher{
		servers: map[string]*server{},
		jobs:    map[batch.JobID]*job{},
		pools:   map[string]*poolState{},
		routes:  map[string]*routeState{},
		starts:  map[string]*StartRuns{},
		stops:   map[string]*StopRuns{},
	}
}

// startGrace is how long an entry that has just started takes jobs for pools without a backend server. After the
// loss of a whole site the agents choose their entry some 100 ms after it is up.
const startGrace = 500 * time.Millisecond

func (d *Dispatcher) starting(now time.Time) bool {
	if d.begun.IsZero() {
		d.begun = now
	}
	return now.Sub(d.begun) < startGrace
}

// take returns the actions decided since the last call. Orders for one agent are in one action.
func (d *Dispatcher) take() []Action {
	for _, s := range d.order {
		if bad := s.bad(); bad != s.judgedBad {
			s.judgedBad = bad
			d.actions = append(d.actions, Judged{
				Agent: s.agent, Bad: bad, Slowness: s.factor(), Failures: s.failures, InARow: s.failing,
			})
		}
	}
	actions := d.actions
	d.actions = nil
	clear(d.starts)
	clear(d.stops)
	return actions
}

func (d *Dispatcher) orderStart(s *server, start supervise.Start) {
	x := d.starts[s.agent]
	if x == nil {
		x = &StartRuns{Agent: s.agent}
		d.starts[s.agent] = x
		d.actions = append(d.actions, x)
	}
	x.Starts = append(x.Starts, start)
}

func (d *Dispatcher) orderStop(s *server, id supervise.RunID) {
	x := d.stops[s.agent]
	if x == nil {
		x = &StopRuns{Agent: s.agent}
		d.stops[s.agent] = x
		d.actions = append(d.actions, x)
	}
	x.Runs = append(x.Runs, id)
}

// Load is how much an entry has to do, as other entries learn it.
type Load struct {
	Pools    map[string]PoolLoad
	Draining bool
}

// PoolLoad is how much an entry has to do for the backend servers of one pool.
type PoolLoad struct {
	Cores   float64         // of usable backend servers
	Free    resource.Amount // not in use, as far as tasks of the usual size fit
	Largest resource.Amount // of one backend server
	Queued  float64         // core-seconds that wait
	Sound   bool            // a backend server gets more than probes
}

// Wait predicts how long work that arrives now waits for a backend server.
func (l PoolLoad) Wait() time.Duration { return waitOf(l.Queued, l.Cores) }

func waitOf(coreSeconds, cores float64) time.Duration {
	if cores <= 0 {
		return NoServerWait
	}
	return time.Duration(coreSeconds / cores * float64(time.Second))
}

// Total returns the sum over all pools.
func (l Load) Total() PoolLoad {
	var sum PoolLoad
	for _, p := range l.Pools {
		sum.Cores += p.Cores
		sum.Queued += p.Queued
		sum.Free = sum.Free.Plus(p.Free)
	}
	return sum
}

// NoServerWait is the predicted wait at an entry without backend servers.
const NoServerWait = time.Hour

// Load returns the current load. It has the pools for which there are backend servers or jobs.
func (d *Dispatcher) Load() Load {
	l := Load{Pools: make(map[string]PoolLoad, len(d.pools)), Draining: d.draining}
	for _, p := range d.byName {
		if p.cores > 0 || p.queued > 0 {
			l.Pools[p.name] = PoolLoad{Cores: p.cores, Queued: p.queued.seconds()}
		}
	}
	for _, s := range d.order {
		if !s.usable() {
			continue
		}
		p := l.Pools[s.info.Pool]
		if !s.bad() {
			p.Sound = true
			p.Free = p.Free.Plus(d.pool(s.info.Pool).useful(s.free()))
		}
		p.Largest.Processor = max(p.Largest.Processor, s.capacity.Processor)
		p.Largest.Memory = max(p.Largest.Memory, s.capacity.Memory)
		p.Largest.Accelerators = max(p.Largest.Accelerators, s.capacity.Accelerators)
		l.Pools[s.info.Pool] = p
	}
	return l
}

// Wait predicts how long work of a pool that arrives now waits for a backend server.
func (d *Dispatcher) Wait(pool string) time.Duration { return d.pool(pool).wait() }

// Jobs returns the number of jobs that are not answered, and of those that wait for their first start.
func (d *Dispatcher) Jobs() (open, waiting int) {
	for _, j := range d.jobs {
		if !j.answered {
			open++
			if !j.started() {
				waiting++
			}
		}
	}
	return open, waiting
}

// Waiting returns the number of jobs of a route that wait for their first start.
func (d *Dispatcher) Waiting(route string) int {
	n := 0
	for _, j := range d.jobs {
		if !j.answered && !j.started() && j.Route == route {
			n++
		}
	}
	return n
}

// Has reports whether the job is open here.
func (d *Dispatcher) Has(id batch.JobID) (open, started bool) {
	j, ok := d.jobs[id]
	if !ok || j.answered {
		return false, false
	}
	return true, j.started()
}

// HasRoom reports whether all tasks of the job that may start at first could start now.
func (d *Dispatcher) HasRoom(now time.Time, j batch.Job) bool {
	return !d.draining && d.pool(j.Pool).queued == 0 && d.hasRoom(now, j)
}

// Drain refuses jobs from now on.
func (d *Dispatcher) Drain() { d.draining = true }
