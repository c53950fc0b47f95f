package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/dispatch"
	"dogwoodglade/core/resource"
	"dogwoodglade/core/supervise"
)

// restarted is what callers get in the first second of an entry.
type restarted struct {
	callers, returning        int
	refused, returningRefused []time.Duration // how long callers have waited for that
}

// restart plays the first second of an entry. Callers come for the first time at 100/s, 0.6 of the capacity of ten backend
// servers, and twice that for 300 ms; others return at the given rate. The backend servers of 32 cores each arrive at the
// given times.
func restart(arrivals []time.Duration, returningRate float64) (r restarted) {
	const step = 5 * time.Millisecond
	start := time.Unix(1000, 0)
	d := dispatch.New()
	d.Tick(start)
	ends := map[time.Time]map[string][]supervise.RunEnd{} // by agent
	report := func(now time.Time, agent string, ended []supervise.RunEnd) []dispatch.Action {
		return d.HandleReport(now, agent, supervise.Report{Ended: ended, Offered: true, Server: supervise.Server{
			ID: agent, Pool: "pool", Capacity: resource.Amount{Processor: 32000},
		}})
	}
	perform := func(now time.Time, actions []dispatch.Action) {
		for _, a := range actions {
			switch a := a.(type) {
			case *dispatch.StartRuns:
				at := now.Add(170 * time.Millisecond)
				if ends[at] == nil {
					ends[at] = map[string][]supervise.RunEnd{}
				}
				for _, x := range a.Starts {
					ends[at][a.Agent] = append(ends[at][a.Agent], supervise.RunEnd{
						RunID: x.RunID, End: supervise.Done, RunTime: 170 * time.Millisecond,
					})
				}
			case dispatch.Answer:
				if _, ok := a.Outcome.(batch.NotRun); !ok {
					continue
				}
				if a.Job[0] == 'r' {
					r.returningRefused = append(r.returningRefused, a.Elapsed)
				} else {
					r.refused = append(r.refused, a.Elapsed)
				}
			}
		}
	}
	submit := func(now time.Time, id string, returning bool) {
		perform(now, d.Submit(now, batch.Job{
			ID: batch.JobID(id), Route: "r", Pool: "pool", Attempts: 2, Stretch: 1.6, Target: 60 * time.Millisecond,
			Timeout: 1500 * time.Millisecond, Returning: returning, Steps: []batch.Step{
				{Count: 4, Demand: resource.Amount{Processor: 2800}, Estimate: 170 * time.Millisecond},
			},
		}))
	}
	due, returningDue := 0.0, 0.0
	for now := start; now.Before(start.Add(time.Second)); now = now.Add(step) {
		elapsed := now.Sub(start)
		for i, at := range arrivals {
			if at == elapsed {
				agent := fmt.Sprint("agent-", i)
				perform(now, d.Connect(now, agent))
				perform(now, report(now, agent, nil))
			}
		}
		for agent, ended := range ends[now] {
			perform(now, report(now, agent, ended))
		}
		delete(ends, now)
		rate := 100.0
		if elapsed < 300*time.Millisecond {
			rate *= 2
		}
		for due += rate * step.Seconds(); due >= 1; due-- {
			r.callers++
			submit(now, fmt.Sprint(r.callers), false)
		}
		for returningDue += returningRate * step.Seconds(); returningDue >= 1; returningDue-- {
			r.returning++
			submit(now, fmt.Sprint("r", r.returning), true)
		}
		if elapsed%(50*time.Millisecond) == 0 {
			perform(now, d.Tick(now))
		}
	}
	return r
}

// arriving returns the times at which the agents of ten backend servers choose an entry after the restart of a site.
func arriving() []time.Duration {
	var arrivals []time.Duration
	for i := range 10 {
		arrivals = append(arrivals, 80*time.Millisecond+time.Duration(i)*20*time.Millisecond)
	}
	return arrivals
}

// Guards against an entry that refuses nearly all callers after the restart of a site, because the first backend server
// alone could not serve those who wait.
func TestFewRefusedWhileServersArrive(t *testing.T) {
	if r := restart(arriving(), 0); len(r.refused) > r.callers/20 {
		t.Errorf("%d of %d callers were refused", len(r.refused), r.callers)
	}
}

// Guards against callers that could be in time and are refused after an outage, because of those that return from it and
// are late already. The capacity that the former leave must serve the latter, and they must not wait for a refusal until
// their time is over.
func TestReturningCallersComeAfterOthers(t *testing.T) {
	r := restart(arriving(), 250)
	if len(r.refused) > r.callers/20 {
		t.Errorf("%d of %d callers were refused that came for the first time", len(r.refused), r.callers)
	}
	if served := r.returning - len(r.returningRefused); served < 20 {
		t.Errorf("%d of %d returning callers were served, want 0.3 of the capacity in half a second", served, r.returning)
	}
	for _, waited := range r.returningRefused {
		if waited > 250*time.Millisecond {
			t.Errorf("a returning caller was refused after %v", waited)
		}
	}
}

// Guards against callers who are held for backend servers that do not come, when all but the first one are lost.
func TestRefusedSoonWhenServersStayAway(t *testing.T) {
	r := restart([]time.Duration{80 * time.Millisecond}, 0)
	if len(r.refused) < r.callers/2 {
		t.Fatalf("%d of %d callers were refused, although there is room for a tenth", len(r.refused), r.callers)
	}
	for _, waited := range r.refused {
		if waited > 500*time.Millisecond {
			t.Errorf("a caller was refused after %v", waited)
		}
	}
}
