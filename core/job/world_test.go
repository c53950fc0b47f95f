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
	maxAttempts = 3
	deadline    = 2 * time.Second
	tick        = 50 * time.Millisecond
)

// defect is a deliberate error in the simulation, to test that the checks find it.
type defect string

const (
	noDefect               defect = ""
	ignoreFences           defect = "agents ignore fences"
	earlyRecovery          defect = "recovery is reported as complete immediately"
	skipConfirmation       defect = "not run is answered without confirmation"
	confirmStaleEpoch      defect = "agents confirm a superseded epoch"
	repeatNotRun           defect = "a retry gets the earlier not run answer"
	acceptLateConfirmation defect = "a late confirmation is accepted for a later submission"
	skipReconcile          defect = "attempts unknown to the agent may start later"
	earlyRefusal           defect = "a start without a reply is treated as not run"
	earlyResult            defect = "a task is treated as done when it starts"
	swappedResults         defect = "results are assigned to another task"
	duplicateReply         defect = "a waiter is answered twice"
	treatAllAsIdempotent   defect = "every job is treated as idempotent"
	acceptRepeatedStart    defect = "agents accept a repeated start"
	ignoreLeave            defect = "agents ignore that a backend server leaves"
	keepHeartbeats         defect = "heartbeats of a failed backend server continue"
	exitBeforeDrained      defect = "a draining agent exits at once"
)

// simulation runs owners, agents and an allocator over a network that delays, reorders and duplicates messages
// and loses connections. It checks the guarantees at each start and at each answer.
type simulation struct {
	now       time.Time
	randomInt func(n int) int
	fail      func(string)
	defect    defect
	log       []string

	tables       table.Snapshot
	shard        shard.ID
	storedEpoch  shard.Epoch
	registry     []string // names of the registered agents
	owners       []*owner
	agents       []*agent
	messages     []message
	connections  map[[2]string]int
	slotRequests []slotRequest
	grants       int

	jobOptions  map[task.JobID]*jobOptions
	waiters     []*waiter
	startCounts map[task.ID]int
	started     map[startID]bool

	// Submissions that an owner accepts and confirmations of its epoch are events, numbered in one sequence. The
	// fields below hold these event numbers.
	lastEvent           int
	notRunConfirmations map[task.JobID]int // latest confirmation that led to the answer NotRun
	submissionOf        map[startID]int    // submission for which an attempt was sent
	currentConfirmation int                // confirmation that is being delivered, or 0
}

type startID struct {
	attempt task.AttemptID
	epoch   shard.Epoch
}

type message struct {
	from, to, kind string
	connection     int
	deliver        func()
}

type owner struct {
	*job.Owner
	name            string
	paused          bool
	dead            bool
	missingRecords  map[string]bool // agents whose records are missing
	epoch           shard.Epoch
	firstSubmission map[task.JobID]int        // first submission of each key that the owner accepted
	notRunAnswers   map[task.JobID]job.Answer // the latest for each key
	lastRequestID   int                       // of the latest ConfirmEpoch
}

type agent struct {
	*executor.Executor
	name             string
	dead             bool
	incarnation      int
	left             bool      // its backend server left
	noHeartbeatSince time.Time // when the heartbeats of its backend server stopped, or zero
	exited           bool
	running          []task.Start
}

type slotRequest struct {
	owner *owner
	allocator.SlotRequest
}

