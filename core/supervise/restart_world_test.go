package supervise_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/resource"
	"dogwoodglade/core/supervise"
	"dogwoodglade/internal/timeline"
)

// restartFaults are the faults of a restartSimulation besides lost and late calls, freezes and lost sessions.
type restartFaults struct {
	agents     bool // agents are killed and start again, also right after a start call
	replaced   bool // backend servers leave, and the next one announces itself before they have ended
	restarts   bool // backend servers restart under their ID
	lateSends  bool // calls of a frozen agent are sent when it wakes
	overtaking bool // two hold calls at a time, whose responses overtake each other
	overlaps   bool // agents drain for up to 6 s while the next one is up
	power      bool // hosts lose power, and their clock begins anew
}

// restartSimulation runs the agents of one host one after the other, its backend servers and two entries.
type restartSimulation struct {
	t      *testing.T
	seed   uint64
	faults restartFaults
	random *rand.Rand
	now    time.Time
	booted time.Time // when the clock of the host began
	events timeline.EventQueue

	agent     *agentProcess // nil while none runs
	servers   []*hostedServer
	listening *hostedServer // nil while none listens
	lossRate  float64
	announced int
	saved     supervise.Server

	entries  []*restartEntry
	attempts map[batch.TaskID]int
	ended    map[supervise.RunID]supervise.End
	starts   int
	kills    int
	crashes  int // that are blamed on a run
}

type agentProcess struct {
	*supervise.Supervisor
	ended       bool
	frozenUntil time.Time
	sessions    map[string]int
}

type restartEntry struct {
	name         string
	agent        *agentProcess // that the connection leads to; nil if there is none
	session      int
	paused       bool
	lastReportAt time.Time
	agentClock   time.Duration
	running      map[supervise.RunID]bool
	lost         map[supervise.RunID]bool // runs of earlier sessions that are not known to have ended
}

type hostedRun struct {
	number int
	id     supervise.RunID
}

type hostedServer struct {
	id           string
	incarnation  int64
	started      time.Time
	rate         float64
	up           bool
	leaving      bool
	token        uint64
	leaseEnd     time.Duration
	running      map[batch.TaskID]hostedRun
	highestEnded map[batch.TaskID]int
	ends         []supervise.TaskEnd
	endCount     uint64
	sequence     uint64
	endedAt      map[supervise.RunID]time.Time
	downAt       time.Time
}

func (b *hostedServer) clock(now time.Time) time.Duration {
	return time.Duration(float64(now.Sub(b.started)) * b.rate)
}

func (b *hostedServer) end(now time.Time, task batch.TaskID, end supervise.End) {
	r := b.running[task]
	delete(b.running, task)
	b.endedAt[r.id] = now
	b.highestEnded[task] = max(b.highestEnded[task], r.number)
	b.endCount++
	b.ends = append(b.ends, supervise.TaskEnd{Sequence: b.endCount, Task: task, Number: r.number, End: end})
}

func (b *hostedServer) expire(now time.Time) {
	if b.clock(now) > b.leaseEnd {
		expiredAt := b.started.Add(time.Duration(float64(b.leaseEnd) / b.rate))
		for _, task := range slices.SortedFunc(maps.Keys(b.running), batch.TaskID.Compare) {
			b.end(expiredAt, task, supervise.Lost)
		}
	}
}

func (b *hostedServer) extend(now time.Time, until time.Duration) {
	b.leaseEnd = max(b.leaseEnd, min(until, b.clock(now)+time.Second))
}

func (b *hostedServer) fences(token uint64) bool {
	if token < b.token {
		return true
	}
	b.token = token
	return false
}

func (sim *restartSimulation) schedule(d time.Duration, do func()) {
	sim.events.Schedule(sim.now.Add(d), do)
}

func (sim *restartSimulation) between(low, high int) time.Duration {
	return time.Duration(low+sim.random.IntN(high-low+1)) * time.Millisecond
}

// hostTime is the clock of the host, by which the agent goes.
func (sim *restartSimulation) hostTime() time.Time {
	return time.Unix(1000, 0).Add(sim.now.Sub(sim.booted))
}

// onAgent calls do in the process of an agent, unless that has been killed by then.
func (sim *restartSimulation) onAgent(a *agentProcess, d time.Duration, do func()) {
	sim.schedule(d, func() {
		switch {
		case a.ended:
		case sim.now.Before(a.frozenUntil):
			sim.onAgent(a, a.frozenUntil.Sub(sim.now)+sim.between(0, 2), do)
		default:
			do()
		}
	})
}

