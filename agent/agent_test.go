package agent

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	"dogwoodglade/core/allocator"
	"dogwoodglade/core/event"
	"dogwoodglade/core/ownership"
	"dogwoodglade/core/task"
	"dogwoodglade/internal/memnet"
	"dogwoodglade/io/backend"
	"dogwoodglade/io/inner"
	"dogwoodglade/io/store"
)

// fakeEntry records the messages of the agent.
type fakeEntry struct {
	inner.EntryHandler
	peer     atomic.Pointer[inner.Peer]
	replies  chan task.Refusal
	outcomes chan task.Record
	server   atomic.Pointer[allocator.BackendServer] // of the last heartbeat
}

func (f *fakeEntry) Connected(p *inner.Peer)                                    { f.peer.Store(p) }
func (f *fakeEntry) Disconnected(p *inner.Peer)                                 { f.peer.CompareAndSwap(p, nil) }
func (f *fakeEntry) StartReply(_ *inner.Peer, _ task.AttemptID, r task.Refusal) { f.replies <- r }
func (f *fakeEntry) Outcome(_ *inner.Peer, r task.Record)                       { f.outcomes <- r }
func (f *fakeEntry) ReleaseSlot(*inner.Peer, allocator.Release)                 {}
func (f *fakeEntry) Heartbeat(_ *inner.Peer, servers []allocator.BackendServer) {
	if len(servers) > 0 {
		f.server.Store(&servers[0])
	}
}

// fakePlatform refuses writes while down is set.
type fakePlatform struct {
	*store.Memory
	down atomic.Bool
}

func (f *fakePlatform) Commit(ctx context.Context, t store.Transaction) (uint64, error) {
	if f.down.Load() {
		return 0, &store.UnavailableError{}
	}
	return f.Memory.Commit(ctx, t)
}

// fixture is an agent that is connected to one entry and one backend server. A task runs for the duration in
// its body.
type fixture struct {
	t        *testing.T
	network  *memnet.Network
	entry    *fakeEntry
	platform *fakePlatform
	agent    *Agent
	stop     func()
	starts   int
}

func startFixture(t *testing.T) *fixture {
	t.Helper()
	return startFixtureOn(t, memnet.New())
}

func startFixtureOn(t *testing.T, network *memnet.Network) *fixture {
	t.Helper()
	f := &fixture{
		t: t, network: network,
		entry:    &fakeEntry{replies: make(chan task.Refusal, 64), outcomes: make(chan task.Record, 64)},
		platform: &fakePlatform{Memory: store.NewMemory(store.DefaultLimits, rand.New(rand.NewPCG(1, 0)))},
	}
	listener, err := f.network.Host("entry").Listen("127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	closeEntry := inner.Serve(listener, inner.Local{
		Identity: inner.Identity{Role: inner.RoleEntry, Name: "entry", Incarnation: "1"},
		Clock:    event.NewRecorder("entry", 1, time.Now), Metrics: metrics.NewRegistry(),
	}, f.entry)
	host := f.network.Host("agent")
	f.agent, f.stop, err = New(Options{
		Name: "agent", Entries: []string{"127.0.0.1:1"}, BackendAddress: "127.0.0.1:2", DrainTimeout: time.Minute,
		Platform: f.platform, Recorder: event.NewRecorder("agent", 100, time.Now),
		Dial: host.Dial, DialBackend: host.Dial, Listen: host.Listen,
	})
	if err != nil {
		t.Fatal(err)
	}
	_, stopServer, err := backend.NewServer(backend.ServerSettings{
		ID: "b", Pool: "p", Agent: "127.0.0.1:2", Slots: 8, Connections: 64, ListenFunc: host.Listen, Dial: host.Dial,
		Run: func(_ context.Context, t backend.Task) ([]byte, error) {
			run, err := time.ParseDuration(string(t.Body))
			time.Sleep(run)
			return t.Body, err
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		stopServer()
		closeEntry()
		synctest.Wait()
	})
	time.Sleep(2 * time.Second)
	return f
}

// sendStart sends the start of a task that runs for the given time, and returns the agent's reply.
func (f *fixture) sendStart(run time.Duration) task.Refusal {
	f.t.Helper()
	f.starts++
	key := strconv.Itoa(f.starts)
	f.entry.peer.Load().Start(task.Start{
		Attempt:   task.AttemptID{Task: task.ID{Job: task.JobID{Customer: "atlas", Key: key}}, Number: 1},
		TaskCount: 1, Owner: "entry", Allocator: "entry", BackendServer: "b",
		Incarnation: f.entry.server.Load().Incarnation, Grant: key, Deadline: time.Minute, Body: []byte(run.String()),
	})
	return <-f.entry.replies
}

