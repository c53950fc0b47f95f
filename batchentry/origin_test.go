package batchentry_test

import (
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/event"
	"dogwoodglade/core/site"
	"dogwoodglade/core/supervise"
	"dogwoodglade/io/inner"
)

// otherEntry is another entry that does only what a test tells it.
type otherEntry struct {
	loads chan inner.EntryLoad

	mu    sync.Mutex
	count map[*inner.Peer]int // loads by connection
}

func newOtherEntry() *otherEntry {
	return &otherEntry{loads: make(chan inner.EntryLoad, 1), count: map[*inner.Peer]int{}}
}

func (o *otherEntry) Connected(*inner.Peer)    {}
func (o *otherEntry) Disconnected(*inner.Peer) {}
func (o *otherEntry) Load(p *inner.Peer, l inner.EntryLoad) {
	o.mu.Lock()
	o.count[p]++
	o.mu.Unlock()
	select {
	case o.loads <- l:
	default:
	}
}
func (o *otherEntry) Report(*inner.Peer, supervise.Report)              {}
func (o *otherEntry) Forward(*inner.Peer, batch.Job)                    {}
func (o *otherEntry) Forwarded(*inner.Peer, batch.JobID, batch.Outcome) {}
func (o *otherEntry) WithdrawJob(*inner.Peer, batch.JobID, bool)        {}
func (o *otherEntry) Configuration() site.Configuration                 { return site.Configuration{} }

func (o *otherEntry) dial(s *testSite, incarnation string) *inner.Peer {
	s.t.Helper()
	p, err := inner.Dial(s.t.Context(), s.network.Host("other").Dial, "entry-1:1", inner.Local{
		Identity: inner.Identity{Role: inner.RoleEntry, Name: "other", Incarnation: incarnation, Address: "other:1"},
		Clock:    event.NewRecorder("other", 1, time.Now), Metrics: metrics.NewRegistry(),
	}, o)
	if err != nil {
		s.t.Fatal(err)
	}
	return p
}

// Guards against two runs of a task at the same time: an entry that froze for a moment was taken as lost by the one that
// had passed a job to it, which told its caller so. It woke up, got a new connection before it noticed the end of
// the old one, and went on with the job, while the caller had submitted it again.
func TestGivenUpJobIsDropped(t *testing.T) {
	for _, c := range []struct {
		name string
		play func(s *testSite, o *otherEntry, p *inner.Peer)
		runs int // that go on in the end
	}{
		{"same session", func(s *testSite, o *otherEntry, p *inner.Peer) {
			o.keep(s, p, 1, true)
		}, 1},
		{"taken as lost, and connected again", func(s *testSite, o *otherEntry, p *inner.Peer) {
			again := o.dial(s, "first")
			o.keep(s, again, 2, true)
			again.Close()
		}, 0},
		{"restarted before its connection ended", func(s *testSite, o *otherEntry, p *inner.Peer) {
			again := o.dial(s, "second")
			o.keep(s, again, 1, true)
			again.Close()
		}, 0},
		{"does not hear this entry", func(s *testSite, o *otherEntry, p *inner.Peer) {
			o.keep(s, p, 1, false)
		}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			run(t, 1, 1, func(s *testSite) {
				o := newOtherEntry()
				p := o.dial(s, "first")
				defer p.Close()
				p.Load(inner.EntryLoad{Session: 1})
				p.Forward(newJob("job", 1, 10*time.Second))
				time.Sleep(50 * time.Millisecond)
				c.play(s, o, p)
				b := s.backends["agent-1"]
				b.mu.Lock()
				defer b.mu.Unlock()
				if len(b.running) != c.runs || len(b.starts) != 1 {
					s.t.Errorf("%d runs go on after %d starts, want %d after 1", len(b.running), len(b.starts), c.runs)
				}
			})
		})
	}
}

// keep sends loads for longer than the jobs of an entry go on that does not hear this one.
func (o *otherEntry) keep(s *testSite, p *inner.Peer, session uint64, hears bool) {
	for range 14 {
		l := inner.EntryLoad{Session: session, Clock: time.Duration(time.Now().UnixNano())}
		select {
		case latest := <-o.loads:
			if hears {
				l.Echo = latest.Clock
			}
		default:
		}
		p.Load(l)
		time.Sleep(100 * time.Millisecond)
	}
}

// Guards against messages that overtake each other, or vanish, because they are spread over two connections of which one
// may be slow or have gone silent: only the silence of the connection in use is noticed.
func TestOneConnectionCarriesAll(t *testing.T) {
	run(t, 1, 0, func(s *testSite) {
		o := newOtherEntry()
		peers := []*inner.Peer{o.dial(s, "first"), o.dial(s, "first"), o.dial(s, "first")}
		time.Sleep(10 * time.Millisecond) // each brings a first load
		loads := func() (counts []int) {
			o.mu.Lock()
			clear(o.count)
			o.mu.Unlock()
			o.keep(s, peers[2], 1, true)
			o.mu.Lock()
			defer o.mu.Unlock()
			for _, p := range peers {
				counts = append(counts, o.count[p])
			}
			return counts
		}
		if got := loads(); got[0] < 10 || got[1]+got[2] > 0 {
			s.t.Errorf("loads by connection: %v, want all on the first", got)
		}
		peers[0].Close()
		time.Sleep(10 * time.Millisecond)
		if got := loads(); got[1]+got[2] < 10 || got[1] > 0 && got[2] > 0 {
			s.t.Errorf("loads by connection after the first was closed: %v, want all on one", got)
		}
		for _, p := range peers {
			p.Close()
		}
	})
}