// handlers are the functions that process the result of a call.
type handlers struct {
	outdated    func() bool // processes a call that is too old to be sent; nil if there is no limit
	execute     func(b *hostedServer) func()
	unanswered  func()
	refused     func()
	misdirected func()
}

func (sim *restartSimulation) call(a *agentProcess, server string, timeout time.Duration, h handlers) {
	if sim.faults.lateSends {
		sim.onAgent(a, sim.between(0, 1), func() {
			if h.outdated == nil || !h.outdated() {
				sim.send(a, server, timeout, h)
			}
		})
	} else {
		sim.send(a, server, timeout, h)
	}
}

func (sim *restartSimulation) send(a *agentProcess, server string, timeout time.Duration, h handlers) {
	b := sim.listening
	answer := func(do func()) {
		delay := sim.between(0, 2)
		if sim.faults.overtaking && sim.random.IntN(4) == 0 {
			delay = sim.between(0, 50)
		}
		sim.onAgent(a, delay, do)
	}
	switch {
	case b == nil && sim.random.IntN(2) == 0:
		answer(h.refused)
		return
	case b == nil:
	case b.id != server:
		answer(h.misdirected)
		return
	case sim.random.Float64() >= sim.lossRate:
		sim.schedule(sim.between(0, 2), func() {
			if !b.up {
				sim.onAgent(a, timeout, h.unanswered)
				return
			}
			b.expire(sim.now)
			answer(h.execute(b))
		})
		return
	default:
		delay := sim.between(0, 2)
		switch sim.random.IntN(4) {
		case 0:
			delay = sim.between(50, 1500)
		case 1:
			delay = sim.between(2000, 6000)
		case 2:
			delay = -1
		}
		if delay >= 0 {
			sim.schedule(delay, func() {
				if b.up {
					b.expire(sim.now)
					h.execute(b)
				}
			})
		}
	}
	sim.onAgent(a, timeout, h.unanswered)
}

func (sim *restartSimulation) start(b *hostedServer, c supervise.CallStart) supervise.StartResult {
	attempt, _ := strconv.Atoi(c.Spec)
	id := supervise.RunID{Task: c.Task, Attempt: attempt}
	switch {
	case b.fences(c.Token):
		return supervise.Fenced
	case c.Until < b.clock(sim.now):
		return supervise.Late
	}
	b.extend(sim.now, c.Until)
	if r, ok := b.running[c.Task]; ok && r.number == c.Number {
		return supervise.Accepted
	}
	if _, ok := b.running[c.Task]; ok || c.Number <= b.highestEnded[c.Task] {
		return supervise.Outdated
	}
	if end, ok := sim.ended[id]; ok && end != supervise.Done {
		sim.fail("%v started after it had counted as %s", id, end)
	}
	b.running[c.Task] = hostedRun{c.Number, id}
	sim.starts++
	sim.schedule(sim.between(20, 1500), func() {
		if b.expire(sim.now); b.up && b.running[c.Task].id == id && b.running[c.Task].number == c.Number {
			b.end(sim.now, c.Task, supervise.Done)
		}
	})
	return supervise.Accepted
}

func (sim *restartSimulation) fail(format string, arguments ...any) {
	sim.t.Helper()
	sim.t.Fatalf("seed %d, %v: %s", sim.seed, sim.now.Sub(time.Unix(1000, 0)), fmt.Sprintf(format, arguments...))
}

