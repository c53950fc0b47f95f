package inner

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const methodHello = "Hello"

type hello struct {
	Version  int
	Identity Identity
}

// Handler receives the events of connections.
type Handler interface {
	// Connected is called when the handshake is done, before any other message of the peer is handled.
	Connected(p *Peer)
	// Disconnected is called once after the connection was closed.
	Disconnected(p *Peer)
}

// Dial connects to the process at the address and introduces the local process.
func Dial(ctx context.Context, dial DialFunc, address string, local Local, h Handler) (*Peer, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn, err := dial(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", address)
	}
	ready := make(chan struct{})
	p := newPeer(conn, local, gated(ready, methodsOf(h)))
	var reply hello
	if err := p.call(ctx, methodHello, hello{Version: Version, Identity: local.Identity}, &reply); err != nil {
		p.Close()
		return nil, errors.Wrapf(err, "connect to %s", address)
	}
	if reply.Version != Version {
		p.Close()
		return nil, errors.WithStack(&VersionError{Peer: address, Got: reply.Version})
	}
	p.Identity = reply.Identity
	connected(p, h, ready)
	return p, nil
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// gated delays messages until the handshake is done, so that a handler never sees an unknown peer.
func gated(ready <-chan struct{}, handlers methods) methods {
	result := methods{}
	for name, m := range handlers {
		handle, unpack := m.handle, m.unpack
		if unpack != nil {
			m.unpack = func(p *Peer, data []byte) error {
				select {
				case <-ready:
					return unpack(p, data)
				case <-p.conn.DisconnectNotify():
					return errors.WithStack(&UnreachableError{Peer: p.Name})
				}
			}
		}
		m.handle = func(ctx context.Context, p *Peer, message json.RawMessage) (any, error) {
			select {
			case <-ready:
				return handle(ctx, p, message)
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		result[name] = m
	}
	return result
}

func connected(p *Peer, h Handler, ready chan struct{}) {
	h.Connected(p)
	close(ready)
	go func() {
		<-p.Done()
		h.Disconnected(p)
	}()
}

// Serve accepts connections until the listener is closed. The returned function closes the listener and all
// connections, and waits for them.
func Serve(listener net.Listener, local Local, h Handler) (cleanUp func()) {
	s := &server{local: local, handler: h, peers: map[*Peer]struct{}{}}
	s.running.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.accept(conn)
		}
	})
	return func() {
		_ = listener.Close()
		s.closeAll()
		s.running.Wait()
	}
}

type server struct {
	local   Local
	handler Handler
	running sync.WaitGroup

	mu     sync.Mutex
	closed bool
	peers  map[*Peer]struct{}
}

func (s *server) accept(conn net.Conn) {
	ready := make(chan struct{})
	greeted := make(chan struct{})
	var once, started sync.Once
	handlers := gated(ready, methodsOf(s.handler))
	accepted := false
	handlers[methodHello] = method{
		isCall: true,
		handle: func(_ context.Context, p *Peer, message json.RawMessage) (any, error) {
			var err error
			once.Do(func() { accepted, err = s.greet(p, message) })
			return hello{Version: Version, Identity: s.local.Identity}, err
		},
		// The dialler handles no message before the reply, so nothing may be sent ahead of it.
		replied: func(p *Peer) {
			started.Do(func() {
				close(greeted)
				if accepted {
					connected(p, s.handler, ready)
				}
			})
		},
	}
	p := newPeer(conn, s.local, handlers)
	s.mu.Lock()
	s.peers[p] = struct{}{}
	closed := s.closed
	s.mu.Unlock()
	if closed {
		p.Close()
	}
	s.running.Go(func() { s.watch(p, greeted) })
}

// greet checks the first message of a dialler. A dialler of another version gets this process's version in
// an ordinary reply, so that it can report the mismatch.
func (s *server) greet(p *Peer, message json.RawMessage) (accepted bool, err error) {
	var h hello
	if err := json.Unmarshal(message, &h); err != nil || h.Identity.Name == "" || h.Identity.Incarnation == "" {
		return false, errors.WithStack(&HandshakeError{Peer: "dialler", Want: "a Hello with name and incarnation"})
	}
	p.Identity = h.Identity
	return h.Version == Version, nil
}

// watch closes connections that send no valid Hello in time, and forgets closed ones.
func (s *server) watch(p *Peer, greeted <-chan struct{}) {
	timeout := time.NewTimer(handshakeTimeout)
	defer timeout.Stop()
	select {
	case <-greeted:
	case <-timeout.C:
		p.Close()
	case <-p.Done():
	}
	<-p.Done()
	s.mu.Lock()
	delete(s.peers, p)
	s.mu.Unlock()
}

func (s *server) closeAll() {
	s.mu.Lock()
	s.closed = true
	peers := make([]*Peer, 0, len(s.peers))
	for p := range s.peers {
		peers = append(peers, p)
	}
	s.mu.Unlock()
	for _, p := range peers {
		p.Close()
	}
}
