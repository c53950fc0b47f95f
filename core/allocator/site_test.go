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

// site is a pool of backend servers and callers on a fake clock, around one allocator.
type site struct {
	t        testing.TB
	a        *allocator.Allocator
	now      time.Time
	events   eventHeap
	sequence int
	servers  map[string]*allocator.BackendServer
	running  map[string]string // backend server by grant
	asks     map[string]*work
	hop      time.Duration // one way between any two processes
	runTime  func(*work) time.Duration
	outcome  func(server string) allocator.Outcome
	done     []*work // tasks that ended
	refused  []*work
}

// work is an ask of one or several tasks, or one of its tasks.
type work struct {
	id, customer, route string
	count               int
	at                  time.Time
	deadline            time.Duration
	granted, ended      time.Time
	reason              allocator.Reason
	server              string
}

type event struct {
	at       time.Time
	sequence int
	do       func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newSite returns a site whose servers announce themselves every 500 ms.
func newSite(t testing.TB, p pool.Pool, options allocator.Options, servers, slots int) *site {
	s := &site{
		t: t, a: allocator.NewWithOptions("entry1", p, nil, options), now: epoch,
		servers: map[string]*allocator.BackendServer{},
		running: map[string]string{}, asks: map[string]*work{},
		hop:     500 * time.Microsecond,
		runTime: func(*work) time.Duration { return 100 * time.Millisecond },
		outcome: func(string) allocator.Outcome { return allocator.Succeeded },
	}
	for i := range servers {
		b := &allocator.BackendServer{
			ID: fmt.Sprint("server", i), Agent: fmt.Sprint("agent", i), Incarnation: "1", Pool: p.Name, Slots: slots,
		}
		s.servers[b.ID] = b
		var beat func()
		beat = func() {
			if s.servers[b.ID] == b {
				s.act(s.a.Announce(s.now, *b))
				s.after(500*time.Millisecond, beat)
			}
		}
		s.after(0, beat)
	}
	var tick func()
	tick = func() {
		s.act(s.a.Tick(s.now))
		s.after(50*time.Millisecond, tick)
	}
	s.after(0, tick)
	return s
}

func (s *site) after(d time.Duration, do func()) {
	s.sequence++
	heap.Push(&s.events, event{at: s.now.Add(d), sequence: s.sequence, do: do})
}

func (s *site) run(until time.Duration) {
	for len(s.events) > 0 && !s.events[0].at.After(epoch.Add(until)) {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	s.now = epoch.Add(until)
}

// submit asks for slots at a time since the start.
func (s *site) submit(at time.Duration, w work) {
	s.after(epoch.Add(at).Sub(s.now), func() {
		s.sequence++
		w.id, w.at, w.count = fmt.Sprint("ask", s.sequence), s.now, max(w.count, 1)
		s.asks[w.id] = &w
		s.act(s.a.Ask(s.now, allocator.Ask{
			ID: w.id, Owner: "owner", Customer: w.customer, Route: w.route, Count: w.count, Deadline: w.deadline,
		}))
	})
}

func (s *site) act(actions []allocator.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case allocator.Grant:
			w := *s.asks[action.Ask]
			w.granted, w.server = s.now, action.BackendServer
			s.start(&w, action)
		case allocator.Refuse:
			w := *s.asks[action.Ask]
			w.ended, w.count, w.reason = s.now, action.Count, action.Reason
			s.refused = append(s.refused, &w)
		}
	}
}

// start runs a granted task: grant and start take two hops, release and outcome one each.
func (s *site) start(w *work, g allocator.Grant) {
	b := s.servers[g.BackendServer]
	s.running[g.ID] = b.ID
	runTime := s.runTime(w)
	s.after(2*s.hop, func() {
		b.Grants = append(b.Grants, g.ID)
		s.after(runTime, func() {
			for i, id := range b.Grants {
				if id == g.ID {
					b.Grants = append(b.Grants[:i:i], b.Grants[i+1:]...)
					break
				}
			}
			s.after(s.hop, func() {
				w.ended = s.now
				s.done = append(s.done, w)
				delete(s.running, g.ID)
				s.act(s.a.Release(s.now, allocator.Release{
					BackendServer: b.ID, Incarnation: b.Incarnation, Grant: g.ID, Route: w.route,
					Outcome: s.outcome(b.ID), RunTime: runTime,
				}))
			})
		})
	})
}

// poisson submits single tasks at random times with the given rate per second.
func (s *site) poisson(random *rand.Rand, from, to time.Duration, rate float64, w work) {
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
