package overload_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dogwoodglade/core/overload"
)

var start = time.Unix(1000, 0)

// job returns a job that arrives now, with slack until its target start, and half a second more until its latest one.
func job(route string, priority int, now time.Time, slack time.Duration, work float64) overload.Job {
	return overload.Job{
		Route: route, Priority: priority, ArrivedAt: now, TargetStart: now.Add(slack),
		LatestStart: now.Add(slack + 500*time.Millisecond), Work: work, Size: work,
	}
}

// sortedQueue is a queue in the order in which its jobs start.
type sortedQueue []overload.Job

func (q sortedQueue) Work() float64 { return sumWork(q) }

func (q sortedQueue) ReturningWork() float64 { return 0 }

func (q sortedQueue) WorkAhead(j overload.Job) float64 { return sumWork(ahead(q, j)) }

func (q sortedQueue) Jobs() []overload.Job { return q }

// ahead returns the jobs of a queue that start before an arriving one.
func ahead(queue []overload.Job, j overload.Job) []overload.Job {
	for i, other := range queue {
		if other.Late || other.TargetStart.After(j.TargetStart) {
			return queue[:i]
		}
	}
	return queue
}

func sumWork(jobs []overload.Job) float64 {
	total := 0.0
	for _, j := range jobs {
		total += j.Work
	}
	return total
}

// routes are the routes of jobs by priority.
var routes = []string{"urgent", "usual", "patient"}

// learn lets a policy see one job of each of three priorities that can start.
func learn(p *overload.Policy) {
	for i, route := range routes {
		p.Decide(start, job(route, i, start, 100*time.Millisecond, 1), sortedQueue(nil), overload.Capacity{Cores: 10, Fits: true})
	}
}

// Guards against an urgent job that is refused because of a less urgent one that has not started, against refusals of
// jobs that have started or waited, and against late refusals of jobs that cannot be in time.
func TestDecide(t *testing.T) {
	now := start.Add(time.Second)
	const cores = 10
	urgent := job("urgent", 0, now, 80*time.Millisecond, 0.1)
	fresh := job("usual", 1, now.Add(-5*time.Millisecond), 75*time.Millisecond, 0.1)
	started := fresh
	started.Started = true
	waited := job("usual", 1, now.Add(-60*time.Millisecond), 130*time.Millisecond, 0.1)
	late := fresh
	late.Late = true
	returning := urgent
	returning.Late = true
	expiring := returning
	expiring.LatestStart = now.Add(20 * time.Millisecond)
	unknown := fresh
	unknown.Route = "accepted without a decision"
	// A job that ends the prediction that the urgent one is in time.
	ahead := started
	ahead.Work = 0.8
	longAhead := ahead
	longAhead.Work = 0.95
	for _, c := range []struct {
		name    string
		arrives overload.Job
		queue   []overload.Job
		fits    bool
		want    overload.Decision
	}{
		{"it fits", urgent, []overload.Job{ahead, started}, true, overload.Admit{}},
		{"a short queue", urgent, []overload.Job{fresh}, false, overload.Wait{}},
		{
			"a less urgent one has just arrived", urgent,
			[]overload.Job{ahead, fresh},
			false,
			overload.Displace{Victims: []int{1}},
		},
		{
			"the policy does not know the route of the less urgent one", urgent,
			[]overload.Job{ahead, unknown},
			false,
			overload.Displace{Victims: []int{1}},
		},
		{
			"it would be late also without the less urgent one", urgent,
			[]overload.Job{longAhead, fresh},
			false,
			overload.Refuse{Cause: overload.NotInTime},
		},
		{
			"the less urgent one is late and does not delay it", urgent,
			[]overload.Job{longAhead, late},
			false,
			overload.Refuse{Cause: overload.NotInTime},
		},
		{
			"all have started", urgent,
			[]overload.Job{ahead, started},
			false,
			overload.Refuse{Cause: overload.NotInTime},
		},
		{
			"the less urgent one has waited", urgent,
			[]overload.Job{ahead, waited},
			false,
			overload.Refuse{Cause: overload.NotInTime},
		},
		{
			"it is the less urgent one", job("usual", 1, now, 80*time.Millisecond, 0.1),
			[]overload.Job{ahead, job("urgent", 0, now, 70*time.Millisecond, 0.1)},
			false,
			overload.Refuse{Cause: overload.NotInTime},
		},
		{
			"it returns, and the queue is short", returning, []overload.Job{fresh}, false, overload.Wait{},
		},
		{
			"it returns, and the queue has jobs that can be in time", returning,
			[]overload.Job{ahead},
			false,
			overload.Refuse{Cause: overload.AlreadyLate},
		},
		{
			"it returns, and would expire in a short queue", expiring,
			[]overload.Job{fresh},
			false,
			overload.Refuse{Cause: overload.AlreadyLate},
		},
		{"it returns and fits", returning, []overload.Job{ahead}, true, overload.Admit{}},
		{
			"its latest start comes before its turn", job("urgent", 0, now, -450*time.Millisecond, 0.1),
			[]overload.Job{ahead},
			false,
			overload.Refuse{Cause: overload.TooLate},
		},
	} {
		p := overload.New()
		learn(p)
		got := p.Decide(now, c.arrives, sortedQueue(c.queue), overload.Capacity{Cores: cores, Fits: c.fits})
		if fmt.Sprintf("%T%+v", got, got) != fmt.Sprintf("%T%+v", c.want, c.want) {
			t.Errorf("%s: got %T%+v, want %T%+v", c.name, got, got, c.want, c.want)
		}
	}
}

