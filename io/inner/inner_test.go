package inner

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	"dogwoodglade/core/allocator"
	"dogwoodglade/core/event"
	"dogwoodglade/core/task"
	"dogwoodglade/internal/memnet"
)

// fakeEntry sends to each agent as soon as it is connected.
type fakeEntry struct {
	EntryHandler
	connected chan *Peer
	outcomes  chan task.Record
}

func (f *fakeEntry) Connected(p *Peer) {
	p.Entries([]string{"127.0.0.1:1"})
	f.connected <- p
}
func (f *fakeEntry) Disconnected(*Peer)                             {}
func (f *fakeEntry) Outcome(_ *Peer, r task.Record)                 { f.outcomes <- r }
func (f *fakeEntry) Heartbeat(*Peer, []allocator.BackendServer)     {}
func (f *fakeEntry) StartReply(*Peer, task.AttemptID, task.Refusal) {}

type fakeAgent struct {
	AgentHandler
	addresses chan []string
}

func (f *fakeAgent) Connected(*Peer)                     {}
func (f *fakeAgent) Disconnected(*Peer)                  {}
func (f *fakeAgent) Entries(_ *Peer, addresses []string) { f.addresses <- addresses }

func newLocal(role Role, name string) Local {
	return Local{
		Identity: Identity{Role: role, Name: name, Incarnation: name + "-1"},
		Clock:    event.NewRecorder(name, 1, time.Now),
		Metrics:  metrics.NewRegistry(),
	}
}

type pair struct {
	network *memnet.Network
	entry   *fakeEntry
	agent   *fakeAgent
}

func startPair(t *testing.T) pair {
	t.Helper()
	p := pair{
		network: memnet.New(),
		entry:   &fakeEntry{connected: make(chan *Peer, 8), outcomes: make(chan task.Record, 1024)},
		agent:   &fakeAgent{addresses: make(chan []string, 8)},
	}
	listener, err := p.network.Host("entry").Listen("127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(Serve(listener, newLocal(RoleEntry, "entry"), p.entry))
	return p
}

func (p pair) dial(t *testing.T) *Peer {
	t.Helper()
	peer, err := Dial(context.Background(), p.network.Host("agent").Dial, "127.0.0.1:1", newLocal(RoleAgent, "agent"), p.agent)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(peer.Close)
	return peer
}

// A listener that sends ahead of its Hello reply deadlocks with the dialler, which handles nothing before
// that reply.
func TestListenerMaySendAsSoonAsItIsConnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := startPair(t)
		for range 50 {
			p.dial(t)
			<-p.entry.connected
			<-p.agent.addresses
		}
	})
}

// Notifications that overtake each other would release a slot before its outcome is known.
func TestNotificationsKeepTheirOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := startPair(t)
		peer := p.dial(t)
		for i := range 1000 {
			peer.Outcome(task.Record{TaskCount: i})
		}
		for i := range 1000 {
			if r := <-p.entry.outcomes; r.TaskCount != i {
				t.Fatalf("got %d, want %d", r.TaskCount, i)
			}
		}
	})
}

// A process of another version must get a clear refusal instead of messages that it misreads.
func TestOtherVersionIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := startPair(t)
		conn, err := p.network.Host("agent").Dial(context.Background(), "tcp", "127.0.0.1:1")
		if err != nil {
			t.Fatal(err)
		}
		old := newPeer(conn, newLocal(RoleAgent, "old"), methods{})
		t.Cleanup(old.Close)
		var reply hello
		request := hello{Version: Version + 1, Identity: Identity{Name: "old", Incarnation: "1"}}
		if err := old.call(context.Background(), methodHello, request, &reply); err != nil {
			t.Fatal(err)
		}
		if reply.Version != Version {
			t.Fatalf("got version %d", reply.Version)
		}
		old.Heartbeat(nil)
		synctest.Wait()
		if len(p.entry.connected) != 0 {
			t.Fatal("a process of another version was connected")
		}
	})
}

// A frame without a bound would let one peer exhaust the memory of the process.
func TestOversizedFrameClosesTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := startPair(t)
		peer := p.dial(t)
		peer.Outcome(task.Record{Result: task.Result{Body: make([]byte, MaxFrame*3/4)}})
		<-peer.Done()
	})
	codec := newFrameCodec()
	frame := binary.AppendUvarint(binary.AppendUvarint(nil, MaxFrame+1), 0)
	err := codec.ReadObject(bufio.NewReader(bytes.NewReader(frame)), new(any))
	var tooLarge *FrameError
	if !errors.As(err, &tooLarge) || tooLarge.Size != MaxFrame+1 {
		t.Fatalf("got %v", err)
	}
}

// A start that is handled after the agent reconnected would run although the owner was told that it cannot.
func TestClosedConnectionHandlesNothingMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := startPair(t)
		peer := p.dial(t)
		accepted := <-p.entry.connected
		for range 100 {
			peer.Outcome(task.Record{})
		}
		accepted.Close()
		handled := len(p.entry.outcomes)
		time.Sleep(time.Second)
		if len(p.entry.outcomes) != handled {
			t.Fatalf("handled %d messages after the connection was closed", len(p.entry.outcomes)-handled)
		}
	})
}

// A peer that connects and sends nothing would hold a connection for ever.
func TestSilentDiallerIsDisconnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := startPair(t)
		conn, err := p.network.Host("agent").Dial(context.Background(), "tcp", "127.0.0.1:1")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		start := time.Now()
		if _, err := conn.Read(make([]byte, 1)); err == nil || time.Since(start) != handshakeTimeout {
			t.Fatalf("got %v after %v", err, time.Since(start))
		}
	})
}
