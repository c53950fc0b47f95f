package batchentry_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"dogwoodglade/batchentry"
	"dogwoodglade/core/batch"
	"dogwoodglade/core/evacuation"
	"dogwoodglade/core/site"
)

// evacuationBound is how long after the operators' edit tasks may be started in the data centre, or after the end of an
// outage of the store if that is later.
const evacuationBound = 4 * time.Second

// processStore is the store as one process reaches it.
type processStore struct {
	*fakeStore
	turnedAway *atomic.Bool
	unanswered *atomic.Bool  // calls get no response, nor do those in progress
	reads      *atomic.Int64 // of evacuations, by an agent
}

func (s *testSite) storeFor(process string) processStore {
	if s.turnedAway[process] == nil {
		s.turnedAway[process], s.unanswered[process] = &atomic.Bool{}, &atomic.Bool{}
	}
	return processStore{
		fakeStore: s.store, turnedAway: s.turnedAway[process], unanswered: s.unanswered[process],
		reads: &s.evacuationReads,
	}
}

func (d processStore) Configuration(ctx context.Context) (site.Configuration, evacuation.State, error) {
	if d.turnedAway.Load() {
		return site.Configuration{}, evacuation.State{}, storeDownError{}
	}
	return d.fakeStore.Configuration(ctx)
}

func (d processStore) WaitForChange(
	ctx context.Context, after evacuation.State, wait time.Duration,
) (batchentry.Edits, error) {
	x, err := d.fakeStore.WaitForChange(ctx, after, wait)
	if d.unanswered.Load() {
		<-ctx.Done()
		return batchentry.Edits{}, ctx.Err()
	}
	if d.turnedAway.Load() {
		return batchentry.Edits{}, storeDownError{}
	}
	return x, err
}

func (d processStore) Evacuations(ctx context.Context) (evacuation.State, error) {
	d.reads.Add(1)
	if d.turnedAway.Load() {
		return evacuation.State{}, storeDownError{}
	}
	return d.fakeStore.Evacuations(ctx)
}

func (d *fakeStore) Evacuations(context.Context) (evacuation.State, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state, d.check()
}

// evacuate writes the operators' rows.
func (d *fakeStore) evacuate(dataCentres ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	state := d.state
	for _, name := range dataCentres {
		state = state.With(name, state.Position()+1)
	}
	d.change(state)
}

// takeBack removes an operators' row.
func (d *fakeStore) takeBack(dataCentre string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.change(d.state.Without(dataCentre))
}

// dropHistory drops the changes up to now.
func (d *fakeStore) dropHistory() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.history = d.state.Position()
}

func (d *fakeStore) setDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
}

// runSiteWithDataCentres runs a site with two agents in each of two data centres, a and b.
func runSiteWithDataCentres(t *testing.T, entries int, test func(s *testSite)) {
	t.Helper()
	runSiteInOneRegion(t, entries, 0, func(s *testSite) {
		for _, name := range []string{"a-1", "a-2", "b-1", "b-2"} {
			s.dataCentres[name] = name[:1]
			s.addAgent(name)
		}
		time.Sleep(3 * time.Second)
		test(s)
	})
}

// starts returns how many tasks were started in a data centre.
func (s *testSite) starts(dataCentre string) int {
	n := 0
	for name, b := range s.backends {
		if s.dataCentres[name] == dataCentre {
			b.mu.Lock()
			n += len(b.starts)
			b.mu.Unlock()
		}
	}
	return n
}

// submitTo submits jobs of 24 tasks, more than one data centre runs at a time, to an entry.
func (s *testSite) submitTo(entry, prefix string, jobs int) {
	s.t.Helper()
	for i := range jobs {
		o := s.entries[entry].Submit(s.t.Context(), newJob(fmt.Sprint(prefix, i), 24, 50*time.Millisecond))
		if _, ok := o.(batch.Completed); !ok {
			s.t.Errorf("job %s%d at %s: got %s", prefix, i, entry, batch.OutcomeName(o))
		}
	}
}

// checkNoStarts checks that no task is started in a data centre while jobs are submitted to all entries.
func (s *testSite) checkNoStarts(dataCentre, prefix string) {
	s.t.Helper()
	before := s.starts(dataCentre)
	for entry := range s.entries {
		s.submitTo(entry, prefix+entry, 5)
	}
	if n := s.starts(dataCentre) - before; n > 0 {
		s.t.Errorf("%s: %d tasks were started in data centre %s", prefix, n, dataCentre)
	}
}