// countedQueue counts how often the order of its jobs is computed.
type countedQueue struct {
	sortedQueue
	sorted *int
}

func (q countedQueue) Jobs() []overload.Job {
	*q.sorted++
	return q.sortedQueue
}

// Guards against decisions that sort the whole queue although no job can be displaced.
func TestQueueIsSortedOnlyToDisplace(t *testing.T) {
	now := start.Add(time.Second)
	urgent := job("urgent", 0, now, 80*time.Millisecond, 0.1)
	patient := job("patient", 2, now, 80*time.Millisecond, 0.1)
	waiting := job("usual", 1, now, 75*time.Millisecond, 0.1)
	long := job("usual", 1, now, 75*time.Millisecond, 0.9)
	for _, c := range []struct {
		name    string
		arrives overload.Job
		waiting overload.Job
		fits    bool
		want    int
	}{
		{"it fits", urgent, long, true, 0},
		{"it can wait", urgent, waiting, false, 0},
		{"none is less urgent", patient, long, false, 0},
		{"one is less urgent", urgent, long, false, 1},
	} {
		p := overload.New()
		learn(p)
		got := 0
		queue := countedQueue{sortedQueue: sortedQueue{c.waiting}, sorted: &got}
		p.Decide(now, c.arrives, queue, overload.Capacity{Cores: 10, Fits: c.fits})
		if got != c.want {
			t.Errorf("%s: the queue was sorted %d times, want %d", c.name, got, c.want)
		}
	}
}

// Guards against a route or the large jobs of a route that are nearly always refused while others are served, at a
// constant wait that calls for a share of refusals.
func TestNoRouteOrSizeStarves(t *testing.T) {
	p := overload.New()
	type key struct {
		route string
		work  float64
	}
	offered, served := map[key]int{}, map[key]int{}
	for i := range 20000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		route := i % 3
		work := []float64{0.5, 0.5, 0.5, 0.5, 0.5, 1.2, 0.5, 1.2, 0.5, 4}[i/3%10]
		k := key{fmt.Sprint(route), work}
		offered[k]++
		queue := []overload.Job{job(k.route, route, now.Add(-time.Second), 2*time.Second, 1.7)}
		queue[0].Started = true
		d := p.Decide(now, job(k.route, route, now, 400*time.Millisecond, work), sortedQueue(queue), overload.Capacity{Cores: 10})
		if _, refused := d.(overload.Refuse); !refused {
			served[k]++
		}
	}
	for k, n := range offered {
		share := float64(served[k]) / float64(n)
		whole := 0.0
		for _, work := range []float64{0.5, 1.2, 4} {
			whole += float64(served[key{k.route, work}]) / float64(20000/3)
		}
		if share < 0.5*whole {
			t.Errorf("route %s, work %.1f: %.2f were served, of the route %.2f", k.route, k.work, share, whole)
		}
	}
}