func (sim *restartSimulation) perform(a *agentProcess, actions []supervise.Action) {
	for _, x := range actions {
		if a.ended {
			return
		}
		switch c := x.(type) {
		case supervise.CallStart:
			answered := func(result supervise.StartResult, clock time.Duration) func() {
				return func() { sim.perform(a, a.StartAnswered(sim.hostTime(), c, result, clock)) }
			}
			sim.call(a, c.Server, 60*time.Millisecond, handlers{
				outdated: func() bool {
					outdated := c.Age(sim.hostTime()) > 60*time.Millisecond
					if outdated {
						answered(supervise.Late, 0)()
					}
					return outdated
				},
				execute: func(b *hostedServer) func() {
					result := sim.start(b, c)
					return answered(result, b.clock(sim.now))
				},
				unanswered: answered(supervise.Unanswered, 0), refused: answered(supervise.NotListening, 0),
				misdirected: answered(supervise.OtherServer, 0),
			})
			if sim.faults.agents && sim.random.IntN(60) == 0 {
				sim.schedule(sim.between(0, 3), func() { sim.kill(a) })
			}
		case supervise.CallStop:
			failed := func() { sim.perform(a, a.StopAnswered(sim.hostTime(), c, false, 0)) }
			sim.call(a, c.Server, 100*time.Millisecond, handlers{
				execute: func(b *hostedServer) func() {
					ok := !b.fences(c.Token)
					if ok {
						b.highestEnded[c.Task] = max(b.highestEnded[c.Task], c.Number)
						if r, running := b.running[c.Task]; running && r.number == c.Number {
							b.end(sim.now, c.Task, supervise.Stopped)
						}
					}
					clock := b.clock(sim.now)
					return func() { sim.perform(a, a.StopAnswered(sim.hostTime(), c, ok, clock)) }
				},
				unanswered: failed, refused: failed, misdirected: failed,
			})
		case supervise.CallHold:
			sim.hold(a, c.Hold, func() {})
		case supervise.SendReport:
			sim.report(a, c.Entry)
		}
	}
}

func (sim *restartSimulation) hold(a *agentProcess, h supervise.Hold, then func()) {
	sim.call(a, h.Server, h.Wait+80*time.Millisecond, handlers{
		execute: func(b *hostedServer) func() {
			clock := b.clock(sim.now)
			if b.fences(h.Token) {
				return func() { sim.perform(a, a.HoldFenced(sim.hostTime(), h, clock)); then() }
			}
			if h.Renew {
				b.extend(sim.now, h.Until)
			}
			response := supervise.HoldResponse{Incarnation: b.incarnation, Clock: clock}
			for _, task := range slices.SortedFunc(maps.Keys(b.running), batch.TaskID.Compare) {
				response.Running = append(response.Running, supervise.RunningTask{Task: task, Number: b.running[task].number})
			}
			b.ends = slices.DeleteFunc(b.ends, func(e supervise.TaskEnd) bool { return e.Sequence <= h.Seen })
			response.Ended = slices.Clone(b.ends)
			return func() { sim.perform(a, a.HoldAnswered(sim.hostTime(), h, response)); then() }
		},
		unanswered:  func() { sim.perform(a, a.HoldFailed(sim.hostTime(), h)); then() },
		refused:     func() { sim.perform(a, a.HoldRefused(sim.hostTime(), h)); then() },
		misdirected: func() { sim.perform(a, a.HoldMisdirected(sim.hostTime(), h)); then() },
	})
}

func (sim *restartSimulation) holdLoop(a *agentProcess) {
	h, ok := a.NextHold(sim.hostTime(), supervise.HoldWait)
	if !ok {
		sim.onAgent(a, 50*time.Millisecond, func() { sim.holdLoop(a) })
		return
	}
	sim.hold(a, h, func() { sim.onAgent(a, sim.between(5, 100), func() { sim.holdLoop(a) }) })
}

func (sim *restartSimulation) report(a *agentProcess, name string) {
	r := a.Report(sim.hostTime(), name)
	i, _ := strconv.Atoi(name)
	e := sim.entries[i]
	session := a.sessions[name]
	sim.schedule(sim.between(0, 3), func() {
		if e.agent != a || e.paused || e.session != session {
			return
		}
		e.lastReportAt, e.agentClock = sim.now, r.Clock
		for _, x := range r.Ended {
			if e.running[x.RunID] {
				delete(e.running, x.RunID)
				sim.countEnd(x.RunID, x.End)
			}
			if x.End == supervise.Crashed && !x.Uncertain {
				sim.checkCrash(x.RunID)
			}
		}
		if r.Offered {
			sim.endLost(e, "offered")
		}
	})
}

func (sim *restartSimulation) endLost(e *restartEntry, why string) {
	for _, id := range slices.SortedFunc(maps.Keys(e.lost), compareRuns) {
		delete(e.lost, id)
		sim.countEnd(id, supervise.End("Lost, "+why))
	}
}

func compareRuns(a, b supervise.RunID) int { return a.Task.Compare(b.Task) }

// countEnd fails the test if a run goes on although its entry counts it as ended.
func (sim *restartSimulation) countEnd(id supervise.RunID, end supervise.End) {
	sim.ended[id] = end
	for _, b := range sim.servers {
		if b.expire(sim.now); b.up && b.running[id.Task].id == id {
			sim.fail("%v counts as %s but is still running", id, end)
		}
	}
}