func (f *fixture) wantReply(when string, want task.Refusal) {
	f.t.Helper()
	if got := f.sendStart(0); got != want {
		f.t.Errorf("%s: got %q, want %q", when, got, want)
	}
}

func (f *fixture) rows() []store.Row {
	f.t.Helper()
	rows, err := f.platform.List(f.t.Context(), store.AgentPrefix)
	if err != nil {
		f.t.Fatal(err)
	}
	return rows
}

func (f *fixture) deleteRow() {
	f.t.Helper()
	_, err := f.platform.Memory.Commit(f.t.Context(), store.Transaction{
		Writes: []store.Write{{Key: f.rows()[0].Key, Delete: true}},
	})
	if err != nil {
		f.t.Fatal(err)
	}
}

// Takeovers do not fence an agent whose row was removed, so a superseded owner could start tasks there that
// the new owner starts elsewhere. The agent must refuse starts until it is registered again.
func TestAgentRefusesStartsUntilItIsRegisteredAgain(t *testing.T) {
	for name, test := range map[string]struct {
		disrupt func(f *fixture)
		want    task.Refusal
	}{
		"short loss of connection": {func(f *fixture) {
			f.disconnect(maxDisconnectedTime - 5*time.Second)
		}, task.Accepted},
		"long loss of connection": {func(f *fixture) {
			f.disconnect(maxDisconnectedTime + 5*time.Second)
		}, task.RefusedNotRegistered},
		"row removed": {func(f *fixture) {
			f.deleteRow()
			time.Sleep(rowCheckInterval)
		}, task.RefusedNotRegistered},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startFixture(t)
				defer f.stop()
				f.wantReply("registered", task.Accepted)
				f.platform.down.Store(true)
				test.disrupt(f)
				f.wantReply("after the loss", test.want)
				f.platform.down.Store(false)
				time.Sleep(2 * registerRetryInterval)
				f.wantReply("when the platform is available again", task.Accepted)
				if n := len(f.rows()); n != 1 {
					t.Errorf("%d rows, want 1", n)
				}
			})
		})
	}
}

// disconnect cuts the link to the entry for the given time, and waits for the next connection.
func (f *fixture) disconnect(length time.Duration) {
	f.network.SetCut("agent", "entry", true)
	time.Sleep(length)
	f.network.SetCut("agent", "entry", false)
	for f.entry.peer.Load() == nil {
		time.Sleep(10 * time.Millisecond)
	}
	synctest.Wait()
}

// If an agent connects to an entry long after it registered, its row may have been removed in the meantime. It
// must refuse starts until it is registered again.
func TestAgentThatConnectsLateRegistersAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New()
		network.SetCut("agent", "entry", true)
		f := startFixtureOn(t, network)
		defer f.stop()
		f.platform.down.Store(true)
		f.disconnect(maxDisconnectedTime + 5*time.Second)
		time.Sleep(time.Second)
		f.wantReply("after the first connection", task.RefusedNotRegistered)
	})
}

// A drain must not interrupt a task, and the agent must answer the starts that were sent before the entries
// learned of the drain. Without an answer, an owner cannot tell a refused start from one that may have run.
func TestDrain(t *testing.T) {
	for name, run := range map[string]time.Duration{"idle": 0, "with a running task": 5 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startFixture(t)
				f.sendStart(run)
				time.Sleep(100 * time.Millisecond)
				stopCalled, done := time.Now(), make(chan time.Duration)
				go func() {
					f.stop()
					done <- time.Since(stopCalled)
				}()
				synctest.Wait()
				if !f.entry.server.Load().Leaving {
					t.Error("the last heartbeat does not say that the backend server is leaving")
				}
				time.Sleep(minDrainTime - 100*time.Millisecond)
				f.wantReply("during the drain", task.RefusedLeaving)
				drainTime := <-done
				if minimum := max(minDrainTime, run-100*time.Millisecond); drainTime < minimum || drainTime > minimum+time.Second {
					t.Errorf("drained after %v, want %v", drainTime, minimum)
				}
				if o := <-f.entry.outcomes; o.State != task.Ended || !o.Result.Succeeded() {
					t.Errorf("got %+v", o)
				}
				var row ownership.AgentRow
				if err := json.Unmarshal(f.rows()[0].Value, &row); err != nil || !row.Left {
					t.Fatalf("got row %+v, %v", row, err)
				}
				data, err := f.platform.GetObject(t.Context(), row.Records)
				var records []task.Record
				if err != nil || json.Unmarshal(data, &records) != nil || len(records) != 1 {
					t.Errorf("got records %s, %v", data, err)
				}
			})
		})
	}
}