// checkStarts checks that tasks are started in a data centre while jobs are submitted to all entries.
func (s *testSite) checkStarts(dataCentre, prefix string) {
	s.t.Helper()
	before := s.starts(dataCentre)
	for entry := range s.entries {
		s.submitTo(entry, prefix+entry, 5)
	}
	if s.starts(dataCentre) == before {
		s.t.Errorf("%s: no task was started in data centre %s", prefix, dataCentre)
	}
}

// Guards against starts in a data centre that operators have evacuated, against runs that are stopped by an evacuation,
// and against a data centre that stays unused after it was taken back.
func TestEvacuation(t *testing.T) {
	for _, entries := range []int{1, 3} {
		runSiteWithDataCentres(t, entries, func(s *testSite) {
			s.checkStarts("a", "before")
			long := make(chan batch.Outcome, 1)
			go func() { long <- s.entries["entry-1"].Submit(s.t.Context(), newJob("long", 30, time.Second)) }()
			time.Sleep(100 * time.Millisecond)
			s.store.evacuate("a")
			time.Sleep(time.Second)
			s.checkNoStarts("a", "evacuated")
			if o := <-long; o != (batch.Completed{}) {
				s.t.Errorf("a job with runs in the data centre: got %s", batch.OutcomeName(o))
			}
			s.store.takeBack("a")
			time.Sleep(evacuationBound)
			s.checkStarts("a", "taken back")
		})
	}
}

// Guards against callers that wait until their time-outs when no data centre is left.
func TestAllDataCentresEvacuated(t *testing.T) {
	runSiteWithDataCentres(t, 2, func(s *testSite) {
		s.store.evacuate("a", "b")
		time.Sleep(time.Second) // an entry without agents holds jobs for half a second after there were any
		before, begun := s.starts("a")+s.starts("b"), time.Now()
		for i := range 5 {
			o := s.entries["entry-1"].Submit(s.t.Context(), newJob(fmt.Sprint("job-", i), 2, 50*time.Millisecond))
			if batch.OutcomeName(o) != "NotRun:NoServer" {
				s.t.Errorf("got %s", batch.OutcomeName(o))
			}
		}
		if taken := time.Since(begun); taken > 100*time.Millisecond {
			s.t.Errorf("five refusals took %v", taken)
		}
		if s.starts("a")+s.starts("b") != before {
			s.t.Error("tasks were started in an evacuated data centre")
		}
		s.store.takeBack("b")
		time.Sleep(evacuationBound)
		s.checkNoStarts("a", "b taken back")
	})
}

// Guards against an entry that starts tasks in an evacuated data centre because the store was away when it started.
func TestEvacuationWhileStoreIsAwayAtStart(t *testing.T) {
	runSiteWithDataCentres(t, 2, func(s *testSite) {
		s.store.evacuate("a")
		time.Sleep(time.Second)
		s.store.setDown(true)
		s.killEntry("entry-1")
		s.startEntry("entry-1")
		time.Sleep(time.Second)
		s.killEntry("entry-2")
		s.startEntry("entry-2")
		time.Sleep(evacuationBound)
		s.checkNoStarts("a", "away")
		s.store.setDown(false)
		time.Sleep(evacuationBound)
		s.checkNoStarts("a", "returned")
		s.store.takeBack("a")
		time.Sleep(evacuationBound)
		s.checkStarts("a", "taken back")
	})
}

// Guards against evacuations that are missed, or not taken back, because they were edited while the store was away and
// its history was lost.
func TestEvacuationEditedDuringOutage(t *testing.T) {
	for _, lost := range []bool{false, true} {
		runSiteWithDataCentres(t, 3, func(s *testSite) {
			s.store.evacuate("a")
			time.Sleep(time.Second)
			s.store.setDown(true)
			time.Sleep(5 * time.Second)
			s.store.takeBack("a")
			s.store.evacuate("b")
			if lost {
				s.store.dropHistory()
			}
			time.Sleep(3 * time.Second)
			s.store.setDown(false)
			time.Sleep(evacuationBound)
			s.checkNoStarts("b", "after the outage")
			s.checkStarts("a", "after the outage")
		})
	}
}

// Guards against a started job whose outcome becomes unknown because its entry, which prefers the agents of its own data
// centre, has no others when that data centre is evacuated.
func TestStartedJobSurvivesEvacuation(t *testing.T) {
	runSiteInOneRegion(t, 0, 0, func(s *testSite) {
		for i, dc := range []string{"a", "b", "a", "b", "a", "b", "a", "b"} {
			name := fmt.Sprintf("entry-%d", i+1)
			s.dataCentres[name] = dc
			s.startEntry(name)
		}
		for i := range 4 {
			for _, dc := range []string{"a", "b"} {
				name := fmt.Sprintf("%s-%d", dc, i+1)
				s.dataCentres[name] = dc
				s.addAgent(name)
			}
		}
		time.Sleep(10 * time.Second)
		outcomes := make(chan batch.Outcome)
		homes := s.agentCounts()
		for name := range homes {
			go func() {
				j := newJob("long-"+name, 50, time.Second).WithTimeout(30 * time.Second)
				outcomes <- s.entries[name].Submit(s.t.Context(), j)
			}()
		}
		time.Sleep(300 * time.Millisecond)
		s.store.evacuate("a")
		for range homes {
			if o := <-outcomes; o != (batch.Completed{}) {
				s.t.Errorf("got %s", batch.OutcomeName(o))
			}
		}
	})
}

