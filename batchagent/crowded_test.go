package batchagent_test

import (
	"context"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"dogwoodglade/batchagent"
	"dogwoodglade/core/batch"
	"dogwoodglade/core/event"
	"dogwoodglade/core/resource"
	"dogwoodglade/core/supervise"
	"dogwoodglade/internal/memnet"
	"dogwoodglade/io/inner"
)

// batchEntry starts many runs at once when the agent first offers its backend server.
type batchEntry struct {
	inner.BatchEntryHandler
	runs      int
	stopAfter time.Duration // after which all runs are stopped; 0 if they are not
	started   bool
	// goroutines is the number of goroutines before the runs were stopped.
	goroutines int
}

func (e *batchEntry) Connected(*inner.Peer)    {}
func (e *batchEntry) Disconnected(*inner.Peer) {}

func (e *batchEntry) Report(p *inner.Peer, r supervise.Report) {
	p.KeepAlive(inner.KeepAlive{Until: r.Clock + supervise.SessionLease})
	if !r.Offered || e.started {
		return
	}
	e.started = true
	var starts []supervise.Start
	for i := range e.runs {
		starts = append(starts, supervise.Start{RunID: supervise.RunID{Task: batch.TaskID{Job: "1", Index: i}, Attempt: 1}})
	}
	p.UpdateRuns(starts, nil)
	if e.stopAfter > 0 {
		time.Sleep(e.stopAfter)
		e.goroutines = runtime.NumGoroutine()
		var stops []supervise.RunID
		for _, x := range starts {
			stops = append(stops, x.RunID)
		}
		p.UpdateRuns(nil, stops)
	}
}

// slowServer takes 30 ms for a start. At most eight starts are under way, and others wait.
type slowServer struct {
	began       time.Time
	connections chan struct{}

	mu         sync.Mutex
	accepted   map[batch.TaskID]int
	unanswered int
	stopTokens map[uint64]bool
	hangs      bool // from its first start on
	hung       bool
	holds      int // that are under way
	maxHolds   int
}

func (s *slowServer) Start(ctx context.Context, c supervise.CallStart) (supervise.StartResult, time.Duration) {
	select {
	case s.connections <- struct{}{}:
	case <-ctx.Done():
		s.mu.Lock()
		defer s.mu.Unlock()
		s.unanswered++
		return supervise.Unanswered, 0
	}
	defer func() { <-s.connections }()
	if s.hangs {
		s.mu.Lock()
		s.hung = true
		s.mu.Unlock()
		<-ctx.Done()
		return supervise.Unanswered, 0
	}
	time.Sleep(30 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accepted[c.Task]++
	return supervise.Accepted, time.Since(s.began)
}

// Stop takes almost as long as the agent waits for its response.
func (s *slowServer) Stop(_ context.Context, c supervise.CallStop) (bool, time.Duration) {
	time.Sleep(90 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopTokens[c.Token] = true
	return true, time.Since(s.began)
}

func (s *slowServer) Hold(ctx context.Context, h supervise.Hold) (supervise.HoldResponse, error) {
	s.mu.Lock()
	s.holds++
	s.maxHolds = max(s.maxHolds, s.holds)
	hung := s.hung
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.holds--
	}()
	if hung {
		<-ctx.Done()
		return supervise.HoldResponse{}, errDown
	}
	time.Sleep(h.Wait)
	return supervise.HoldResponse{Incarnation: 1, Clock: time.Since(s.began)}, nil
}

// withBatch runs a test with an agent whose backend server is slow, 2 s after an entry has requested runs there.
func withBatch(t *testing.T, e *batchEntry, hangs bool, check func(t *testing.T, b *slowServer)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New()
		listener, err := network.Host("entry-1").Listen("entry-1:1")
		if err != nil {
			t.Fatal(err)
		}
		stopEntry := inner.Serve(listener, inner.Local{
			Identity: inner.Identity{Role: inner.RoleEntry, Name: "entry-1", Incarnation: "1", Address: "entry-1:1"},
			Clock:    event.NewRecorder("entry-1", 1, time.Now), Metrics: metrics.NewRegistry(),
		}, e)
		defer stopEntry()
		b := &slowServer{
			began: time.Now().Add(-time.Minute), connections: make(chan struct{}, 8), accepted: map[batch.TaskID]int{},
			stopTokens: map[uint64]bool{}, hangs: hangs,
		}
		a, stop := batchagent.New(batchagent.Options{
			Name: "agent-1", Seeds: []string{"entry-1:1"}, Directory: &directory{}, Server: b, Logger: zerolog.Nop(),
			Dial: network.Host("agent-1").Dial, Now: time.Now,
		})
		defer stop()
		synctest.Wait()
		a.HandleAnnouncement(supervise.Server{
			ID: "i-1", Pool: "p", Incarnation: 1, Sequence: 1, Capacity: resource.Amount{Processor: 4000}, Clock: time.Minute,
		})
		time.Sleep(2 * time.Second)
		synctest.Wait()
		b.mu.Lock()
		defer b.mu.Unlock()
		check(t, b)
	})
}

// Guards against starts that time out before they are sent, because others are under way: they would count as carried
// out, and each raises the token and makes the agent list the runs.
func TestManyStartsDoNotTimeOutUnsent(t *testing.T) {
	e := &batchEntry{runs: 40}
	withBatch(t, e, false, func(t *testing.T, b *slowServer) {
		if len(b.accepted) != e.runs || b.unanswered > 0 {
			t.Errorf("%d of %d starts arrived, %d timed out before they were sent", len(b.accepted), e.runs, b.unanswered)
		}
	})
}

// Guards against starts that are sent after they have waited for others, although their runs were stopped meanwhile.
func TestStoppedRunsAreNotStarted(t *testing.T) {
	withBatch(t, &batchEntry{runs: 40, stopAfter: 10 * time.Millisecond}, false, func(t *testing.T, b *slowServer) {
		if len(b.accepted) != 6 {
			t.Errorf("%d starts were sent, want only the six that were under way when the runs were stopped", len(b.accepted))
		}
	})
}

// Guards against stops that count as unanswered although they were not sent, which raises the token and fences starts, and
// against several stops of a run that wait for each other.
func TestWaitingStops(t *testing.T) {
	e := &batchEntry{runs: 40, stopAfter: 500 * time.Millisecond}
	withBatch(t, e, false, func(t *testing.T, b *slowServer) {
		if len(b.stopTokens) != 1 {
			t.Errorf("stops had %d tokens, want one, as none was sent without a response", len(b.stopTokens))
		}
		const underWay = 6
		if n := runtime.NumGoroutine() - e.goroutines; n > e.runs+underWay {
			t.Errorf("%d more goroutines for the stops of %d runs, of which %d are under way", n, e.runs, underWay)
		}
	})
}

// Guards against hold calls that time out while they wait for a connection, because starts without a response each add one.
func TestHoldCallsFitConnections(t *testing.T) {
	withBatch(t, &batchEntry{runs: 40}, true, func(t *testing.T, b *slowServer) {
		if b.maxHolds > 3 {
			t.Errorf("%d hold calls were under way at once, want at most 3", b.maxHolds)
		}
	})
}
