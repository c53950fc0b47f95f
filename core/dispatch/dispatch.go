// Package dispatch decides, for one entry, when each batch job runs and on which backend server. It implements the
// queue, the admission control, the placement of tasks, and the handling of failed runs and lost backend servers.
//
// An entry dispatches to the backend servers whose agents chose it as their home (see package home). It keeps the
// queue itself, so that waiting work is ordered, refused and cancelled without messages. It is the only entry that
// places tasks on its backend servers, so that no start is rejected for lack of capacity. Its state need not survive
// a crash: agents stop the runs of a lost entry, and callers submit their jobs again.
//
// A backend server whose runs are slow or fail is degraded: it gets only probes, one task at a time at intervals, until
// it has recovered.
//
// A task that crashes its backend server would crash one after the other. The jobs whose tasks ran on a crashed backend
// server are suspect from then on: their tasks are started one at a time on few backend servers, so that the guilty one
// is found, and its job fails after the second crash.
//
// The package opens no connections and reads no clock. It is called by batchentry, which carries out its actions.
package dispatch

import (
	"maps"
	"slices"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/evacuation"
	"dogwoodglade/core/overload"
	"dogwoodglade/core/resource"
	"dogwoodglade/core/supervise"
)

// Action is an action for the entry to carry out: StartRuns, StopRuns, Answer, HealthChanged, CrashesBlamed or RunsMoved.
type Action interface{ action() }

// StartRuns sends an agent the start requests for tasks of one or more jobs.
type StartRuns struct {
	Agent  string
	Starts []supervise.Start
}

// StopRuns stops runs at an agent.
type StopRuns struct {
	Agent string
	Runs  []supervise.RunID
}

// Answer reports the outcome of a job to its caller.
type Answer struct {
	Job           batch.JobID
	Route         string
	Outcome       batch.Outcome
	Waited        time.Duration  // from the submission to the first start; the whole time if nothing started
	Elapsed       time.Duration  // from the submission to the answer
	PredictedWait time.Duration  // predicted wait for a job that arrives at the time of the answer
	Agent         string         // agent of the run that decided the outcome, if there was one
	Cause         overload.Cause // why the job was refused as Overloaded on arrival, or displaced
	Priority      int
	InFavourOf    batch.JobID // job for which it was displaced, if it was

	pool     string
	reserved time.Duration // for the retry of its caller, if it was refused
}

// HealthChanged reports that a backend server has become degraded or has recovered.
type HealthChanged struct {
	Agent               string
	Degraded            bool
	Slowdown            float64 // run times relative to other backend servers
	FailureShare        float64 // share of recent runs that failed
	ConsecutiveFailures int     // consecutive failures, each of a different job
}

func (StartRuns) action()     {}
func (StopRuns) action()      {}
func (Answer) action()        {}
func (HealthChanged) action() {}

type taskState int

const (
	blocked taskState = iota // waits for earlier steps
	waiting                  // waits for a backend server
	placed                   // a start request was sent
	lost                     // its agent was lost; the run may still exist
	done
)

// task is the state of a task of an open job.
type task struct {
	id          batch.TaskID
	state       taskState
	attempt     int
	failures    int
	server      *server
	failedOn    []*server
	movedFrom   []*server // its run was stopped there because it was slow or hung
	reservedOn  *server   // holds room for it, as its run is or was stopped because its backend server leaves
	stopping    bool
	large       bool          // its job is large
	suspect     bool          // a backend server crashed under a task of the job
	waitingWork coreTime      // predicted when the task began to wait; 0 if it is not waiting
	percent     int           // progress of its run
	progressAge time.Duration // age of the run at which its progress reached percent
	startedAt   time.Time     // when its latest start request was sent
}

type step struct {
	batch.Step
	tasks               []*task
	runsOn              map[*server]int // runs that may exist, if MaxPerServer is set
	unfinished          int             // tasks that are not done
	pendingDependencies int             // steps that have to be done before this one starts
	dependents          []int
}

type job struct {
	batch.Job
	submittedAt    time.Time
	targetStart    time.Time // latest start that can still meet the target
	startDeadline  time.Time // latest start with which the answer can still be useful to the caller
	firstStart     time.Time // when the first start request was sent; zero if none was
	steps          []*step
	unfinished     int  // tasks that are not done
	activeRuns     int  // runs that may exist
	activeSuspects int  // suspects among their tasks
	mayHaveRun     bool // a task of the job ran or may have run
	waiting        []*task
	waitingWork    coreTime // of its waiting tasks
	size           coreTime // predicted for all its tasks when it arrived
	answered       bool
	large          bool      // it has more than largeJob tasks
	late           bool      // it can no longer meet its target
	last           bool      // it starts after all jobs that are not
	turn           time.Time // it starts before the jobs with a later turn; targetStart unless it is late
	queued         bool
	sequence       uint64
	decidingAgent  string     // agent of the run that decided the outcome; empty if none did
	lastServer     *server    // backend server of the latest start
	resubmission   *batch.Job // the job as submitted again while its runs are being stopped
	resubmittedAt  time.Time
	refusal        refusalCause
	reserved       time.Duration // for the retry of its caller
	tooLargeSince  time.Time     // when a waiting job ceased to fit on any usable backend server; zero if it fits
}

