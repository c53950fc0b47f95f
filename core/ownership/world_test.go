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

// timer is a callback that is due at a time of the fake clock.
type timer struct {
	at time.Time
	fn func()
}

// entryNode is one process of an entry, with its shards and its connections to agents.
type entryNode struct {
	name, incarnation string
	ownership         *ownership.Ownership
	dead, draining    bool
	pausedUntil       time.Time
	owners            map[shard.ID]*shardOwner
	connected         map[string]string
}

type fakeAgent struct {
	name, incarnation         string
	dead, registered, leaving bool
	startedAt                 time.Time
	epochs                    map[shard.ID]shard.Epoch
	records                   []task.Record
	lastHeard                 map[string]time.Time
}

// simulation simulates a region on a fake clock. Every random choice comes from one seed.
type simulation struct {
	random       *rand.Rand
	now          time.Time
	queue        []timer
	entries      map[string]*entryNode
	agents       map[string]*fakeAgent
	cutLinks     map[[2]string]bool
	row          ownership.ShardsRow
	registry     map[string]ownership.AgentRow
	objects      map[string][]task.Record
	startedBy    map[task.JobID]string
	tickets      map[task.JobID]shard.Ticket
	keys         []task.JobID
	actionCounts map[string]int // actions performed, by type
	failure      string

	lossy, storeDown, storeSlow, submitting bool
	// Lose the response to the next write of the row, or to the next store request.
	loseWriteResponse, loseNextResponse bool
	skipRegistration, ignoreFences      bool // mutations that break the protocol
}

func newSimulation(seed uint64) *simulation {
	return &simulation{
		random: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1_700_000_000, 0),
		entries: map[string]*entryNode{}, agents: map[string]*fakeAgent{}, cutLinks: map[[2]string]bool{},
		registry: map[string]ownership.AgentRow{}, objects: map[string][]task.Record{},
		startedBy: map[task.JobID]string{}, tickets: map[task.JobID]shard.Ticket{}, actionCounts: map[string]int{},
	}
}

func (s *simulation) fail(format string, args ...any) {
	if s.failure == "" {
		s.failure = fmt.Sprintf(format, args...)
	}
}

func (s *simulation) after(d time.Duration, fn func()) {
	at := s.now.Add(d)
	i, _ := slices.BinarySearchFunc(s.queue, at, func(t timer, at time.Time) int {
		return t.at.Compare(at)*2 - 1 // after all timers of the same time
	})
	s.queue = slices.Insert(s.queue, i, timer{at, fn})
}

func (s *simulation) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		next := s.queue[0]
		s.queue = s.queue[1:]
		s.now = next.at
		next.fn()
	}
	s.now = end
}

func (s *simulation) randomDuration(d time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(d)))
}

func sorted[V any](m map[string]V) []V {
	var values []V
	for _, name := range slices.Sorted(maps.Keys(m)) {
		values = append(values, m[name])
	}
	return values
}

// send delivers a message after a random delay, so that messages may overtake each other. It drops the message if
// the link is cut, and some messages if links are lossy.
func (s *simulation) send(from, to string, fn func()) {
	if s.cutLinks[[2]string{min(from, to), max(from, to)}] || s.lossy && s.random.IntN(8) == 0 {
		return
	}
	delay := time.Millisecond + s.randomDuration(20*time.Millisecond)
	if s.lossy && s.random.IntN(8) == 0 {
		delay += s.randomDuration(2 * time.Second)
	}
	s.after(delay, fn)
}

// runOn runs fn at the entry process, after a pause if it is paused, and performs the returned actions.
func (s *simulation) runOn(n *entryNode, fn func() []ownership.Action) {
	switch {
	case n.dead:
	case s.now.Before(n.pausedUntil):
		s.after(n.pausedUntil.Sub(s.now), func() { s.runOn(n, fn) })
	default:
		s.perform(n, fn())
	}
}

// deliver passes an event to the entry process.
func deliver[E any](s *simulation, n *entryNode, method func(time.Time, E) []ownership.Action, e E) {
	s.runOn(n, func() []ownership.Action { return method(s.now, e) })
}

func (s *simulation) startEntry(name string) {
	n := &entryNode{
		name: name, incarnation: fmt.Sprintf("%08x", s.random.Uint32()),
		owners: map[shard.ID]*shardOwner{}, connected: map[string]string{},
	}
	random := rand.New(rand.NewPCG(s.random.Uint64(), 0))
	n.ownership = ownership.New(name, n.incarnation, nil, random, func(event.Event) {})
	s.entries[name] = n
	for _, a := range sorted(s.agents) {
		s.connect(n, a)
	}
	s.tick(n)
	s.ping(n)
}

func (s *simulation) tick(n *entryNode) {
	n.dead = n.dead || n.ownership.Drained()
	if !n.dead {
		s.runOn(n, func() []ownership.Action { return n.ownership.Tick(s.now) })
		s.after(ownership.TickInterval, func() { s.tick(n) })
	}
}

