package inner

import (
	"context"
	"encoding/json"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/jsonrpc2"

	"dogwoodglade/core/event"
)

// Clock stamps outgoing messages and observes the stamps of incoming ones, so that the time line orders
// events across hosts whose clocks differ.
type Clock interface {
	Stamp() event.Stamp
	Observe(event.Stamp)
}

// Local is what a process brings to all its connections.
type Local struct {
	Identity Identity
	Clock    Clock
	Metrics  metrics.Registry
}

// Peer is a connection to another process after the handshake.
type Peer struct {
	Identity

	local   Local
	conn    *jsonrpc2.Conn
	codec   *frameCodec
	opened  chan struct{} // closed when conn is set; the library reads before it returns conn
	outbox  *queue
	methods methods

	mu     sync.Mutex // held while a notification is handled
	closed bool
	done   chan struct{}
}

type notification struct {
	method string
	params any
}

// envelope carries the sender's stamp with each message.
type envelope struct {
	Stamp   event.Stamp
	Message json.RawMessage
}

// method handles one kind of message. Notifications are handled in order, calls concurrently.
type method struct {
	isCall  bool
	handle  func(ctx context.Context, p *Peer, message json.RawMessage) (any, error)
	replied func(p *Peer) // called after the reply was written; may be nil

	unpack func(p *Peer, data []byte) error // handles a notification in an attachment, instead of handle
}

type methods map[string]method

func newPeer(conn net.Conn, local Local, handlers methods) *Peer {
	p := &Peer{
		local:   local,
		outbox:  newQueue(),
		methods: handlers,
		codec:   newFrameCodec(),
		opened:  make(chan struct{}),
		done:    make(chan struct{}),
	}
	stream := jsonrpc2.NewBufferedStream(conn, p.codec)
	p.conn = jsonrpc2.NewConn(context.Background(), stream, p, jsonrpc2.SetLogger(discard{}))
	close(p.opened)
	go p.send()
	go func() {
		<-p.conn.DisconnectNotify()
		p.Close()
	}()
	return p
}

// discard drops the library's log lines; failures reach the caller as typed errors.
type discard struct{}

func (discard) Printf(string, ...any) {}

// Close closes the connection. When it returns, no notification of the connection is being handled or will
// be handled.
func (p *Peer) Close() {
	_ = p.conn.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.closed = true
		close(p.done)
	}
}

// Done returns a channel that is closed when the connection is closed.
func (p *Peer) Done() <-chan struct{} { return p.done }

func (p *Peer) send() {
	for {
		select {
		case <-p.outbox.wake:
			items := p.outbox.take()
			for _, n := range combine(items) {
				if p.write(n) != nil {
					p.Close()
					return
				}
			}
			p.outbox.sent(len(items))
		case <-p.done:
			return
		}
	}
}

func (p *Peer) write(n notification) error {
	message, ok := n.params.(packed)
	if !ok {
		return p.conn.Notify(context.Background(), n.method, p.seal(n.params))
	}
	params, forget := p.codec.attach(message)
	defer forget()
	return p.conn.Notify(context.Background(), n.method, params)
}

// Flushed reports whether everything was written to the connection, or the connection is closed.
func (p *Peer) Flushed() bool {
	select {
	case <-p.done:
		return true
	default:
		return p.outbox.empty()
	}
}

// notify queues a notification. It reports whether the connection is open; the message may still be lost.
func (p *Peer) notify(name string, params any) bool {
	select {
	case <-p.done:
		return false
	default:
	}
	if !p.outbox.push(notification{method: name, params: params}) {
		go p.Close()
		return false
	}
	p.count("sent", name)
	return true
}

// call sends a request and waits for its result.
func (p *Peer) call(ctx context.Context, name string, params, result any) error {
	p.count("sent", name)
	var sealed envelope
	err := p.conn.Call(ctx, name, p.seal(params), &sealed)
	var remote *jsonrpc2.Error
	switch {
	case err == nil:
		p.local.Clock.Observe(sealed.Stamp)
		return errors.Wrapf(json.Unmarshal(sealed.Message, result), "decode the result of %s", name)
	case errors.As(err, &remote):
		return errors.WithStack(&RemoteError{Peer: p.Name, Method: name, Message: remote.Message})
	case ctx.Err() != nil:
		return errors.Wrapf(ctx.Err(), "call %s of %s", name, p.Name)
	default:
		return errors.WithStack(&UnreachableError{Peer: p.Name, Method: name})
	}
}

// sealed is an outgoing envelope. The message is encoded with the frame.
type sealed struct {
	Stamp   event.Stamp
	Message any
}

func (p *Peer) seal(message any) sealed {
	return sealed{Stamp: p.local.Clock.Stamp(), Message: message}
}

// Handle implements jsonrpc2.Handler.
func (p *Peer) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	<-p.opened
	m, ok := p.methods[request.Method]
	if !ok || m.isCall == request.Notif {
		p.refuse(ctx, conn, request, jsonrpc2.CodeMethodNotFound, "unknown method "+request.Method)
		return
	}
	p.count("received", request.Method)
	if m.unpack != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.closed {
			// One malformed message does not affect the others.
			_ = m.unpack(p, p.codec.received)
		}
		return
	}
	var e envelope
	if request.Params == nil || json.Unmarshal(*request.Params, &e) != nil {
		p.refuse(ctx, conn, request, jsonrpc2.CodeInvalidParams, "malformed envelope")
		return
	}
	p.local.Clock.Observe(e.Stamp)
	if m.isCall {
		go p.answer(ctx, conn, request, m, e.Message)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		_, _ = m.handle(ctx, p, e.Message)
	}
}

func (p *Peer) answer(
	ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request, m method, message json.RawMessage,
) {
	result, err := m.handle(ctx, p, message)
	if err != nil {
		p.refuse(ctx, conn, request, jsonrpc2.CodeInternalError, err.Error())
		return
	}
	if conn.Reply(ctx, request.ID, p.seal(result)) != nil {
		p.Close()
		return
	}
	if m.replied != nil {
		m.replied(p)
	}
}

func (p *Peer) refuse(
	ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request, code int64, message string,
) {
	if request.Notif {
		return
	}
	_ = conn.ReplyWithError(ctx, request.ID, &jsonrpc2.Error{Code: code, Message: message})
}

func (p *Peer) count(direction, name string) {
	metrics.GetOrRegisterCounter("Inner."+direction+"."+name, p.local.Metrics).Inc(1)
}
