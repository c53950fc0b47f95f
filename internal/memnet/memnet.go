// Package memnet is an in-memory network for tests on a paused clock, where real sockets do not work.
//
// It connects hosts by address. Links between hosts can be cut, which breaks their connections, or stalled,
// which holds messages back until the link works again, as for a paused process.
package memnet

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"
)

// Network connects hosts.
type Network struct {
	mu        sync.Mutex
	nextPort  int
	listeners map[string]*listener
	links     map[pair]*link
	conns     map[*conn]struct{}
}

// pair is an unordered pair of hosts.
type pair struct{ a, b string }

func pairOf(a, b string) pair {
	if a > b {
		a, b = b, a
	}
	return pair{a, b}
}

// link is the state of the connections between two hosts.
type link struct {
	cut     bool
	stalled chan struct{} // closed when the link works again; nil while it works
}

// New returns a network without hosts.
func New() *Network {
	return &Network{
		nextPort:  10_000,
		listeners: map[string]*listener{},
		links:     map[pair]*link{},
		conns:     map[*conn]struct{}{},
	}
}

// RefusedError reports an address that cannot be reached.
type RefusedError struct{ Address string }

// Error implements error.
func (e *RefusedError) Error() string { return fmt.Sprintf("dial %s: connection refused", e.Address) }

// Host is the network as one host sees it.
type Host struct {
	network *Network
	name    string
}

// Host returns the host with the name.
func (n *Network) Host(name string) *Host { return &Host{network: n, name: name} }

// Listen listens on the address. Port 0 gets a free port.
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
	refused := &net.OpError{Op: "dial", Net: "tcp", Err: &RefusedError{Address: address}}
	if l == nil || n.link(h.name, l.host).cut {
		n.mu.Unlock()
		return nil, refused
	}
	near, far := net.Pipe()
	dialled, accepted := n.newConn(near, h.name, l.host), n.newConn(far, h.name, l.host)
	n.mu.Unlock()
	select {
	case l.conns <- accepted:
		return dialled, nil
	case <-l.done:
		_ = dialled.Close()
		_ = accepted.Close()
		return nil, refused
	case <-ctx.Done():
		_ = dialled.Close()
		_ = accepted.Close()
		return nil, ctx.Err()
	}
}

func (n *Network) link(a, b string) *link {
	p := pairOf(a, b)
	l := n.links[p]
	if l == nil {
		l = &link{}
		n.links[p] = l
	}
	return l
}

// Cut breaks all connections between two hosts and refuses new ones, or heals the link.
func (n *Network) Cut(a, b string, cut bool) {
	n.mu.Lock()
	n.link(a, b).cut = cut
	var broken []*conn
	for c := range n.conns {
		if cut && c.hosts == pairOf(a, b) {
			broken = append(broken, c)
		}
	}
	n.mu.Unlock()
	for _, c := range broken {
		c.breakOff()
	}
}

// Stall holds back everything that is sent between two hosts, or lets it arrive.
func (n *Network) Stall(a, b string, stalled bool) {
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

// conn is one end of a connection. Writes go to a buffer, as they do with sockets, so that a writer does not
// hold its locks while the link is stalled.
type conn struct {
	net.Conn
	network *Network
	hosts   pair
	done    chan struct{} // closed by Close
	wake    chan struct{} // has an element if there is something to send or to close

	mu     sync.Mutex
	buffer []byte
	closed bool
}

func (n *Network) newConn(c net.Conn, a, b string) *conn {
	wrapped := &conn{
		Conn: c, network: n, hosts: pairOf(a, b), done: make(chan struct{}), wake: make(chan struct{}, 1),
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
	c.buffer = append(c.buffer, data...)
	c.signal()
	return len(data), nil
}

func (c *conn) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// send delivers what was written, and closes the connection when all of it was delivered.
func (c *conn) send() {
	for range c.wake {
		c.mu.Lock()
		data, closed := c.buffer, c.closed
		c.buffer = nil
		c.mu.Unlock()
		if len(data) > 0 && c.linkWorks() {
			_, _ = c.Conn.Write(data)
		}
		if closed {
			_ = c.Conn.Close()
			return
		}
	}
}

// linkWorks waits while the link is stalled. It reports false if the connection was closed meanwhile.
func (c *conn) linkWorks() bool {
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

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	c.closed = true
	close(c.done)
	c.signal()
	_ = c.SetReadDeadline(time.Unix(1, 0))
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	delete(c.network.conns, c)
	return nil
}

// breakOff closes the connection without delivering what was written.
func (c *conn) breakOff() {
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
