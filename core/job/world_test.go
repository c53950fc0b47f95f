package job_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"dogwoodglade/core/allocator"
	"dogwoodglade/core/event"
	"dogwoodglade/core/executor"
	"dogwoodglade/core/job"
	"dogwoodglade/core/pool"
	"dogwoodglade/core/route"
	"dogwoodglade/core/shard"
	"dogwoodglade/core/table"
	"dogwoodglade/core/task"
)

const (
	attempts = 3
	deadline = 2 * time.Second
	tick     = 50 * time.Millisecond
)

// fault is a defect put into the world, to show that a check finds it.
type fault string

const (
	noFault        fault = ""
	noFences       fault = "agents keep no fences"
	earlyRecovery  fault = "recovery counts as complete at once"
	noConfirmation fault = "not run is answered without a confirmation"
	staleConfirm   fault = "agents confirm a superseded epoch"
	stickyNotRun   fault = "a retry gets the earlier answer not run"
	lateConfirm    fault = "a late confirmation counts for a later submission"
	noReconcile    fault = "unseen attempts may start later"
	earlyRefusal   fault = "a start without a reply counts as not run"
	earlyResult    fault = "a task counts as done when it starts"
	swappedResults fault = "results go to another task"
	secondReply    fault = "a waiter is answered twice"
	retryAll       fault = "every job is retried as idempotent"
	startTwice     fault = "agents accept a repeated start"
	noLeave        fault = "agents do not hear of a leaving backend server"
	noSilence      fault = "heartbeats of a silent backend server continue"
	hastyExit      fault = "a draining agent exits at once"
)

// world runs owners, agents and an allocator over a network that delays, reorders and repeats messages and
// loses connections. It checks the promises at each start and at each answer.
type world struct {
	now     time.Time
	pick    func(n int) int
	violate func(string)
	fault   fault
	log     []string

	tables   table.Snapshot
	shard    shard.ID
	row      shard.Epoch
	registry []string
	owners   []*owner
	agents   []*agent
	net      []message
	sessions map[[2]string]int
	asks     []ask
	grants   int

	jobs    map[task.JobID]*client
	waiters []*waiter
	starts  map[task.ID]int
	started map[startID]bool

	// Each submission that an owner takes and each confirmation of its epoch gets the next number.
	events    int
	notRun    map[task.JobID]int // the latest confirmation behind an answer NotRun
	via       map[startID]int    // the submission through which an attempt was sent
	confirmed int                // the confirmation that is being delivered
}

type startID struct {
	attempt task.AttemptID
	epoch   shard.Epoch
}

type message struct {
	from, to, text string
	session        int
	deliver        func()
}

type owner struct {
	*job.Owner
	name     string
	paused   bool
	dead     bool
	unheard  map[string]bool // agents whose records are missing
	epoch    shard.Epoch
	taken    map[task.JobID]int        // the first submission of each key that the owner took
	sticky   map[task.JobID]job.Answer // answers NotRun
	question int                       // the latest ConfirmEpoch
}

type agent struct {
	*executor.Executor
	name    string
	dead    bool
	inc     int
	left    bool      // its backend server left
	silent  time.Time // when its backend server became silent, if it is
	exited  bool
	running []task.Start
}

type ask struct {
	owner *owner
	allocator.Ask
}

type client struct {
	idempotent bool
	ticket     shard.Ticket
	tasks      int
}

type waiter struct {
	name    string
	owner   *owner
	bodies  [][]byte
	answers int
	state   job.State
}

func newWorld(pick func(int) int, violate func(string), f fault) *world {
	w := &world{
		now: time.Unix(1_000_000, 0), pick: pick, violate: violate, fault: f,
		sessions: map[[2]string]int{}, jobs: map[task.JobID]*client{}, starts: map[task.ID]int{},
		started: map[startID]bool{}, notRun: map[task.JobID]int{}, via: map[startID]int{}, shard: keys[0].Shard(),
	}
	w.tables = table.New(table.Versions{}, []route.Route{
		route.New("r", "p").WithAttempts(attempts).WithDeadline(deadline),
		route.New("s", "p").WithAttempts(attempts).WithDeadline(deadline),
	}, []pool.Pool{pool.New("p")})
	for range 2 {
		w.addAgent()
	}
	w.deliverAll()
	w.takeOver()
	w.deliverAll()
	return w
}

// keys are submissions of one shard.
var keys = func() (ids []task.JobID) {
	for i := 0; len(ids) < 4; i++ {
		id := task.JobID{Customer: "c", Key: strconv.Itoa(i)}
		if len(ids) == 0 || id.Shard() == ids[0].Shard() {
			ids = append(ids, id)
		}
	}
	return ids
}()