// checkCrash fails the test if a run had not been on a backend server within 100 ms before that crashed.
func (sim *restartSimulation) checkCrash(id supervise.RunID) {
	sim.crashes++
	if !slices.ContainsFunc(sim.servers, func(b *hostedServer) bool {
		endedAt, ended := b.endedAt[id]
		return !b.up && (b.running[id.Task].id == id || (ended && b.downAt.Sub(endedAt) <= 100*time.Millisecond))
	}) {
		sim.fail("a crash is blamed on %v, which was not running", id)
	}
}

func (sim *restartSimulation) sendToAgent(e *restartEntry, do func(a *agentProcess)) {
	a, session := e.agent, e.session
	sim.onAgent(a, sim.between(0, 3), func() {
		if a.sessions[e.name] == session {
			do(a)
		}
	})
}

func (sim *restartSimulation) keepSessions(e *restartEntry) {
	if e.agent != nil && !e.paused {
		if e.agentClock > 0 {
			until := supervise.ClockTime(e.agentClock + supervise.SessionLease)
			sim.sendToAgent(e, func(a *agentProcess) { a.ExtendSession(e.name, until) })
		}
		if sim.now.Sub(e.lastReportAt) > supervise.SessionLease {
			sim.disconnect(e)
		}
	}
	sim.schedule(150*time.Millisecond, func() { sim.keepSessions(e) })
}

func (sim *restartSimulation) disconnect(e *restartEntry) {
	e.agent = nil
	ids := slices.SortedFunc(maps.Keys(e.running), compareRuns)
	for _, id := range ids {
		e.lost[id] = true
	}
	clear(e.running)
	sim.schedule(max(e.lastReportAt.Add(supervise.MaxRunAfterAgentLoss).Sub(sim.now), 0), func() {
		for _, id := range ids {
			if e.lost[id] {
				delete(e.lost, id)
				sim.countEnd(id, "Lost, in time")
			}
		}
	})
}

func (sim *restartSimulation) connect(e *restartEntry) {
	if sim.agent == nil || e.agent == sim.agent || (e.agent != nil && !sim.faults.overlaps) {
		return
	}
	if old := e.agent; old != nil {
		session := e.session
		sim.disconnect(e)
		sim.onAgent(old, sim.between(0, 3), func() {
			if old.sessions[e.name] == session {
				sim.perform(old, old.Disconnect(sim.hostTime(), e.name))
			}
		})
	}
	a := sim.agent
	e.agent, e.paused, e.lastReportAt, e.agentClock = a, false, sim.now, 0
	e.session++
	session := e.session
	sim.onAgent(a, 0, func() {
		a.sessions[e.name] = session
		sim.perform(a, a.Connect(sim.hostTime(), e.name))
		sim.perform(a, a.SetHome(e.name))
	})
}

func (sim *restartSimulation) kill(a *agentProcess) {
	if a.ended {
		return
	}
	a.ended = true
	sim.kills++
	for _, e := range sim.entries {
		if e.agent == a && sim.random.IntN(3) > 0 {
			sim.schedule(sim.between(0, 3), func() {
				if e.agent == a {
					sim.disconnect(e)
				}
			})
		}
	}
	if sim.agent == a {
		sim.agent = nil
		sim.schedule(sim.between(20, 2500), sim.startAgent)
	}
}

// overlap makes an agent drain while the next one starts.
func (sim *restartSimulation) overlap(a *agentProcess) {
	grace := sim.between(500, 6000)
	sim.onAgent(a, 0, func() { sim.perform(a, a.Drain()) })
	sim.onAgent(a, grace-400*time.Millisecond, func() { sim.perform(a, a.StopAll(sim.hostTime())) })
	sim.schedule(grace, func() { sim.kill(a) })
	sim.agent = nil
	sim.schedule(sim.between(0, 500), sim.startAgent)
}

func (sim *restartSimulation) startAgent() {
	a := &agentProcess{Supervisor: supervise.New(0), sessions: map[string]int{}}
	sim.agent = a
	sim.holdLoop(a)
	if sim.faults.overtaking {
		sim.holdLoop(a)
	}
	sim.tick(a)
	if saved := sim.saved; sim.random.IntN(3) > 0 {
		sim.onAgent(a, sim.between(2, 400), func() { sim.perform(a, a.Restore(sim.hostTime(), saved)) })
	}
	for _, e := range sim.entries {
		sim.schedule(sim.between(5, 600), func() { sim.connect(e) })
	}
}

