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
	"dogwoodglade/core/evacuation"
	"dogwoodglade/core/event"
	"dogwoodglade/core/home"
	"dogwoodglade/core/resource"
	"dogwoodglade/core/supervise"
	"dogwoodglade/internal/memnet"
	"dogwoodglade/io/inner"
)

// hangingDirectory is a store that does not respond about evacuations.
type hangingDirectory struct {
	directory
	mu        sync.Mutex
	listReads int
}

func (d *hangingDirectory) Entries(context.Context) ([]home.Entry, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listReads++
	return nil, nil
}

func (d *hangingDirectory) Evacuations(ctx context.Context) (evacuation.State, error) {
	<-ctx.Done()
	return evacuation.State{}, ctx.Err()
}

// ignorantEntry is an entry whose knowledge of the evacuations is old.
type ignorantEntry struct {
	inner.BatchEntryHandler

	mu          sync.Mutex
	peer        *inner.Peer
	entries     []home.Entry // that it lists
	draining    bool
	connections int
	offered     bool      // in the latest report
	offeredAt   time.Time // when the agent was first offered on the present connection; zero if it was not
}

func (e *ignorantEntry) Connected(p *inner.Peer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.peer, e.offered, e.offeredAt = p, false, time.Time{}
	e.connections++
}

func (e *ignorantEntry) Disconnected(*inner.Peer) {}

func (e *ignorantEntry) Evacuations(*inner.Peer, evacuation.State, time.Duration) {}

func (e *ignorantEntry) Report(p *inner.Peer, r supervise.Report) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.offered = r.Offered; r.Offered && e.offeredAt.IsZero() {
		e.offeredAt = time.Now()
	}
	p.KeepAlive(inner.KeepAlive{
		Until: r.Clock + supervise.SessionLease, StoreSeen: r.Clock - 10*time.Second, AsksReaders: true,
		Draining: e.draining, Entries: e.entries, Complete: true,
	})
}

// set changes the entry.
func (e *ignorantEntry) set(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
}

// runAgentWithHangingStore runs an agent that knows the address of entry-1, and entries 1 and 2.
func runAgentWithHangingStore(t *testing.T, test func(d *hangingDirectory, e1, e2 *ignorantEntry)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network, d := memnet.New(), &hangingDirectory{}
		entries := map[string]*ignorantEntry{"entry-1": {}, "entry-2": {}}
		for name, e := range entries {
			listener, err := network.Host(name).Listen(name + ":1")
			if err != nil {
				t.Fatal(err)
			}
			defer inner.Serve(listener, inner.Local{
				Identity: inner.Identity{Role: inner.RoleEntry, Name: name, Incarnation: "1", Address: name + ":1"},
				Clock:    event.NewRecorder(name, 1, time.Now), Metrics: metrics.NewRegistry(),
			}, e)()
		}
		entries["entry-1"].entries = []home.Entry{{Name: "entry-1", Address: "entry-1:1", Weight: 1}}
		b := &slowServer{began: time.Now().Add(-time.Minute)}
		a, stop := batchagent.New(batchagent.Options{
			Name: "agent-1", Region: "r", Seeds: []string{"entry-1:1"}, Directory: d, Server: b, Logger: zerolog.Nop(),
			Dial: network.Host("agent-1").Dial, Now: time.Now,
		})
		defer stop()
		synctest.Wait()
		a.HandleAnnouncement(supervise.Server{
			ID: "i-1", Pool: "p", Incarnation: 1, Sequence: 1, Capacity: resource.Amount{Processor: 4000}, Clock: time.Minute,
		})
		test(d, entries["entry-1"], entries["entry-2"])
	})
}

// Guards against an agent that cannot change its home while the store hangs, because the connection to the next one is
// closed as that of a previous home before the read has timed out. It read the list of entries and dialled again.
func TestHomeChangesWhileStoreHangs(t *testing.T) {
	runAgentWithHangingStore(t, func(d *hangingDirectory, e1, e2 *ignorantEntry) {
		time.Sleep(3 * time.Second)
		both := []home.Entry{
			{Name: "entry-1", Address: "entry-1:1", Weight: 1},
			{Name: "entry-2", Address: "entry-2:1", Weight: 1, Region: "r"}, // preferred, in the agent's region
		}
		e1.set(func() { e1.entries = both })
		e2.set(func() { e2.entries = both })
		time.Sleep(12 * time.Second)
		e2.set(func() {
			if !e2.offered || e2.connections != 1 {
				t.Errorf("offered to the preferred entry: %t, after %d connections", e2.offered, e2.connections)
			}
		})
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.listReads > 2 {
			t.Errorf("the list of entries was read %d times", d.listReads)
		}
	})
}

// Guards against an agent that offers its backend server to an entry which has asked it to choose another one, because
// that request arrived while the agent waited for the store.
func TestDrainingEntryDoesNotBecomeHome(t *testing.T) {
	runAgentWithHangingStore(t, func(_ *hangingDirectory, e1, _ *ignorantEntry) {
		time.Sleep(100 * time.Millisecond)
		e1.set(func() { e1.draining = true })
		time.Sleep(10 * time.Second)
		e1.set(func() {
			if !e1.offeredAt.IsZero() || e1.connections < 1 {
				t.Errorf("offered at %v, after %d connections", e1.offeredAt, e1.connections)
			}
		})
	})
}

// Guards against an agent that drops its home, and with it the runs there, because another entry drains.
func TestHomeIsKeptWhileNextOneDrains(t *testing.T) {
	runAgentWithHangingStore(t, func(_ *hangingDirectory, e1, e2 *ignorantEntry) {
		time.Sleep(3 * time.Second)
		e1.set(func() {
			e1.entries = append(e1.entries, home.Entry{Name: "entry-2", Address: "entry-2:1", Weight: 1, Region: "r"})
		})
		e2.set(func() { e2.draining = true })
		time.Sleep(12 * time.Second)
		e1.set(func() {
			if !e1.offered || e1.connections != 1 {
				t.Errorf("offered to the home: %t, after %d connections", e1.offered, e1.connections)
			}
		})
		e2.set(func() {
			if !e2.offeredAt.IsZero() || e2.connections == 0 {
				t.Errorf("offered at %v, after %d connections", e2.offeredAt, e2.connections)
			}
		})
	})
}

// Guards against a second without service at each loss of a home while the store hangs, although a read has just timed
// out.
func TestLossOfHomeWhileStoreHangs(t *testing.T) {
	runAgentWithHangingStore(t, func(_ *hangingDirectory, e1, _ *ignorantEntry) {
		time.Sleep(time.Second)
		e1.set(func() {
			if !e1.offered {
				t.Error("not offered after the first read had failed")
			}
			e1.peer.Close()
		})
		lost := time.Now()
		time.Sleep(time.Second)
		e1.set(func() {
			if !e1.offered || e1.offeredAt.Sub(lost) > 150*time.Millisecond {
				t.Errorf("offered after %v", e1.offeredAt.Sub(lost))
			}
			t.Logf("offered after %v", e1.offeredAt.Sub(lost))
		})
	})
}
