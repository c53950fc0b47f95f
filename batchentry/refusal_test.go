package batchentry_test

import (
	"fmt"
	"testing"
	"time"

	"dogwoodglade/io/inner"
)

// Guards against an entry that offers its jobs to a full one again and again, because the load that it knows is older
// than the queue there. A refusal must come after a load that shows the queue.
func TestRefusalFollowsLoad(t *testing.T) {
	runSite(t, 1, 1, func(s *testSite) {
		o := newFakePeerEntry()
		p := o.dial(s, "first")
		defer p.Close()
		p.Load(inner.EntryLoad{Session: 1})
		p.Forward(newJob("running", 10, 10*time.Second), 1)
		time.Sleep(20 * time.Millisecond)
		for range 2 {
			<-o.loads // until the next one, the peer knows of no queue
		}
		time.Sleep(40 * time.Millisecond)
		for i := range 5 {
			p.Forward(newJob(fmt.Sprint("job-", i), 10, 10*time.Second), uint64(2+i))
		}
		time.Sleep(5 * time.Millisecond)
		o.mu.Lock()
		defer o.mu.Unlock()
		if len(o.refused) == 0 || o.refused[0] <= 0 {
			s.t.Errorf("refusals came after loads with %v core-seconds of queued work", o.refused)
		}
	})
}
