package supervise_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/resource"
	"dogwoodglade/core/supervise"
	"dogwoodglade/internal/timeline"
)

// simulation runs one supervisor, its backend server and two entries in simulated time. Responses of the backend server
// get lost, requests are carried out seconds late or out of order, the agent freezes, entries pause, and the backend
// server restarts under the same ID.
type simulation struct {
	t             *testing.T
	seed          uint64
	random        *rand.Rand
	now           time.Time
	events        timeline.EventQueue
	announcements int

	agent       *supervise.Supervisor
	frozenUntil time.Time
	entries     map[string]*entry
	server      *simServer
	lossRate    float64
	// delayedOnWay is whether a late request reaches the process that has replaced the one that it was sent to. Restarts
	// take time then.
	delayedOnWay bool
	downUntil    time.Time // the backend server does not listen before

	attempts      map[batch.TaskID]int              // latest attempt
	numbers       map[batch.TaskID]map[int]int      // attempt by run number
	ended         map[supervise.RunID]supervise.End // as reported to entries
	startRequests int
	starts        int
}

type entry struct {
	name         string
	connected    bool
	paused       bool          // it neither sends nor processes messages
	session      int           // number of the connection at the entry
	agentSession int           // number of the connection at the agent
	lastReportAt time.Time     // time of the agent's latest report
	agentClock   time.Duration // the agent's clock in that report
	running      map[supervise.RunID]bool
}

// simServer simulates the backend server according to its protocol.
type simServer struct {
	incarnation  int64
	started      time.Time
	clockRate    float64 // relative to the simulated time
	token        uint64
	leaseEnd     time.Duration
	running      map[batch.TaskID]int
	highestEnded map[batch.TaskID]int // highest run number that was stopped or has ended
	ends         []supervise.TaskEnd
	endCount     uint64
}

// schedule calls do after d.
func (sim *simulation) schedule(d time.Duration, do func()) { sim.events.Schedule(sim.now.Add(d), do) }

// runOnAgent calls do in the agent's process after d, or later if the agent is frozen.
func (sim *simulation) runOnAgent(d time.Duration, do func()) {
	sim.schedule(d, func() {
		if sim.now.Before(sim.frozenUntil) {
			sim.runOnAgent(sim.frozenUntil.Sub(sim.now)+time.Duration(sim.random.IntN(3))*time.Millisecond, do)
			return
		}
		do()
	})
}

func (sim *simulation) randomMilliseconds(low, high int) time.Duration {
	return time.Duration(low+sim.random.IntN(high-low+1)) * time.Millisecond
}

func (b *simServer) clock(now time.Time) time.Duration {
	return time.Duration(float64(now.Sub(b.started)) * b.clockRate)
}

func (b *simServer) tasks() []batch.TaskID {
	return slices.SortedFunc(maps.Keys(b.running), batch.TaskID.Compare)
}

// leaseLimit is the longest lease that the backend server accepts.
const leaseLimit = time.Second

func (sim *simulation) expireLease() {
	if b := sim.server; b.clock(sim.now) > b.leaseEnd {
		for _, task := range b.tasks() {
			sim.endRun(task, supervise.Lost)
		}
	}
}

func (sim *simulation) endRun(task batch.TaskID, end supervise.End) {
	b := sim.server
	number, ok := b.running[task]
	if !ok {
		return
	}
	delete(b.running, task)
	b.highestEnded[task] = max(b.highestEnded[task], number)
	b.endCount++
	b.ends = append(b.ends, supervise.TaskEnd{Sequence: b.endCount, Task: task, Number: number, End: end})
}

func (sim *simulation) extendLease(until time.Duration) {
	b := sim.server
	b.leaseEnd = max(b.leaseEnd, min(until, b.clock(sim.now)+leaseLimit))
}

func (sim *simulation) fenced(token uint64) bool {
	if token < sim.server.token {
		return true
	}
	sim.server.token = token
	return false
}

