package bench

import (
	"math/rand/v2"
	"slices"
	"time"

	"dogwoodglade/core/allocator"
)

// state is the final state of a job at its owner, or open while it has none.
type state string

const (
	open     state = ""
	complete state = "complete"
	// failed: every attempt of a task failed, or tasks were refused after others had been sent to an agent.
	failed    state = "failed"
	refused   state = "refused" // no task of the job ran
	expired   state = "expired" // the deadline passed after a task had been sent to an agent
	cancelled state = "cancelled"
)

// jobOutcome is the final state and the timing of one job of the trace.
type jobOutcome struct {
	state       state
	delay       time.Duration   // from arrival to the end of the last task at its agent, minus the longest run time
	closedAfter time.Duration   // from arrival until the owner closed the job
	waits       []time.Duration // of each task: from arrival of the job to the start at the agent
}

// traceResult is the result of simulating one trace with one policy.
type traceResult struct {
	jobOutcomes    []jobOutcome
	messages       int
	wastedMessages int
	falseRefusals  int // jobs that were reported as not run although a task of them ran
}

// maxAttempts limits the attempts of a task that fails on its backend server. The limit is the same for
// every policy.
const maxAttempts = 3

// failureTime is the run time of a task on a failing backend server.
const failureTime = time.Millisecond

// policy assigns tasks to slots. Each policy has its own messages between owners, allocator and agents.
type policy interface {
	// place finds slots for tasks that wait at the owner of their job.
	place(j *job, tasks []*task)
	// handleStart handles the request to start a task at an agent.
	handleStart(s *server, t *task)
	// slotFreed is called when the slot of a task becomes free at its agent.
	slotFreed(s *server, t *task, o allocator.Outcome)
	// jobClosed is called when the owner closes a job that is not complete.
	jobClosed(j *job)
}

// job is the state of a request at its owner.
type job struct {
	*request
	id         int
	tasks      []*task
	unfinished int // number of tasks without a result
	state      state
	started    bool // a task of the job has run
}

// task is one task of a job.
type task struct {
	job            *job
	runTime        time.Duration
	attempt        int
	inFlight       bool    // the owner has sent the task to an agent and received no result yet
	server         *server // of the latest attempt
	grant          allocator.Grant
	avoid          []string
	cancelled      bool          // a cancellation has reached the agent
	runningAttempt int           // number of the attempt that occupies a slot, or 0
	started        time.Duration // start of the latest attempt
	ended          time.Duration
}

// server is a backend server together with its agent.
type server struct {
	index   int
	free    int
	running map[*task]bool
}

// simulation is the state of the owners, agents and backend servers of a site under one policy.
type simulation struct {
	eventLoop
	site     site
	trace    *trace
	random   *rand.Rand
	policy   policy
	servers  []*server
	open     int // number of jobs that have arrived and are not closed
	arrivals int
	traceResult
}

func simulate(s site, tr *trace, random *rand.Rand, newPolicy func(*simulation) policy) traceResult {
	sim := newSimulation(s, tr, random, newPolicy)
	sim.runAll()
	return sim.traceResult
}

func newSimulation(s site, tr *trace, random *rand.Rand, newPolicy func(*simulation) policy) *simulation {
	sim := &simulation{site: s, trace: tr, random: random}
	sim.jobOutcomes = make([]jobOutcome, len(tr.requests))
	for i := range s.servers {
		sim.servers = append(sim.servers, &server{index: i, free: s.slots, running: map[*task]bool{}})
	}
	sim.policy = newPolicy(sim)
	sim.scheduleNextArrival()
	return sim
}

// active reports whether a job is open or has yet to arrive.
func (sim *simulation) active() bool { return sim.open > 0 || sim.arrivals < len(sim.trace.requests) }

// every calls the function periodically while the simulation is active.
func (sim *simulation) every(first, period time.Duration, run func()) {
	sim.after(first, func() {
		if sim.active() {
			run()
			sim.every(period, period, run)
		}
	})
}

// send delivers a message between two hosts after the network delay of the site.
func (sim *simulation) send(deliver func()) {
	sim.messages++
	sim.after(sim.site.oneWayDelay, deliver)
}

func (sim *simulation) countWasted(messages int) { sim.wastedMessages += messages }

func (sim *simulation) scheduleNextArrival() {
	if sim.arrivals == len(sim.trace.requests) {
		return
	}
	r := &sim.trace.requests[sim.arrivals]
	sim.after(r.arrival-sim.now, func() {
		j := &job{request: r, id: sim.arrivals, unfinished: len(r.tasks)}
		sim.arrivals++
		sim.acceptJob(j)
		sim.scheduleNextArrival()
	})
}

