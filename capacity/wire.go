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

// meter counts the bytes of connections in both directions.
type meter struct{ sent, received atomic.Int64 }

func (m *meter) total() int64 { return m.sent.Load() + m.received.Load() }

// dial returns a dialler whose connections the meter counts.
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

// link is a connection over loopback, dialled by an agent or an entry to an entry. Its ends count the
// notifications they handle.
type link struct {
	meter    meter
	dialler  *inner.Peer
	entry    *inner.Peer
	handled  chan struct{}
	records  []task.Record // of the agent's answer to a fence
	accepted chan *inner.Peer
	close    func()
}

// LinkError reports a link whose other end did not handle a message.
type LinkError struct{ Waited time.Duration }

// Error implements error.
func (e *LinkError) Error() string {
	return fmt.Sprintf("measure message: not handled within %v", e.Waited)
}

const linkTimeout = 30 * time.Second

func newLink(role inner.Role) (*link, error) {
	l := &link{handled: make(chan struct{}, 1<<16), accepted: make(chan *inner.Peer, 1)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	closeServer := inner.Serve(listener, localOf(inner.RoleEntry, entryName), &entryEnd{link: l, server: true})
	var handler inner.Handler = &agentEnd{link: l}
	if role == inner.RoleEntry {
		handler = &entryEnd{link: l}
	}
	dial := l.meter.dial((&net.Dialer{}).DialContext)
	l.dialler, err = inner.Dial(context.Background(), dial, listener.Addr().String(), localOf(role, agentName), handler)
	if err != nil {
		closeServer()
		return nil, err
	}
	l.entry = <-l.accepted
	l.close = func() {
		l.dialler.Close()
		closeServer()
	}
	return l, nil
}

func localOf(role inner.Role, name string) inner.Local {
	return inner.Local{
		Identity: inner.Identity{
			Role: role, Name: name, Incarnation: incarnationText, Region: "vestland", DataCentre: "vestland-1",
			Rack: "rack-07", Address: "10.1.2.3:7300",
		},
		Clock:   event.NewRecorder(name, 1, time.Now),
		Metrics: metrics.NewRegistry(),
	}
}

// send sends a message several times and returns the bytes and the processor time of one, at both ends.
func (l *link) send(times int, send func(i int)) (Cost, error) {
	before := l.meter.total()
	var failed error
	cpu, err := cpuOf(func() {
		for i := range times {
			send(i)
		}
		timeout := time.NewTimer(linkTimeout)
		defer timeout.Stop()
		for range times {
			select {
			case <-l.handled:
			case <-timeout.C:
				failed = &LinkError{Waited: linkTimeout}
				return
			}
		}
	})
	if failed != nil {
		return nil, failed
	}
	n := float64(times)
	return Cost{WireBytes: float64(l.meter.total()-before) / n, CPUMicroseconds: cpu / n}, err
}

func (l *link) note() { l.handled <- struct{}{} }

// entryEnd handles the messages for an entry. Methods that no measure uses are absent.
type entryEnd struct {
	inner.EntryHandler
	link   *link
	server bool
}

func (e *entryEnd) Connected(p *inner.Peer) {
	if e.server {
		e.link.accepted <- p
	}
}
func (*entryEnd) Disconnected(*inner.Peer)                                        {}
func (e *entryEnd) RequestSlots(*inner.Peer, string, allocator.SlotRequest)       { e.link.note() }
func (e *entryEnd) Grant(*inner.Peer, allocator.Grant)                            { e.link.note() }
func (e *entryEnd) ReleaseSlot(*inner.Peer, allocator.Release)                    { e.link.note() }
func (e *entryEnd) StartReply(*inner.Peer, task.AttemptID, task.Refusal)          { e.link.note() }
func (e *entryEnd) Outcome(*inner.Peer, task.Record)                              { e.link.note() }
func (e *entryEnd) Heartbeat(*inner.Peer, []allocator.BackendServer)              { e.link.note() }
func (e *entryEnd) Ping(*inner.Peer, ownership.Ping, table.Notification)          { e.link.note() }
func (e *entryEnd) PullTables(*inner.Peer, table.Versions) (a table.PullResponse) { return a }

// agentEnd handles the messages for an agent.
type agentEnd struct {
	inner.AgentHandler
	link *link
}

func (*agentEnd) Connected(*inner.Peer)           {}
func (*agentEnd) Disconnected(*inner.Peer)        {}
func (a *agentEnd) Start(*inner.Peer, task.Start) { a.link.note() }
func (a *agentEnd) EntryHeartbeat(*inner.Peer)    { a.link.note() }

func (a *agentEnd) Fence(_ *inner.Peer, fences []shard.Fence) inner.FenceReply {
	return inner.FenceReply{Epochs: fences, Records: a.link.records}
}