// execute carries out a start on the backend server.
func (sim *simulation) execute(c supervise.CallStart) supervise.StartResult {
	sim.expireLease()
	b := sim.server
	switch {
	case sim.fenced(c.Token):
		return supervise.Fenced
	case c.Until < b.clock(sim.now):
		return supervise.Late
	}
	sim.extendLease(c.Until)
	if n, ok := b.running[c.Task]; ok {
		if n == c.Number {
			return supervise.Accepted
		}
		sim.t.Fatalf("seed %d: run %d of %v started while run %d was still running", sim.seed, c.Number, c.Task, n)
	}
	if c.Number <= b.highestEnded[c.Task] {
		return supervise.Outdated
	}
	id := supervise.RunID{Task: c.Task, Attempt: sim.numbers[c.Task][c.Number]}
	// A task that is done may start again, because its job is not kept; it has no other run then.
	if end, ok := sim.ended[id]; ok && (end != supervise.Done || !sim.delayedOnWay) {
		sim.t.Fatalf("seed %d: %v started after it had been reported as %s", sim.seed, id, end)
	}
	b.running[c.Task] = c.Number
	sim.starts++
	sim.schedule(sim.randomMilliseconds(20, 900), func() {
		if sim.server == b && b.running[c.Task] == c.Number {
			sim.endRun(c.Task, supervise.Done)
		}
	})
	return supervise.Accepted
}

// callServer sends a request to the backend server. execute carries it out there and returns the function that handles
// the response in the agent. A request that gets no response is carried out at once, later or never.
func (sim *simulation) callServer(timeout time.Duration, execute func() func(), unanswered func()) {
	if sim.now.Before(sim.downUntil) {
		sim.runOnAgent(timeout, unanswered)
		return
	}
	if sim.random.Float64() >= sim.lossRate {
		sim.schedule(sim.randomMilliseconds(0, 2), func() {
			handleResponse := execute()
			sim.runOnAgent(sim.randomMilliseconds(0, 2), handleResponse)
		})
		return
	}
	switch sim.random.IntN(3) {
	case 0:
		sim.schedule(sim.randomMilliseconds(0, 2), func() { execute() })
	case 1:
		// A request that waits in the backend server is lost when its process ends, unless it is delayed on its way there.
		b := sim.server
		sim.schedule(sim.randomMilliseconds(2000, 6000), func() {
			if sim.server == b || (sim.delayedOnWay && !sim.now.Before(sim.downUntil)) {
				execute()
			}
		})
	}
	sim.runOnAgent(timeout, unanswered)
}

func (sim *simulation) perform(actions []supervise.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case supervise.CallStart:
			if sim.numbers[a.Task] == nil {
				sim.numbers[a.Task] = map[int]int{}
			}
			sim.numbers[a.Task][a.Number] = sim.attempts[a.Task]
			sim.callServer(60*time.Millisecond, func() func() {
				result := sim.execute(a)
				clock := sim.server.clock(sim.now)
				return func() { sim.perform(sim.agent.StartAnswered(sim.now, a, result, clock)) }
			}, func() { sim.perform(sim.agent.StartAnswered(sim.now, a, supervise.Unanswered, 0)) })
		case supervise.CallStop:
			sim.callServer(150*time.Millisecond, func() func() {
				sim.expireLease()
				answered := !sim.fenced(a.Token)
				if answered {
					sim.server.highestEnded[a.Task] = max(sim.server.highestEnded[a.Task], a.Number)
					if sim.server.running[a.Task] == a.Number {
						sim.endRun(a.Task, supervise.Stopped)
					}
				}
				clock := sim.server.clock(sim.now)
				return func() { sim.perform(sim.agent.StopAnswered(sim.now, a, answered, clock)) }
			}, func() { sim.perform(sim.agent.StopAnswered(sim.now, a, false, 0)) })
		case supervise.CallHold:
			sim.hold(a.Hold, func() {})
		case supervise.SendReport:
			sim.report(a.Entry)
		}
	}
}

func (sim *simulation) hold(h supervise.Hold, then func()) {
	sim.callServer(h.Wait+80*time.Millisecond, func() func() {
		sim.expireLease()
		b := sim.server
		clock := b.clock(sim.now)
		if sim.fenced(h.Token) {
			return func() { sim.perform(sim.agent.HoldFenced(sim.now, h, clock)); then() }
		}
		if h.Renew {
			sim.extendLease(h.Until)
		}
		response := supervise.HoldResponse{Incarnation: b.incarnation, Clock: clock}
		for _, task := range b.tasks() {
			response.Running = append(response.Running, supervise.RunningTask{Task: task, Number: b.running[task]})
		}
		for _, e := range b.ends {
			if e.Sequence > h.Seen {
				response.Ended = append(response.Ended, e)
			}
		}
		return func() { sim.perform(sim.agent.HoldAnswered(sim.now, h, response)); then() }
	}, func() { sim.perform(sim.agent.HoldFailed(sim.now, h)); then() })
}

