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

// simulation runs one supervisor, its backend server and two entries in simulated time. Answers of the backend
// server get lost, requests are carried out seconds late or out of order, the agent freezes, entries stop sending,
// and the backend server restarts under the same ID.
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

	attempts map[batch.TaskID]int              // latest attempt
	numbers  map[batch.TaskID]map[int]int      // attempt by run number
	ended    map[supervise.RunID]supervise.End // as reported to entries
	orders   int
	starts   int
}

type entry struct {
	name         string
	connected    bool
	silent       bool
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
func (w *simulation) schedule(d time.Duration, do func()) { w.events.Schedule(w.now.Add(d), do) }

// runOnAgent calls do in the agent's process after d, or later if the agent is frozen.
func (w *simulation) runOnAgent(d time.Duration, do func()) {
	w.schedule(d, func() {
		if w.now.Before(w.frozenUntil) {
			w.runOnAgent(w.frozenUntil.Sub(w.now)+time.Duration(w.random.IntN(3))*time.Millisecond, do)
			return
		}
		do()
	})
}

func (w *simulation) randomMilliseconds(low, high int) time.Duration {
	return time.Duration(low+w.random.IntN(high-low+1)) * time.Millisecond
}

func (b *simServer) clock(now time.Time) time.Duration {
	return time.Duration(float64(now.Sub(b.started)) * b.clockRate)
}

func (b *simServer) tasks() []batch.TaskID {
	return slices.SortedFunc(maps.Keys(b.running), batch.TaskID.Compare)
}

const leaseLimit = time.Second

func (w *simulation) expireLease() {
	if b := w.server; b.clock(w.now) > b.leaseEnd {
		for _, task := range b.tasks() {
			w.endRun(task, supervise.Lost)
		}
	}
}

func (w *simulation) endRun(task batch.TaskID, how supervise.End) {
	b := w.server
	number, ok := b.running[task]
	if !ok {
		return
	}
	delete(b.running, task)
	b.highestEnded[task] = max(b.highestEnded[task], number)
	b.endCount++
	b.ends = append(b.ends, supervise.TaskEnd{Sequence: b.endCount, Task: task, Number: number, End: how})
}

func (w *simulation) extendLease(until time.Duration) {
	b := w.server
	b.leaseEnd = max(b.leaseEnd, min(until, b.clock(w.now)+leaseLimit))
}

func (w *simulation) fenced(token uint64) bool {
	if token < w.server.token {
		return true
	}
	w.server.token = token
	return false
}

// execute carries out a start on the backend server.
func (w *simulation) execute(c supervise.CallStart) supervise.StartResult {
	w.expireLease()
	b := w.server
	switch {
	case w.fenced(c.Token):
		return supervise.Fenced
	case c.Until < b.clock(w.now):
		return supervise.Late
	}
	w.extendLease(c.Until)
	if n, ok := b.running[c.Task]; ok {
		if n == c.Number {
			return supervise.Accepted
		}
		w.t.Fatalf("seed %d: run %d of %v started while run %d was still running", w.seed, c.Number, c.Task, n)
	}
	if c.Number <= b.highestEnded[c.Task] {
		return supervise.Outdated
	}
	id := supervise.RunID{Task: c.Task, Attempt: w.numbers[c.Task][c.Number]}
	if end, ok := w.ended[id]; ok {
		w.t.Fatalf("seed %d: %v started after it had been reported as %s", w.seed, id, end)
	}
	b.running[c.Task] = c.Number
	w.starts++
	w.schedule(w.randomMilliseconds(20, 900), func() {
		if w.server == b && b.running[c.Task] == c.Number {
			w.endRun(c.Task, supervise.Done)
		}
	})
	return supervise.Accepted
}

// callServer sends a request to the backend server. A request that gets no answer is carried out at once, later or
// never.
func (w *simulation) callServer(timeout time.Duration, execute func() func(), unanswered func()) {
	if w.random.Float64() >= w.lossRate {
		w.schedule(w.randomMilliseconds(0, 2), func() {
			answer := execute()
			w.runOnAgent(w.randomMilliseconds(0, 2), answer)
		})
		return
	}
	switch w.random.IntN(3) {
	case 0:
		w.schedule(w.randomMilliseconds(0, 2), func() { execute() })
	case 1:
		// A request that waits in the backend server is lost when its process ends.
		b := w.server
		w.schedule(w.randomMilliseconds(2000, 6000), func() {
			if w.server == b {
				execute()
			}
		})
	}
	w.runOnAgent(timeout, unanswered)
}

func (w *simulation) perform(actions []supervise.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case supervise.CallStart:
			if w.numbers[a.Task] == nil {
				w.numbers[a.Task] = map[int]int{}
			}
			w.numbers[a.Task][a.Number] = w.attempts[a.Task]
			w.callServer(60*time.Millisecond, func() func() {
				result := w.execute(a)
				clock := w.server.clock(w.now)
				return func() { w.perform(w.agent.StartAnswered(w.now, a, result, clock)) }
			}, func() { w.perform(w.agent.StartAnswered(w.now, a, supervise.Unanswered, 0)) })
		case supervise.CallStop:
			w.callServer(150*time.Millisecond, func() func() {
				w.expireLease()
				answered := !w.fenced(a.Token)
				if answered {
					w.server.highestEnded[a.Task] = max(w.server.highestEnded[a.Task], a.Number)
					if w.server.running[a.Task] == a.Number {
						w.endRun(a.Task, supervise.Stopped)
					}
				}
				clock := w.server.clock(w.now)
				return func() { w.perform(w.agent.StopAnswered(w.now, a, answered, clock)) }
			}, func() { w.perform(w.agent.StopAnswered(w.now, a, false, 0)) })
		case supervise.CallHold:
			w.hold(a.Hold, func() {})
		case supervise.SendReport:
			w.report(a.Entry)
		}
	}
}

