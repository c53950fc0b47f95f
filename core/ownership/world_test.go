package ownership_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"dogwoodglade/core/event"
	"dogwoodglade/core/ownership"
	"dogwoodglade/core/shard"
	"dogwoodglade/core/task"
)

type timer struct {
	at  time.Time
	seq int
	fn  func()
}

type timers []timer

func (q timers) Len() int { return len(q) }
func (q timers) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q timers) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *timers) Push(x any)   { *q = append(*q, x.(timer)) }
func (q *timers) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// job models the owner of one shard at one entry.
type job struct {
	id         shard.ID
	epoch      shard.Epoch
	startEpoch shard.Epoch
	complete   bool
	drained    bool
	ended      bool
	records    map[task.JobID]task.Record
	open       map[task.JobID]bool
	forward    []task.JobID
}

type node struct {
	name, inc string
	own       *ownership.Ownership
	dead      bool
	draining  bool
	paused    time.Time
	jobs      map[shard.ID]*job
	connected map[string]string
}

type fakeAgent struct {
	name, inc  string
	dead       bool
	registered bool
	leaving    bool
	born       time.Time
	epochs     map[shard.ID]shard.Epoch
	records    []task.Record
	heard      map[string]time.Time
}

// world is a region on a fake clock. Every random choice comes from one seed.
type world struct {
	random   *rand.Rand
	now      time.Time
	queue    timers
	seq      int
	nodes    map[string]*node
	agents   map[string]*fakeAgent
	cut      map[[2]string]bool
	lossy    bool
	down     bool
	slow     bool
	row      ownership.ShardsRow
	registry map[string]ownership.AgentRow
	objects  map[string][]task.Record
	started  map[task.JobID]string
	tickets  map[task.JobID]shard.Ticket
	keys     []task.JobID
	fault    string

	submitting bool
	loseWrite  bool // lose the answer of the next write of the row
	loseNext   bool
	counts     map[string]int // of actions

	// Mutations of the protocol.
	noHandshake  bool
	ignoreFences bool
}

func newWorld(seed uint64) *world {
	return &world{
		random: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1_700_000_000, 0),
		nodes: map[string]*node{}, agents: map[string]*fakeAgent{}, cut: map[[2]string]bool{},
		registry: map[string]ownership.AgentRow{}, objects: map[string][]task.Record{},
		started: map[task.JobID]string{}, tickets: map[task.JobID]shard.Ticket{},
		counts: map[string]int{},
	}
}

func (w *world) fail(format string, args ...any) {
	if w.fault == "" {
		w.fault = fmt.Sprintf(format, args...)
	}
}

func (w *world) after(d time.Duration, fn func()) {
	w.seq++
	heap.Push(&w.queue, timer{w.now.Add(d), w.seq, fn})
}

func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		next := heap.Pop(&w.queue).(timer)
		w.now = next.at
		next.fn()
	}
	w.now = end
}

func (w *world) upTo(d time.Duration) time.Duration { return time.Duration(w.random.Int64N(int64(d))) }

func (w *world) isCut(a, b string) bool { return w.cut[[2]string{min(a, b), max(a, b)}] }

// send delivers a message after a random delay, out of order, unless the link is cut or it is lost.
func (w *world) send(from, to string, fn func()) {
	if w.isCut(from, to) || w.lossy && w.random.IntN(8) == 0 {
		return
	}
	delay := time.Millisecond + w.upTo(20*time.Millisecond)
	if w.lossy && w.random.IntN(8) == 0 {
		delay += w.upTo(2 * time.Second)
	}
	w.after(delay, fn)
}

// on runs fn at the entry process once it is not paused.
func (w *world) on(n *node, fn func() []ownership.Action) {
	switch {
	case n.dead:
	case w.now.Before(n.paused):
		w.after(n.paused.Sub(w.now), func() { w.on(n, fn) })
	default:
		w.perform(n, fn())
	}
}

func (w *world) startEntry(name string) {
	n := &node{name: name, inc: fmt.Sprintf("%08x", w.random.Uint32()), jobs: map[shard.ID]*job{}, connected: map[string]string{}}
	n.own = ownership.New(name, n.inc, nil, rand.New(rand.NewPCG(w.random.Uint64(), 0)), func(event.Event) {})
	w.nodes[name] = n
	for _, agent := range slices.Sorted(maps.Keys(w.agents)) {
		w.connect(n, w.agents[agent])
	}
	w.tick(n)
	w.ping(n)
}

func (w *world) tick(n *node) {
	n.dead = n.dead || n.own.Drained()
	if !n.dead {
		w.on(n, func() []ownership.Action { return n.own.Tick(w.now) })
		w.after(ownership.TickInterval, func() { w.tick(n) })
	}
}