// started reports whether a start request was sent that may have taken effect.
func (j *job) started() bool { return !j.firstStart.IsZero() }

// timedOut reports whether the caller's time-out has passed. The caller may have submitted the job again.
func (j *job) timedOut(now time.Time) bool {
	return j.Timeout > 0 && now.After(j.submittedAt.Add(j.Timeout))
}

// Dispatcher is the state machine that dispatches the jobs of one entry. It is not safe for concurrent use.
type Dispatcher struct {
	servers              map[string]*server // by agent
	sortedServers        []*server          // sorted by agent
	jobs                 map[batch.JobID]*job
	leaving              map[*server]struct{} // have announced when they leave
	pools                map[string]*poolState
	sortedPools          []*poolState // sorted by name
	routes               map[string]*routeState
	rules                map[string]overload.Rules // by pool; nil before the first configuration
	crashes              crashMemory
	evacuations          evacuation.State
	evacuationsChangedAt time.Time
	sequence             uint64
	draining             bool
	startedAt            time.Time // time of the first call

	actions []Action
	starts  map[string]*StartRuns
	stops   map[string]*StopRuns
}

// New returns a dispatcher without backend servers.
func New() *Dispatcher {
	return &Dispatcher{
		servers: map[string]*server{},
		leaving: map[*server]struct{}{},
		jobs:    map[batch.JobID]*job{},
		pools:   map[string]*poolState{},
		routes:  map[string]*routeState{},
		crashes: crashMemory{},
		starts:  map[string]*StartRuns{},
		stops:   map[string]*StopRuns{},
	}
}

// serverGrace is how long jobs are accepted for a pool without a backend server, after the start of the entry or after
// the pool had one at any entry. When a whole site restarts, or when an entry hands its agents over, the agents choose
// another home about 100 ms after it is up.
const serverGrace = 500 * time.Millisecond

func (d *Dispatcher) noteStart(now time.Time) {
	if d.startedAt.IsZero() {
		d.startedAt = now
	}
}

// expectsServer reports whether a pool without a backend server is likely to get one soon.
func (d *Dispatcher) expectsServer(now time.Time, p *poolState) bool {
	d.noteStart(now)
	if d.evacuatedPool(now, p) {
		return false
	}
	return now.Sub(d.startedAt) < serverGrace || (!p.servedAt.IsZero() && now.Sub(p.servedAt) < serverGrace)
}

// NoteServed records that another entry has backend servers of a pool.
func (d *Dispatcher) NoteServed(now time.Time, pool string) { d.pool(pool).servedAt = now }

// takeActions returns and clears the pending actions, after adding a HealthChanged for each backend server that has
// become degraded or has recovered. The start requests for an agent are in one action, and so are the stop requests.
func (d *Dispatcher) takeActions() []Action {
	for _, s := range d.sortedServers {
		if degraded := s.degraded(); degraded != s.reportedDegraded {
			s.reportedDegraded = degraded
			d.actions = append(d.actions, HealthChanged{
				Agent: s.agent, Degraded: degraded, Slowdown: s.slowdown(), FailureShare: s.failureShare,
				ConsecutiveFailures: s.consecutiveFailures,
			})
		}
	}
	actions := d.actions
	d.actions = nil
	clear(d.starts)
	clear(d.stops)
	return actions
}

// addStart adds a start request to the pending action for the agent of s.
func (d *Dispatcher) addStart(s *server, start supervise.Start) {
	x := d.starts[s.agent]
	if x == nil {
		x = &StartRuns{Agent: s.agent}
		d.starts[s.agent] = x
		d.actions = append(d.actions, x)
	}
	x.Starts = append(x.Starts, start)
}

// addStop adds a stop request to the pending action for the agent of s.
func (d *Dispatcher) addStop(s *server, id supervise.RunID) {
	x := d.stops[s.agent]
	if x == nil {
		x = &StopRuns{Agent: s.agent}
		d.stops[s.agent] = x
		d.actions = append(d.actions, x)
	}
	x.Runs = append(x.Runs, id)
}

// JobsOn returns the jobs that have runs on the backend server of an agent.
func (d *Dispatcher) JobsOn(agent string) []batch.JobID {
	s, ok := d.servers[agent]
	if !ok {
		return nil
	}
	found := map[batch.JobID]struct{}{}
	for id := range s.runs {
		found[id.Task.Job] = struct{}{}
	}
	return slices.Collect(maps.Keys(found))
}

// Load is the load of an entry as reported to other entries.
type Load struct {
	Pools    map[string]PoolLoad
	Draining bool
}

