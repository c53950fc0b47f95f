package batchentry_test

import (
	"cmp"
	"fmt"
	"strings"
	"testing"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/io/inner"
)

// Guards against an entry that keeps sending on a connection that has become silent, because it hears the other entry
// on new ones.
func TestEntryLeavesSilentConnection(t *testing.T) {
	// The two entries notice the silence at different times.
	for _, offset := range []time.Duration{30, 40, 50, 60, 70} {
		forEachDialler(t, func(s *testSite, from, _, _ string) {
			s.killEntry(from)
			time.Sleep((50 + offset) * time.Millisecond)
			s.startEntry(from)
			time.Sleep(3 * time.Second)
			from, to := s.forwardingEntry()
			s.network.Silence(from, to)
			s.network.Silence(to, from)
			time.Sleep(3 * time.Second)
			lost := s.logs.count(`"Event":"EntryLost"`)
			failed, first := 0, ""
			for i := range 20 {
				o := s.entries[from].Submit(s.t.Context(), newJob(fmt.Sprint("job-", i), 4, 20*time.Millisecond))
				if _, ok := o.(batch.Completed); !ok {
					failed++
					first = cmp.Or(first, batch.OutcomeName(o))
				}
				time.Sleep(70 * time.Millisecond)
			}
			if failed > 0 {
				s.t.Errorf("3 s after the connections became silent, %d of 20 jobs failed, the first with %s", failed, first)
			}
			if n := s.logs.count(`"Event":"EntryLost"`) - lost; n > 0 {
				s.t.Errorf("3 s after the connections became silent, the entries lost each other %d times more", n)
			}
		})
	}
}

// count returns the number of lines that contain the text.
func (r *logRecorder) count(text string) int { return strings.Count(r.about(text), "\n") }

// Guards against jobs that continue for an entry that has withdrawn them on a connection that is silent: other
// connections open meanwhile, and each seems to confirm that the entry is there.
func TestNewConnectionsDoNotExtendSession(t *testing.T) {
	runSite(t, 1, 1, func(s *testSite) {
		o := newFakePeerEntry()
		silent := o.dial(s, "first")
		defer silent.Close()
		silent.Load(inner.EntryLoad{Session: 1})
		silent.Forward(newJob("job", 1, 10*time.Second), 1)
		time.Sleep(50 * time.Millisecond)
		// From now on the other entry sends its loads and the withdrawal on the silent connection.
		for range 3 {
			time.Sleep(425 * time.Millisecond)
			p := o.dial(s, "first")
			defer p.Close()
			var l inner.EntryLoad // as an entry sends it on a connection that it does not use
			for len(o.loads) > 0 {
				l.Echo = (<-o.loads).Clock
			}
			p.Load(l) // the load that an entry sends when a connection opens
		}
		time.Sleep(25 * time.Millisecond)
		if n := s.runCount(); n > 0 {
			s.t.Errorf("%d run in progress %v after the job was withdrawn", n, resubmissionDelay)
		}
	})
}
