package batchentry_test

import (
	"context"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/event"
	"dogwoodglade/io/inner"
)

// Guards against a forwarded job that goes on after its caller was told that the outcome is unknown: a connection of the
// earlier process of the other entry is accepted after those of the present one, whose ends are lost.
func TestForwardedJobEndsAfterConnectionOfEarlierProcess(t *testing.T) {
	for _, silent := range []bool{false, true} {
		runSiteInOneRegion(t, 2, 3, func(s *testSite) {
			from, to := s.forwardingEntry()
			outcome := make(chan batch.Outcome, 1)
			go func() { outcome <- s.entries[from].Submit(s.t.Context(), newJob("job", 4, 8*time.Second)) }()
			time.Sleep(50 * time.Millisecond)
			if silent {
				s.network.Silence(from, to)
				s.network.Silence(to, from)
			}
			p, err := inner.Dial(s.t.Context(), s.network.Host("earlier").Dial, from+":1", inner.Local{
				Identity: inner.Identity{Role: inner.RoleEntry, Name: to, Incarnation: "earlier", Address: to + ":1"},
				Clock:    event.NewRecorder(to, 1, time.Now), Metrics: metrics.NewRegistry(),
			}, newFakePeerEntry())
			if err != nil {
				s.t.Fatal(err)
			}
			p.Close()
			if _, unknown := (<-outcome).(batch.Unknown); !unknown {
				s.t.Error("the caller was not told that the outcome is unknown")
			}
			told := time.Now()
			for s.liveRunCount() > 0 && time.Since(told) < 5*time.Second {
				time.Sleep(time.Millisecond)
			}
			if took := time.Since(told); took >= resubmissionDelay {
				s.t.Errorf("silent %v: runs went on for %v, want less than %v", silent, took, resubmissionDelay)
			}
			time.Sleep(resubmissionDelay)
			o := s.entries[from].Submit(s.t.Context(), newJob("job", 4, 100*time.Millisecond))
			if _, ok := o.(batch.Completed); !ok {
				s.t.Errorf("silent %v: the resubmission ended as %s", silent, batch.OutcomeName(o))
			}
		})
	}
}

// Guards against two runs of a task at the same time: the runs of an earlier process of an entry, which have the same
// attempt numbers, go on when its caller submits the job to the present one.
func TestResubmissionToNewProcessUnderOldName(t *testing.T) {
	for _, c := range []struct {
		entries int
		after   time.Duration // from the restart to the submission
	}{
		{1, 0}, {1, 300 * time.Millisecond}, {1, resubmissionDelay}, {2, resubmissionDelay},
	} {
		runSite(t, c.entries, c.entries, func(s *testSite) {
			for _, b := range s.backends {
				b.loseStops.Store(true)
			}
			ctx, leave := context.WithCancel(s.t.Context())
			defer leave()
			go s.entries["entry-1"].Submit(ctx, newJob("job", 4, 8*time.Second))
			time.Sleep(50 * time.Millisecond)
			s.killEntry("entry-1")
			s.startEntry("entry-1")
			time.Sleep(c.after)
			for range 20 {
				o := s.entries["entry-1"].Submit(s.t.Context(), newJob("job", 4, 100*time.Millisecond))
				if _, done := o.(batch.Completed); done {
					return
				}
				time.Sleep(200 * time.Millisecond)
			}
			s.t.Errorf("submitted %v after the restart: the job was not completed\n%s", c.after, s.logs.about(`"job"`))
		})
	}
}
