package dev_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodglade/core/event"
	"dogwoodglade/core/job"
	"dogwoodglade/core/task"
	"dogwoodglade/dev"
	"dogwoodglade/internal/memnet"
	"dogwoodglade/io/caller"
	"dogwoodglade/io/store"
)

// site is a whole site on a paused clock, with a client of each entry.
type site struct {
	*dev.Site
	network *memnet.Network
	http    *http.Client
}

func startSite(t *testing.T, settings dev.Settings) *site {
	t.Helper()
	network := memnet.New()
	settings.Host = func(process string) dev.Host { return network.Host(process) }
	s, cleanUp, err := dev.New(settings)
	if err != nil {
		t.Fatal(err)
	}
	transport := &http.Transport{DialContext: network.Host("caller").Dial}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		cleanUp()
		synctest.Wait()
	})
	return &site{Site: s, network: network, http: &http.Client{Transport: transport}}
}

func (s *site) client(entry int) *caller.Client {
	return caller.NewClient(s.Entries[entry].Process.CallerAddress(), s.http)
}

func sampleJob(key string, tasks int, run time.Duration) job.Submission {
	submission := job.Submission{
		ID: task.JobID{Customer: "atlas", Key: key}, Route: dev.SampleRoute, Deadline: 10 * time.Second,
	}
	for i := range tasks {
		body := fmt.Sprintf(`{"Text":"task %d","RunMilliseconds":%d}`, i, run.Milliseconds())
		submission.Bodies = append(submission.Bodies, []byte(body))
	}
	return submission
}

func mustSubmit(t *testing.T, c *caller.Client, s job.Submission) job.Answer {
	t.Helper()
	a, err := c.Submit(context.Background(), s)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// A caller of either entry must get the whole answer, whichever entry owns the key.
func TestJobsCompleteAtEitherEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSite(t, dev.Settings{})
		for i := range 8 {
			a := mustSubmit(t, s.client(i%2), sampleJob(fmt.Sprintf("job-%d", i), 10, 100*time.Millisecond))
			if a.State != job.Complete || len(a.Results) != 10 {
				t.Fatalf("job %d: got %s %s with %d results", i, a.State, a.Reason, len(a.Results))
			}
		}
	})
}

// checkStarts checks what must hold in every time line: no attempt starts twice, and no task more often than
// allowed.
func checkStarts(t *testing.T, events []event.Event, allowed int) {
	t.Helper()
	type taskID struct {
		customer, key string
		task          int
	}
	starts := map[taskID]int{}
	for _, e := range events {
		if e.Number == event.TaskStarted {
			starts[taskID{e.Customer, e.Key, e.Task}]++
		}
	}
	for id, n := range starts {
		if n > allowed {
			t.Errorf("task %v started %d times, want at most %d", id, n, allowed)
		}
	}
}

// A resubmission after the entry that owned the key died must get the job's answer or a truthful refusal,
// without a second start.
func TestResubmissionAfterAnEntryDied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSite(t, dev.Settings{})
		const jobs = 16
		var running sync.WaitGroup
		for i := range jobs {
			submission := sampleJob(fmt.Sprintf("job-%d", i), 4, time.Second)
			running.Go(func() {
				if _, err := s.client(0).Submit(context.Background(), submission); err == nil {
					return
				}
				a, err := s.client(1).Submit(context.Background(), submission)
				if err != nil || a.State != job.Complete || len(a.Results) != 4 {
					t.Errorf("%s: got %s %s, %v", submission.ID, a.State, a.Reason, err)
				}
			})
		}
		time.Sleep(500 * time.Millisecond)
		s.Entries[0].Kill()
		running.Wait()
		checkStarts(t, s.Events(), 1)
	})
}

// Two copies of a submission that arrive at both entries at the same moment must run once.
func TestSameKeyAtBothEntriesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSite(t, dev.Settings{})
		var running sync.WaitGroup
		for i := range 20 {
			submission := sampleJob(fmt.Sprintf("job-%d", i%10), 5, 200*time.Millisecond)
			running.Go(func() {
				a, err := s.client(i/10).Submit(context.Background(), submission)
				if err != nil || a.State != job.Complete || len(a.Results) != 5 {
					t.Errorf("%s: got %s %s, %v", submission.ID, a.State, a.Reason, err)
				}
			})
		}
		running.Wait()
		checkStarts(t, s.Events(), 1)
	})
}

