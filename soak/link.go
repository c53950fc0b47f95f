package main

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// linkFault describes how a link misbehaves. The zero value means no fault.
type linkFault struct {
	Delay         time.Duration // of the data in each direction
	BlockForward  bool          // data to the target is held back
	BlockBackward bool          // data from the target is held back
}

// dialTimeout limits connecting to the target. It can be short, because the target is on the same host.
const dialTimeout = time.Second

// link is a TCP proxy in front of a process that can delay, block, blackhole or reset connections.
type link struct {
	address, target string
	running         sync.WaitGroup

	mu          sync.Mutex // guards what follows
	listener    net.Listener
	accepting   chan struct{} // closed when the listener accepts no more connections
	listening   bool
	random      *rand.Rand
	fault       linkFault
	changed     chan struct{} // closed when the fault changes
	connections map[*proxiedConnection]struct{}
	closed      bool
}

// proxiedConnection is a connection that the link accepted, with the one that it opened to the target for it.
type proxiedConnection struct {
	client, server net.Conn
	blackholed     bool
}

func newLink(address, target string, seed uint64) (*link, func(), error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "listen for link to %s", target)
	}
	l := &link{
		address: address, target: target, random: rand.New(rand.NewPCG(seed, 3)), changed: make(chan struct{}),
		connections: map[*proxiedConnection]struct{}{},
	}
	l.serve(listener)
	return l, func() {
		l.mu.Lock()
		_ = l.listener.Close()
		l.closed = true
		close(l.changed)
		for p := range l.connections {
			p.close()
		}
		l.mu.Unlock()
		l.running.Wait()
	}, nil
}

func (l *link) serve(listener net.Listener) {
	accepting := make(chan struct{})
	l.listener, l.accepting, l.listening = listener, accepting, true
	l.running.Go(func() {
		defer close(accepting)
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			l.running.Go(func() { l.forward(client) })
		}
	})
}

// listenRetries and listenRetryDelay bound how long an address may stay in use after its listener was closed. A process
// that is being started holds copies of all sockets until it executes its program.
const (
	listenRetries    = 50
	listenRetryDelay = 20 * time.Millisecond
)

func listenAgain(address string) (listener net.Listener, err error) {
	for range listenRetries {
		listener, err = net.Listen("tcp", address)
		if !errors.Is(err, syscall.EADDRINUSE) {
			return listener, err
		}
		time.Sleep(listenRetryDelay)
	}
	return nil, err
}

// SetListening stops or resumes listening. While the link does not listen, connections are refused, as by a host on
// which the target has ended. Open connections are closed.
func (l *link) SetListening(listening bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.listening == listening {
		return nil
	}
	if !listening {
		l.listening = false
		_ = l.listener.Close()
		<-l.accepting // the address is free when Accept has returned
		for p := range l.connections {
			if !p.blackholed {
				p.close()
			}
		}
		return nil
	}
	listener, err := listenAgain(l.address)
	if err != nil {
		return errors.Wrapf(err, "listen again for link to %s", l.target)
	}
	l.serve(listener)
	return nil
}

// SetFault replaces the fault of the link. It also applies to open connections.
func (l *link) SetFault(f linkFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.fault = f
	close(l.changed)
	l.changed = make(chan struct{})
}

// ResetConnections resets a share of the open connections.
func (l *link) ResetConnections(share float64) {
	l.forRandomConnections(share, func(p *proxiedConnection) {
		for _, c := range []net.Conn{p.client, p.server} {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
		}
		p.close()
	})
}

// BlackholeConnections permanently stops forwarding on a share of the open connections: neither data nor the closing of
// the connection reaches the other side. New connections are not affected.
func (l *link) BlackholeConnections(share float64) {
	l.forRandomConnections(share, func(p *proxiedConnection) { p.blackholed = true })
}

// forRandomConnections calls do for each open connection with the probability share.
func (l *link) forRandomConnections(share float64, do func(*proxiedConnection)) {
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
		_ = client.Close() // as if nothing listened on the port
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
	copying.Go(func() { l.copyData(p, server, client, func(f linkFault) bool { return f.BlockForward }) })
	copying.Go(func() { l.copyData(p, client, server, func(f linkFault) bool { return f.BlockBackward }) })
	copying.Wait()
	l.mu.Lock()
	delete(l.connections, p)
	l.mu.Unlock()
}

// copyData forwards data, and the closing or reset of the connection, subject to the fault of the link.
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
					_ = tcp.SetLinger(0) // forward a reset as a reset
				}
			}
			p.close()
			return
		}
	}
}

// awaitForwarding waits for the delay of the link, and for as long as the connection is blocked or blackholed. It
// reports false if the link was closed.
func (l *link) awaitForwarding(p *proxiedConnection, blocked func(linkFault) bool) bool {
	delayed := false
	for {
		l.mu.Lock()
		f, changed, closed, blackholed := l.fault, l.changed, l.closed, p.blackholed
		l.mu.Unlock()
		switch {
		case closed:
			return false
		case blackholed || blocked(f):
			<-changed
		case f.Delay > 0 && !delayed:
			delayed = true
			time.Sleep(f.Delay)
		default:
			return true
		}
	}
}
