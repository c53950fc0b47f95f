package dev_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodglade/core/job"
	"dogwoodglade/core/task"
	"dogwoodglade/dev"
	"dogwoodglade/internal/memnet"
	"dogwoodglade/io/caller"
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
	settings.Network = network
	s, cleanUp, err := dev.New(settings)
	if err != nil {
		t.Fatal(err)
	}
	transport := &http.Transport{DialContext: network.Dial}
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
