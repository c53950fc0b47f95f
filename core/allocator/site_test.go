package allocator_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dogwoodglade/core/allocator"
	"dogwoodglade/core/pool"
)

// simulation simulates the backend servers and callers of one allocator with a fake clock.
type simulation struct {
	t             testing.TB
	a             *allocator.Allocator
	now           time.Time
	events        eventHeap
	sequence      int
	servers       map[string]*allocator.BackendServer
	serverByGrant map[string]string // backend server by grant
	requests      map[string]*work
	messageDelay  time.Duration // one way, between any two processes
	runTime       func(*work) time.Duration
	outcome       func(server string) allocator.Outcome
	completed     []*work // tasks that ended
	refused       []*work
}

// work is a slot request for one or more tasks, or one of its tasks after the grant.
type work struct {
	id, customer, route string
	count               int
	submitted           time.Time
	deadline            time.Duration
	granted, ended      time.Time
	reason              allocator.Reason
	server              string
}

type simulationEvent struct {
	at       time.Time
	sequence int
	run      func()
}

type eventHeap []simulationEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(simulationEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newSimulation returns a simulation whose servers send a heartbeat every 500 ms.
func newSimulation(t testing.TB, p pool.Pool, options allocator.Options, servers, slots int) *simulation {
	s := &simulation{
		t: t, a: allocator.NewWithOptions("entry1", p, nil, options), now: epoch,
		servers:       map[string]*allocator.BackendServer{},
		serverByGrant: map[string]string{}, requests: map[string]*work{},
		messageDelay: 500 * time.Microsecond,
		runTime:      func(*work) time.Duration { return 100 * time.Millisecond },
		outcome:      func(string) allocator.Outcome { return allocator.Succeeded },
	}
	for i := range servers {
		b := &allocator.BackendServer{
			ID: fmt.Sprint("server", i), Agent: fmt.Sprint("agent", i), Incarnation: "1", Pool: p.Name, Slots: slots,
		}
		s.servers[b.ID] = b
		var heartbeat func()
		heartbeat = func() {
			if s.servers[b.ID] == b {
				s.apply(s.a.Announce(s.now, *b))
				s.schedule(500*time.Millisecond, heartbeat)
			}
		}
		s.schedule(0, heartbeat)
	}
	var tick func()
	tick = func() {
		s.apply(s.a.Tick(s.now))
		s.schedule(50*time.Millisecond, tick)
	}
	s.schedule(0, tick)
	return s
}

func (s *simulation) schedule(d time.Duration, do func()) {
	s.sequence++
	heap.Push(&s.events, simulationEvent{at: s.now.Add(d), sequence: s.sequence, run: do})
}

func (s *simulation) run(until time.Duration) {
	for len(s.events) > 0 && !s.events[0].at.After(epoch.Add(until)) {
		e := heap.Pop(&s.events).(simulationEvent)
		s.now = e.at
		e.run()
	}
	s.now = epoch.Add(until)
}

// submit schedules a slot request at a time since the start.
func (s *simulation) submit(at time.Duration, w work) {
	s.schedule(epoch.Add(at).Sub(s.now), func() {
		s.sequence++
		w.id, w.submitted, w.count = fmt.Sprint("request", s.sequence), s.now, max(w.count, 1)
		s.requests[w.id] = &w
		s.apply(s.a.RequestSlots(s.now, allocator.SlotRequest{
			ID: w.id, Owner: "owner", Customer: w.customer, Route: w.route, Count: w.count, Deadline: w.deadline,
		}))
	})
}

func (s *simulation) apply(actions []allocator.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case allocator.Grant:
			w := *s.requests[action.RequestID]
			w.granted, w.server = s.now, action.BackendServer
			s.start(&w, action)
		case allocator.Refusal:
			w := *s.requests[action.RequestID]
			w.ended, w.count, w.reason = s.now, action.Count, action.Reason
			s.refused = append(s.refused, &w)
		}
	}
}

// start runs a granted task. Its start is delayed by two messages, the grant and the start, and its end by one, the
// release.
func (s *simulation) start(w *work, g allocator.Grant) {
	b := s.servers[g.BackendServer]
	s.serverByGrant[g.ID] = b.ID
	runTime := s.runTime(w)
	s.schedule(2*s.messageDelay, func() {
		b.Grants = append(b.Grants, g.ID)
		s.schedule(runTime, func() {
			for i, id := range b.Grants {
				if id == g.ID {
					b.Grants = append(b.Grants[:i:i], b.Grants[i+1:]...)
					break
				}
			}
			s.schedule(s.messageDelay, func() {
				w.ended = s.now
				s.completed = append(s.completed, w)
				delete(s.serverByGrant, g.ID)
				s.apply(s.a.Release(s.now, allocator.Release{
					BackendServer: b.ID, Incarnation: b.Incarnation, Grant: g.ID, Route: w.route,
					Outcome: s.outcome(b.ID), RunTime: runTime,
				}))
			})
		})
	})
}

// submitPoisson submits work as a Poisson process with the given rate per second.
func (s *simulation) submitPoisson(random *rand.Rand, from, to time.Duration, rate float64, w work) {
	for at := from; ; {
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= to {
			return
		}
		s.submit(at, w)
	}
}

func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := append([]time.Duration(nil), values...)
	slices.Sort(sorted)
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