// Guards against starts that agents refuse because the entry sends them before the news that an evacuation was taken back:
// the reports with which the agents withdraw their backend servers are still on their way.
func TestNoStartBeforeNewsOfTakingBack(t *testing.T) {
	runSiteWithDataCentres(t, 1, func(s *testSite) {
		setStalled := func(stalled bool) {
			s.network.SetStalled("a-1", "entry-1", stalled)
			s.network.SetStalled("a-2", "entry-1", stalled)
		}
		setStalled(true)
		s.store.evacuate("a")
		time.Sleep(10 * time.Millisecond)
		outcome := make(chan batch.Outcome)
		go func() { outcome <- s.entries["entry-1"].Submit(s.t.Context(), newJob("job", 40, 200*time.Millisecond)) }()
		time.Sleep(10 * time.Millisecond)
		s.store.takeBack("a")
		time.Sleep(10 * time.Millisecond)
		setStalled(false)
		if o := <-outcome; o != (batch.Completed{}) {
			s.t.Errorf("got %s", batch.OutcomeName(o))
		}
		if s.starts("a") == 0 {
			s.t.Error("no task was started in the data centre that was taken back")
		}
		if lines := s.logs.about(`"Reason":"Evacuated"`); lines != "" {
			s.t.Errorf("starts were refused:\n%s", lines)
		}
	})
}

// entryWithAgents returns an entry that is the home of agents.
func (s *testSite) entryWithAgents() string {
	for name := range s.agentCounts() {
		return name
	}
	s.t.Fatal("no entry has agents")
	return ""
}

// Guards against starts in an evacuated data centre by an entry that is cut off from the store and from the other
// entries, while the agents there reach the store.
func TestEvacuationUnknownToHome(t *testing.T) {
	runSiteWithDataCentres(t, 2, func(s *testSite) {
		home := s.entryWithAgents()
		s.checkStarts("a", "before")
		s.turnedAway[home].Store(true)
		s.network.SetCut("entry-1", "entry-2", true)
		time.Sleep(3 * time.Second)
		s.store.evacuate("a")
		time.Sleep(evacuationBound)
		before := s.starts("a")
		s.submitTo(home, "cut", 5)
		if n := s.starts("a") - before; n > 0 {
			s.t.Errorf("%d tasks were started", n)
		}
		s.turnedAway[home].Store(false)
		s.network.SetCut("entry-1", "entry-2", false)
		time.Sleep(evacuationBound)
		s.checkNoStarts("a", "connected again")
	})
}

// Guards against starts after the bound, also when the entry that places tasks does not learn of the evacuation itself, and
// shows the margin: the time from the edit, or from the return of the store, to the last start in the data centre.
func TestMarginOfEvacuationBound(t *testing.T) {
	for _, c := range []struct {
		name  string
		order func(s *testSite, home string)
	}{
		{"calm", func(s *testSite, _ string) { s.store.evacuate("a") }},
		{"history lost", func(s *testSite, _ string) {
			s.store.evacuate("a")
			s.store.dropHistory()
		}},
		{"store slow", func(s *testSite, _ string) {
			s.store.mu.Lock()
			s.store.delay = 400 * time.Millisecond
			s.store.mu.Unlock()
			s.store.evacuate("a")
		}},
		{"ordered before the store returns", func(s *testSite, _ string) {
			s.store.setDown(true)
			time.Sleep(10 * time.Second)
			s.store.evacuate("a")
			s.store.setDown(false)
		}},
		{"home cut off from the store and the other entries", func(s *testSite, home string) {
			s.cutOff(home)
			s.store.evacuate("a")
		}},
		{"home cut off for 10 s", func(s *testSite, home string) {
			s.cutOff(home)
			time.Sleep(10 * time.Second)
			s.store.evacuate("a")
		}},
		{"home and half of the agents cut off", func(s *testSite, home string) {
			s.cutOff(home)
			s.turnedAway["a-1"].Store(true)
			s.turnedAway["b-1"].Store(true)
			s.store.evacuate("a")
		}},
	} {
		runSiteWithDataCentres(t, 2, func(s *testSite) {
			home := s.entryWithAgents()
			s.checkStarts("a", "before")
			c.order(s, home)
			ordered := time.Now()
			for i := 0; time.Since(ordered) < 2*evacuationBound; i++ {
				s.submitTo(home, fmt.Sprint("job-", i, "-"), 1)
			}
			var last time.Time
			for name, b := range s.backends {
				if b.lastStart.After(last) && s.dataCentres[name] == "a" {
					last = b.lastStart
				}
			}
			margin := max(last.Sub(ordered), 0)
			t.Logf("%s: last start after %v", c.name, margin)
			if margin > evacuationBound {
				t.Errorf("%s: a task was started %v after the order", c.name, margin)
			}
		})
	}
}