func (sim *simulation) holdLoop() {
	h, ok := sim.agent.NextHold(sim.now, supervise.HoldWait)
	if !ok {
		sim.runOnAgent(50*time.Millisecond, sim.holdLoop)
		return
	}
	sim.hold(h, func() { sim.runOnAgent(sim.randomMilliseconds(10, 150), sim.holdLoop) })
}

// report delivers a report of the agent to an entry within a few milliseconds.
func (sim *simulation) report(name string) {
	r := sim.agent.Report(sim.now, name)
	e := sim.entries[name]
	session := e.agentSession
	sim.schedule(sim.randomMilliseconds(0, 3), func() {
		if !e.connected || e.paused || e.session != session {
			return
		}
		e.lastReportAt, e.agentClock = sim.now, r.Clock
		for _, x := range r.Ended {
			sim.checkEnd(e, x.RunID, x.End)
		}
	})
}

// checkEnd records the end of a run at its entry and fails the test if the run continues on the backend server.
func (sim *simulation) checkEnd(e *entry, id supervise.RunID, end supervise.End) {
	delete(e.running, id)
	sim.ended[id] = end
	sim.expireLease()
	if n, ok := sim.server.running[id.Task]; ok && sim.numbers[id.Task][n] == id.Attempt {
		sim.t.Fatalf("seed %d, %v: %v was reported as %s but is still running",
			sim.seed, sim.now.Sub(time.Unix(1000, 0)), id, end)
	}
}

// sendToAgent sends a message on the current connection of an entry. The agent drops messages of connections that
// were replaced.
func (sim *simulation) sendToAgent(e *entry, do func()) {
	session := e.session
	sim.runOnAgent(sim.randomMilliseconds(0, 3), func() {
		if e.agentSession == session {
			do()
		}
	})
}

func (sim *simulation) extendSessionLoop(e *entry) {
	if e.connected && !e.paused {
		until := supervise.ClockTime(e.agentClock + supervise.SessionLease)
		sim.sendToAgent(e, func() { sim.agent.ExtendSession(e.name, until) })
	}
	if e.connected && sim.now.Sub(e.lastReportAt) > supervise.SessionLease {
		sim.disconnect(e)
	}
	sim.schedule(150*time.Millisecond, func() { sim.extendSessionLoop(e) })
}

// disconnect makes an entry treat the agent as lost. The entry counts its runs as ended after MaxRunAfterAgentLoss.
func (sim *simulation) disconnect(e *entry) {
	e.connected = false
	ids := e.running
	e.running = map[supervise.RunID]bool{}
	wait := max(e.lastReportAt.Add(supervise.MaxRunAfterAgentLoss).Sub(sim.now), 0)
	sim.schedule(wait, func() {
		for id := range ids {
			sim.checkEnd(e, id, supervise.Lost)
		}
	})
}

func (sim *simulation) connect(e *entry) {
	e.connected, e.paused, e.lastReportAt, e.agentClock = true, false, sim.now, 0
	e.session++
	session := e.session
	sim.runOnAgent(0, func() {
		e.agentSession = session
		sim.perform(sim.agent.Connect(sim.now, e.name))
		sim.perform(sim.agent.SetHome(e.name))
	})
}

func (sim *simulation) announce() {
	b := sim.server
	sim.announcements++
	s := supervise.Server{
		ID: "i-1", Pool: "pool", Incarnation: b.incarnation, Sequence: uint64(sim.announcements),
		Capacity: resource.Amount{Processor: 32000}, Clock: b.clock(sim.now),
	}
	sim.runOnAgent(sim.randomMilliseconds(0, 2), func() { sim.perform(sim.agent.Announce(sim.now, s)) })
	sim.schedule(1500*time.Millisecond, sim.announce)
}

// requestStart starts a task from a connected entry, as a new attempt if the previous one has ended.
func (sim *simulation) requestStart() {
	sim.schedule(sim.randomMilliseconds(5, 40), sim.requestStart)
	name := fmt.Sprintf("entry-%d", sim.random.IntN(2))
	e := sim.entries[name]
	task := batch.TaskID{Job: batch.JobID(fmt.Sprintf("job-%d", sim.random.IntN(12)))}
	previous := supervise.RunID{Task: task, Attempt: sim.attempts[task]}
	if _, done := sim.ended[previous]; !e.connected || e.paused || (previous.Attempt > 0 && !done) {
		return
	}
	sim.attempts[task]++
	id := supervise.RunID{Task: task, Attempt: sim.attempts[task]}
	e.running[id] = true
	sim.startRequests++
	sim.sendToAgent(e, func() {
		start := supervise.Start{RunID: id, Demand: resource.Amount{Processor: 3000}}
		sim.perform(sim.agent.StartRuns(sim.now, name, []supervise.Start{start}))
	})
	if sim.random.IntN(8) == 0 {
		sim.sendToAgent(e, func() { sim.perform(sim.agent.StopRuns(sim.now, name, []supervise.RunID{id})) })
	}
}