func (sim *restartSimulation) tick(a *agentProcess) {
	_, actions := a.Tick(sim.hostTime())
	sim.perform(a, actions)
	for _, e := range sim.entries {
		sim.report(a, e.name)
	}
	sim.onAgent(a, 50*time.Millisecond, func() { sim.tick(a) })
}

func (sim *restartSimulation) startServer(id string, incarnation int64, after time.Duration) *hostedServer {
	b := &hostedServer{
		id: id, incarnation: incarnation, started: sim.now.Add(-after), rate: 0.98 + 0.02*sim.random.Float64(), up: true,
		running: map[batch.TaskID]hostedRun{}, highestEnded: map[batch.TaskID]int{}, endedAt: map[supervise.RunID]time.Time{},
	}
	sim.servers = append(sim.servers, b)
	sim.announce(b)
	return b
}

func (sim *restartSimulation) announce(b *hostedServer) {
	if !b.up {
		return
	}
	b.sequence++
	s := supervise.Server{
		ID: b.id, Pool: "pool", Incarnation: b.incarnation, Sequence: b.sequence, Capacity: resource.Amount{Processor: 32000},
		Clock: b.clock(sim.now),
	}
	delay := sim.between(0, 2)
	if sim.random.IntN(5) == 0 {
		delay = sim.between(100, 4000)
	}
	sim.schedule(delay, func() {
		if a := sim.agent; a != nil {
			sim.onAgent(a, 0, func() {
				sim.perform(a, a.Announce(sim.hostTime(), s))
				if known, ok := a.Server(); ok && !known.Equivalent(sim.saved) {
					sim.saved = known
				}
			})
		}
	})
	sim.schedule(1500*time.Millisecond, func() { sim.announce(b) })
}

func (sim *restartSimulation) end(b *hostedServer) {
	b.expire(sim.now)
	b.up, b.downAt = false, sim.now
	if sim.listening == b {
		sim.listening = nil
	}
}

func (sim *restartSimulation) replaceServer() {
	b := sim.listening
	if b == nil || b.leaving {
		return
	}
	b.leaving = true
	if a := sim.agent; a != nil {
		sim.onAgent(a, 0, func() { sim.perform(a, a.Leave(b.id)) })
	}
	sim.announced++
	next := sim.startServer(fmt.Sprintf("i-%d", sim.announced), sim.now.UnixMilli(), 0)
	sim.schedule(sim.between(0, 700), func() {
		sim.end(b)
		sim.schedule(sim.between(0, 50), func() { sim.listening = next })
	})
}

func (sim *restartSimulation) restartServer() {
	b := sim.listening
	if b == nil || b.leaving {
		return
	}
	sim.end(b)
	down := sim.between(1, 20)
	if sim.random.IntN(2) == 0 {
		down = sim.between(100, 3000)
	}
	sim.schedule(down, func() { sim.listening = sim.startServer(b.id, sim.now.UnixMilli(), 0) })
}

// losePower ends the agent and the backend server. Either of them may be back first.
func (sim *restartSimulation) losePower() {
	b, a := sim.listening, sim.agent
	if b == nil || b.leaving || a == nil {
		return
	}
	sim.kill(a)
	sim.end(b)
	sim.booted = sim.now.Add(-sim.between(0, 5000))
	id := b.id
	if sim.random.IntN(2) == 0 {
		sim.announced++
		id = fmt.Sprintf("i-%d", sim.announced)
	}
	sim.schedule(sim.between(20, 3000), func() { sim.listening = sim.startServer(id, sim.now.UnixMilli(), 0) })
}

func (sim *restartSimulation) requestStart() {
	sim.schedule(sim.between(5, 40), sim.requestStart)
	e := sim.entries[sim.random.IntN(len(sim.entries))]
	task := batch.TaskID{Job: batch.JobID(strconv.Itoa(sim.random.IntN(12)))}
	_, ended := sim.ended[supervise.RunID{Task: task, Attempt: sim.attempts[task]}]
	if e.agent == nil || e.paused || (sim.attempts[task] > 0 && !ended) {
		return
	}
	sim.attempts[task]++
	id := supervise.RunID{Task: task, Attempt: sim.attempts[task]}
	e.running[id] = true
	sim.sendToAgent(e, func(a *agentProcess) {
		sim.perform(a, a.StartRuns(sim.hostTime(), e.name, []supervise.Start{{
			RunID: id, Demand: resource.Amount{Processor: 2000}, Spec: strconv.Itoa(id.Attempt),
		}}))
	})
	if sim.random.IntN(8) == 0 {
		sim.sendToAgent(e, func(a *agentProcess) { sim.perform(a, a.StopRuns(sim.hostTime(), e.name, []supervise.RunID{id})) })
	}
}

