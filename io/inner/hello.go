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

// Handler is notified when connections are opened and closed.
type Handler interface {
	// Connected is called after the handshake, before any other message of the peer is handled.
	Connected(p *Peer)
	// Disconnected is called once, after the connection has been closed.
	Disconnected(p *Peer)
}

// Dial connects to the process at the address and performs the handshake.
func Dial(ctx context.Context, dial DialFunc, address string, local Local, h Handler) (*Peer, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn, err := dial(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", address)
	}
	ready := make(chan struct{})
	p := newPeer(conn, local, true, waitForHandshake(ready, methodsOf(h)))
	var reply hello
	if err := p.call(ctx, methodHello, hello{Version: Version, Identity: local.Identity}, &reply); err != nil {
		p.Close()
		return nil, errors.Wrapf(err, "connect to %s", address)
	}
	if reply.Version != Version {
		p.Close()
		return nil, errors.WithStack(&VersionError{Peer: address, Got: reply.Version})
	}
	if local.isSelf(reply.Identity) {
		p.Close()
		return nil, errors.WithStack(&SelfError{Address: address})
	}
	p.Identity = reply.Identity
	announceConnected(p, h, ready)
	return p, nil
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// connectTimeout limits an attempt to connect, without the handshake. The round trip within a region takes a few
// milliseconds. TCP sends the first packet of a connection again only after a second, so an attempt that began before the
// other host was up would not notice for that long that it is.
const connectTimeout = 100 * time.Millisecond

// WithConnectTimeout returns a dial function that gives up early on a host that does not respond, for callers that try
// again.
func WithConnectTimeout(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, connectTimeout)
		defer cancel()
		return dial(ctx, network, address)
	}
}

// waitForHandshake wraps methods so that they wait until ready is closed, that is, until the peer is identified and
// Connected has been called.
func waitForHandshake(ready <-chan struct{}, handlers methods) methods {
	result := methods{}
	for name, m := range handlers {
		handle, handleAttachment := m.handle, m.handleAttachment
		if handleAttachment != nil {
			m.handleAttachment = func(p *Peer, data []byte) error {
				select {
				case <-ready:
					return handleAttachment(p, data)
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

func announceConnected(p *Peer, h Handler, ready chan struct{}) {
	h.Connected(p)
	close(ready)
	go func() {
		<-p.Done()
		h.Disconnected(p)
	}()
}

// Serve accepts connections until the listener is closed. The returned function closes the listener and all
// connections, and waits until they have ended.
func Serve(listener net.Listener, local Local, h Handler) (cleanUp func()) {
	local.Incoming = local.incoming()
	s := &server{local: local, handler: h, peers: map[*Peer]struct{}{}}
	s.pending.most = local.Incoming.limits.MaxPending
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
	pending pendingPeers

	mu     sync.Mutex
	closed bool
	peers  map[*Peer]struct{}
}

func (s *server) accept(conn net.Conn) {
	ready := make(chan struct{})
	handshakeDone := make(chan struct{})
	var helloOnce, repliedOnce sync.Once
	handlers := waitForHandshake(ready, methodsOf(s.handler))
	accepted := false
	handlers[methodHello] = method{
		isCall: true,
		handle: func(_ context.Context, p *Peer, message json.RawMessage) (any, error) {
			var err error
			helloOnce.Do(func() { accepted, err = s.handleHello(p, message) })
			return hello{Version: Version, Identity: s.local.Identity}, err
		},
		// The dialler handles no message before the Hello reply, so nothing may be sent before that reply is written.
		onReplied: func(p *Peer) {
			if !accepted {
				return
			}
			repliedOnce.Do(func() {
				close(handshakeDone)
				announceConnected(p, s.handler, ready)
			})
		},
	}
	p := newPeer(conn, s.local, false, handlers)
	s.pending.add(p)
	s.mu.Lock()
	s.peers[p] = struct{}{}
	closed := s.closed
	s.mu.Unlock()
	if closed {
		p.Close()
	}
	s.running.Go(func() { s.watch(p, handshakeDone) })
}

// handleHello validates a dialler's Hello. A dialler with another protocol version, or this process itself, is not
// accepted, but gets an ordinary reply, so that it can report the reason.
func (s *server) handleHello(p *Peer, message json.RawMessage) (accepted bool, err error) {
	var h hello
	if err := json.Unmarshal(message, &h); err != nil || h.Identity.Name == "" || h.Identity.Incarnation == "" {
		return false, errors.WithStack(&HandshakeError{Peer: "dialler", Want: "a Hello with name and incarnation"})
	}
	p.Identity = h.Identity
	accepted = h.Version == Version && !s.local.isSelf(h.Identity)
	p.codec.identified.Store(accepted)
	return accepted, nil
}

// watch closes the connection if no Hello is accepted within handshakeTimeout, and removes it from the peers once it is
// closed.
func (s *server) watch(p *Peer, handshakeDone <-chan struct{}) {
	timeout := time.NewTimer(handshakeTimeout)
	defer timeout.Stop()
	select {
	case <-handshakeDone:
	case <-timeout.C:
		p.Close()
	case <-p.Done():
	}
	s.pending.remove(p)
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