func (w *simulation) hold(h supervise.Hold, then func()) {
	w.callServer(h.Wait+80*time.Millisecond, func() func() {
		w.expireLease()
		b := w.server
		clock := b.clock(w.now)
		if w.fenced(h.Token) {
			return func() { w.perform(w.agent.HoldFenced(w.now, h, clock)); then() }
		}
		if h.Renew {
			w.extendLease(h.Until)
		}
		answer := supervise.HoldResponse{Incarnation: b.incarnation, Clock: clock}
		for _, task := range b.tasks() {
			answer.Running = append(answer.Running, supervise.RunningTask{Task: task, Number: b.running[task]})
		}
		for _, e := range b.ends {
			if e.Sequence > h.Seen {
				answer.Ended = append(answer.Ended, e)
			}
		}
		return func() { w.perform(w.agent.HoldAnswered(w.now, h, answer)); then() }
	}, func() { w.perform(w.agent.HoldFailed(w.now, h)); then() })
}

func (w *simulation) holdLoop() {
	h, ok := w.agent.NextHold(w.now)
	if !ok {
		w.runOnAgent(50*time.Millisecond, w.holdLoop)
		return
	}
	w.hold(h, func() { w.runOnAgent(w.randomMilliseconds(10, 150), w.holdLoop) })
}

// report delivers a report of the agent to an entry within a few milliseconds.
func (w *simulation) report(name string) {
	r := w.agent.Report(w.now, name)
	e := w.entries[name]
	session := e.agentSession
	w.schedule(w.randomMilliseconds(0, 3), func() {
		if !e.connected || e.silent || e.session != session {
			return
		}
		e.lastReportAt, e.agentClock = w.now, r.Clock
		for _, x := range r.Ended {
			w.checkEnd(e, x.RunID, x.End)
		}
	})
}

// checkEnd records the end of a run at its entry and fails the test if the run continues on the backend server.
func (w *simulation) checkEnd(e *entry, id supervise.RunID, end supervise.End) {
	delete(e.running, id)
	w.ended[id] = end
	w.expireLease()
	if n, ok := w.server.running[id.Task]; ok && w.numbers[id.Task][n] == id.Attempt {
		w.t.Fatalf("seed %d, %v: %v was reported as %s but is still running", w.seed, w.now.Sub(time.Unix(1000, 0)), id, end)
	}
}

// sendToAgent sends a message on the current connection of an entry. The agent drops messages of connections that
// were replaced.
func (w *simulation) sendToAgent(e *entry, do func()) {
	session := e.session
	w.runOnAgent(w.randomMilliseconds(0, 3), func() {
		if e.agentSession == session {
			do()
		}
	})
}

func (w *simulation) keepLoop(e *entry) {
	if e.connected && !e.silent {
		until := supervise.ClockTime(e.agentClock + supervise.SessionLease)
		w.sendToAgent(e, func() { w.agent.ExtendSession(e.name, until) })
	}
	if e.connected && w.now.Sub(e.lastReportAt) > supervise.SessionLease {
		w.disconnect(e)
	}
	w.schedule(150*time.Millisecond, func() { w.keepLoop(e) })
}

// disconnect makes an entry treat the agent as lost. The entry counts its runs as ended after MaxRunAfterAgentLoss.
func (w *simulation) disconnect(e *entry) {
	e.connected = false
	ids := e.running
	e.running = map[supervise.RunID]bool{}
	wait := max(e.lastReportAt.Add(supervise.MaxRunAfterAgentLoss).Sub(w.now), 0)
	w.schedule(wait, func() {
		for id := range ids {
			w.checkEnd(e, id, supervise.Lost)
		}
	})
}

