package allocator_test

import (
	"testing"
	"time"

	"dogwoodglade/core/allocator"
	eventlog "dogwoodglade/core/event"
	"dogwoodglade/core/pool"
)

// harness calls an allocator step by step with a fake clock.
type harness struct {
	t      testing.TB
	a      *allocator.Allocator
	now    time.Time
	events []eventlog.Event
}

func newHarness(t testing.TB, p pool.Pool) *harness {
	r := &harness{t: t, now: epoch}
	r.a = allocator.New("entry1", p, func(e eventlog.Event) { r.events = append(r.events, e) })
	return r
}

func (r *harness) sleep(d time.Duration) []allocator.Action {
	r.now = r.now.Add(d)
	return r.a.Tick(r.now)
}

func (r *harness) announce(id string, slots int, change ...func(*allocator.BackendServer)) []allocator.Action {
	b := allocator.BackendServer{ID: id, Agent: "agent-" + id, Incarnation: "1", Pool: "p", Slots: slots}
	for _, c := range change {
		c(&b)
	}
	return r.a.Announce(r.now, b)
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

func (r *harness) request(id, customer string, count int, change ...func(*allocator.SlotRequest)) []allocator.Action {
	req := allocator.SlotRequest{
		ID: id, Owner: "owner", Customer: customer, Route: "r", Count: count, Deadline: 10 * time.Second,
	}
	for _, c := range change {
		c(&req)
	}
	return r.a.RequestSlots(r.now, req)
}

func (r *harness) release(g allocator.Grant, outcome allocator.Outcome) []allocator.Action {
	return r.a.Release(r.now, allocator.Release{
		BackendServer: g.BackendServer, Incarnation: g.Incarnation, Grant: g.ID, Route: "r",
		Outcome: outcome, RunTime: 100 * time.Millisecond,
	})
}

func (r *harness) countEvents(number eventlog.Number) int {
	n := 0
	for _, e := range r.events {
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
