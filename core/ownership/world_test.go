package ownership_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"dogwoodglade/core/event"
	"dogwoodglade/core/ownership"
	"dogwoodglade/core/shard"
	"dogwoodglade/core/task"
)

type timer struct {
	at time.Time
	fn func()
}

type node struct {
	name, inc      string
	own            *ownership.Ownership
	dead, draining bool
	paused         time.Time
	jobs           map[shard.ID]*job
	connected      map[string]string
}

type fakeAgent struct {
	name, inc                 string
	dead, registered, leaving bool
	born                      time.Time
	epochs                    map[shard.ID]shard.Epoch
	records                   []task.Record
	heard                     map[string]time.Time
}

// world is a region on a fake clock. Every random choice comes from one seed.
type world struct {
	random   *rand.Rand
	now      time.Time
	queue    []timer
	nodes    map[string]*node
	agents   map[string]*fakeAgent
	cut      map[[2]string]bool
	row      ownership.ShardsRow
	registry map[string]ownership.AgentRow
	objects  map[string][]task.Record
	started  map[task.JobID]string
	tickets  map[task.JobID]shard.Ticket
	keys     []task.JobID
	counts   map[string]int // of actions
	fault    string

	lossy, down, slow, submitting bool
	loseWrite, loseNext           bool // lose the answer of the next write of the row, or of the next request
	noHandshake, ignoreFences     bool // mutations of the protocol
}

func newWorld(seed uint64) *world {
	return &world{
		random: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1_700_000_000, 0),
		nodes: map[string]*node{}, agents: map[string]*fakeAgent{}, cut: map[[2]string]bool{},
		registry: map[string]ownership.AgentRow{}, objects: map[string][]task.Record{},
		started: map[task.JobID]string{}, tickets: map[task.JobID]shard.Ticket{}, counts: map[string]int{},
	}
}

func (w *world) fail(format string, args ...any) {
	if w.fault == "" {
		w.fault = fmt.Sprintf(format, args...)
	}
}

func (w *world) after(d time.Duration, fn func()) {
	at := w.now.Add(d)
	i, _ := slices.BinarySearchFunc(w.queue, at, func(t timer, at time.Time) int {
		return t.at.Compare(at)*2 - 1 // after all timers of the same time
	})
	w.queue = slices.Insert(w.queue, i, timer{at, fn})
}

func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		next := w.queue[0]
		w.queue = w.queue[1:]
		w.now = next.at
		next.fn()
	}
	w.now = end
}

func (w *world) upTo(d time.Duration) time.Duration { return time.Duration(w.random.Int64N(int64(d))) }

func sorted[V any](m map[string]V) []V {
	var values []V
	for _, name := range slices.Sorted(maps.Keys(m)) {
		values = append(values, m[name])
	}
	return values
}

// send delivers a message after a random delay, out of order, unless the link is cut or it is lost.
func (w *world) send(from, to string, fn func()) {
	if w.cut[[2]string{min(from, to), max(from, to)}] || w.lossy && w.random.IntN(8) == 0 {
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

// tell passes an event to the entry process.
func tell[E any](w *world, n *node, method func(time.Time, E) []ownership.Action, e E) {
	w.on(n, func() []ownership.Action { return method(w.now, e) })
}

func (w *world) startEntry(name string) {
	n := &node{name: name, inc: fmt.Sprintf("%08x", w.random.Uint32()), jobs: map[shard.ID]*job{}, connected: map[string]string{}}
	n.own = ownership.New(name, n.inc, nil, rand.New(rand.NewPCG(w.random.Uint64(), 0)), func(event.Event) {})
	w.nodes[name] = n
	for _, a := range sorted(w.agents) {
		w.connect(n, a)
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
		for _, peer := range sorted(w.nodes) {
			w.send(n.name, peer.name, func() { tell(w, peer, peer.own.PeerPing, p) })
		}
		for _, name := range slices.Sorted(maps.Keys(n.connected)) {
			a := w.agents[name]
			w.send(n.name, name, func() { a.heard[n.name] = w.now })
		}
	}
	w.after(ownership.PingInterval, func() { w.ping(n) })
}

func (w *world) connect(n *node, a *fakeAgent) {
	if a.registered && !a.dead && !n.dead && !w.cut[[2]string{min(n.name, a.name), max(n.name, a.name)}] {
		n.connected[a.name] = a.inc
		w.on(n, func() []ownership.Action { return n.own.AgentConnected(w.now, a.name, a.inc) })
	}
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
		if w.loseNext || w.lossy && w.random.IntN(4) == 0 {
			success, w.loseNext = failure, false
		}
		w.after(time.Millisecond, success)
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
			for id, epoch := range row.Epochs() {
				a.raise(shard.Fence{Shard: shard.ID(id), Epoch: epoch})
			}
			w.admit(a)
		}, again)
	}, again)
}

func (w *world) admit(a *fakeAgent) {
	a.registered = true
	for _, n := range sorted(w.nodes) {
		w.connect(n, a)
	}
}

func (w *world) stopAgent(a *fakeAgent) {
	a.dead = true
	for _, n := range sorted(w.nodes) {
		w.disconnect(n, a)
	}
}

// drainAgent leaves the start records in the object store.
func (w *world) drainAgent(a *fakeAgent) {
	if a.dead || !a.registered {
		return
	}
	a.leaving = true
	object := a.name + a.inc
	w.objects[object] = slices.Clone(a.records)
	w.request(func() {
		w.registry[object] = ownership.AgentRow{Agent: a.name, Incarnation: a.inc, Left: true, Records: object}
	}, func() { w.stopAgent(a) }, func() { w.drainAgent(a) })
}

func (a *fakeAgent) raise(f shard.Fence) {
	if a.epochs[f.Shard].Less(f.Epoch) {
		a.epochs[f.Shard] = f.Epoch
	}
}

func (a *fakeAgent) fence(fences []shard.Fence) ownership.FenceAnswer {
	answer := ownership.FenceAnswer{Agent: a.name, Incarnation: a.inc}
	for _, f := range fences {
		a.raise(f)
		answer.Epochs = append(answer.Epochs, shard.Fence{Shard: f.Shard, Epoch: a.epochs[f.Shard]})
		for _, r := range a.records {
			if r.Attempt.Task.Job.Shard() == f.Shard {
				answer.Records = append(answer.Records, r)
			}
		}
	}
	return answer
}

func describe(action ownership.Action) string {
	return strings.TrimPrefix(fmt.Sprintf("%T", action), "ownership.")
}