func (w *world) logf(format string, args ...any) { w.log = append(w.log, fmt.Sprintf(format, args...)) }

func (w *world) check(ok bool, format string, args ...any) {
	if !ok {
		w.violate(fmt.Sprintf(format, args...))
	}
}

func (w *world) send(from, to, text string, deliver func()) {
	w.net = append(w.net, message{from, to, text, w.sessions[link(from, to)], deliver})
}

func link(a, b string) [2]string { return [2]string{min(a, b), max(a, b)} }

func (w *world) halted(name string) bool {
	return slices.ContainsFunc(w.owners, func(o *owner) bool { return o.name == name && o.paused })
}

// deliverNth delivers a message, unless its receiver is paused, dead or its connection was lost.
func (w *world) deliverNth(i int, keep bool) bool {
	m := w.net[i]
	if w.halted(m.to) {
		return false
	}
	if !keep {
		w.net = slices.Delete(w.net, i, i+1)
	}
	dead := slices.ContainsFunc(w.owners, func(o *owner) bool { return o.name == m.to && o.dead }) ||
		slices.ContainsFunc(w.agents, func(a *agent) bool { return a.name == m.to && a.dead })
	if !dead && m.session == w.sessions[link(m.from, m.to)] {
		m.deliver()
	}
	return true
}

func (w *world) deliverAll() {
	for {
		i := slices.IndexFunc(w.net, func(m message) bool { return !w.halted(m.to) })
		if i < 0 {
			return
		}
		w.deliverNth(i, false)
	}
}

func (w *world) addAgent() {
	name := fmt.Sprintf("a%d", len(w.agents)+1)
	a := &agent{Executor: executor.New(name, func(event.Event) {}), name: name}
	w.agents = append(w.agents, a)
	w.registry = append(w.registry, name)
	w.announce(a)
	w.send("store", name, "row", func() {
		epochs := make([]shard.Epoch, shard.Count)
		epochs[w.shard] = w.row
		a.Registered(w.now, epochs)
	})
}

func (w *world) announce(a *agent) {
	actions, err := a.Announce(w.now, executor.Announcement{
		ID: "b" + a.name, Pool: "p", Address: "address", Slots: 2, Incarnation: strconv.Itoa(a.inc),
	})
	w.check(err == nil, "announce: %v", err)
	w.runAgent(a, actions)
}

// takeOver makes a new owner: it writes its epoch, reads the registry and fences the agents.
func (w *world) takeOver() *owner {
	o := &owner{name: fmt.Sprintf("e%d", len(w.owners)+1), unheard: map[string]bool{}, taken: map[task.JobID]int{}, sticky: map[task.JobID]job.Answer{}}
	o.epoch = w.row.Next(o.name)
	w.row = o.epoch
	o.Owner = job.New(o.name, w.shard, o.epoch, false, rand.New(rand.NewPCG(1, uint64(len(w.owners)))), func(event.Event) {})
	for _, old := range w.owners {
		w.send("net", old.name, "superseded", func() { w.runOwner(old, old.Superseded(w.now, o.epoch)) })
	}
	w.owners = append(w.owners, o)
	for _, name := range w.registry {
		o.unheard[name] = true
		w.sendFence(o, name)
	}
	if w.fault == earlyRecovery {
		w.runOwner(o, o.RecoveryComplete(w.now))
	}
	return o
}

func (w *world) sendFence(o *owner, name string) {
	a := w.agent(name)
	take := func(records []task.Record) {
		w.runOwner(o, o.Recovered(w.now, name, records))
		delete(o.unheard, name)
		if len(o.unheard) == 0 {
			w.runOwner(o, o.RecoveryComplete(w.now))
		}
	}
	if a.exited {
		w.send("store", o.name, "records", func() { take(a.Records()) })
		return
	}
	w.send(o.name, name, "fence", func() {
		records := a.Records()
		if w.fault != noFences {
			records = a.Fence(w.now, o.name, []shard.Fence{{Shard: w.shard, Epoch: o.epoch}})
		}
		w.send(name, o.name, "records", func() { take(records) })
	})
}

func (w *world) agent(name string) *agent {
	return w.agents[slices.IndexFunc(w.agents, func(a *agent) bool { return a.name == name })]
}

