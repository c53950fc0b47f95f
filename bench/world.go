package bench

import (
	"math/rand/v2"
	"slices"
	"time"

	"dogwoodglade/core/allocator"
)

// state is how a job ended at its owner.
type state string

const (
	open      state = ""
	complete  state = "complete"
	failed    state = "failed"  // a task failed on every attempt, or the rest was refused after a part had run
	refused   state = "refused" // nothing of it ran
	expired   state = "expired" // its deadline passed
	cancelled state = "cancelled"
)

// answer is what became of one job of the trace.
type answer struct {
	state  state
	delay  time.Duration   // from arrival to the end of the last task at its agent, less the longest task
	closed time.Duration   // from arrival until the owner knew the answer
	waits  []time.Duration // per task: from arrival to its start at the agent
}

// outcome is the result of simulating one trace with one policy.
type outcome struct {
	answers  []answer
	messages int
	wasted   int
	untrue   int // jobs refused as not run of which a task ran
}

// maxAttempts bounds the starts of a task whose backend server fails it. The same bound applies to every
// policy.
const maxAttempts = 3

// failureTime is how long a failing backend server takes to fail a task.
const failureTime = time.Millisecond

// policy chooses slots for tasks. Messages between owner, allocator and agents are its own.
type policy interface {
	// place finds slots for tasks of a job that wait at its owner.
	place(j *job, tasks []*work)
	// arrived handles a start at an agent.
	arrived(s *server, t *work)
	// released tells that the slot of a task is free again at its agent.
	released(s *server, t *work, o allocator.Outcome)
	// abandon tells that a job was closed at its owner while some of its tasks waited.
	abandon(j *job)
}

// job is a request at its owner.
type job struct {
	*request
	id    int
	tasks []*work
	left  int // tasks without a result
	state state
	ran   bool // a task of it got a slot
}

// work is one task of a job.
type work struct {
	job     *job
	runTime time.Duration
	attempt int
	placed  bool    // an agent was sent the start and the owner knows no result
	server  *server // of the latest attempt
	grant   allocator.Grant
	avoid   []string
	dropped bool          // the agent was told to cancel it
	running int           // number of the attempt that holds a slot, or 0
	started time.Duration // start of the latest attempt
	ended   time.Duration
}

// server is a backend server with its agent.
type server struct {
	index   int
	free    int
	running map[*work]bool
}

// world is one simulation: the owners, agents and backend servers of a site with one policy.
type world struct {
	loop
	site    site
	trace   *trace
	random  *rand.Rand
	policy  policy
	servers []*server
	open    int // jobs that arrived and are not closed
	arrived int
	outcome
}

func simulate(s site, tr *trace, random *rand.Rand, newPolicy func(*world) policy) outcome {
	w := newWorld(s, tr, random, newPolicy)
	w.runAll()
	return w.outcome
}

func newWorld(s site, tr *trace, random *rand.Rand, newPolicy func(*world) policy) *world {
	w := &world{site: s, trace: tr, random: random}
	w.answers = make([]answer, len(tr.requests))
	for i := range s.servers {
		w.servers = append(w.servers, &server{index: i, free: s.slots, running: map[*work]bool{}})
	}
	w.policy = newPolicy(w)
	w.nextArrival()
	return w
}

// active reports whether there is or will be an open job.
func (w *world) active() bool { return w.open > 0 || w.arrived < len(w.trace.requests) }

// every runs the function periodically while the simulation is active.
func (w *world) every(first, period time.Duration, run func()) {
	w.after(first, func() {
		if w.active() {
			run()
			w.every(period, period, run)
		}
	})
}

// send delivers a message between two hosts.
func (w *world) send(deliver func()) {
	w.messages++
	w.after(w.site.oneWay, deliver)
}

func (w *world) waste(messages int) { w.wasted += messages }

func (w *world) nextArrival() {
	if w.arrived == len(w.trace.requests) {
		return
	}
	r := &w.trace.requests[w.arrived]
	w.after(r.arrival-w.now, func() {
		j := &job{request: r, id: w.arrived, left: len(r.tasks)}
		w.arrived++
		w.accept(j)
		w.nextArrival()
	})
}

