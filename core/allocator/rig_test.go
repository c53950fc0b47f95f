package allocator_test

import (
	"testing"
	"time"

	"dogwoodglade/core/allocator"
	"dogwoodglade/core/event"
	"dogwoodglade/core/pool"
)

// harness calls an allocator step by step with a fake clock.
type harness struct {
	t      testing.TB
	a      *allocator.Allocator
	now    time.Time
	events []event.Event
}

func newHarness(t testing.TB, p pool.Pool) *harness {
	h := &harness{t: t, now: epoch}
	h.a = allocator.New("entry1", p, func(e event.Event) { h.events = append(h.events, e) })
	return h
}

func (h *harness) sleep(d time.Duration) []allocator.Action {
	h.now = h.now.Add(d)
	return h.a.Tick(h.now)
}

func (h *harness) announce(id string, slots int, change ...func(*allocator.BackendServer)) []allocator.Action {
	b := allocator.BackendServer{ID: id, Agent: "agent-" + id, Incarnation: "1", Pool: "p", Slots: slots}
	for _, c := range change {
		c(&b)
	}
	return h.a.Announce(h.now, b)
}

func withIncarnation(name string) func(*allocator.BackendServer) {
	return func(b *allocator.BackendServer) { b.Incarnation = name }
}

func withGrants(grants ...allocator.Grant) func(*allocator.BackendServer) {
	return func(b *allocator.BackendServer) {
		for _, g := range grants {
			b.Grants = append(b.Grants, g.ID)
		}
	}
}

func withLeaving(b *allocator.BackendServer) { b.Leaving = true }

func (h *harness) request(id, customer string, count int, change ...func(*allocator.SlotRequest)) []allocator.Action {
	req := allocator.SlotRequest{
		ID: id, Owner: "owner", Customer: customer, Route: "r", Count: count, Deadline: 10 * time.Second,
	}
	for _, c := range change {
		c(&req)
	}
	return h.a.RequestSlots(h.now, req)
}

func (h *harness) release(g allocator.Grant, outcome allocator.Outcome) []allocator.Action {
	return h.a.Release(h.now, allocator.Release{
		BackendServer: g.BackendServer, Incarnation: g.Incarnation, Grant: g.ID, Route: "r",
		Outcome: outcome, RunTime: 100 * time.Millisecond,
	})
}

func (h *harness) countEvents(number event.Number) int {
	n := 0
	for _, e := range h.events {
		if e.Number == number {
			n++
		}
	}
	return n
}

func grants(actions []allocator.Action) []allocator.Grant {
	var found []allocator.Grant
	for _, a := range actions {
		if g, ok := a.(allocator.Grant); ok {
			found = append(found, g)
		}
	}
	return found
}

func refusals(actions []allocator.Action) []allocator.Refusal {
	var found []allocator.Refusal
	for _, a := range actions {
		if r, ok := a.(allocator.Refusal); ok {
			found = append(found, r)
		}
	}
	return found
}

// wantGrants fails the test unless the actions contain the given number of grants, and returns the grants.
func wantGrants(t testing.TB, want int, actions []allocator.Action) []allocator.Grant {
	t.Helper()
	got := grants(actions)
	if len(got) != want {
		t.Fatalf("got %d grants, want %d: %+v", len(got), want, actions)
	}
	return got
}
