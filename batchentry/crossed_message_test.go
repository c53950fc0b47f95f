package batchentry_test

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/event"
	"dogwoodglade/io/inner"
)

// peerRecorder is another entry that records the messages about jobs that it receives.
type peerRecorder struct {
	*fakePeerEntry

	name string

	recorded  sync.Mutex
	forwarded []batch.Job
	numbers   []uint64 // of the forwards
	withdrawn []batch.JobID
	outcomes  []numberedOutcome
	confirmed []uint64 // numbers of the withdrawals
}

func (r *peerRecorder) Forward(_ *inner.Peer, j batch.Job, number uint64) {
	r.recorded.Lock()
	defer r.recorded.Unlock()
	r.forwarded = append(r.forwarded, j)
	r.numbers = append(r.numbers, number)
}

func (r *peerRecorder) WithdrawJob(_ *inner.Peer, id batch.JobID, _ uint64, _ bool) {
	r.recorded.Lock()
	defer r.recorded.Unlock()
	r.withdrawn = append(r.withdrawn, id)
}

func (r *peerRecorder) ForwardOutcome(_ *inner.Peer, _ batch.JobID, number uint64, o batch.Outcome) {
	r.recorded.Lock()
	defer r.recorded.Unlock()
	r.outcomes = append(r.outcomes, numberedOutcome{number: number, outcome: o})
}

func (r *peerRecorder) JobWithdrawn(_ *inner.Peer, _ batch.JobID, number uint64) {
	r.recorded.Lock()
	defer r.recorded.Unlock()
	r.confirmed = append(r.confirmed, number)
}

type numberedOutcome struct {
	number  uint64
	outcome batch.Outcome
}

// forwardNumbers returns the numbers of the forwards that it received.
func (r *peerRecorder) forwardNumbers() []uint64 {
	r.recorded.Lock()
	defer r.recorded.Unlock()
	return slices.Clone(r.numbers)
}

// confirmations returns the numbers of the withdrawals that were confirmed to it.
func (r *peerRecorder) confirmations() []uint64 {
	r.recorded.Lock()
	defer r.recorded.Unlock()
	return slices.Clone(r.confirmed)
}

func (r *peerRecorder) connect(s *testSite) *inner.Peer { return r.connectAs(s, "first") }

func (r *peerRecorder) connectAs(s *testSite, incarnation string) *inner.Peer {
	s.t.Helper()
	return r.connectWith(s, incarnation, r)
}

// connectWith connects with a handler that records here.
func (r *peerRecorder) connectWith(s *testSite, incarnation string, handler inner.BatchEntryHandler) *inner.Peer {
	s.t.Helper()
	p, err := inner.Dial(s.t.Context(), s.network.Host(r.name).Dial, "entry-1:1", inner.Local{
		Identity: inner.Identity{Role: inner.RoleEntry, Name: r.name, Incarnation: incarnation, Address: r.name + ":1"},
		Clock:    event.NewRecorder(r.name, 1, time.Now), Metrics: metrics.NewRegistry(),
	}, handler)
	if err != nil {
		s.t.Fatal(err)
	}
	return p
}

// Guards against two runs of a task at the same time: a job is reported as lost and received later, because the two
// messages crossed on different connections.
func TestUnknownOutcomeWithdrawsJob(t *testing.T) {
	runSite(t, 1, 0, func(s *testSite) {
		r := &peerRecorder{fakePeerEntry: newFakePeerEntry(), name: "other"}
		p := r.connect(s)
		defer p.Close()
		p.Load(fakePeerLoad())
		time.Sleep(10 * time.Millisecond)
		go s.entries["entry-1"].Submit(s.t.Context(), newJob("job", 1, time.Second))
		time.Sleep(10 * time.Millisecond)
		p.ForwardOutcome("job", r.forwardNumbers()[0], batch.Unknown{Reason: batch.PeerLost})
		time.Sleep(10 * time.Millisecond)
		r.recorded.Lock()
		defer r.recorded.Unlock()
		if len(r.forwarded) != 1 || len(r.withdrawn) != 1 {
			s.t.Errorf("%d jobs were forwarded and %d withdrawn, want one each", len(r.forwarded), len(r.withdrawn))
		}
	})
}
