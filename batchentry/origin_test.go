package batchentry_test

import (
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/dispatch"
	"dogwoodglade/core/evacuation"
	"dogwoodglade/core/event"
	"dogwoodglade/core/site"
	"dogwoodglade/core/supervise"
	"dogwoodglade/io/inner"
)

// fakePeerEntry is another entry that sends only what the test tells it to.
type fakePeerEntry struct {
	loads     chan inner.EntryLoad
	forwarded chan batch.Job

	mu      sync.Mutex
	count   map[*inner.Peer]int // received loads by connection
	crashes []dispatch.Crash
	queued  float64   // core-seconds that wait, by the latest load
	refused []float64 // value of queued at each refusal
}

func newFakePeerEntry() *fakePeerEntry {
	return &fakePeerEntry{
		loads: make(chan inner.EntryLoad, 1), forwarded: make(chan batch.Job, 10), count: map[*inner.Peer]int{},
	}
}

func (o *fakePeerEntry) Connected(*inner.Peer)    {}
func (o *fakePeerEntry) Disconnected(*inner.Peer) {}
func (o *fakePeerEntry) Load(p *inner.Peer, l inner.EntryLoad) {
	o.mu.Lock()
	o.count[p]++
	o.queued = l.Load.Total().Queued
	o.mu.Unlock()
	select {
	case o.loads <- l:
	default:
	}
}
func (o *fakePeerEntry) Report(*inner.Peer, supervise.Report)         {}
func (o *fakePeerEntry) Forward(_ *inner.Peer, j batch.Job, _ uint64) { o.forwarded <- j }
func (o *fakePeerEntry) ForwardOutcome(_ *inner.Peer, _ batch.JobID, _ uint64, outcome batch.Outcome) {
	if _, ok := outcome.(batch.NotRun); ok {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.refused = append(o.refused, o.queued)
	}
}
func (o *fakePeerEntry) WithdrawJob(*inner.Peer, batch.JobID, uint64, bool) {}
func (o *fakePeerEntry) JobWithdrawn(*inner.Peer, batch.JobID, uint64)      {}
func (o *fakePeerEntry) Configuration() site.Configuration                  { return site.Configuration{} }

func (o *fakePeerEntry) Evacuations(*inner.Peer, evacuation.State, time.Duration) {
}

// Crashes implements inner.BatchEntryHandler.
func (o *fakePeerEntry) Crashes(_ *inner.Peer, list []dispatch.Crash) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.crashes = append(o.crashes, list...)
}

func (o *fakePeerEntry) dial(s *testSite, incarnation string) *inner.Peer {
	s.t.Helper()
	return o.dialTo(s, "entry-1", incarnation)
}

func (o *fakePeerEntry) dialTo(s *testSite, entry, incarnation string) *inner.Peer {
	s.t.Helper()
	return o.dialAs(s, "other", entry, incarnation)
}

// dialAs connects to an entry under a name.
func (o *fakePeerEntry) dialAs(s *testSite, name, entry, incarnation string) *inner.Peer {
	s.t.Helper()
	p, err := inner.Dial(s.t.Context(), s.network.Host(name).Dial, entry+":1", inner.Local{
		Identity: inner.Identity{Role: inner.RoleEntry, Name: name, Incarnation: incarnation, Address: name + ":1"},
		Clock:    event.NewRecorder(name, 1, time.Now), Metrics: metrics.NewRegistry(),
	}, o)
	if err != nil {
		s.t.Fatal(err)
	}
	return p
}

// Guards against two runs of a task at the same time. While an entry is suspended, the entry that forwarded a job to it
// treats it as lost and reports that to the caller, who resubmits the job. When the suspended entry resumes, it may
// accept a new connection before it detects the end of the old one, and would then continue the job.
func TestForwardedJobDroppedAfterOriginAbandonsIt(t *testing.T) {
	for _, c := range []struct {
		name string
		act  func(s *testSite, o *fakePeerEntry, p *inner.Peer)
		runs int // still in progress at the end
	}{
		{"same session", func(s *testSite, o *fakePeerEntry, p *inner.Peer) {
			o.exchangeLoads(s, p, 1, true)
		}, 1},
		{"treated as lost, then reconnected", func(s *testSite, o *fakePeerEntry, p *inner.Peer) {
			again := o.dial(s, "first")
			o.exchangeLoads(s, again, 2, true)
			again.Close()
		}, 0},
		{"restarted before its connection ended", func(s *testSite, o *fakePeerEntry, p *inner.Peer) {
			again := o.dial(s, "second")
			o.exchangeLoads(s, again, 1, true)
			again.Close()
		}, 0},
		{"receives nothing from this entry", func(s *testSite, o *fakePeerEntry, p *inner.Peer) {
			o.exchangeLoads(s, p, 1, false)
		}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			runSite(t, 1, 1, func(s *testSite) {
				o := newFakePeerEntry()
				p := o.dial(s, "first")
				defer p.Close()
				p.Load(inner.EntryLoad{Session: 1})
				p.Forward(newJob("job", 1, 10*time.Second), 1)
				time.Sleep(50 * time.Millisecond)
				c.act(s, o, p)
				b := s.backends["agent-1"]
				b.mu.Lock()
				defer b.mu.Unlock()
				if len(b.running) != c.runs || len(b.starts) != 1 {
					s.t.Errorf("%d runs in progress after %d starts, want %d after 1", len(b.running), len(b.starts), c.runs)
				}
			})
		})
	}
}

