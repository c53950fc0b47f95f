package batchentry_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"dogwoodglade/batchagent"
	"dogwoodglade/core/batch"
)

// Guards against jobs that fail or are slow when no fault occurs.
func TestJobsCompleteWithoutFaults(t *testing.T) {
	runSite(t, 2, 4, func(s *testSite) {
		for i := range 20 {
			name := fmt.Sprintf("entry-%d", i%2+1)
			start := time.Now()
			o := s.entries[name].Submit(s.t.Context(), newJob(fmt.Sprint("job-", i), 8, 50*time.Millisecond))
			if _, ok := o.(batch.Completed); !ok {
				s.t.Fatalf("job %d at %s: got %s", i, name, batch.OutcomeName(o))
			}
			if elapsed := time.Since(start); elapsed > 100*time.Millisecond {
				s.t.Errorf("job %d took %v", i, elapsed)
			}
		}
	})
}

// Guards against jobs that are queued at one entry while another has free backend servers.
func TestJobsForwardedToEntryWithCapacity(t *testing.T) {
	runSite(t, 2, 4, func(s *testSite) {
		var waiting sync.WaitGroup
		start := time.Now()
		for i := range 4 {
			waiting.Go(func() {
				o := s.entries["entry-1"].Submit(s.t.Context(), newJob(fmt.Sprint("job-", i), 10, 400*time.Millisecond))
				if _, ok := o.(batch.Completed); !ok {
					s.t.Errorf("job %d: got %s", i, batch.OutcomeName(o))
				}
			})
			time.Sleep(150 * time.Millisecond) // until the loads have been reported
		}
		waiting.Wait()
		if elapsed := time.Since(start); elapsed > 1200*time.Millisecond {
			s.t.Errorf("four jobs that fill four backend servers took %v", elapsed)
		}
	})
}

// Guards against jobs that are refused although an entry has free capacity. The reported loads are a fraction of a
// second old, so an entry may have become full since its last report.
func TestJobRefusedByPeerForwardedToAnother(t *testing.T) {
	for seed := range 8 {
		runSite(t, 3, 6, func(s *testSite) {
			var waiting sync.WaitGroup
			submit := func(entry string, j batch.Job) {
				waiting.Go(func() {
					if _, ok := s.entries[entry].Submit(s.t.Context(), j).(batch.Completed); !ok {
						s.t.Errorf("seed %d: job %s was not run", seed, j.ID)
					}
				})
				synctest.Wait()
			}
			submit("entry-1", newJob("first", 30, time.Second)) // exceeds every entry's capacity, so some tasks are queued
			submit("entry-2", newJob("second", 20, time.Second))
			submit("entry-2", newJob(fmt.Sprint("third-", seed), 10, 200*time.Millisecond))
			submit("entry-2", newJob(fmt.Sprint("fourth-", seed), 10, 200*time.Millisecond))
			waiting.Wait()
		})
	}
}

// Guards against two runs of a task at the same time when an entry is lost and the caller resubmits the job to another
// entry.
func TestResubmissionAfterEntryLoss(t *testing.T) {
	for _, loss := range []string{"stopped", "unresponsive"} {
		t.Run(loss, func(t *testing.T) {
			runSite(t, 2, 2, func(s *testSite) {
				ctx, cancel := context.WithCancel(s.t.Context())
				done := make(chan struct{})
				go func() {
					defer close(done)
					s.entries["entry-1"].Submit(ctx, newJob("job-1", 8, 5*time.Second))
				}()
				time.Sleep(200 * time.Millisecond)
				lost := time.Now()
				if loss == "unresponsive" {
					for _, other := range []string{"entry-2", "agent-1", "agent-2"} {
						s.network.SetStalled("entry-1", other, true)
					}
				} else {
					s.stops["entry-1"]()
					delete(s.stops, "entry-1")
				}
				time.Sleep(1300 * time.Millisecond)
				o := s.entries["entry-2"].Submit(s.t.Context(), newJob("job-1", 8, 100*time.Millisecond))
				if _, ok := o.(batch.Completed); !ok {
					s.t.Errorf("got %s, %v after the loss", batch.OutcomeName(o), time.Since(lost))
				}
				cancel()
				<-done
				for _, other := range []string{"entry-2", "agent-1", "agent-2"} {
					s.network.SetStalled("entry-1", other, false)
				}
			})
		})
	}
}

// Guards against runs that continue after the caller has disconnected.
func TestCallerDisconnects(t *testing.T) {
	runSite(t, 1, 1, func(s *testSite) {
		ctx, cancel := context.WithTimeout(s.t.Context(), 300*time.Millisecond)
		defer cancel()
		s.entries["entry-1"].Submit(ctx, newJob("job-1", 8, time.Minute))
		time.Sleep(100 * time.Millisecond)
		b := s.backends["agent-1"]
		b.mu.Lock()
		defer b.mu.Unlock()
		if len(b.starts) != 8 || len(b.running) > 0 {
			s.t.Errorf("%d tasks started, %d still run", len(b.starts), len(b.running))
		}
	})
}

