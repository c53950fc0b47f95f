package overflow_test

import (
	"fmt"
	"testing"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/dispatch"
	"dogwoodglade/core/overflow"
	"dogwoodglade/core/resource"
)

func cores(n int) resource.Amount { return resource.Amount{Processor: n * 1000, Memory: 1 << 20} }

func load(total, free int, queued float64) dispatch.Load {
	return dispatch.Load{Pools: map[string]dispatch.PoolLoad{
		"pool":  {Cores: float64(total), Free: cores(free), Largest: cores(32), Queued: queued, Healthy: true},
		"other": {Cores: 1000, Free: cores(1000), Largest: cores(1000), Healthy: true}, // must not affect jobs for "pool"
	}}
}

var job = batch.Job{ID: "1", Pool: "pool", Steps: []batch.Step{
	{Count: 8, Demand: resource.Amount{Processor: 3000}, Estimate: 100 * time.Millisecond},
	{Count: 100, Demand: resource.Amount{Processor: 3000}, After: []int{0}},
}}

// Guards against jobs that wait at one entry while another has free capacity, and against jobs that are forwarded to
// an entry that cannot run them.
func TestChoose(t *testing.T) {
	now := time.Unix(1000, 0)
	draining := load(100, 100, 0)
	draining.Draining = true
	small := load(100, 100, 0)
	small.Pools["pool"] = dispatch.PoolLoad{Cores: 100, Free: cores(100), Largest: cores(2), Healthy: true}
	failing := load(100, 0, 0)
	failing.Pools["pool"] = dispatch.PoolLoad{Cores: 10, Largest: cores(32)}
	starting := dispatch.Load{Pools: map[string]dispatch.PoolLoad{"pool": {Arrival: 150 * time.Millisecond}}}
	for _, c := range []struct {
		name  string
		local dispatch.Load
		peers map[string]dispatch.Load
		age   time.Duration
		want  string
	}{
		{"free capacity at a peer", load(100, 20, 0), map[string]dispatch.Load{"b": load(100, 24, 0)}, 0, "b"},
		{
			"free capacity at one of two peers", load(100, 20, 0),
			map[string]dispatch.Load{"b": load(100, 23, 0), "c": load(100, 30, 0)},
			0, "c",
		},
		{"no free capacity, equal queues", load(100, 20, 10), map[string]dispatch.Load{"b": load(100, 0, 10)}, 0, ""},
		{"shorter queue at a peer", load(100, 0, 30), map[string]dispatch.Load{"b": load(100, 0, 10)}, 0, "b"},
		{"local queue, free capacity at a peer", load(100, 50, 1), map[string]dispatch.Load{"b": load(100, 50, 0)}, 0, "b"},
		{"old report", load(100, 20, 30), map[string]dispatch.Load{"b": load(100, 100, 0)}, time.Second, ""},
		{"two reports missed", load(100, 20, 30), map[string]dispatch.Load{"b": load(100, 100, 0)}, 300 * time.Millisecond, ""},
		{"one report missed", load(100, 20, 30), map[string]dispatch.Load{"b": load(100, 100, 0)}, 200 * time.Millisecond, "b"},
		{"draining peer", load(100, 20, 30), map[string]dispatch.Load{"b": draining}, 0, ""},
		{"local entry drains", draining, map[string]dispatch.Load{"b": load(100, 0, 30)}, 0, "b"},
		{"no local server", load(0, 0, 0), map[string]dispatch.Load{"b": load(100, 0, 30)}, 0, "b"},
		{"peer's servers too small", load(100, 20, 30), map[string]dispatch.Load{"b": small}, 0, ""},
		{"local servers too small", small, map[string]dispatch.Load{"b": load(100, 0, 30)}, 0, "b"},
		{"all local servers fail", failing, map[string]dispatch.Load{"b": load(100, 0, 20)}, 0, "b"},
		{"all of the peer's servers fail", load(100, 0, 20), map[string]dispatch.Load{"b": failing}, 0, ""},
		{"all servers fail everywhere", failing, map[string]dispatch.Load{"b": failing}, 0, ""},
		{"first local server soon, queue at a peer", starting, map[string]dispatch.Load{"b": load(32, 0, 31)}, 0, ""},
		{"first local server soon, free capacity at a peer", starting, map[string]dispatch.Load{"b": load(32, 32, 0)}, 0, "b"},
		{"no peers", load(0, 0, 0), nil, 0, ""},
	} {
		p := overflow.New()
		for name, l := range c.peers {
			p.RecordReport(now, name, l)
		}
		if got := p.Choose(now.Add(c.age), c.local, job); got != c.want {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
	}
}

// Guards against entries that all forward their jobs to the peer with the most free capacity and overload it before
// its next report.
func TestChooseSpreadsByFreeCapacity(t *testing.T) {
	now := time.Unix(1000, 0)
	const jobs = 2000
	got := map[string]int{}
	for i := range jobs {
		p := overflow.New()
		p.RecordReport(now, "b", load(100, 30, 0))
		p.RecordReport(now, "c", load(200, 90, 0))
		p.RecordReport(now, "d", load(200, 10, 0))
		j := job
		j.ID = batch.JobID(fmt.Sprint(i))
		got[p.Choose(now, load(100, 0, 0), j)]++
	}
	if share := float64(got["c"]) / jobs; share < 0.71 || share > 0.79 || got["b"]+got["c"] != jobs {
		t.Errorf("got %v, want three quarters at c and the rest at b", got)
	}
}

// Guards against a job that is forwarded back to the peer that refused it, and against a job that is forwarded a
// second time although no entry has free capacity.
func TestFullPeerIsNotChosen(t *testing.T) {
	now := time.Unix(1000, 0)
	p := overflow.New()
	p.RecordReport(now, "b", load(100, 50, 0))
	p.RecordReport(now, "c", load(100, 24, 0))
	p.MarkFull("b", "pool")
	if to, ok := p.ChooseWithCapacity(now, job); !ok || to != "c" {
		t.Errorf("got %q, %v", to, ok)
	}
	if to, ok := p.ChooseWithCapacity(now, job); ok {
		t.Errorf("got %q although c has no free capacity left", to)
	}
}

// Guards against a burst that is forwarded to a single entry because the report of that entry is older than the
// burst.
func TestChooseCountsForwardedJobs(t *testing.T) {
	now := time.Unix(1000, 0)
	p := overflow.New()
	p.RecordReport(now, "b", load(100, 50, 0))
	p.RecordReport(now, "c", load(100, 49, 0))
	got := map[string]int{}
	for range 6 {
		got[p.Choose(now, load(100, 0, 2), job)]++
	}
	if got["b"] != 2 || got["c"] != 2 || got[""] != 2 {
		t.Errorf("got %v, want two jobs at each entry", got)
	}
	p.Remove("b")
	p.RecordReport(now, "c", load(100, 49, 0))
	if to := p.Choose(now, load(100, 0, 2), job); to != "c" {
		t.Errorf("got %q after b was lost", to)
	}
}

// Guards against jobs that are forwarded to an entry for the free capacity of slow backend servers, on which they would be
// late, and against short ones that wait while only such capacity is free.
func TestFreeCapacityOfSlowServers(t *testing.T) {
	now := time.Unix(1000, 0)
	slow := load(100, 0, 0)
	pool := slow.Pools["pool"]
	pool.FreeSlow, pool.Slowdown = cores(30), 2.4
	slow.Pools["pool"] = pool
	for _, c := range []struct {
		estimate time.Duration
		want     string
	}{{50 * time.Millisecond, "b"}, {100 * time.Millisecond, ""}} {
		p := overflow.New()
		p.RecordReport(now, "b", slow)
		j := batch.Job{
			ID: "1", Pool: "pool", Stretch: 1.6, Target: 60 * time.Millisecond,
			Steps: []batch.Step{{Count: 8, Demand: resource.Amount{Processor: 3000}, Estimate: c.estimate}},
		}
		if got, _ := p.ChooseWithCapacity(now, j); got != c.want {
			t.Errorf("estimate %v: got %q, want %q", c.estimate, got, c.want)
		}
		if got, _ := p.ChooseWithCapacity(now, j); got != "" {
			t.Errorf("estimate %v: got %q for a second job, which does not fit", c.estimate, got)
		}
	}
}

// Guards against an entry that sends its load more often although it is the only one that dispatches, and against one that
// does not although another dispatches.
func TestDispatchers(t *testing.T) {
	now := time.Unix(1000, 0)
	p := overflow.New()
	p.RecordReport(now, "b", dispatch.Load{})
	if got := p.Dispatchers(); got != 0 {
		t.Errorf("%d entries dispatch, want none: the only one has no backend server", got)
	}
	p.RecordReport(now, "b", load(100, 20, 0))
	if got := p.Dispatchers(); got != 1 {
		t.Errorf("%d entries dispatch, want 1", got)
	}
	p.Remove("b")
	if got := p.Dispatchers(); got != 0 {
		t.Errorf("%d entries dispatch, want none: the only one is lost", got)
	}
}