// exchangeLoads sends loads for longer than the lease of forwarded jobs. If echo is false, it does not echo the clock
// readings that it received.
func (o *fakePeerEntry) exchangeLoads(s *testSite, p *inner.Peer, session uint64, echo bool) {
	for range 14 {
		l := inner.EntryLoad{Session: session, Clock: time.Duration(time.Now().UnixNano())}
		select {
		case latest := <-o.loads:
			if echo {
				l.Echo = latest.Clock
			}
		default:
		}
		p.Load(l)
		time.Sleep(100 * time.Millisecond)
	}
}

// Guards against messages that are reordered or lost because they are spread over two connections, one of which is slow
// or has stopped delivering data. Only the connection in use is monitored for that.
func TestMessagesUseOneConnection(t *testing.T) {
	runSite(t, 1, 0, func(s *testSite) {
		o := newFakePeerEntry()
		var peers []*inner.Peer
		for range 3 {
			peers = append(peers, o.dial(s, "first"))
			time.Sleep(10 * time.Millisecond) // the entry has accepted the connection and sent an initial load
		}
		loads := func() (counts []int) {
			o.mu.Lock()
			clear(o.count)
			o.mu.Unlock()
			o.exchangeLoads(s, peers[2], 1, true)
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

// Guards against an entry that goes on sending on a connection that delivers nothing, although the other entry has taken
// it as lost and connected again.
func TestUndeliveringConnectionIsNotUsedAgain(t *testing.T) {
	runSite(t, 1, 0, func(s *testSite) {
		o := newFakePeerEntry()
		stale := o.dial(s, "first")
		defer stale.Close()
		o.exchangeLoads(s, stale, 1, true)
		fresh := o.dial(s, "first")
		defer fresh.Close()
		fresh.Load(inner.EntryLoad{Session: 2, Clock: time.Duration(time.Now().UnixNano())})
		time.Sleep(10 * time.Millisecond)
		o.mu.Lock()
		clear(o.count)
		o.mu.Unlock()
		o.exchangeLoads(s, fresh, 2, true)
		o.mu.Lock()
		defer o.mu.Unlock()
		if o.count[stale] > 0 || o.count[fresh] < 10 {
			s.t.Errorf("%d loads on the earlier connection and %d on the new one, want all on the new one",
				o.count[stale], o.count[fresh])
		}
	})
}

// Guards against a job that goes on beside its resubmission: this entry was suspended when the other one connected,
// forwarded the job and treated it as lost.
func TestForwardOfOldSessionNotStarted(t *testing.T) {
	for _, age := range []time.Duration{0, 300 * time.Millisecond, 2 * time.Second} {
		runSite(t, 1, 1, func(s *testSite) {
			o := newFakePeerEntry()
			p := o.dial(s, "first")
			defer p.Close()
			time.Sleep(10 * time.Millisecond)
			echo := time.Duration(time.Now().Add(-age).UnixNano())
			p.Load(inner.EntryLoad{Session: 1, Echo: echo})
			p.Forward(newJob("job", 4, 10*time.Second), 1)
			time.Sleep(100 * time.Millisecond)
			p.Load(inner.EntryLoad{Session: 1, Echo: echo})
			want := 4
			if age > time.Second {
				want = 0
			}
			if n := s.liveRunCount(); n != want {
				s.t.Errorf("%d runs in progress %v after the echoed clock reading, want %d", n, age, want)
			}
		})
	}
}

// Guards against callers that get no response before their time-out: the entry that dispatches their job cancels it because
// the clock reading that the origin echoes is too old, and does not tell the origin, which has the same session with it.
func TestOriginToldOfExpiredForward(t *testing.T) {
	runSite(t, 1, 1, func(s *testSite) {
		r := &peerRecorder{fakePeerEntry: newFakePeerEntry(), name: "other"}
		p := r.connect(s)
		defer p.Close()
		keepSession(p, 100*time.Millisecond)
		p.Forward(newJob("job", 4, 8*time.Second), 1)
		for range 40 {
			clock := time.Duration(time.Now().UnixNano()) // of both entries
			p.Load(inner.EntryLoad{Session: 1, Clock: clock, Echo: clock - 850*time.Millisecond})
			time.Sleep(50 * time.Millisecond)
		}
		r.recorded.Lock()
		defer r.recorded.Unlock()
		if n := s.liveRunCount(); n == 0 && len(r.outcomes) == 0 {
			s.t.Error("the job was cancelled, and the origin was told nothing")
		}
	})
}