// submit submits a key. A resubmission carries the ticket of the first submission.
func (w *world) submit(o *owner, id task.JobID, s job.Submission, c client) *waiter {
	if w.jobs[id] == nil {
		w.jobs[id] = &c
	}
	c = *w.jobs[id]
	s.ID, s.Idempotent, s.Ticket = id, &c.idempotent, c.ticket
	if w.fault == retryAll {
		s.Idempotent = new(bool)
		*s.Idempotent = true
	}
	for i := len(s.Bodies); i < c.tasks; i++ {
		s.Bodies = append(s.Bodies, fmt.Appendf(nil, "%s.%d", id.Key, i))
	}
	wt := &waiter{name: fmt.Sprintf("w%d", len(w.waiters)+1), owner: o, bodies: s.Bodies}
	w.waiters = append(w.waiters, wt)
	w.take(o, s, wt)
	return wt
}

// end ends a running task with the status, or loses it if the status is 0.
func (w *world) end(a *agent, s task.Start, status int) {
	if status == 0 {
		w.runAgent(a, a.Lost(w.now, s.Attempt))
		return
	}
	w.runAgent(a, a.Ended(w.now, s.Attempt, task.Result{Status: status, Body: append([]byte("r:"), s.Body...)}))
}

// reconnect loses what is under way between an owner and an agent, and reconciles the outstanding starts.
func (w *world) reconnect(o *owner, a *agent) {
	if w.fault != noReconcile {
		w.sessions[link(o.name, a.name)]++
	}
	if o.unheard[a.name] {
		w.sendFence(o, a.name)
	}
	ids := o.InFlight(a.name)
	w.send(o.name, a.name, "reconcile", func() {
		var found []task.Record
		unseen := ids
		if w.fault != noReconcile {
			found, unseen = a.Reconcile(w.now, ids)
		}
		w.send(a.name, o.name, "reconciled", func() { w.runOwner(o, o.Reconciled(w.now, a.name, found, unseen)) })
	})
}

// kill ends an agent with its tasks and records.
func (w *world) kill(a *agent) {
	a.dead, a.running = true, nil
	for _, o := range w.owners {
		w.send("net", o.name, "agent lost", func() { w.runOwner(o, o.AgentLost(w.now, a.name)) })
	}
}

// exit ends a drained agent. Its records are in the object store, and no start under way can arrive.
func (w *world) exit(a *agent) {
	w.check(len(a.running) == 0, "an agent exited with %d requests in progress", len(a.running))
	a.dead, a.exited = true, true
	for _, o := range w.owners {
		if o.unheard[a.name] {
			w.sendFence(o, a.name)
		}
		w.send("net", o.name, "agent exited", func() {
			found, unseen := a.Reconcile(w.now, o.InFlight(a.name))
			w.runOwner(o, o.Reconciled(w.now, a.name, found, unseen))
		})
	}
}

func (w *world) advance(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(tick)
		for _, a := range w.agents {
			if a.dead {
				continue
			}
			if a.silent.IsZero() || w.fault == noSilence {
				w.announce(a)
			}
			w.runAgent(a, a.Tick(w.now))
			if a.Drained() {
				w.exit(a)
			}
		}
		for _, o := range w.owners {
			if !o.paused && !o.dead {
				w.runOwner(o, o.Tick(w.now))
			}
		}
	}
}

func (w *world) reply(r job.Reply) {
	wt := w.waiters[slices.IndexFunc(w.waiters, func(x *waiter) bool { return x.name == r.Waiter })]
	wt.answers++
	wt.state = r.Answer.State
	w.logf("%s: %s %s", r.Waiter, r.Answer.State, r.Answer.Reason)
	w.check(wt.answers == 1, "waiter %s was answered %d times", wt.name, wt.answers)
	switch r.Answer.State {
	case job.Complete:
		w.check(len(r.Answer.Results) == len(wt.bodies), "%d results for %d tasks", len(r.Answer.Results), len(wt.bodies))
		for i, result := range r.Answer.Results {
			w.check(string(result.Body) == "r:"+string(wt.bodies[i]), "task %d got result %q", i, result.Body)
		}
		return
	case job.NotRun:
		w.checkNotRun(wt.owner, r.Answer)
	case job.Failed, job.OutcomeUnknown:
	case job.Pending:
		w.check(false, "a waiter got a pending answer")
	}
	w.check(len(r.Answer.Results) == 0, "a partial answer has results")
}

// settle lets everything end, and checks that each waiter of a live owner was answered.
func (w *world) settle() {
	for _, o := range w.owners {
		o.paused = false
	}
	for range 2 * int(deadline/(10*tick)) {
		w.deliverAll()
		w.advance(10 * tick)
	}
	w.deliverAll()
	if w.fault == noFault || w.fault == stickyNotRun {
		w.retryNotRun()
	}
	for _, wt := range w.waiters {
		w.check(wt.owner.dead || wt.answers == 1, "waiter %s was answered %d times", wt.name, wt.answers)
	}
}