// A planned stop of an entry must not cut off its callers, and the next submissions must be served.
func TestPlannedStopOfAnEntryUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSite(t, dev.Settings{})
		var running sync.WaitGroup
		submit := func(entry int, key string) {
			submission := sampleJob(key, 3, time.Second)
			running.Go(func() {
				a, err := s.client(entry).Submit(context.Background(), submission)
				if err != nil || a.State != job.Complete {
					t.Errorf("%s at entry %d: got %s %s, %v", submission.ID, entry, a.State, a.Reason, err)
				}
			})
		}
		for i := range 10 {
			submit(i%2, fmt.Sprintf("before-%d", i))
		}
		time.Sleep(300 * time.Millisecond)
		running.Go(s.Entries[0].Stop)
		for i := range 20 {
			time.Sleep(100 * time.Millisecond)
			submit(1, fmt.Sprintf("during-%d", i))
		}
		running.Wait()
		checkStarts(t, s.Events(), 1)
		checkNothingCut(t, s.Events())
	})
}

// A planned stop of an agent must finish its tasks and send new ones elsewhere.
func TestPlannedStopOfAnAgentUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSite(t, dev.Settings{})
		var running sync.WaitGroup
		for i := range 30 {
			submission := sampleJob(fmt.Sprintf("job-%d", i), 3, 500*time.Millisecond)
			running.Go(func() {
				a, err := s.client(i%2).Submit(context.Background(), submission)
				if err != nil || a.State != job.Complete {
					t.Errorf("%s: got %s %s, %v", submission.ID, a.State, a.Reason, err)
				}
			})
			if i == 10 {
				running.Go(s.Agents[0].Stop)
			}
			time.Sleep(50 * time.Millisecond)
		}
		running.Wait()
		checkStarts(t, s.Events(), 1)
		checkNothingCut(t, s.Events())
	})
}

func checkNothingCut(t *testing.T, events []event.Event) {
	t.Helper()
	for _, e := range events {
		if e.Number == event.ProcessStopped && e.Count > 0 {
			t.Errorf("%s cut off %d", e.Process, e.Count)
		}
	}
}

// The loss of an agent must end its jobs truthfully: non-idempotent work is not run again.
func TestAgentDiesUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSite(t, dev.Settings{})
		var running sync.WaitGroup
		var unknown, complete atomic.Int64
		for i := range 12 {
			submission := sampleJob(fmt.Sprintf("job-%d", i), 2, 500*time.Millisecond)
			running.Go(func() {
				a, err := s.client(i%2).Submit(context.Background(), submission)
				switch {
				case err == nil && a.State == job.Complete:
					complete.Add(1)
				case err == nil && a.State == job.OutcomeUnknown:
					unknown.Add(1)
				default:
					t.Errorf("%s: got %s %s, %v", submission.ID, a.State, a.Reason, err)
				}
			})
		}
		time.Sleep(200 * time.Millisecond)
		s.Servers[0].Kill()
		s.Agents[0].Kill()
		running.Wait()
		if unknown.Load() == 0 || complete.Load() == 0 {
			t.Errorf("got %d unknown and %d complete", unknown.Load(), complete.Load())
		}
		checkStarts(t, s.Events(), 1)
	})
}

// A long outage of the platform must not stop service, also if an entry dies during it.
func TestServiceGoesOnDuringAPlatformOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSite(t, dev.Settings{})
		if err := s.Platform.SetFaults(store.Faults{Down: true}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Second)
		for i := range 10 {
			a := mustSubmit(t, s.client(i%2), sampleJob(fmt.Sprintf("job-%d", i), 3, 100*time.Millisecond))
			if a.State != job.Complete {
				t.Fatalf("job %d: got %s %s", i, a.State, a.Reason)
			}
		}
		s.Entries[0].Kill()
		time.Sleep(5 * time.Second)
		for i := range 10 {
			submission := sampleJob(fmt.Sprintf("after-%d", i), 3, 100*time.Millisecond)
			ticket, err := s.client(1).IssueTicket(context.Background(), submission.ID)
			if err != nil {
				t.Fatal(err)
			}
			submission.Ticket = ticket
			if a := mustSubmit(t, s.client(1), submission); a.State != job.Complete {
				t.Fatalf("job %d: got %s %s", i, a.State, a.Reason)
			}
		}
		checkStarts(t, s.Events(), 1)
	})
}

// A planned stop of a whole site that reports losses would alarm operators at every restart.
func TestPlannedStopReportsNoLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSite(t, dev.Settings{})
		mustSubmit(t, s.client(0), sampleJob("job", 3, 100*time.Millisecond))
		for _, e := range s.Entries {
			e.Stop()
		}
		for _, b := range s.Servers {
			b.Stop()
		}
		for _, a := range s.Agents {
			a.Stop()
		}
		for _, e := range s.Events() {
			if e.Number == event.BackendLost || e.Number == event.AgentLost {
				t.Errorf("%s recorded %s of %s", e.Process, e.Number, e.Peer)
			}
		}
	})
}