type jobOptions struct {
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

func newSimulation(randomInt func(int) int, fail func(string), d defect) *simulation {
	sim := &simulation{
		now: time.Unix(1_000_000, 0), randomInt: randomInt, fail: fail, defect: d,
		connections: map[[2]string]int{}, jobOptions: map[task.JobID]*jobOptions{}, startCounts: map[task.ID]int{},
		started: map[startID]bool{}, notRunConfirmations: map[task.JobID]int{}, submissionOf: map[startID]int{},
		shard: keys[0].Shard(),
	}
	sim.tables = table.NewSnapshot(table.Versions{}, []route.Route{
		route.New("r", "p").WithAttempts(maxAttempts).WithDeadline(deadline),
		route.New("s", "p").WithAttempts(maxAttempts).WithDeadline(deadline),
	}, []pool.Pool{pool.New("p")})
	for range 2 {
		sim.addAgent()
	}
	sim.deliverAll()
	sim.takeOver()
	sim.deliverAll()
	return sim
}

// keys are job IDs of one shard.
var keys = func() (ids []task.JobID) {
	for i := 0; len(ids) < 4; i++ {
		id := task.JobID{Customer: "c", Key: strconv.Itoa(i)}
		if len(ids) == 0 || id.Shard() == ids[0].Shard() {
			ids = append(ids, id)
		}
	}
	return ids
}()

func (sim *simulation) logf(format string, args ...any) {
	sim.log = append(sim.log, fmt.Sprintf(format, args...))
}

func (sim *simulation) check(ok bool, format string, args ...any) {
	if !ok {
		sim.fail(fmt.Sprintf(format, args...))
	}
}

func (sim *simulation) sendMessage(from, to, kind string, deliver func()) {
	sim.messages = append(sim.messages, message{from, to, kind, sim.connections[connectionKey(from, to)], deliver})
}

func connectionKey(a, b string) [2]string { return [2]string{min(a, b), max(a, b)} }

func (sim *simulation) isPaused(name string) bool {
	return slices.ContainsFunc(sim.owners, func(o *owner) bool { return o.name == name && o.paused })
}

// deliverNth delivers the i-th message. It drops the message if its receiver is dead or its connection was lost,
// and returns false if the receiver is paused. With keep, the message can be delivered again.
func (sim *simulation) deliverNth(i int, keep bool) bool {
	m := sim.messages[i]
	if sim.isPaused(m.to) {
		return false
	}
	if !keep {
		sim.messages = slices.Delete(sim.messages, i, i+1)
	}
	dead := slices.ContainsFunc(sim.owners, func(o *owner) bool { return o.name == m.to && o.dead }) ||
		slices.ContainsFunc(sim.agents, func(a *agent) bool { return a.name == m.to && a.dead })
	if !dead && m.connection == sim.connections[connectionKey(m.from, m.to)] {
		m.deliver()
	}
	return true
}

func (sim *simulation) deliverAll() {
	for {
		i := slices.IndexFunc(sim.messages, func(m message) bool { return !sim.isPaused(m.to) })
		if i < 0 {
			return
		}
		sim.deliverNth(i, false)
	}
}

func (sim *simulation) addAgent() {
	name := fmt.Sprintf("a%d", len(sim.agents)+1)
	a := &agent{Executor: executor.New(name, func(event.Event) {}), name: name}
	sim.agents = append(sim.agents, a)
	sim.registry = append(sim.registry, name)
	sim.announce(a)
	sim.sendMessage("store", name, "row", func() {
		epochs := make([]shard.Epoch, shard.Count)
		epochs[sim.shard] = sim.storedEpoch
		a.Register(sim.now, epochs)
	})
}

func (sim *simulation) announce(a *agent) {
	actions, err := a.Announce(sim.now, executor.Announcement{
		ID: "b" + a.name, Pool: "p", Address: "address", Slots: 2, Incarnation: strconv.Itoa(a.incarnation),
	})
	sim.check(err == nil, "announce: %v", err)
	sim.performAgentActions(a, actions)
}

// takeOver creates a new owner, which writes its epoch, reads the registry and fences the agents.
func (sim *simulation) takeOver() *owner {
	o := &owner{
		name: fmt.Sprintf("e%d", len(sim.owners)+1), missingRecords: map[string]bool{},
		firstSubmission: map[task.JobID]int{}, notRunAnswers: map[task.JobID]job.Answer{},
	}
	o.epoch = sim.storedEpoch.Next(o.name)
	sim.storedEpoch = o.epoch
	random := rand.New(rand.NewPCG(1, uint64(len(sim.owners))))
	o.Owner = job.New(o.name, sim.shard, o.epoch, false, random, func(event.Event) {})
	for _, old := range sim.owners {
		sim.sendMessage("net", old.name, "superseded", func() {
			sim.performOwnerActions(old, old.ObserveEpoch(sim.now, o.epoch))
		})
	}
	sim.owners = append(sim.owners, o)
	for _, name := range sim.registry {
		o.missingRecords[name] = true
		sim.sendFence(o, name)
	}
	if sim.defect == earlyRecovery {
		sim.performOwnerActions(o, o.RecoveryComplete(sim.now))
	}
	return o
}

func (sim *simulation) sendFence(o *owner, name string) {
	a := sim.agent(name)
	receive := func(records []task.Record) {
		sim.performOwnerActions(o, o.RecordsRecovered(sim.now, name, records))
		delete(o.missingRecords, name)
		if len(o.missingRecords) == 0 {
			sim.performOwnerActions(o, o.RecoveryComplete(sim.now))
		}
	}
	if a.exited {
		sim.sendMessage("store", o.name, "records", func() { receive(a.Records()) })
		return
	}
	sim.sendMessage(o.name, name, "fence", func() {
		records := a.Records()
		if sim.defect != ignoreFences {
			records = a.Fence(sim.now, o.name, []shard.Fence{{Shard: sim.shard, Epoch: o.epoch}})
		}
		sim.sendMessage(name, o.name, "records", func() { receive(records) })
	})
}

func (sim *simulation) agent(name string) *agent {
	return sim.agents[slices.IndexFunc(sim.agents, func(a *agent) bool { return a.name == name })]
}

// submit submits a key. A resubmission carries the ticket of the first submission.
func (sim *simulation) submit(o *owner, id task.JobID, s job.Submission, options jobOptions) *waiter {
	if sim.jobOptions[id] == nil {
		sim.jobOptions[id] = &options
	}
	options = *sim.jobOptions[id]
	s.ID, s.Idempotent, s.Ticket = id, &options.idempotent, options.ticket
	if sim.defect == treatAllAsIdempotent {
		s.Idempotent = new(bool)
		*s.Idempotent = true
	}
	for i := len(s.Bodies); i < options.tasks; i++ {
		s.Bodies = append(s.Bodies, fmt.Appendf(nil, "%s.%d", id.Key, i))
	}
	wt := &waiter{name: fmt.Sprintf("w%d", len(sim.waiters)+1), owner: o, bodies: s.Bodies}
	sim.waiters = append(sim.waiters, wt)
	sim.submitTo(o, s, wt)
	return wt
}

// endTask ends a running task with the status, or reports it as lost if the status is 0.
func (sim *simulation) endTask(a *agent, s task.Start, status int) {
	if status == 0 {
		sim.performAgentActions(a, a.AttemptLost(sim.now, s.Attempt))
		return
	}
	result := task.Result{Status: status, Body: append([]byte("r:"), s.Body...)}
	sim.performAgentActions(a, a.AttemptEnded(sim.now, s.Attempt, result))
}

// reconnect drops all messages in transit between an owner and an agent, and reconciles the outstanding starts.
func (sim *simulation) reconnect(o *owner, a *agent) {
	if sim.defect != skipReconcile {
		sim.connections[connectionKey(o.name, a.name)]++
	}
	if o.missingRecords[a.name] {
		sim.sendFence(o, a.name)
	}
	ids := o.InFlight(a.name)
	sim.sendMessage(o.name, a.name, "reconcile", func() {
		var started []task.Record
		notStarted := ids
		if sim.defect != skipReconcile {
			started, notStarted = a.Reconcile(sim.now, ids)
		}
		sim.sendMessage(a.name, o.name, "reconciled", func() {
			sim.performOwnerActions(o, o.Reconciled(sim.now, a.name, started, notStarted))
		})
	})
}

// killAgent kills an agent, whose tasks and records are lost.
func (sim *simulation) killAgent(a *agent) {
	a.dead, a.running = true, nil
	for _, o := range sim.owners {
		sim.sendMessage("net", o.name, "agent lost", func() { sim.performOwnerActions(o, o.AgentLost(sim.now, a.name)) })
	}
}

// exitAgent ends a drained agent. Its records are in the object store, and starts in transit do not arrive.
func (sim *simulation) exitAgent(a *agent) {
	sim.check(len(a.running) == 0, "an agent exited with %d requests in progress", len(a.running))
	a.dead, a.exited = true, true
	for _, o := range sim.owners {
		if o.missingRecords[a.name] {
			sim.sendFence(o, a.name)
		}
		sim.sendMessage("net", o.name, "agent exited", func() {
			started, notStarted := a.Reconcile(sim.now, o.InFlight(a.name))
			sim.performOwnerActions(o, o.Reconciled(sim.now, a.name, started, notStarted))
		})
	}
}

func (sim *simulation) advance(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.now = sim.now.Add(tick)
		for _, a := range sim.agents {
			if a.dead {
				continue
			}
			if a.noHeartbeatSince.IsZero() || sim.defect == keepHeartbeats {
				sim.announce(a)
			}
			sim.performAgentActions(a, a.Tick(sim.now))
			if a.Drained() {
				sim.exitAgent(a)
			}
		}
		for _, o := range sim.owners {
			if !o.paused && !o.dead {
				sim.performOwnerActions(o, o.Tick(sim.now))
			}
		}
	}
}

