package dispatch_test

import (
	"testing"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/dispatch"
	"dogwoodglade/core/resource"
	"dogwoodglade/core/supervise"
)

// speedRig is a dispatcher with two fast backend servers and one whose run times are longer. Each runs one task at a time.
type speedRig struct {
	*dispatch.Dispatcher
	now  time.Time
	jobs int
}

func newSpeedRig() *speedRig {
	r := &speedRig{Dispatcher: dispatch.New(), now: time.Unix(1000, 0)}
	for _, agent := range []string{"fast-1", "fast-2", "slow"} {
		r.Connect(r.now, agent)
		r.report(agent)
	}
	return r
}

func (r *speedRig) report(agent string, ended ...supervise.RunEnd) []dispatch.Action {
	capacity := resource.Amount{Processor: 1000, Memory: 1024}
	return r.HandleReport(r.now, agent, supervise.Report{
		Offered: true, Ended: ended, Server: supervise.Server{ID: agent, Pool: "pool", Capacity: capacity},
	})
}

// play submits a job of three tasks and ends its runs, those on the slow backend server after the given multiple of the
// estimate. It reports whether that one got a task while the others were full.
func (r *speedRig) play(estimate time.Duration, factor float64) bool {
	r.jobs++
	job := batch.Job{
		ID: batch.JobID(time.Duration(r.jobs).String()), Route: "r", Pool: "pool", Attempts: 2, Stretch: 1.6,
		Target: 60 * time.Millisecond,
		Steps:  []batch.Step{{Count: 3, Demand: resource.Amount{Processor: 1000}, Estimate: estimate}},
	}
	used := false
	for actions := r.Submit(r.now, job); len(actions) > 0; {
		var next []dispatch.Action
		for _, a := range actions {
			s, ok := a.(*dispatch.StartRuns)
			if !ok {
				continue
			}
			runTime := estimate
			if s.Agent == "slow" {
				used, runTime = true, time.Duration(factor*float64(estimate))
			}
			for _, x := range s.Starts {
				r.now = r.now.Add(runTime / 10)
				next = append(next, r.report(s.Agent, supervise.RunEnd{RunID: x.RunID, End: supervise.Done, RunTime: runTime})...)
			}
		}
		actions = next
	}
	return used
}

// Guards against backend servers of an earlier generation that are taken as faulty after their first runs, and idle until
// probes have shown their speed, and against faulty ones that are taken as slow.
func TestSlowServerIsUsedFromItsFirstRuns(t *testing.T) {
	for _, c := range []struct {
		name    string
		factor  float64
		atLeast int
		atMost  int
	}{{"earlier generation", 2.6, 15, 15}, {"faulty", 6, 0, 5}} {
		r, used := newSpeedRig(), 0
		for range 15 {
			if r.play(40*time.Millisecond, c.factor) {
				used++
			}
		}
		if used < c.atLeast || used > c.atMost {
			t.Errorf("%s: got a task of %d jobs of 15, want %d to %d", c.name, used, c.atLeast, c.atMost)
		}
	}
}

// Guards against a backend server that was slow for a while and is never used again, because all jobs are too long to be in
// time there by its last run times.
func TestSlowServerIsMeasuredAgain(t *testing.T) {
	r := newSpeedRig()
	for range 40 {
		r.play(40*time.Millisecond, 2.4)
	}
	if r.play(300*time.Millisecond, 2.4) {
		t.Fatal("a long job was placed on the slow backend server")
	}
	used := 0
	for range 40 {
		r.now = r.now.Add(time.Second)
		if r.play(300*time.Millisecond, 1) {
			used++
		}
	}
	if used < 20 {
		t.Errorf("got a task of %d jobs of 40 after it had become fast, want 20", used)
	}
}

// Guards against entries that forward jobs for the free capacity of backend servers on which they would be late.
func TestLoadSeparatesSlowServers(t *testing.T) {
	r := newSpeedRig()
	for range 40 {
		r.play(40*time.Millisecond, 2.4)
	}
	l := r.Load().Pools["pool"]
	if l.Free.Processor != 2000 || l.FreeSlow.Processor != 1000 || l.Slowdown < 1.75 {
		t.Errorf("got %+v, want 2 free cores, and 1 of a slow backend server", l)
	}
	for _, agent := range []string{"fast-1", "fast-2"} {
		r.Disconnect(r.now, agent, r.now)
	}
	if l := r.Load().Pools["pool"]; l.Free.Processor != 1000 || l.FreeSlow.Processor != 0 {
		t.Errorf("got %+v without the fast backend servers, want 1 free core", l)
	}
}

// Guards against callers who are told to wait for the retries of others that do not come: the refused job was passed on.
func TestReleasedRetryDoesNotDelayOthers(t *testing.T) {
	retryAfter := func(release bool) time.Duration {
		r := newSpeedRig()
		long := smallJob
		long.Steps = []batch.Step{{Count: 30, Demand: resource.Amount{Processor: 1000}, Estimate: 500 * time.Millisecond}}
		var latest time.Duration
		for i := range 20 {
			long.ID = batch.JobID(time.Duration(i).String())
			for _, a := range r.Submit(r.now, long) {
				answer, ok := a.(dispatch.Answer)
				if !ok {
					continue
				}
				latest = answer.Outcome.(batch.NotRun).RetryAfter
				if release {
					r.ReleaseRetry(answer)
				}
			}
		}
		return latest
	}
	if kept, released := retryAfter(false), retryAfter(true); released <= 0 || released >= kept {
		t.Errorf("got a retry after %v with releases and %v without, want less", released, kept)
	}
}
