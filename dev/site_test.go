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

// site is a complete site on a fake clock and an in-memory network.
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

// Guards against incomplete answers when a caller submits to an entry that does not own the key.
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

// checkStarts checks that no task was started more often than allowed.
func checkStarts(t *testing.T, events []event.Event, maxStarts int) {
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
		if n > maxStarts {
			t.Errorf("task %v started %d times, want at most %d", id, n, maxStarts)
		}
	}
}

// Guards against tasks that start twice, or answers that are lost, when a caller resubmits at another entry after the
// entry that owned the key crashed.
func TestResubmissionAfterEntryCrash(t *testing.T) {
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

// Guards against running a job twice when copies of its submission reach both entries at the same time.
func TestConcurrentSubmissionsOfOneKeyRunOnce(t *testing.T) {
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

// Guards against a graceful stop of an entry that interrupts open requests or lets later submissions fail.
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
		checkNothingInterrupted(t, s.Events())
	})
}

// Guards against a graceful stop of an agent that interrupts its tasks or still attracts new ones.
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
		checkNothingInterrupted(t, s.Events())
	})
}

func checkNothingInterrupted(t *testing.T, events []event.Event) {
	t.Helper()
	for _, e := range events {
		if e.Number == event.ProcessStopped && e.Count > 0 {
			t.Errorf("%s interrupted %d jobs or tasks at its stop", e.Process, e.Count)
		}
	}
}

// Guards against running non-idempotent tasks again after their agent crashed: their outcome must be reported
// as unknown.
func TestAgentCrashUnderLoad(t *testing.T) {
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
			t.Errorf("got %d answers with unknown outcome and %d complete ones, want some of each",
				unknown.Load(), complete.Load())
		}
		checkStarts(t, s.Events(), 1)
	})
}

// Guards against failed submissions during a long platform outage, also after an entry crashed during it.
func TestServiceContinuesDuringPlatformOutage(t *testing.T) {
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

// Guards against false BackendLost and AgentLost events, which alert operators, at each graceful stop of a site.
func TestPlannedStopRecordsNoLossEvents(t *testing.T) {
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