// PoolLoad is the load of an entry in one pool.
type PoolLoad struct {
	Cores   float64         // cores of usable backend servers, weighted by speed and success rate
	Free    resource.Amount // free capacity, in multiples of the typical task, without that of slow backend servers
	Largest resource.Amount // largest amount of each resource on any one backend server
	Queued  float64         // core-seconds of waiting work
	Healthy bool            `json:"Sound"` // whether at least one usable backend server is not degraded

	FreeSlow resource.Amount `json:",omitzero"` // free capacity of slow backend servers
	Slowdown float64         `json:",omitzero"` // of the slowest of them that has any
	hasFast  bool            // there is a usable backend server that is neither slow nor degraded
	// Arrival is how long until the entry is likely to have its first backend server; 0 if it has one or expects none. It is
	// for the decisions of the entry itself.
	Arrival time.Duration `json:"-"`
}

// PredictedWait predicts how long a job that arrives now waits for a backend server.
func (l PoolLoad) PredictedWait() time.Duration { return overload.DrainTime(l.Queued, l.Cores) }

// Total returns the cores, queued work and free capacity summed over all pools. Its other fields are not set.
func (l Load) Total() PoolLoad {
	var sum PoolLoad
	for _, p := range l.Pools {
		sum.Cores += p.Cores
		sum.Queued += p.Queued
		sum.Free = sum.Free.Plus(p.Free).Plus(p.FreeSlow)
	}
	return sum
}

// LocalLoad returns the current load for the decisions of the entry itself.
func (d *Dispatcher) LocalLoad(now time.Time) Load {
	l := d.Load()
	for _, p := range d.sortedPools {
		if arrival := d.untilFirstServer(now, p); arrival > 0 {
			pool := l.Pools[p.name]
			pool.Arrival = arrival
			l.Pools[p.name] = pool
		}
	}
	return l
}

// Load returns the current load. It includes the pools that have backend servers or waiting jobs.
func (d *Dispatcher) Load() Load {
	l := Load{Pools: make(map[string]PoolLoad, len(d.pools)), Draining: d.draining}
	for _, p := range d.sortedPools {
		if p.cores > 0 || p.queued > 0 {
			l.Pools[p.name] = PoolLoad{Cores: p.cores, Queued: p.queued.seconds()}
		}
	}
	for _, s := range d.sortedServers {
		if !s.usable() {
			continue
		}
		p := l.Pools[s.info.Pool]
		if !s.degraded() {
			p.Healthy = true
			// Nothing fits on a backend server that has shrunk below what is in use in any resource.
			if free := s.free(); free.Valid() && s.places.free(false) > 0 {
				p = p.withFree(s, d.pool(s.info.Pool).usableCapacity(free))
			}
		}
		p.Largest.Processor = max(p.Largest.Processor, s.capacity.Processor)
		p.Largest.Memory = max(p.Largest.Memory, s.capacity.Memory)
		p.Largest.Accelerators = max(p.Largest.Accelerators, s.capacity.Accelerators)
		l.Pools[s.info.Pool] = p
	}
	for name, p := range l.Pools {
		if !p.hasFast {
			l.Pools[name] = p.withoutSlow()
		}
	}
	return l
}

// PredictedWait predicts how long a job of the pool that arrives now waits for a backend server.
func (d *Dispatcher) PredictedWait(pool string) time.Duration { return d.pool(pool).wait() }

// JobCounts returns the number of unanswered jobs, and how many of them wait for their first start.
func (d *Dispatcher) JobCounts() (open, waiting int) {
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

// WaitingJobs returns the number of jobs of a route that wait for their first start.
func (d *Dispatcher) WaitingJobs(route string) int {
	n := 0
	for _, j := range d.jobs {
		if !j.answered && !j.started() && j.Route == route {
			n++
		}
	}
	return n
}

// JobStatus reports whether the job is open here, and whether it has started.
func (d *Dispatcher) JobStatus(id batch.JobID) (open, started bool) {
	j, ok := d.jobs[id]
	if !ok || j.answered {
		return false, false
	}
	return true, j.started()
}

// Stopping reports whether runs of an ended job may still exist. If the job is submitted again, it waits for their ends.
func (d *Dispatcher) Stopping(id batch.JobID) bool {
	j, ok := d.jobs[id]
	return ok && j.answered
}

// CanStartNow reports whether the job could start now: nothing waits in its pool, and there is capacity for all tasks
// of its steps without dependencies.
func (d *Dispatcher) CanStartNow(now time.Time, j batch.Job) bool {
	return !d.draining && d.pool(j.Pool).queued == 0 && d.hasCapacity(now, j)
}

// Drain makes the dispatcher accept only jobs that another entry is likely to take over. Accepted jobs continue, also on
// backend servers whose agents have chosen another home meanwhile.
func (d *Dispatcher) Drain() { d.draining = true }
