package batchagent_test

import (
	"context"
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

// freezingClock shows the time until it is armed, and after the next reading a time 3 s later, as in a process that was
// frozen in between.
type freezingClock struct {
	mu     sync.Mutex
	armed  bool
	offset time.Duration
}

func (c *freezingClock) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := time.Now().Add(c.offset)
	if c.armed {
		c.armed, c.offset = false, 3*time.Second
	}
	return t
}

func (c *freezingClock) arm() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.armed = true
}

// startingEntry starts runs when the agent first offers its backend server.
type startingEntry struct {
	inner.BatchEntryHandler
	clock   *freezingClock // nil if it does not freeze
	runs    int
	started bool
}

func (e *startingEntry) Connected(*inner.Peer)    {}
func (e *startingEntry) Disconnected(*inner.Peer) {}

func (e *startingEntry) Report(p *inner.Peer, r supervise.Report) {
	p.KeepAlive(inner.KeepAlive{Until: r.Clock + supervise.SessionLease})
	if r.Offered && !e.started {
		e.started = true
		time.Sleep(time.Millisecond)
		if e.clock != nil {
			e.clock.arm()
		}
		var starts []supervise.Start
		for i := range e.runs {
			starts = append(starts, supervise.Start{RunID: supervise.RunID{Task: batch.TaskID{Job: "1", Index: i}, Attempt: 1}})
		}
		p.UpdateRuns(starts, nil)
	}
}

// listeningServer is a backend server that records the starts that it receives.
type listeningServer struct {
	silentServer
	began  time.Time
	mu     sync.Mutex
	starts int
}

func (s *listeningServer) Start(context.Context, supervise.CallStart) (supervise.StartResult, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts++
	return supervise.Accepted, time.Since(s.began)
}

func (s *listeningServer) Hold(_ context.Context, h supervise.Hold) (supervise.HoldResponse, error) {
	time.Sleep(h.Wait)
	return supervise.HoldResponse{Incarnation: 1, Clock: time.Since(s.began)}, nil
}

// Guards against a start that an agent sends when it wakes: the task may run elsewhere by then, and a backend server that
// has restarted under its ID takes a lease on the earlier clock for one that lasts.
func TestStartIsNotSentAfterFreeze(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := &freezingClock{}
		e := &startingEntry{clock: clock, runs: 1}
		b := &listeningServer{began: time.Now().Add(-time.Minute)}
		playAgent(t, e, b, clock.now)
		b.mu.Lock()
		defer b.mu.Unlock()
		if !e.started || b.starts > 0 {
			t.Errorf("requested: %v; sent %d starts after 3 s, want none", e.started, b.starts)
		}
	})
}

// playAgent runs an agent with an entry and a backend server for 2 s.
func playAgent(t *testing.T, e inner.BatchEntryHandler, b batchagent.Server, now func() time.Time) {
	t.Helper()
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
	a, stop := batchagent.New(batchagent.Options{
		Name: "agent-1", Seeds: []string{"entry-1:1"}, Directory: &directory{}, Server: b, Logger: zerolog.Nop(),
		Dial: network.Host("agent-1").Dial, Now: now,
	})
	defer stop()
	synctest.Wait()
	a.HandleAnnouncement(supervise.Server{
		ID: "i-1", Pool: "p", Incarnation: 1, Sequence: 1, Capacity: resource.Amount{Processor: 4000}, Clock: time.Minute,
	})
	time.Sleep(2 * time.Second)
	synctest.Wait()
}
