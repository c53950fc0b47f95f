package batchentry_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/supervise"
)

// crash ends the process of the backend server, and starts another one after some seconds.
func (b *backend) crash() {
	for task := range b.running {
		b.end(task, supervise.Lost)
	}
	b.ended, b.down, b.leaseEnd = nil, true, 0
	time.AfterFunc(3500*time.Millisecond, func() {
		b.mu.Lock()
		b.down, b.started = false, time.Now()
		b.restarts++
		b.mu.Unlock()
		b.announce()
	})
}

// Guards against a job that crashes backend servers without end because its caller gives up and submits it to other
// entries in turn, also to one that starts later.
func TestDeadlyJobSubmittedAgainElsewhere(t *testing.T) {
	runSite(t, 2, 8, func(s *testSite) {
		for _, b := range s.backends {
			b.deadly = "deadly"
		}
		for i := range 4 {
			ctx, cancel := context.WithTimeout(s.t.Context(), 1500*time.Millisecond)
			o := s.entries[fmt.Sprintf("entry-%d", i%3+1)].Submit(ctx, newJob("deadly", 1, 100*time.Millisecond))
			cancel()
			if want := (batch.Failed{Task: batch.TaskID{Job: "deadly"}, Crashes: 2}); i > 0 && o != want {
				s.t.Errorf("submission %d: got %s %+v", i+1, batch.OutcomeName(o), o)
			}
			time.Sleep(1300 * time.Millisecond)
			if i == 1 {
				s.startEntry("entry-3")
				time.Sleep(3 * time.Second)
			}
		}
		peer := newFakePeerEntry()
		peer.dial(s, "later")
		time.Sleep(100 * time.Millisecond)
		peer.mu.Lock()
		if len(peer.crashes) != 1 || peer.crashes[0].Count != 2 {
			s.t.Errorf("an entry that connects later is sent %+v", peer.crashes)
		}
		peer.mu.Unlock()
		starts := 0
		for _, b := range s.backends {
			starts += len(b.starts)
		}
		if starts > 2 {
			s.t.Errorf("the task crashed %d backend servers, want at most 2", starts)
		}
		if s.logs.about(`"Event":"TaskBlamed"`) == "" {
			s.t.Error("no crash was logged")
		}
	})
}

// Guards against a job that crashes one more backend server because the entry that refuses it has heard of crashes of which
// the forwarding one has not.
func TestJobRefusedForCrashesIsNotRetried(t *testing.T) {
	runSite(t, 1, 1, func(s *testSite) {
		r := &peerRecorder{fakePeerEntry: newFakePeerEntry(), name: "other"}
		go s.entries["entry-1"].Submit(s.t.Context(), newJob("filler", 8, 150*time.Millisecond))
		time.Sleep(10 * time.Millisecond)
		p := r.connect(s)
		defer p.Close()
		p.Load(fakePeerLoad())
		time.Sleep(10 * time.Millisecond)
		refusal := batch.NotRun{Reason: batch.Crashes, RetryAfter: time.Minute}
		time.AfterFunc(10*time.Millisecond, func() { p.ForwardOutcome("job", 1, refusal) })
		if o := s.entries["entry-1"].Submit(s.t.Context(), newJob("job", 4, time.Second)); o != refusal {
			s.t.Errorf("got %s %+v", batch.OutcomeName(o), o)
		}
		b := s.backends["agent-1"]
		b.mu.Lock()
		defer b.mu.Unlock()
		if len(b.starts) != 8 {
			s.t.Errorf("%d starts, want the 8 of another job", len(b.starts))
		}
	})
}