// cutOff cuts an entry off from the store and from the other one.
func (s *testSite) cutOff(entry string) {
	s.turnedAway[entry].Store(true)
	s.network.SetCut("entry-1", "entry-2", true)
}

// Guards against agents that all read the store because it responds slowly to their entries.
func TestSlowStoreIsNotReadByAgents(t *testing.T) {
	runSiteWithDataCentres(t, 3, func(s *testSite) {
		s.store.mu.Lock()
		s.store.delay = 400 * time.Millisecond
		s.store.mu.Unlock()
		before := s.evacuationReads.Load()
		time.Sleep(time.Minute)
		if n := s.evacuationReads.Load() - before; n > 0 {
			s.t.Errorf("the agents read the store %d times although their entries did", n)
		}
	})
}

// Guards against starts by an entry that knows nothing, on agents that missed an evacuation while they had no entry.
func TestEvacuationWithoutEntries(t *testing.T) {
	runSiteWithDataCentres(t, 1, func(s *testSite) {
		s.killEntry("entry-1")
		time.Sleep(5 * time.Second)
		s.store.evacuate("a")
		time.Sleep(evacuationBound)
		s.turnedAway["entry-1"].Store(true)
		before := s.starts("a")
		s.startEntry("entry-1")
		for i := range 20 {
			s.entries["entry-1"].Submit(s.t.Context(), newJob(fmt.Sprint("job-", i), 24, 50*time.Millisecond))
		}
		if n := s.starts("a") - before; n > 0 {
			s.t.Errorf("%d tasks were started in the evacuated data centre", n)
		}
	})
}

// Guards against agents that read the store although their entries do, and against a store that all agents of a site
// call at a high rate while it is away.
func TestEvacuationReadRate(t *testing.T) {
	runSiteWithDataCentres(t, 3, func(s *testSite) {
		time.Sleep(30 * time.Second)
		if n := s.evacuationReads.Load(); n > 0 {
			s.t.Errorf("the agents read the store %d times although their entries did", n)
		}
		const outage = 30 * time.Second
		s.store.setDown(true)
		time.Sleep(outage)
		reads := s.evacuationReads.Load()
		s.t.Logf("%d reads of four agents", reads)
		if limit := int64(outage.Seconds()) + 8; reads > limit {
			s.t.Errorf("the agents of an entry read the store %d times during an outage, want %d at most", reads, limit)
		}
		s.store.setDown(false)
		time.Sleep(5 * time.Second)
		known := metrics.GetOrRegisterGauge("Evacuation.AgeMilliseconds", s.metrics["entry-1"]).Value()
		if known < 0 || known > 2000 {
			s.t.Errorf("the knowledge of an entry is %d ms old", known)
		}
	})
}

// Guards against knowledge that counts as fresh because a response with rows of other keys was delayed until the end of the
// wait: the store may have written it at the beginning.
func TestDelayedResponseIsNotFresh(t *testing.T) {
	runSiteWithDataCentres(t, 1, func(s *testSite) {
		for name := range s.backends {
			s.turnedAway[name].Store(true) // what agents read is fresh
		}
		s.store.mu.Lock()
		s.store.foreignDelay = 150 * time.Millisecond
		s.store.mu.Unlock()
		time.Sleep(4 * time.Second)
		const resolution = 100 * time.Millisecond // of the gauge
		gauge := metrics.GetOrRegisterGauge("Evacuation.AgeMilliseconds", s.metrics["entry-1"])
		for range 200 {
			time.Sleep(50 * time.Millisecond)
			s.store.mu.Lock()
			asked := time.Since(s.store.foreignAsked)
			s.store.mu.Unlock()
			if age := time.Duration(gauge.Value()) * time.Millisecond; age+resolution < asked {
				s.t.Errorf("the knowledge is %v old, although the latest call with a response began %v ago", age, asked)
				return
			}
		}
		if s.store.foreignWaits < 5 {
			s.t.Errorf("%d calls that waited got a response, too few for this test", s.store.foreignWaits)
		}
	})
}