func (sim *simulation) deliverReply(r job.Reply) {
	wt := sim.waiters[slices.IndexFunc(sim.waiters, func(x *waiter) bool { return x.name == r.Waiter })]
	wt.answers++
	wt.state = r.Answer.State
	sim.logf("%s: %s %s", r.Waiter, r.Answer.State, r.Answer.Reason)
	sim.check(wt.answers == 1, "waiter %s was answered %d times", wt.name, wt.answers)
	switch r.Answer.State {
	case job.Complete:
		sim.check(len(r.Answer.Results) == len(wt.bodies),
			"%d results for %d tasks", len(r.Answer.Results), len(wt.bodies))
		for i, result := range r.Answer.Results {
			sim.check(string(result.Body) == "r:"+string(wt.bodies[i]), "task %d got result %q", i, result.Body)
		}
		return
	case job.NotRun:
		sim.checkNotRun(wt.owner, r.Answer)
	case job.Failed, job.OutcomeUnknown:
	case job.Pending:
		sim.check(false, "a waiter got a pending answer")
	}
	sim.check(len(r.Answer.Results) == 0, "an answer that is not complete has results")
}

// finish runs the simulation past all deadlines, and checks that each waiter of a live owner was answered.
func (sim *simulation) finish() {
	for _, o := range sim.owners {
		o.paused = false
	}
	for range 2 * int(deadline/(10*tick)) {
		sim.deliverAll()
		sim.advance(10 * tick)
	}
	sim.deliverAll()
	if sim.defect == noDefect || sim.defect == repeatNotRun {
		sim.checkRetryAfterNotRun()
	}
	for _, wt := range sim.waiters {
		sim.check(wt.owner.dead || wt.answers == 1, "waiter %s was answered %d times", wt.name, wt.answers)
	}
}
