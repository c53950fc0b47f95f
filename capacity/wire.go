package capacity

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"dogwoodglade/core/allocator"
	"dogwoodglade/core/event"
	"dogwoodglade/core/ownership"
	"dogwoodglade/core/shard"
	"dogwoodglade/core/table"
	"dogwoodglade/core/task"
	"dogwoodglade/io/inner"
)

// meter counts the bytes sent and received on connections.
type meter struct{ sent, received atomic.Int64 }

func (m *meter) total() int64 { return m.sent.Load() + m.received.Load() }

// dial returns a dial function whose connections are counted by the meter.
func (m *meter) dial(dial inner.DialFunc) inner.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &meteredConn{Conn: conn, meter: m}, nil
	}
}

type meteredConn struct {
	net.Conn
	meter *meter
}

func (c *meteredConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.meter.sent.Add(int64(n))
	return n, err
}

func (c *meteredConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.meter.received.Add(int64(n))
	return n, err
}

// peerPair is a loopback connection to an entry, dialled by an agent or another entry. Both ends send to handled
// after each notification that they have handled.
type peerPair struct {
	meter    meter
	dialler  *inner.Peer
	entry    *inner.Peer
	handled  chan struct{}
	records  []task.Record // in the agent's reply to a fence
	accepted chan *inner.Peer
	close    func()
}

// NotHandledError reports that the other end did not handle a message in time.
type NotHandledError struct{ Waited time.Duration }

// Error implements error.
func (e *NotHandledError) Error() string {
	return fmt.Sprintf("measure message: not handled within %v", e.Waited)
}

const messageTimeout = 30 * time.Second

func newPeerPair(role inner.Role) (*peerPair, error) {
	pair := &peerPair{handled: make(chan struct{}, 1<<16), accepted: make(chan *inner.Peer, 1)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	closeServer := inner.Serve(listener, newLocal(inner.RoleEntry, entryName), &entryHandler{pair: pair, accepting: true})
	var handler inner.Handler = &agentHandler{pair: pair}
	if role == inner.RoleEntry {
		handler = &entryHandler{pair: pair}
	}
	dial := pair.meter.dial((&net.Dialer{}).DialContext)
	address := listener.Addr().String()
	pair.dialler, err = inner.Dial(context.Background(), dial, address, newLocal(role, agentName), handler)
	if err != nil {
		closeServer()
		return nil, err
	}
	pair.entry = <-pair.accepted
	pair.close = func() {
		pair.dialler.Close()
		closeServer()
	}
	return pair, nil
}

func newLocal(role inner.Role, name string) inner.Local {
	return inner.Local{
		Identity: inner.Identity{
			Role: role, Name: name, Incarnation: entryIncarnation, Region: "vestland", DataCentre: "vestland-1",
			Rack: "rack-07", Address: "10.1.2.3:7300",
		},
		Clock:   event.NewRecorder(name, 1, time.Now),
		Metrics: metrics.NewRegistry(),
	}
}

// measureMessages sends a message several times and returns the bytes and the processor time of one message, as
// the sum of both ends.
func (pair *peerPair) measureMessages(times int, send func(i int)) (Cost, error) {
	before := pair.meter.total()
	var failed error
	cpu, err := measureCPU(func() {
		for i := range times {
			send(i)
		}
		timeout := time.NewTimer(messageTimeout)
		defer timeout.Stop()
		for range times {
			select {
			case <-pair.handled:
			case <-timeout.C:
				failed = &NotHandledError{Waited: messageTimeout}
				return
			}
		}
	})
	if failed != nil {
		return nil, failed
	}
	n := float64(times)
	return Cost{WireBytes: float64(pair.meter.total()-before) / n, CPUMicroseconds: cpu / n}, err
}

func (pair *peerPair) markHandled() { pair.handled <- struct{}{} }

// entryHandler handles messages to an entry. Methods that no measure uses are not implemented.
type entryHandler struct {
	inner.EntryHandler
	pair      *peerPair
	accepting bool
}

func (e *entryHandler) Connected(p *inner.Peer) {
	if e.accepting {
		e.pair.accepted <- p
	}
}
func (*entryHandler) Disconnected(*inner.Peer)                                  {}
func (e *entryHandler) RequestSlots(*inner.Peer, string, allocator.SlotRequest) { e.pair.markHandled() }

func (e *entryHandler) Grant(*inner.Peer, allocator.Grant) { e.pair.markHandled() }

func (e *entryHandler) ReleaseSlot(*inner.Peer, allocator.Release) { e.pair.markHandled() }

func (e *entryHandler) StartReply(*inner.Peer, task.AttemptID, task.Refusal) { e.pair.markHandled() }

func (e *entryHandler) Outcome(*inner.Peer, task.Record) { e.pair.markHandled() }

func (e *entryHandler) Heartbeat(*inner.Peer, []allocator.BackendServer) { e.pair.markHandled() }

func (e *entryHandler) Ping(*inner.Peer, ownership.Ping, table.Notification)          { e.pair.markHandled() }
func (e *entryHandler) PullTables(*inner.Peer, table.Versions) (a table.PullResponse) { return a }

// agentHandler handles messages to an agent.
type agentHandler struct {
	inner.AgentHandler
	pair *peerPair
}

func (*agentHandler) Connected(*inner.Peer)           {}
func (*agentHandler) Disconnected(*inner.Peer)        {}
func (a *agentHandler) Start(*inner.Peer, task.Start) { a.pair.markHandled() }
func (a *agentHandler) EntryHeartbeat(*inner.Peer)    { a.pair.markHandled() }

func (a *agentHandler) Fence(_ *inner.Peer, fences []shard.Fence) inner.FenceReply {
	return inner.FenceReply{Epochs: fences, Records: a.pair.records}
}
