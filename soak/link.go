package main

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// linkFault is how a link misbehaves. The zero value is a sound link.
type linkFault struct {
	Delay         time.Duration // of what passes, each way
	BlockForward  bool          // nothing passes towards the target
	BlockBackward bool          // nothing passes back
}

// dialTimeout bounds how long a link waits for its target, which is on the same host.
const dialTimeout = time.Second

// link forwards the connections to a process, and delays, holds up, silences or resets them.
type link struct {
	target   string
	listener net.Listener

	mu          sync.Mutex // guards what follows
	random      *rand.Rand
	fault       linkFault
	changed     chan struct{} // closed when the rule changes
	connections map[*proxiedConnection]struct{}
	closed      bool
}

// proxiedConnection is a connection to the link and the one that it opened for it.
type proxiedConnection struct {
	client, server net.Conn
	blackholed     bool
}

func newLink(address, target string, seed uint64) (*link, func(), error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "link to %s", target)
	}
	l := &link{
		target: target, listener: listener, random: rand.New(rand.NewPCG(seed, 3)), changed: make(chan struct{}),
		connections: map[*proxiedConnection]struct{}{},
	}
	var running sync.WaitGroup
	running.Go(func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			running.Go(func() { l.forward(client) })
		}
	})
	return l, func() {
		_ = listener.Close()
		l.mu.Lock()
		l.closed = true
		close(l.changed)
		for p := range l.connections {
			p.close()
		}
		l.mu.Unlock()
		running.Wait()
	}, nil
}

// SetFault makes the link misbehave from now on, also for open connections.
func (l *link) SetFault(r linkFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.fault = r
	close(l.changed)
	l.changed = make(chan struct{})
}

// ResetConnections resets a share of the open connections.
func (l *link) ResetConnections(share float64) {
	l.forShare(share, func(p *proxiedConnection) {
		for _, c := range []net.Conn{p.client, p.server} {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
		}
		p.close()
	})
}

// BlackholeConnections lets nothing pass on a share of the open connections any more, not even their end. New ones work.
func (l *link) BlackholeConnections(share float64) {
	l.forShare(share, func(p *proxiedConnection) { p.blackholed = true })
}

func (l *link) forShare(share float64, do func(*proxiedConnection)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.connections {
		if l.random.Float64() < share {
			do(p)
		}
	}
}

func (p *proxiedConnection) close() {
	_ = p.client.Close()
	_ = p.server.Close()
}

func (l *link) forward(client net.Conn) {
	server, err := net.DialTimeout("tcp", l.target, dialTimeout)
	if err != nil {
		_ = client.Close() // as a port without a listener
		return
	}
	p := &proxiedConnection{client: client, server: server}
	l.mu.Lock()
	l.connections[p] = struct{}{}
	closed := l.closed
	l.mu.Unlock()
	if closed {
		p.close()
	}
	var copying sync.WaitGroup
	copying.Go(func() { l.copyData(p, server, client, func(r linkFault) bool { return r.BlockForward }) })
	copying.Go(func() { l.copyData(p, client, server, func(r linkFault) bool { return r.BlockBackward }) })
	copying.Wait()
	l.mu.Lock()
	delete(l.connections, p)
	l.mu.Unlock()
}

// copyData passes on what is read, and the end of the connection, unless the link holds it up.
func (l *link) copyData(p *proxiedConnection, to, from net.Conn, blocked func(linkFault) bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if !l.awaitForwarding(p, blocked) {
			return
		}
		if _, failed := to.Write(buffer[:n]); failed != nil || err != nil {
			if err != nil && !errors.Is(err, io.EOF) {
				if tcp, ok := to.(*net.TCPConn); ok {
					_ = tcp.SetLinger(0) // a reset is passed on as one
				}
			}
			p.close()
			return
		}
	}
}

// awaitForwarding delays what passes, and holds it up while the link is blocked. It reports false when the link is closed.
func (l *link) awaitForwarding(p *proxiedConnection, blocked func(linkFault) bool) bool {
	delayed := false
	for {
		l.mu.Lock()
		r, changed, closed, silent := l.fault, l.changed, l.closed, p.blackholed
		l.mu.Unlock()
		switch {
		case closed:
			return false
		case silent || blocked(r):
			<-changed
		case r.Delay > 0 && !delayed:
			delayed = true
			time.Sleep(r.Delay)
		default:
			return true
		}
	}
}