func (sim *restartSimulation) injectFault() {
	sim.schedule(sim.between(200, 2000), sim.injectFault)
	e := sim.entries[sim.random.IntN(len(sim.entries))]
	switch a := sim.agent; sim.random.IntN(6) {
	case 0:
		if a != nil {
			a.frozenUntil = sim.now.Add(sim.between(50, 3000))
		}
	case 1:
		e.paused = true
	case 2:
		if e.agent != nil {
			sim.sendToAgent(e, func(a *agentProcess) { sim.perform(a, a.Disconnect(sim.hostTime(), e.name)) })
			sim.disconnect(e)
		}
	case 3:
		if sim.faults.restarts {
			sim.restartServer()
		}
	case 4:
		if sim.faults.replaced {
			sim.replaceServer()
		}
	case 5:
		sim.endAgent()
	}
	sim.schedule(sim.between(300, 2500), func() {
		e.paused = false
		sim.connect(e)
	})
}

func (sim *restartSimulation) endAgent() {
	switch a := sim.agent; {
	case a == nil:
	case sim.faults.agents:
		sim.kill(a)
	case sim.faults.overlaps:
		sim.overlap(a)
	case sim.faults.power:
		sim.losePower()
	}
}

func simulateRestarts(t *testing.T, seed uint64, faults restartFaults) *restartSimulation {
	t.Helper()
	sim := &restartSimulation{
		t: t, seed: seed, faults: faults, random: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(1000, 0),
		booted: time.Unix(1000, 0), lossRate: []float64{0.02, 0.1, 0.3}[seed%3], attempts: map[batch.TaskID]int{},
		ended: map[supervise.RunID]supervise.End{},
	}
	for i := range 2 {
		e := &restartEntry{
			name: strconv.Itoa(i), running: map[supervise.RunID]bool{}, lost: map[supervise.RunID]bool{},
		}
		sim.entries = append(sim.entries, e)
		sim.keepSessions(e)
	}
	sim.listening = sim.startServer("i-0", sim.now.Add(-time.Minute).UnixMilli(), time.Minute)
	sim.startAgent()
	sim.requestStart()
	sim.injectFault()
	for end := sim.now.Add(30 * time.Second); sim.now.Before(end); {
		at, do, ok := sim.events.Pop()
		if !ok {
			break
		}
		sim.now = at
		do()
	}
	return sim
}

// Guards against a run that goes on, or starts, after its entry has counted it as ended, beside restarts on its host, and
// against a crash that is blamed on a run that had ended.
func TestRunsEndAsCountedBesideRestarts(t *testing.T) {
	for name, faults := range map[string]restartFaults{
		"agents":                  {agents: true},
		"agents, overtaking":      {agents: true, overtaking: true},
		"agents, late sends":      {agents: true, lateSends: true},
		"agents, replaced":        {agents: true, replaced: true, overtaking: true},
		"agents, restarts":        {agents: true, restarts: true},
		"restarts, overtaking":    {restarts: true, overtaking: true},
		"restarts, late sends":    {restarts: true, lateSends: true},
		"all":                     {agents: true, replaced: true, restarts: true, lateSends: true, overtaking: true},
		"overlapping, overtaking": {overlaps: true, overtaking: true},
		"overlapping, late sends": {overlaps: true, lateSends: true, replaced: true},
		"power":                   {power: true, restarts: true, overtaking: true},
	} {
		t.Run(name, func(t *testing.T) {
			starts, kills, crashes := 0, 0, 0
			for seed := range uint64(150) {
				sim := simulateRestarts(t, seed, faults)
				starts, kills, crashes = starts+sim.starts, kills+sim.kills, crashes+sim.crashes
			}
			t.Logf("%d runs started, %d agents killed, %d runs blamed for a crash", starts, kills, crashes)
			if starts < 2000 {
				t.Errorf("%d runs started, want at least 2000", starts)
			}
			if faults.restarts && crashes < 100 {
				t.Errorf("%d runs blamed for a crash, want at least 100", crashes)
			}
		})
	}
}
