package dev_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodglade/core/job"
	"dogwoodglade/dev"
	"dogwoodglade/internal/memnet"
	"dogwoodglade/io/caller"
)

// Shows how a caller gets a ticket, submits a job, and resubmits it with the same key at another entry. Guards against
// a resubmission whose answer differs from that of the first submission.
func TestResubmissionReturnsSameAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New()
		site, cleanUp, err := dev.New(dev.Settings{
			Entries: 2, Agents: 1, Slots: 2, Seed: 1,
			Host: func(process string) dev.Host { return network.Host(process) },
		})
		if err != nil {
			t.Fatal(err)
		}
		transport := &http.Transport{DialContext: network.Host("caller").Dial}
		defer func() {
			transport.CloseIdleConnections()
			cleanUp()
			synctest.Wait()
		}()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		client := func(entry int) *caller.Client {
			return caller.NewClient(site.Entries[entry].Process.CallerAddress(), &http.Client{Transport: transport})
		}

		submission := sampleJob("usage", 3, 100*time.Millisecond)
		submission.Ticket, err = client(0).IssueTicket(ctx, submission.ID)
		if err != nil {
			t.Fatal(err)
		}
		first, err := client(0).Submit(ctx, submission)
		if err != nil || first.State != job.Complete || len(first.Results) != len(submission.Bodies) {
			t.Fatalf("got %+v, %v, want a complete answer to %d tasks", first, err, len(submission.Bodies))
		}
		again, err := client(1).Submit(ctx, submission)
		if err != nil || again.State != job.Complete || len(again.Results) != len(first.Results) {
			t.Fatalf("got %+v, %v for the resubmission, want the answer %+v", again, err, first)
		}
		for i, result := range again.Results {
			if string(result.Body) != string(first.Results[i].Body) {
				t.Errorf("task %d: got %s for the resubmission, want %s", i, result.Body, first.Results[i].Body)
			}
		}
	})
}
