// Package memnet is an in-memory network for tests on a paused clock, where real sockets do not work.
package memnet

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"sync"
)

// Network connects listeners and dialers by address.
type Network struct {
	mu        sync.Mutex
	nextPort  int
	listeners map[string]*listener
	cut       map[string]bool // addresses that cannot be dialled
}

// New returns a network without listeners.
func New() *Network {
	return &Network{nextPort: 10_000, listeners: map[string]*listener{}, cut: map[string]bool{}}
}

// RefusedError reports an address without a listener.
type RefusedError struct{ Address string }

// Error implements error.
func (e *RefusedError) Error() string { return fmt.Sprintf("dial %s: connection refused", e.Address) }

// Listen listens on the address. Port 0 gets a free port.
func (n *Network) Listen(address string) (net.Listener, error) {
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
	l := &listener{network: n, address: net.JoinHostPort(host, port), conns: make(chan net.Conn), done: make(chan struct{})}
	n.listeners[l.address] = l
	return l, nil
}

// Cut makes dials to the address fail, or work again.
func (n *Network) Cut(address string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[address] = cut
}

// Dial connects to the listener of the address.
func (n *Network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	cut := n.cut[address]
	n.mu.Unlock()
	refused := &net.OpError{Op: "dial", Net: "tcp", Err: &RefusedError{Address: address}}
	if l == nil || cut {
		return nil, refused
	}
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		return near, nil
	case <-l.done:
		return nil, refused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

type listener struct {
	network *Network
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
