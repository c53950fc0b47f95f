// Package memnet is an in-memory network for tests on the fake clock of testing/synctest, which does not advance while
// a goroutine waits for a real socket.
//
// It connects hosts by address. A link between two hosts can be cut, which closes its connections, or stalled, which
// holds data back until the link is restored, as if a process were paused.
package memnet

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"
)

// Network is a set of hosts that can connect to each other.
type Network struct {
	mu        sync.Mutex
	nextPort  int
	listeners map[string]*listener
	links     map[hostPair]*link
	conns     map[*conn]struct{}
}

// hostPair is an unordered pair of host names.
type hostPair struct{ a, b string }

func newHostPair(a, b string) hostPair {
	if a > b {
		a, b = b, a
	}
	return hostPair{a, b}
}

// link is the state of the network between two hosts.
type link struct {
	cut     bool
	stalled chan struct{} // closed when the stall ends; nil while the link is not stalled
}

// New returns a network without hosts.
func New() *Network {
	return &Network{
		nextPort:  10_000,
		listeners: map[string]*listener{},
		links:     map[hostPair]*link{},
		conns:     map[*conn]struct{}{},
	}
}

// ConnectionRefusedError reports an address without a listener, or one behind a link that is cut.
type ConnectionRefusedError struct{ Address string }

// Error implements error.
func (e *ConnectionRefusedError) Error() string {
	return fmt.Sprintf("dial %s: connection refused", e.Address)
}

// Host opens listeners and connections of one host.
type Host struct {
	network *Network
	name    string
}

// Host returns the host with the name. Hosts need not be created beforehand.
func (n *Network) Host(name string) *Host { return &Host{network: n, name: name} }

// Listen listens on the address. Port 0 stands for a free port.
func (h *Host) Listen(address string) (net.Listener, error) {
	n := h.network
	n.mu.Lock()
	defer n.mu.Unlock()
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	if port == "0" {
		n.nextPort++
		port = strconv.Itoa(n.nextPort)
	}
	l := &listener{
		network: n, host: h.name, address: net.JoinHostPort(host, port),
		conns: make(chan net.Conn), done: make(chan struct{}),
	}
	n.listeners[l.address] = l
	return l, nil
}

// Dial connects to the listener of the address.
func (h *Host) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n := h.network
	n.mu.Lock()
	l := n.listeners[address]
	refused := &net.OpError{Op: "dial", Net: "tcp", Err: &ConnectionRefusedError{Address: address}}
	if l == nil || n.link(h.name, l.host).cut {
		n.mu.Unlock()
		return nil, refused
	}
	dialEnd, acceptEnd := net.Pipe()
	dialConn, acceptConn := n.newConn(dialEnd, acceptEnd, h.name, l.host), n.newConn(acceptEnd, dialEnd, h.name, l.host)
	n.mu.Unlock()
	select {
	case l.conns <- acceptConn:
		return dialConn, nil
	case <-l.done:
		_ = dialConn.Close()
		_ = acceptConn.Close()
		return nil, refused
	case <-ctx.Done():
		_ = dialConn.Close()
		_ = acceptConn.Close()
		return nil, ctx.Err()
	}
}

func (n *Network) link(a, b string) *link {
	p := newHostPair(a, b)
	l := n.links[p]
	if l == nil {
		l = &link{}
		n.links[p] = l
	}
	return l
}

// SetCut closes all connections between two hosts and refuses new ones, or restores the link if cut is false.
func (n *Network) SetCut(a, b string, cut bool) {
	n.mu.Lock()
	n.link(a, b).cut = cut
	n.mu.Unlock()
	if cut {
		n.abort(func(c *conn) bool { return c.hosts == newHostPair(a, b) })
	}
}

// Reset closes the connections that one host opened to another one. Data that was not delivered is lost.
func (n *Network) Reset(dialler, listener string) {
	n.abort(func(c *conn) bool { return c.dialler == dialler && c.hosts == newHostPair(dialler, listener) })
}

func (n *Network) abort(matches func(c *conn) bool) {
	n.mu.Lock()
	var matching []*conn
	for c := range n.conns {
		if matches(c) {
			matching = append(matching, c)
		}
	}
	n.mu.Unlock()
	for _, c := range matching {
		c.abort()
	}
}