// Guards against jobs that hang when the agent that runs them is lost. Their tasks must be started elsewhere.
func TestAgentLost(t *testing.T) {
	runSite(t, 1, 2, func(s *testSite) {
		outcome := make(chan batch.Outcome, 1)
		go func() {
			outcome <- s.entries["entry-1"].Submit(s.t.Context(), newJob("job-1", 12, 500*time.Millisecond))
		}()
		time.Sleep(100 * time.Millisecond)
		s.network.SetStalled("agent-1", "entry-1", true)
		start := time.Now()
		o := <-outcome
		if _, ok := o.(batch.Completed); !ok || time.Since(start) > 4*time.Second {
			s.t.Errorf("got %s after %v", batch.OutcomeName(o), time.Since(start))
		}
		s.network.SetStalled("agent-1", "entry-1", false)
	})
}

// Guards against a planned stop that leaves callers without a response, and against an entry that accepts jobs which it
// cannot finish.
func TestPlannedStop(t *testing.T) {
	runSite(t, 2, 2, func(s *testSite) {
		e := s.entries["entry-1"]
		outcomes := make(chan batch.Outcome, 2)
		go func() { outcomes <- e.Submit(s.t.Context(), newJob("short", 4, 3*time.Second)) }()
		go func() { outcomes <- e.Submit(s.t.Context(), newJob("long", 4, time.Minute)) }()
		time.Sleep(100 * time.Millisecond)
		ctx, cancel := context.WithTimeout(s.t.Context(), 5*time.Second)
		defer cancel()
		if !e.Ready() {
			s.t.Error("a running entry is not ready")
		}
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			e.Stop(ctx)
		}()
		time.Sleep(100 * time.Millisecond)
		if e.Ready() {
			s.t.Error("a stopping entry is ready")
		}
		o := e.Submit(s.t.Context(), newJob("meanwhile", 4, 50*time.Millisecond))
		if _, ok := o.(batch.Completed); !ok {
			s.t.Errorf("before the load balancer has removed the entry: got %s", batch.OutcomeName(o))
		}
		time.Sleep(2500 * time.Millisecond)
		o = e.Submit(s.t.Context(), newJob("late", 4, 50*time.Millisecond))
		if _, ok := o.(batch.Completed); !ok {
			s.t.Errorf("on an open connection: got %s", batch.OutcomeName(o))
		}
		<-stopped
		if _, ok := (<-outcomes).(batch.Completed); !ok {
			s.t.Error("the short job was not finished")
		}
		if _, ok := (<-outcomes).(batch.Unknown); !ok {
			s.t.Error("the long job was not answered as Unknown")
		}
		if o, ok := e.Submit(s.t.Context(), newJob("after", 1, time.Millisecond)).(batch.NotRun); !ok || o.RetryAfter <= 0 {
			s.t.Error("a stopped entry did not refuse a job with a Retry-After")
		}
	})
}

// Guards against configurations that reach some entries late or not at all, or that are replaced by an older one.
func TestConfigurationReachesAllEntries(t *testing.T) {
	runSite(t, 3, 0, func(s *testSite) {
		s.store.set(5)
		time.Sleep(300 * time.Millisecond)
		for name, e := range s.entries {
			if v := e.Configuration().Version; v != 5 {
				s.t.Errorf("%s has version %d", name, v)
			}
		}
		s.store.mu.Lock()
		s.store.down = true
		s.store.mu.Unlock()
		s.startEntry("entry-4")
		for _, peer := range []string{"entry-1"} {
			if p, err := s.network.Host(peer).Dial(s.t.Context(), "tcp", "entry-4:1"); err == nil {
				_ = p.Close()
			}
		}
		time.Sleep(time.Second)
		if s.entries["entry-4"].Ready() {
			s.t.Error("an entry without a configuration is ready")
		}
		s.store.mu.Lock()
		s.store.down = false
		s.store.mu.Unlock()
		time.Sleep(5 * time.Second)
		if v := s.entries["entry-4"].Configuration().Version; v != 5 {
			s.t.Errorf("after the outage entry-4 has version %d", v)
		}
	})
}

// Guards against callers who are refused for seconds after an outage of the store during which all entries were
// restarted. No entry has a configuration then, and each waits for a response that will not arrive, or for its next
// retry.
func TestConfigurationReadPromptlyAfterOutage(t *testing.T) {
	runSite(t, 0, 0, func(s *testSite) {
		s.store.unresponsive = true
		s.startEntry("entry-1")
		for range 10 {
			time.Sleep(1370 * time.Millisecond)
			s.store.mu.Lock()
			s.store.unresponsive = false
			s.store.mu.Unlock()
			time.Sleep(750 * time.Millisecond)
			if s.entries["entry-1"].Configuration().Version == 0 {
				s.t.Fatal("the entry has no configuration 750 ms after the outage")
			}
			s.stops["entry-1"]()
			s.store.mu.Lock()
			s.store.unresponsive = true
			s.store.mu.Unlock()
			s.startEntry("entry-1")
		}
	})
}

