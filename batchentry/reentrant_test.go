package batchentry_test

import (
	"context"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/io/inner"
)

// closeSeen closes a connection and waits until the other side has seen that, while it cannot handle the event. Time does
// not advance.
func closeSeen(p *inner.Peer) {
	p.Close()
	for range 20000 {
		runtime.Gosched()
	}
}

// Guards against a job that runs without a caller, here or at another entry: its caller is found to have left when the
// connection to the other entry is switched.
func TestCancelledJobNotAssignedWhenConnectionIsSwitched(t *testing.T) {
	for _, otherOpen := range []bool{false, true} {
		runSite(t, 1, 1, func(s *testSite) {
			r := &peerRecorder{fakePeerEntry: newFakePeerEntry(), name: "other"}
			p, q := r.connect(s), r.connect(s)
			defer q.Close()
			p.Load(fakePeerLoad())
			go s.entries["entry-1"].Submit(s.t.Context(), newJob("filler", 10, 100*time.Millisecond))
			time.Sleep(10 * time.Millisecond)
			closed := false
			o := s.entries["entry-1"].Entry.Submit(s.t.Context(), newJob("job", 1, time.Second), func() bool {
				wasOpen := !closed
				if wasOpen {
					closeSeen(p)
					if !otherOpen {
						closeSeen(q)
					}
				}
				closed = true
				return wasOpen
			})
			time.Sleep(200 * time.Millisecond)
			r.recorded.Lock()
			defer r.recorded.Unlock()
			if len(r.forwarded) > len(r.withdrawn) || s.startsOf("job") > 0 {
				s.t.Errorf("other connection open %v: %d forwards, %d withdrawals and %d starts after the outcome %s", otherOpen,
					len(r.forwarded), len(r.withdrawn), s.startsOf("job"), batch.OutcomeName(o))
			}
		})
	}
}

// Guards against runs of a job without a caller: its stop is sent before its start, because the caller is found to have
// left when the outcome of another job is sent on another connection.
func TestStopNotSentBeforeStart(t *testing.T) {
	runSite(t, 1, 1, func(s *testSite) {
		r := &peerRecorder{fakePeerEntry: newFakePeerEntry(), name: "other"}
		p, q := r.connect(s), r.connect(s)
		defer q.Close()
		p.Load(inner.EntryLoad{Session: 1})
		time.Sleep(10 * time.Millisecond)
		p.Forward(newJob("filler", 10, 512*time.Millisecond), 1)
		go keepSession(p, 500*time.Millisecond)
		time.Sleep(10 * time.Millisecond)
		ctx, leave := context.WithCancel(s.t.Context())
		defer leave()
		var armed, closed atomic.Bool
		go s.entries["entry-1"].Entry.Submit(ctx, newJob("job", 4, 5*time.Second), func() bool {
			wasOpen := !closed.Load()
			if armed.Load() && wasOpen {
				closeSeen(p)
				closed.Store(true)
			}
			return wasOpen
		})
		time.Sleep(495 * time.Millisecond)
		armed.Store(true)
		s.suspended.Store(int64(110 * time.Millisecond))
		time.Sleep(resubmissionDelay)
		if n := s.liveRunCount(); n > 0 {
			s.t.Errorf("%d runs in progress %v after the caller has left\n%s", n, resubmissionDelay, s.logs.about("job"))
		}
	})
}