func (s *simulation) ping(n *entryNode) {
	if n.dead {
		return
	}
	if !s.now.Before(n.pausedUntil) {
		p := n.ownership.Ping(s.now)
		for _, peer := range sorted(s.entries) {
			s.send(n.name, peer.name, func() { deliver(s, peer, peer.ownership.ReceivePing, p) })
		}
		for _, name := range slices.Sorted(maps.Keys(n.connected)) {
			a := s.agents[name]
			s.send(n.name, name, func() { a.lastHeard[n.name] = s.now })
		}
	}
	s.after(ownership.PingInterval, func() { s.ping(n) })
}

func (s *simulation) connect(n *entryNode, a *fakeAgent) {
	if a.registered && !a.dead && !n.dead && !s.cutLinks[[2]string{min(n.name, a.name), max(n.name, a.name)}] {
		n.connected[a.name] = a.incarnation
		s.runOn(n, func() []ownership.Action { return n.ownership.AgentConnected(s.now, a.name, a.incarnation) })
	}
}

func (s *simulation) disconnect(n *entryNode, a *fakeAgent) {
	if n.connected[a.name] == a.incarnation {
		delete(n.connected, a.name)
	}
	s.runOn(n, func() []ownership.Action { return n.ownership.AgentLost(s.now, a.name, a.incarnation) })
}

// storeRequest performs a request at the store. The request may take effect although its response is lost.
func (s *simulation) storeRequest(effect, success, failure func()) {
	delay := time.Millisecond + s.randomDuration(5*time.Millisecond)
	if s.storeSlow {
		delay += s.randomDuration(3 * time.Second)
	}
	s.after(delay, func() {
		if s.storeDown {
			s.after(0, failure)
			return
		}
		effect()
		if s.loseNextResponse || s.lossy && s.random.IntN(4) == 0 {
			success, s.loseNextResponse = failure, false
		}
		s.after(time.Millisecond, success)
	})
}

func (s *simulation) startAgent(name string) {
	a := &fakeAgent{
		name: name, incarnation: fmt.Sprintf("%08x", s.random.Uint32()), startedAt: s.now,
		epochs: map[shard.ID]shard.Epoch{}, lastHeard: map[string]time.Time{},
	}
	s.agents[name] = a
	if s.skipRegistration {
		s.admit(a)
		s.after(s.randomDuration(5*time.Second), func() { s.register(a) })
		return
	}
	s.register(a)
}

// register performs the registration handshake: the agent writes its row before it reads the epochs.
func (s *simulation) register(a *fakeAgent) {
	if a.dead {
		return
	}
	retry := func() { s.after(100*time.Millisecond, func() { s.register(a) }) }
	s.storeRequest(func() {
		s.registry[a.name+a.incarnation] = ownership.AgentRow{Agent: a.name, Incarnation: a.incarnation}
	}, func() {
		var row ownership.ShardsRow
		s.storeRequest(func() { row = s.row }, func() {
			for id, epoch := range row.Epochs() {
				a.raise(shard.Fence{Shard: shard.ID(id), Epoch: epoch})
			}
			s.admit(a)
		}, retry)
	}, retry)
}

func (s *simulation) admit(a *fakeAgent) {
	a.registered = true
	for _, n := range sorted(s.entries) {
		s.connect(n, a)
	}
}

func (s *simulation) stopAgent(a *fakeAgent) {
	a.dead = true
	for _, n := range sorted(s.entries) {
		s.disconnect(n, a)
	}
}

// drainAgent stops the agent after it has written its start records to the object store.
func (s *simulation) drainAgent(a *fakeAgent) {
	if a.dead || !a.registered {
		return
	}
	a.leaving = true
	object := a.name + a.incarnation
	s.objects[object] = slices.Clone(a.records)
	s.storeRequest(func() {
		s.registry[object] = ownership.AgentRow{Agent: a.name, Incarnation: a.incarnation, Left: true, Records: object}
	}, func() { s.stopAgent(a) }, func() { s.drainAgent(a) })
}

func (a *fakeAgent) raise(f shard.Fence) {
	if a.epochs[f.Shard].Less(f.Epoch) {
		a.epochs[f.Shard] = f.Epoch
	}
}

func (a *fakeAgent) fence(fences []shard.Fence) ownership.FenceReply {
	reply := ownership.FenceReply{Agent: a.name, Incarnation: a.incarnation}
	for _, f := range fences {
		a.raise(f)
		reply.Epochs = append(reply.Epochs, shard.Fence{Shard: f.Shard, Epoch: a.epochs[f.Shard]})
		for _, r := range a.records {
			if r.Attempt.Task.Job.Shard() == f.Shard {
				reply.Records = append(reply.Records, r)
			}
		}
	}
	return reply
}

func actionName(action ownership.Action) string {
	return strings.TrimPrefix(fmt.Sprintf("%T", action), "ownership.")
}
