package dispatch_test

import (
	"testing"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/dispatch"
	"dogwoodglade/core/resource"
	"dogwoodglade/core/supervise"
)

// capacityRig is a dispatcher with backend servers whose capacity changes.
type capacityRig struct {
	*dispatch.Dispatcher
	now time.Time
}

func newCapacityRig() *capacityRig {
	return &capacityRig{Dispatcher: dispatch.New(), now: time.Unix(1000, 0)}
}

func (r *capacityRig) announce(agent string, capacity resource.Amount, ended ...supervise.RunEnd) []dispatch.Action {
	return r.HandleReport(r.now, agent, supervise.Report{
		Offered: true, Ended: ended, Server: supervise.Server{ID: agent, Pool: "pool", Capacity: capacity},
	})
}

// Guards against an overcommitted backend server that hides the free capacity of others from the other entries.
func TestOvercommittedServerDoesNotReduceFreeCapacity(t *testing.T) {
	const cores, memory = 4000, 1024
	full := resource.Amount{Processor: cores, Memory: memory}
	for _, shrunk := range []resource.Amount{{Processor: 1000, Memory: memory}, {Processor: cores, Memory: 100}} {
		r := newCapacityRig()
		r.Connect(r.now, "agent-1")
		r.announce("agent-1", full)
		job := smallJob
		job.Steps = []batch.Step{{Count: 2, Demand: resource.Amount{Processor: 1000, Memory: 256}, Estimate: time.Second}}
		if n := len(startsOf(r.Submit(r.now, job))); n != 2 {
			t.Fatalf("%d tasks were started, want 2", n)
		}
		r.Connect(r.now, "agent-2")
		r.announce("agent-2", full)
		r.announce("agent-1", shrunk)
		if got := r.Load().Pools["pool"].Free; got != full {
			t.Errorf("shrunk to %v: got a free capacity of %v, want %v", shrunk, got, full)
		}
	}
}

// Guards against starts on a backend server that has shrunk below what is in use, and against capacity that stays unused
// after it has grown again.
func TestStartsFollowCapacity(t *testing.T) {
	r := newCapacityRig()
	r.Connect(r.now, "agent-1")
	r.announce("agent-1", resource.Amount{Processor: 2000})
	starts := startsOf(r.Submit(r.now, smallJob))
	r.announce("agent-1", resource.Amount{Processor: 1000})
	next := smallJob
	next.ID, next.Target = "2", time.Minute
	if got := startsOf(r.Submit(r.now, next)); len(starts) != 2 || len(got) > 0 {
		t.Fatalf("%d tasks were started before the capacity shrank, %d afterwards, want 2 and none", len(starts), len(got))
	}
	end := supervise.RunEnd{RunID: starts[0].RunID, End: supervise.Done}
	if got := startsOf(r.announce("agent-1", resource.Amount{Processor: 1000}, end)); len(got) > 0 {
		t.Errorf("%d tasks were started while another one used the whole capacity", len(got))
	}
	if got := startsOf(r.announce("agent-1", resource.Amount{Processor: 3000})); len(got) != 2 {
		t.Errorf("%d tasks were started after the capacity had grown, want 2", len(got))
	}
}

// Guards against jobs that wait until their deadline although the backend servers have become too small for their tasks.
func TestWaitingJobIsRefusedWhenNoServerCanFitIt(t *testing.T) {
	for _, c := range []struct {
		name  string
		after time.Duration // when the capacity grows again; 0 for never
	}{{"shrunk", 0}, {"grown again", 200 * time.Millisecond}} {
		r := newCapacityRig()
		r.Connect(r.now, "agent-1")
		r.announce("agent-1", resource.Amount{Processor: 2000})
		r.Submit(r.now, smallJob)
		waiting := smallJob
		waiting.ID, waiting.Target, waiting.Timeout = "2", time.Minute, time.Minute
		waiting.Steps = []batch.Step{{Count: 1, Demand: resource.Amount{Processor: 2000}, Estimate: time.Second}}
		r.Submit(r.now, waiting)
		r.Tick(r.now)
		if s := r.Stranded(); len(s) > 0 {
			t.Errorf("%s: %v were offered to other entries before the capacity shrank", c.name, s)
		}
		shrunkAt := r.now
		r.announce("agent-1", resource.Amount{Processor: 1500})
		r.Tick(r.now)
		if s := r.Stranded(); len(s) != 1 || s[0] != waiting.ID {
			t.Errorf("%s: %v were offered to other entries, want the waiting job", c.name, s)
		}
		var outcomes []batch.Outcome
		for len(outcomes) == 0 && r.now.Sub(shrunkAt) < time.Second {
			r.now = r.now.Add(20 * time.Millisecond)
			if c.after > 0 && r.now.Sub(shrunkAt) == c.after {
				r.announce("agent-1", resource.Amount{Processor: 2000})
			}
			outcomes = outcomesOf(r.Tick(r.now))
		}
		switch {
		case c.after > 0 && len(outcomes) > 0:
			t.Errorf("%s: the job was answered with %+v", c.name, outcomes)
		case c.after == 0 && len(outcomes) != 1:
			t.Errorf("%s: got outcomes %+v within a second, want one refusal", c.name, outcomes)
		case c.after == 0:
			if o, ok := outcomes[0].(batch.NotRun); !ok || o.Reason != batch.TooLarge {
				t.Errorf("%s: got %+v, want a refusal as too large", c.name, outcomes[0])
			}
		}
	}
}