func (w *world) ping(n *node) {
	if n.dead {
		return
	}
	if !w.now.Before(n.paused) {
		p := n.own.Ping(w.now)
		for _, name := range slices.Sorted(maps.Keys(w.nodes)) {
			if peer := w.nodes[name]; name != n.name {
				w.send(n.name, name, func() {
					w.on(peer, func() []ownership.Action { return peer.own.PeerPing(w.now, p) })
				})
			}
		}
		for _, name := range slices.Sorted(maps.Keys(n.connected)) {
			a := w.agents[name]
			w.send(n.name, name, func() { a.heard[n.name] = w.now })
		}
	}
	w.after(ownership.PingInterval, func() { w.ping(n) })
}

func (w *world) connect(n *node, a *fakeAgent) {
	if a.dead || !a.registered || n.dead || w.isCut(n.name, a.name) {
		return
	}
	n.connected[a.name] = a.inc
	w.on(n, func() []ownership.Action { return n.own.AgentConnected(w.now, a.name, a.inc) })
}

func (w *world) disconnect(n *node, a *fakeAgent) {
	if n.connected[a.name] == a.inc {
		delete(n.connected, a.name)
	}
	w.on(n, func() []ownership.Action { return n.own.AgentLost(w.now, a.name, a.inc) })
}

// request performs a request at the store. The effect may take place although the answer is lost.
func (w *world) request(effect, success, failure func()) {
	delay := time.Millisecond + w.upTo(5*time.Millisecond)
	if w.slow {
		delay += w.upTo(3 * time.Second)
	}
	w.after(delay, func() {
		if w.down {
			w.after(0, failure)
			return
		}
		effect()
		answer := success
		if w.loseNext || w.lossy && w.random.IntN(4) == 0 {
			answer, w.loseNext = failure, false
		}
		w.after(time.Millisecond, answer)
	})
}

func (w *world) startAgent(name string) {
	a := &fakeAgent{
		name: name, inc: fmt.Sprintf("%08x", w.random.Uint32()), born: w.now,
		epochs: map[shard.ID]shard.Epoch{}, heard: map[string]time.Time{},
	}
	w.agents[name] = a
	if w.noHandshake {
		w.admit(a)
		w.after(w.upTo(5*time.Second), func() { w.register(a) })
		return
	}
	w.register(a)
}

// register performs the handshake: the row is written before the epochs are read.
func (w *world) register(a *fakeAgent) {
	if a.dead {
		return
	}
	again := func() { w.after(100*time.Millisecond, func() { w.register(a) }) }
	w.request(func() { w.registry[a.name+a.inc] = ownership.AgentRow{Agent: a.name, Incarnation: a.inc} }, func() {
		var row ownership.ShardsRow
		w.request(func() { row = w.row }, func() {
			if a.dead || w.noHandshake {
				return
			}
			for id, epoch := range row.Epochs() {
				a.raise(shard.ID(id), epoch)
			}
			w.admit(a)
		}, again)
	}, again)
}

func (w *world) admit(a *fakeAgent) {
	a.registered = true
	for _, name := range slices.Sorted(maps.Keys(w.nodes)) {
		w.connect(w.nodes[name], a)
	}
}

func (w *world) stopAgent(a *fakeAgent) {
	a.dead = true
	for _, name := range slices.Sorted(maps.Keys(w.nodes)) {
		w.disconnect(w.nodes[name], a)
	}
}

// drainAgent leaves the start records in the object store.
func (w *world) drainAgent(a *fakeAgent) {
	if a.dead || !a.registered {
		return
	}
	a.leaving = true
	w.objects[a.name+a.inc] = slices.Clone(a.records)
	w.request(func() {
		w.registry[a.name+a.inc] = ownership.AgentRow{Agent: a.name, Incarnation: a.inc, Left: true, Records: a.name + a.inc}
	}, func() { w.stopAgent(a) }, func() { w.drainAgent(a) })
}

func (a *fakeAgent) raise(id shard.ID, epoch shard.Epoch) bool {
	if epoch.Less(a.epochs[id]) {
		return false
	}
	a.epochs[id] = epoch
	return true
}

func (a *fakeAgent) fence(fences []shard.Fence) ownership.FenceAnswer {
	answer := ownership.FenceAnswer{Agent: a.name, Incarnation: a.inc}
	asked := map[shard.ID]bool{}
	for _, f := range fences {
		a.raise(f.Shard, f.Epoch)
		asked[f.Shard] = true
		answer.Epochs = append(answer.Epochs, shard.Fence{Shard: f.Shard, Epoch: a.epochs[f.Shard]})
	}
	for _, r := range a.records {
		if asked[r.Attempt.Task.Job.Shard()] {
			answer.Records = append(answer.Records, r)
		}
	}
	return answer
}