func (w *simulation) connect(e *entry) {
	e.connected, e.silent, e.lastReportAt, e.agentClock = true, false, w.now, 0
	e.session++
	session := e.session
	w.runOnAgent(0, func() {
		e.agentSession = session
		w.perform(w.agent.Connect(w.now, e.name))
		w.perform(w.agent.SetHome(e.name))
	})
}

func (w *simulation) announce() {
	b := w.server
	w.announcements++
	s := supervise.Server{
		ID: "i-1", Pool: "pool", Incarnation: b.incarnation, Sequence: uint64(w.announcements),
		Capacity: resource.Amount{Processor: 32000}, Clock: b.clock(w.now),
	}
	w.runOnAgent(w.randomMilliseconds(0, 2), func() { w.perform(w.agent.Announce(w.now, s)) })
	w.schedule(1500*time.Millisecond, w.announce)
}

// order starts a task from a connected entry, as a new attempt if the previous one has ended.
func (w *simulation) order() {
	w.schedule(w.randomMilliseconds(5, 40), w.order)
	name := fmt.Sprintf("entry-%d", w.random.IntN(2))
	e := w.entries[name]
	task := batch.TaskID{Job: batch.JobID(fmt.Sprintf("job-%d", w.random.IntN(12)))}
	previous := supervise.RunID{Task: task, Attempt: w.attempts[task]}
	if _, done := w.ended[previous]; !e.connected || e.silent || (previous.Attempt > 0 && !done) {
		return
	}
	w.attempts[task]++
	id := supervise.RunID{Task: task, Attempt: w.attempts[task]}
	e.running[id] = true
	w.orders++
	w.sendToAgent(e, func() {
		w.perform(w.agent.StartRuns(w.now, name, []supervise.Start{{RunID: id, Demand: resource.Amount{Processor: 3000}}}))
	})
	if w.random.IntN(8) == 0 {
		w.sendToAgent(e, func() { w.perform(w.agent.StopRuns(w.now, name, []supervise.RunID{id})) })
	}
}

// injectFault freezes the agent, silences or disconnects an entry, or restarts the backend server.
func (w *simulation) injectFault() {
	w.schedule(w.randomMilliseconds(300, 2500), w.injectFault)
	e := w.entries[fmt.Sprintf("entry-%d", w.random.IntN(2))]
	switch w.random.IntN(5) {
	case 0:
		w.frozenUntil = w.now.Add(w.randomMilliseconds(100, 3000))
	case 1:
		e.silent = true
	case 2:
		if e.connected {
			w.sendToAgent(e, func() { w.perform(w.agent.Disconnect(w.now, e.name)) })
			w.disconnect(e)
		}
	case 3:
		old := w.server
		w.server = &simServer{
			incarnation: old.incarnation + 1, started: w.now, clockRate: old.clockRate,
			running: map[batch.TaskID]int{}, highestEnded: map[batch.TaskID]int{},
		}
	case 4:
	}
	w.schedule(w.randomMilliseconds(500, 3000), func() {
		if !e.connected {
			w.connect(e)
		} else if e.silent {
			e.silent = false
		}
	})
}

func (w *simulation) tick() {
	_, actions := w.agent.Tick(w.now)
	w.perform(actions)
	w.runOnAgent(50*time.Millisecond, w.tick)
}

func (w *simulation) sendReports() {
	for _, name := range slices.Sorted(maps.Keys(w.entries)) {
		w.report(name)
	}
	w.runOnAgent(150*time.Millisecond, w.sendReports)
}

// Guards against a run that continues after its entry was told, or had to assume, that it ended, and against a start
// request for such a run that is carried out late.
func TestRunsEndAsReported(t *testing.T) {
	starts := 0
	for seed := range uint64(300) {
		w := &simulation{
			t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 2)), now: time.Unix(1000, 0),
			agent: supervise.New(), entries: map[string]*entry{}, lossRate: []float64{0, 0.05, 0.3}[seed%3],
			attempts: map[batch.TaskID]int{}, numbers: map[batch.TaskID]map[int]int{},
			ended: map[supervise.RunID]supervise.End{},
		}
		w.server = &simServer{
			incarnation: 1, started: w.now.Add(-time.Minute), clockRate: 0.98 + 0.04*w.random.Float64(),
			running: map[batch.TaskID]int{}, highestEnded: map[batch.TaskID]int{},
		}
		for i := range 2 {
			e := &entry{name: fmt.Sprintf("entry-%d", i), running: map[supervise.RunID]bool{}}
			w.entries[e.name] = e
			w.connect(e)
			w.keepLoop(e)
		}
		w.announce()
		w.holdLoop()
		w.tick()
		w.sendReports()
		w.order()
		w.injectFault()
		end := w.now.Add(30 * time.Second)
		for w.now.Before(end) {
			at, do, ok := w.events.Pop()
			if !ok {
				break
			}
			w.now = at
			do()
		}
		starts += w.starts
	}
	if starts < 2000 {
		t.Errorf("%d runs started, want at least 2000", starts)
	}
}