// Guards against a restarted agent that is unusable until the next announcement of its backend server, and against runs
// of the previous agent process that continue.
func TestAgentRestarts(t *testing.T) {
	runSite(t, 1, 1, func(s *testSite) {
		ctx, cancel := context.WithCancel(s.t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.entries["entry-1"].Submit(ctx, newJob("job-1", 4, time.Minute))
		}()
		time.Sleep(100 * time.Millisecond)
		s.stops["agent-1"]()
		cancel()
		<-done
		b := s.backends["agent-1"]
		_, stop := batchagent.New(batchagent.Options{
			Name: "agent-1", DataCentre: "dc-entry-1", Directory: s.store, Server: b, Logger: zerolog.Nop(),
			Dial: s.network.Host("agent-1").Dial, Now: time.Now,
		})
		s.stops["agent-1"] = stop
		time.Sleep(500 * time.Millisecond)
		o := s.entries["entry-1"].Submit(s.t.Context(), newJob("job-2", 10, 50*time.Millisecond))
		if _, ok := o.(batch.Completed); !ok {
			s.t.Errorf("got %s", batch.OutcomeName(o))
		}
	})
}

// Guards against a planned stop that leaves callers without a response because its deadline is shorter than the time
// that the load balancer needs to remove the entry.
func TestShortPlannedStop(t *testing.T) {
	runSite(t, 1, 1, func(s *testSite) {
		e := s.entries["entry-1"]
		outcome := make(chan batch.Outcome, 1)
		go func() { outcome <- e.Submit(s.t.Context(), newJob("long", 4, time.Minute)) }()
		time.Sleep(100 * time.Millisecond)
		ctx, cancel := context.WithTimeout(s.t.Context(), 2*time.Second)
		defer cancel()
		e.Stop(ctx)
		time.Sleep(time.Millisecond)
		select {
		case o := <-outcome:
			if _, ok := o.(batch.Unknown); !ok {
				s.t.Errorf("got %s", batch.OutcomeName(o))
			}
		default:
			s.t.Error("the job has no outcome although the entry has stopped")
			e.CancelJob("long")
		}
	})
}

// Guards against agents that keep retrying an unresponsive entry before they choose another one.
func TestAgentsLeaveUnresponsiveEntry(t *testing.T) {
	runSite(t, 2, 2, func(s *testSite) {
		for _, other := range []string{"entry-2", "agent-1", "agent-2"} {
			s.network.SetStalled("entry-1", other, true)
		}
		time.Sleep(900 * time.Millisecond)
		start := time.Now()
		o := s.entries["entry-2"].Submit(s.t.Context(), newJob("job-1", 20, 200*time.Millisecond))
		if _, ok := o.(batch.Completed); !ok || time.Since(start) > 300*time.Millisecond {
			s.t.Errorf("got %s after %v; both backend servers should be at entry-2", batch.OutcomeName(o), time.Since(start))
		}
		for _, other := range []string{"entry-2", "agent-1", "agent-2"} {
			s.network.SetStalled("entry-1", other, false)
		}
	})
}

// Guards against two entries that forward the same job to each other and then both wait for its outcome. This happens
// when the caller submits it to both at once, and each has less free capacity than the other last reported.
func TestSameJobSubmittedToTwoEntries(t *testing.T) {
	runSite(t, 2, 2, func(s *testSite) {
		filler := make(chan batch.Outcome, 2)
		for _, name := range []string{"entry-1", "entry-2"} {
			go func() {
				filler <- s.entries[name].Submit(s.t.Context(), newJob("filler-"+name, 9, 600*time.Millisecond))
			}()
		}
		time.Sleep(30 * time.Millisecond) // the entries have not received each other's load yet
		outcomes := make(chan batch.Outcome, 2)
		for _, name := range []string{"entry-1", "entry-2"} {
			go func() { outcomes <- s.entries[name].Submit(s.t.Context(), newJob("same", 4, 100*time.Millisecond)) }()
		}
		for range 2 {
			select {
			case o := <-outcomes:
				if _, ok := o.(batch.Completed); !ok {
					s.t.Errorf("got %s", batch.OutcomeName(o))
				}
			case <-time.After(5 * time.Second):
				s.t.Error("no outcome within 5 s")
			}
		}
		<-filler
		<-filler
	})
}

// Guards against jobs that are late because an agent does not notice the end of a run while a hold call gets no response.
func TestLostHoldResponses(t *testing.T) {
	runSite(t, 1, 1, func(s *testSite) {
		b := s.backends["agent-1"]
		b.mu.Lock()
		b.loseHolds = 16
		b.mu.Unlock()
		late := 0
		for i := range 100 {
			start := time.Now()
			o := s.entries["entry-1"].Submit(s.t.Context(), newJob(fmt.Sprint("job-", i), 4, 50*time.Millisecond))
			if _, ok := o.(batch.Completed); !ok {
				s.t.Fatalf("job %d: got %s", i, batch.OutcomeName(o))
			}
			if time.Since(start) > 100*time.Millisecond {
				late++
			}
		}
		// The first loss shows that responses are lost. About every third job meets another one.
		if late > 2 {
			s.t.Errorf("%d of 100 jobs of 50 ms took more than 100 ms", late)
		}
	})
}
