package batchentry_test

import (
	"testing"
	"testing/synctest"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/io/inner"
)

// Guards against two runs of a task at the same time: an entry without a backend server gives a job to another entry for
// its own caller, and also tells the entry that forwarded the same job to find another place for it.
func TestStrandedJobIsNotSplit(t *testing.T) {
	runSite(t, 1, 0, func(s *testSite) {
		origin := &peerRecorder{fakePeerEntry: newFakePeerEntry(), name: "other-1"}
		target := &peerRecorder{fakePeerEntry: newFakePeerEntry(), name: "other-2"}
		p, q := origin.connect(s), target.connect(s)
		defer p.Close()
		defer q.Close()
		p.Load(inner.EntryLoad{Session: 1})
		q.Load(fakePeerLoad())
		time.Sleep(10 * time.Millisecond)
		p.Forward(newJob("job", 1, 100*time.Millisecond), 1)
		synctest.Wait()
		done := make(chan batch.Outcome, 1)
		go func() {
			done <- s.entries["entry-1"].Submit(s.t.Context(), newJob("job", 1, 100*time.Millisecond))
		}()
		time.Sleep(60 * time.Millisecond)
		origin.recorded.Lock()
		target.recorded.Lock()
		if len(target.forwarded) > 0 && len(origin.outcomes) > 0 {
			s.t.Errorf("the job was forwarded to another entry and handed back as %s", batch.OutcomeName(origin.outcomes[0].outcome))
		}
		target.recorded.Unlock()
		origin.recorded.Unlock()
		s.entries["entry-1"].CancelJob("job")
		<-done
	})
}