// injectFault freezes the agent, pauses or disconnects an entry, or restarts the backend server.
func (sim *simulation) injectFault() {
	sim.schedule(sim.randomMilliseconds(300, 2500), sim.injectFault)
	e := sim.entries[fmt.Sprintf("entry-%d", sim.random.IntN(2))]
	switch sim.random.IntN(5) {
	case 0:
		sim.frozenUntil = sim.now.Add(sim.randomMilliseconds(100, 3000))
	case 1:
		e.paused = true
	case 2:
		if e.connected {
			sim.sendToAgent(e, func() { sim.perform(sim.agent.Disconnect(sim.now, e.name)) })
			sim.disconnect(e)
		}
	case 3:
		old := sim.server
		sim.server = &simServer{
			incarnation: old.incarnation + 1, started: sim.now, clockRate: old.clockRate,
			running: map[batch.TaskID]int{}, highestEnded: map[batch.TaskID]int{},
		}
		if sim.delayedOnWay {
			sim.downUntil = sim.now.Add(sim.randomMilliseconds(0, 3000))
		}
	case 4:
	}
	sim.schedule(sim.randomMilliseconds(500, 3000), func() {
		if !e.connected {
			sim.connect(e)
		} else if e.paused {
			e.paused = false
		}
	})
}

func (sim *simulation) tick() {
	_, actions := sim.agent.Tick(sim.now)
	sim.perform(actions)
	sim.runOnAgent(50*time.Millisecond, sim.tick)
}

func (sim *simulation) sendReports() {
	for _, name := range slices.Sorted(maps.Keys(sim.entries)) {
		sim.report(name)
	}
	sim.runOnAgent(150*time.Millisecond, sim.sendReports)
}

// Guards against a run that continues after its entry was told, or had to assume, that it ended, and against a start
// request for such a run that is carried out late.
func TestRunsEndAsReported(t *testing.T) {
	starts := 0
	for seed := range uint64(300) {
		starts += simulate(t, seed, false)
	}
	if starts < 2000 {
		t.Errorf("%d runs started, want at least 2000", starts)
	}
}

// Guards against a start request that a restarted backend server carries out late, after the entry was told that the run
// was lost with the earlier process.
func TestRunsEndAsReportedBesideDelayedRequests(t *testing.T) {
	for seed := range uint64(300) {
		simulate(t, seed, true)
	}
}

// simulate plays 30 s and returns the number of runs that started.
func simulate(t *testing.T, seed uint64, delayedOnWay bool) (starts int) {
	t.Helper()
	sim := &simulation{
		t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 2)), now: time.Unix(1000, 0), delayedOnWay: delayedOnWay,
		agent: supervise.New(0), entries: map[string]*entry{}, lossRate: []float64{0, 0.05, 0.3}[seed%3],
		attempts: map[batch.TaskID]int{}, numbers: map[batch.TaskID]map[int]int{},
		ended: map[supervise.RunID]supervise.End{},
	}
	sim.server = &simServer{
		incarnation: 1, started: sim.now.Add(-time.Minute), clockRate: 0.98 + 0.04*sim.random.Float64(),
		running: map[batch.TaskID]int{}, highestEnded: map[batch.TaskID]int{},
	}
	for i := range 2 {
		e := &entry{name: fmt.Sprintf("entry-%d", i), running: map[supervise.RunID]bool{}}
		sim.entries[e.name] = e
		sim.connect(e)
		sim.extendSessionLoop(e)
	}
	sim.announce()
	sim.holdLoop()
	sim.tick()
	sim.sendReports()
	sim.requestStart()
	sim.injectFault()
	end := sim.now.Add(30 * time.Second)
	for sim.now.Before(end) {
		at, do, ok := sim.events.Pop()
		if !ok {
			break
		}
		sim.now = at
		do()
	}
	return sim.starts
}