// drawWork draws the core-seconds of a job. Rapid draws most real numbers close to 0, for which no job can be displaced.
// Sums of the multiples are exact.
func drawWork(t *rapid.T) float64 { return float64(rapid.IntRange(0, 10).Draw(t, "work")) / 32 }

// Guards against decisions that break what the package promises, for any queue: only jobs that are less urgent or of a
// route that is not served less, have not started, are not late and have used at most a fifth of their slack are
// displaced, what they free is enough for the arriving job, which is then in time, and a job that fits is never refused.
func TestDecisionsKeepPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := overload.New()
		learn(p)
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "arrivals") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "pause")) * time.Millisecond)
			var queue []overload.Job
			target := now.Add(time.Duration(rapid.IntRange(-100, 60).Draw(t, "target")) * time.Millisecond)
			late := false
			for range rapid.IntRange(2, 12).Draw(t, "waiting") {
				target = target.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "later")) * time.Millisecond)
				priority := rapid.IntRange(0, 2).Draw(t, "priority")
				age := time.Duration(rapid.OneOf(rapid.IntRange(0, 5), rapid.IntRange(0, 200)).Draw(t, "age")) * time.Millisecond
				arrived := now.Add(-age)
				waiting := job(routes[priority], priority, arrived, target.Sub(arrived), drawWork(t))
				waiting.Started = rapid.IntRange(0, 5).Draw(t, "started") == 5
				late = late || rapid.IntRange(0, 20).Draw(t, "late") == 20
				waiting.Late = late
				queue = append(queue, waiting)
			}
			priority := rapid.IntRange(0, 2).Draw(t, "priority")
			slack := time.Duration(rapid.OneOf(rapid.IntRange(0, 150), rapid.IntRange(-100, 600)).Draw(t, "slack")) * time.Millisecond
			j := job(routes[priority], priority, now, slack, drawWork(t))
			c := overload.Capacity{Cores: rapid.Float64Range(0, 40).Draw(t, "cores"), Fits: rapid.Bool().Draw(t, "fits")}
			if rapid.Bool().Draw(t, "slight overload") {
				c = overload.Capacity{Cores: sumWork(queue) / (float64(rapid.IntRange(61, 130).Draw(t, "wait")) / 1000)}
				// The arriving job is nearly in time.
				starts := overload.DrainTime(sumWork(ahead(queue, j)), c.Cores)
				slack = starts - time.Duration(rapid.IntRange(0, 30).Draw(t, "missing"))*time.Millisecond
				j = job(j.Route, j.Priority, now, slack, j.Work)
			}
			switch d := p.Decide(now, j, sortedQueue(queue), c).(type) {
			case overload.Admit:
				if !c.Fits {
					t.Fatalf("a job that does not fit was admitted")
				}
			case overload.Refuse:
				if c.Fits {
					t.Fatalf("a job that fits was refused: %s", d.Cause)
				}
			case overload.Displace:
				freed := 0.0
				rest := slices.Clone(queue)
				for i, v := range d.Victims {
					other := queue[v]
					if i > 0 && v <= d.Victims[i-1] {
						t.Fatalf("the positions %v do not increase", d.Victims)
					}
					if other.Priority <= j.Priority || other.Started {
						t.Fatalf("%+v was displaced in favour of %+v", other, j)
					}
					if age, slack := now.Sub(other.ArrivedAt), other.TargetStart.Sub(other.ArrivedAt); other.Late || 5*age > slack {
						t.Fatalf("a job was displaced %v after it arrived, with a slack of %v, late: %v", age, slack, other.Late)
					}
					freed += other.Work
					rest[v].Work = 0
				}
				starts := overload.DrainTime(sumWork(ahead(rest, j)), c.Cores)
				wait := overload.DrainTime(sumWork(rest), c.Cores)
				if starts > slack && wait > 60*time.Millisecond {
					t.Fatalf("%v were displaced for a job that starts %v after its target", d.Victims, starts-slack)
				}
				if freed < j.Work {
					t.Fatalf("%g core-seconds were freed for a job of %g", freed, j.Work)
				}
			case overload.Wait:
			}
		}
	})
}