// accept handles a new job at its owner.
func (w *world) accept(j *job) {
	w.open++
	for _, d := range j.request.tasks {
		j.tasks = append(j.tasks, &work{job: j, runTime: d})
	}
	w.after(j.deadline, func() { w.expire(j) })
	if j.cancelAt > 0 {
		w.after(j.cancelAt-w.now, func() { w.close(j, cancelled) })
	}
	w.policy.place(j, append([]*work(nil), j.tasks...))
}

// close ends a job at its owner and cancels what runs of it.
func (w *world) close(j *job, as state) {
	if j.state != open {
		return
	}
	j.state = as
	w.open--
	if as == refused && j.ran {
		w.untrue++
	}
	a := answer{state: as, closed: w.now - j.arrival}
	if as == complete {
		var last time.Duration
		for _, t := range j.tasks {
			last = max(last, t.ended)
			if w.trace.keepWaits {
				a.waits = append(a.waits, t.started-j.arrival)
			}
		}
		a.delay = last - j.arrival - j.longest()
	}
	w.answers[j.id] = a
	if as == complete {
		return
	}
	for _, t := range j.tasks {
		if t.placed {
			w.waste(2) // the start and its cancellation
			attempt, s := t.attempt, t.server
			w.send(func() { w.cancel(s, t, attempt) })
		}
	}
	w.policy.abandon(j)
}

// refuse closes a job some of whose tasks get no slot.
func (w *world) refuse(j *job) {
	if j.sent() {
		w.close(j, failed)
		return
	}
	w.close(j, refused)
}

// expire closes a job at its deadline. If no task was sent to an agent, that is a late refusal.
func (w *world) expire(j *job) {
	if j.sent() {
		w.close(j, expired)
		return
	}
	w.close(j, refused)
}

// sent reports whether a task of the job may have run, as far as its owner knows.
func (j *job) sent() bool {
	return slices.ContainsFunc(j.tasks, func(t *work) bool { return t.attempt > 0 })
}

// start sends a task from its owner to an agent.
func (w *world) start(s *server, t *work) {
	t.attempt++
	t.placed, t.server = true, s
	w.send(func() { w.policy.arrived(s, t) })
}

// refuseStart tells the owner that a start was refused as not run.
func (w *world) refuseStart(t *work, then func()) {
	w.waste(2) // the start and its refusal
	w.send(func() {
		t.attempt--
		t.placed = false
		then()
	})
}

// run starts a task on a free slot of a backend server.
func (w *world) run(s *server, t *work) {
	s.free--
	s.running[t] = true
	if t.job.state == refused && !t.job.ran {
		w.untrue++
	}
	t.job.ran = true
	t.running, t.started = t.attempt, w.now
	attempt, runTime, result := t.attempt, t.runTime, allocator.Succeeded
	if w.trace.fault.failing(s.index, w.now) {
		runTime, result = failureTime, allocator.Errored
	}
	w.after(runTime, func() {
		if t.running != attempt {
			return // it was cancelled
		}
		w.end(s, t, result)
		w.send(func() { w.result(t, result) })
	})
}

// end frees the slot of a task.
func (w *world) end(s *server, t *work, o allocator.Outcome) {
	s.free++
	delete(s.running, t)
	t.running, t.ended = 0, w.now
	w.policy.released(s, t, o)
}

// cancel stops a task at its agent.
func (w *world) cancel(s *server, t *work, attempt int) {
	t.dropped = true
	if t.running == attempt {
		w.end(s, t, allocator.Cancelled)
	}
}

// result handles the outcome of a task at its owner.
func (w *world) result(t *work, o allocator.Outcome) {
	j := t.job
	t.placed = false
	switch {
	case j.state != open:
		w.waste(1) // a late outcome
	case o == allocator.Succeeded:
		if j.left--; j.left == 0 {
			w.close(j, complete)
		}
	case t.attempt == maxAttempts:
		w.close(j, failed)
	default:
		t.avoid = append(t.avoid, t.server.id())
		w.policy.place(j, []*work{t})
	}
}