// SetStalled holds back all data that is sent between two hosts, or delivers it if stalled is false.
func (n *Network) SetStalled(a, b string, stalled bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.link(a, b)
	switch {
	case stalled && l.stalled == nil:
		l.stalled = make(chan struct{})
	case !stalled && l.stalled != nil:
		close(l.stalled)
		l.stalled = nil
	}
}

// Silence discards all data on the open connections that one host dialled to another one, which stay open. New
// connections work.
func (n *Network) Silence(dialler, listener string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.dialler == dialler && c.hosts == newHostPair(dialler, listener) {
			c.mu.Lock()
			c.silent = true
			c.mu.Unlock()
		}
	}
}

// Fault is what happens to an open connection.
type Fault int

// Faults of a connection.
const (
	NoFault Fault = iota
	ResetFault
	SilenceFault // of the direction from the end that the fault is chosen for
)

// Disturb chooses a fault for each end of each open connection.
func (n *Network) Disturb(choose func(dialler, other string) Fault) {
	n.mu.Lock()
	var resets []*conn
	for c := range n.conns {
		other := c.hosts.a
		if other == c.dialler {
			other = c.hosts.b
		}
		switch choose(c.dialler, other) {
		case NoFault:
		case ResetFault:
			resets = append(resets, c)
		case SilenceFault:
			c.mu.Lock()
			c.silent = true
			c.mu.Unlock()
		}
	}
	n.mu.Unlock()
	for _, c := range resets {
		c.abort()
	}
}

// conn is one end of a connection. Writes go to a buffer, as with sockets, so that a writer that holds locks does not
// block while the link is stalled.
type conn struct {
	net.Conn
	other   net.Conn // the other end of the pipe
	network *Network
	hosts   hostPair
	dialler string        // host that opened the connection
	done    chan struct{} // closed by Close
	pending chan struct{} // has an element if there is data to send or the connection is to be closed

	mu     sync.Mutex
	buffer []byte
	closed bool
	silent bool // data and the end of the connection do not reach the other end
}

func (n *Network) newConn(c, other net.Conn, dialler, listener string) *conn {
	wrapped := &conn{
		Conn: c, other: other, network: n, hosts: newHostPair(dialler, listener), dialler: dialler,
		done: make(chan struct{}), pending: make(chan struct{}, 1),
	}
	n.conns[wrapped] = struct{}{}
	go wrapped.send()
	return wrapped
}

// Write implements net.Conn.
func (c *conn) Write(data []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	if c.silent {
		return len(data), nil
	}
	c.buffer = append(c.buffer, data...)
	c.wakeSender()
	return len(data), nil
}

func (c *conn) wakeSender() {
	select {
	case c.pending <- struct{}{}:
	default:
	}
}

// send delivers the written data. After Close, it closes the pipe once everything was delivered.
func (c *conn) send() {
	for range c.pending {
		c.mu.Lock()
		data, closed, silent := c.buffer, c.closed, c.silent
		c.buffer = nil
		c.mu.Unlock()
		if len(data) > 0 && c.awaitLink() {
			_, _ = c.Conn.Write(data)
		}
		if closed {
			if !silent {
				_ = c.Conn.Close()
			}
			return
		}
	}
}

// awaitLink waits while the link is stalled. It reports false if the connection was closed meanwhile.
func (c *conn) awaitLink() bool {
	for {
		c.network.mu.Lock()
		stalled := c.network.link(c.hosts.a, c.hosts.b).stalled
		c.network.mu.Unlock()
		if stalled == nil {
			return true
		}
		select {
		case <-stalled:
		case <-c.done:
			return false
		}
	}
}

// Close implements net.Conn. Data that the other end has not sent yet is discarded, so that its sender does not wait
// for a reader that is gone.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	c.closed = true
	close(c.done)
	c.wakeSender()
	_ = c.SetReadDeadline(time.Unix(1, 0))
	_ = c.other.SetWriteDeadline(time.Unix(1, 0))
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	delete(c.network.conns, c)
	return nil
}

// abort closes the connection without delivering buffered data.
func (c *conn) abort() {
	_ = c.Conn.Close()
	_ = c.Close()
}

type listener struct {
	network *Network
	host    string
	address string
	conns   chan net.Conn
	once    sync.Once
	done    chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, l.address)
	})
	return nil
}

type address string

func (address) Network() string  { return "tcp" }
func (a address) String() string { return string(a) }

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return address(l.address) }
