package batchentry_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dogwoodglade/io/inner"
)

// Guards against tasks that an entry starts when it wakes, for a caller that left while the entry was suspended.
func TestNoStartAfterSuspensionForCallerThatHasLeft(t *testing.T) {
	runSite(t, 1, 1, func(s *testSite) {
		go s.entries["entry-1"].Submit(s.t.Context(), newJob("filler", 10, 512*time.Millisecond))
		time.Sleep(10 * time.Millisecond)
		ctx, leave := context.WithCancel(s.t.Context())
		defer leave()
		var closed atomic.Bool
		go s.entries["entry-1"].Entry.Submit(ctx, newJob("job", 4, time.Second), func() bool { return !closed.Load() })
		time.Sleep(501 * time.Millisecond)
		closed.Store(true)
		s.suspended.Store(int64(450 * time.Millisecond))
		time.Sleep(10 * time.Millisecond)
		leave()
		time.Sleep(time.Second)
		if n := s.startsOf("job"); n > 0 {
			s.t.Errorf("%d tasks were started", n)
		}
	})
}

// Guards against tasks that an entry starts when it wakes, for a job whose origin has treated it as lost meanwhile. A load
// message that waited must not extend the job.
func TestNoStartAfterSuspensionForLostOrigin(t *testing.T) {
	runSite(t, 1, 1, func(s *testSite) {
		go s.entries["entry-1"].Submit(s.t.Context(), newJob("filler", 10, 312*time.Millisecond))
		time.Sleep(10 * time.Millisecond)
		o := newFakePeerEntry()
		p := o.dial(s, "first")
		defer p.Close()
		p.Load(inner.EntryLoad{Session: 1})
		p.Forward(newJob("job", 4, time.Second), 1)
		time.Sleep(301 * time.Millisecond)
		s.suspended.Store(int64(450 * time.Millisecond))
		p.Load(inner.EntryLoad{Session: 1})
		time.Sleep(time.Second)
		if lines := s.logs.about("job"); strings.Contains(lines, "TaskSent") {
			s.t.Errorf("the entry sent starts:\n%s", lines)
		}
	})
}