// acceptJob handles the arrival of a job at its owner.
func (sim *simulation) acceptJob(j *job) {
	sim.open++
	for _, d := range j.request.tasks {
		j.tasks = append(j.tasks, &task{job: j, runTime: d})
	}
	sim.after(j.deadline, func() { sim.expireJob(j) })
	if j.cancelAt > 0 {
		sim.after(j.cancelAt-sim.now, func() { sim.closeJob(j, cancelled) })
	}
	sim.policy.place(j, append([]*task(nil), j.tasks...))
}

// closeJob sets the final state of a job and cancels its tasks that are in flight.
func (sim *simulation) closeJob(j *job, final state) {
	if j.state != open {
		return
	}
	j.state = final
	sim.open--
	if final == refused && j.started {
		sim.falseRefusals++
	}
	outcome := jobOutcome{state: final, closedAfter: sim.now - j.arrival}
	if final == complete {
		var last time.Duration
		for _, t := range j.tasks {
			last = max(last, t.ended)
			if sim.trace.keepWaits {
				outcome.waits = append(outcome.waits, t.started-j.arrival)
			}
		}
		outcome.delay = last - j.arrival - j.longest()
	}
	sim.jobOutcomes[j.id] = outcome
	if final == complete {
		return
	}
	for _, t := range j.tasks {
		if t.inFlight {
			sim.countWasted(2) // the start and its cancellation
			attempt, s := t.attempt, t.server
			sim.send(func() { sim.cancelTask(s, t, attempt) })
		}
	}
	sim.policy.jobClosed(j)
}

// refuseJob closes a job for which the policy found no slots: as refused if no task can have run, otherwise
// as failed.
func (sim *simulation) refuseJob(j *job) {
	if j.mayHaveRun() {
		sim.closeJob(j, failed)
		return
	}
	sim.closeJob(j, refused)
}

// expireJob closes a job at its deadline. If no task was sent to an agent, the job counts as refused late.
func (sim *simulation) expireJob(j *job) {
	if j.mayHaveRun() {
		sim.closeJob(j, expired)
		return
	}
	sim.closeJob(j, refused)
}

// mayHaveRun reports whether, as far as the owner knows, a task of the job may have run.
func (j *job) mayHaveRun() bool {
	return slices.ContainsFunc(j.tasks, func(t *task) bool { return t.attempt > 0 })
}

// startTask sends a task from its owner to an agent.
func (sim *simulation) startTask(s *server, t *task) {
	t.attempt++
	t.inFlight, t.server = true, s
	sim.send(func() { sim.policy.handleStart(s, t) })
}

// refuseStart tells the owner that the agent refused to start a task. The attempt is not counted, because
// the task did not run.
func (sim *simulation) refuseStart(t *task, onRefused func()) {
	sim.countWasted(2) // the start and its refusal
	sim.send(func() {
		t.attempt--
		t.inFlight = false
		onRefused()
	})
}

// runTask runs a task in a free slot of a backend server.
func (sim *simulation) runTask(s *server, t *task) {
	s.free--
	s.running[t] = true
	if t.job.state == refused && !t.job.started {
		sim.falseRefusals++
	}
	t.job.started = true
	t.runningAttempt, t.started = t.attempt, sim.now
	attempt, runTime, result := t.attempt, t.runTime, allocator.Succeeded
	if sim.trace.faults.failing(s.index, sim.now) {
		runTime, result = failureTime, allocator.Errored
	}
	sim.after(runTime, func() {
		if t.runningAttempt != attempt {
			return // the attempt was cancelled
		}
		sim.endTask(s, t, result)
		sim.send(func() { sim.handleResult(t, result) })
	})
}

// endTask frees the slot of a task.
func (sim *simulation) endTask(s *server, t *task, o allocator.Outcome) {
	s.free++
	delete(s.running, t)
	t.runningAttempt, t.ended = 0, sim.now
	sim.policy.slotFreed(s, t, o)
}

// cancelTask handles the cancellation of an attempt at its agent.
func (sim *simulation) cancelTask(s *server, t *task, attempt int) {
	t.cancelled = true
	if t.runningAttempt == attempt {
		sim.endTask(s, t, allocator.Cancelled)
	}
}

// handleResult handles the result of a task at its owner.
func (sim *simulation) handleResult(t *task, o allocator.Outcome) {
	j := t.job
	t.inFlight = false
	switch {
	case j.state != open:
		sim.countWasted(1) // a result that arrived after the job was closed
	case o == allocator.Succeeded:
		if j.unfinished--; j.unfinished == 0 {
			sim.closeJob(j, complete)
		}
	case t.attempt == maxAttempts:
		sim.closeJob(j, failed)
	default:
		t.avoid = append(t.avoid, t.server.id())
		sim.policy.place(j, []*task{t})
	}
}