// Guards against sizes that are wrong for long because the first job of a route had no predicted work.
func TestFirstJobWithoutWorkDoesNotDecideSizes(t *testing.T) {
	refusals := func(first float64) int {
		p := overload.New()
		now := start
		for i := range 20 {
			size := 1.0
			if i == 0 {
				size = first
			}
			p.Decide(now, job("r", 1, now, time.Second, size), sortedQueue(nil), overload.Capacity{Cores: 10, Fits: true})
		}
		refused := 0
		for range 60 {
			now = now.Add(10 * time.Millisecond)
			queue := sortedQueue{job("other", 1, now.Add(-time.Second), 2*time.Second, 1.5)}
			d := p.Decide(now, job("r", 1, now, time.Second, 1), queue, overload.Capacity{Cores: 10})
			if _, ok := d.(overload.Refuse); ok {
				refused++
			}
		}
		return refused
	}
	want := refusals(1)
	if got := refusals(0); 10*got < 9*want || 10*got > 11*want {
		t.Errorf("after a first job of size 0, %d jobs were refused, want about %d", got, want)
	}
}

// Guards against a job that counts as small because few of its tasks can start on arrival.
func TestSizeCountsAllTasks(t *testing.T) {
	p := overload.New()
	refused := map[float64]int{}
	for i := range 2000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		j := job("r", 1, now, time.Second, 0.1)
		j.Size = float64(1 + i%2)
		queue := sortedQueue{job("other", 1, now.Add(-time.Second), 2*time.Second, 1)}
		if _, ok := p.Decide(now, j, queue, overload.Capacity{Cores: 10}).(overload.Refuse); ok {
			refused[j.Size]++
		}
	}
	if refused[2] <= refused[1] {
		t.Errorf("%d large and %d small jobs were refused", refused[2], refused[1])
	}
}

// Guards against jobs that are refused like less urgent ones because of an urgent route that no longer exists.
func TestRemovedRouteDoesNotChangeRanks(t *testing.T) {
	refusals := func(removed bool) int {
		p := overload.New()
		now := start
		if removed {
			learn(p)
		}
		refused := 0
		for i := range 3000 {
			now = now.Add(10 * time.Millisecond)
			priority := 1 + i%2
			queue := sortedQueue{job("other", 2, now.Add(-time.Second), 2*time.Second, 1)}
			queue[0].Started = true
			d := p.Decide(now, job(routes[priority], priority, now, time.Second, 1), queue, overload.Capacity{Cores: 10})
			// What was learned about the removed route decays within 20 s.
			if _, ok := d.(overload.Refuse); ok && priority == 1 && i >= 2000 {
				refused++
			}
		}
		return refused
	}
	if got, want := refusals(true), refusals(false); got > want+1 {
		t.Errorf("after a more urgent route was removed, %d jobs of the most urgent one were refused, want %d", got, want)
	}
}

// Guards against delays that remain long after a burst of refusals.
func TestRetriesAfterBurstAreSoon(t *testing.T) {
	var r overload.Retries
	for range 1000 {
		r.Reserve(start, 100*time.Millisecond, 80*time.Millisecond)
	}
	now := start.Add(overload.MaxRetryAfter)
	if got := r.Reserve(now, 100*time.Millisecond, 80*time.Millisecond); got > 180*time.Millisecond {
		t.Errorf("a caller may retry after %v", got)
	}
}

// Guards against refused callers that all return at the same time, and against delays longer than callers wait.
func TestRetriesAreSpread(t *testing.T) {
	var r overload.Retries
	last := time.Duration(0)
	for range 200 {
		after := r.Reserve(start, 100*time.Millisecond, 80*time.Millisecond)
		if after < last || after > overload.MaxRetryAfter {
			t.Fatalf("a retry after %v follows one after %v", after, last)
		}
		if after == last && after < overload.MaxRetryAfter {
			t.Fatalf("two callers retry after %v", after)
		}
		last = after
	}
}
