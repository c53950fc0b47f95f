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

// Clock stamps outgoing messages and observes the stamps of incoming ones, so that the event timeline has the right
// order across hosts whose clocks differ.
type Clock interface {
	Stamp() event.Stamp
	Observe(event.Stamp)
}

// Local is the state of the local process that all of its connections share.
type Local struct {
	Identity Identity
	Clock    Clock
	Metrics  metrics.Registry
	// Incoming is shared by all connections of the process. Without it, each connection and each listener has one of its
	// own with the default limits.
	Incoming *Incoming
}

// incoming returns the memory of a new connection or listener.
func (l Local) incoming() *Incoming {
	if l.Incoming == nil {
		return NewIncoming(IncomingLimits{})
	}
	return l.Incoming
}

// isSelf reports whether an identity is that of the local process.
func (l Local) isSelf(other Identity) bool {
	return other.Role == l.Identity.Role && other.Name == l.Identity.Name && other.Incarnation == l.Identity.Incarnation
}

// Peer is a connection to another process. Its Identity is set by the handshake.
type Peer struct {
	Identity

	local   Local
	conn    *jsonrpc2.Conn
	codec   *frameCodec
	connSet chan struct{} // closed once conn is set; the library may call Handle before NewConn returns
	outbox  *queue
	methods methods
	replies *largeReplies

	decoding sync.Mutex // held while a submission is decoded

	mu     sync.Mutex // held while a notification is handled; guards closed
	closed bool
	done   chan struct{}
}

type notification struct {
	method string
	params any
}

// envelope is an incoming message with the sender's stamp.
type envelope struct {
	Stamp   event.Stamp
	Message json.RawMessage
}

// method handles one kind of message. Notifications are handled in order, calls concurrently.
type method struct {
	isCall       bool
	isJobRequest bool // refused if the memory for job requests is used up
	isSubmission bool // its reply is sent in any case; the results of others can be looked up again
	handle       func(ctx context.Context, p *Peer, message json.RawMessage) (any, error)
	onReplied    func(p *Peer) // called after the reply has been written; may be nil

	// handleAttachment handles a notification sent as an attachment. If it is set, handle is not called.
	handleAttachment func(p *Peer, data []byte) error
}

type methods map[string]method

// codeBusy is the code of the error reply to a job request that was refused for lack of memory.
const codeBusy = -32001

// newPeer returns a connection. On one that this process opened, identified is set, because it chose the other process.
func newPeer(conn net.Conn, local Local, identified bool, handlers methods) *Peer {
	p := &Peer{
		local:   local,
		outbox:  newQueue(),
		methods: handlers,
		replies: newLargeReplies(),
		codec:   newFrameCodec(local.incoming(), func() { _ = conn.Close() }),
		connSet: make(chan struct{}),
		done:    make(chan struct{}),
	}
	p.codec.identified.Store(identified)
	stream := jsonrpc2.NewBufferedStream(conn, p.codec)
	p.conn = jsonrpc2.NewConn(context.Background(), stream, p, jsonrpc2.SetLogger(discardLogger{}))
	close(p.connSet)
	go p.sendQueued()
	go func() {
		<-p.conn.DisconnectNotify()
		p.Close()
	}()
	return p
}

// discardLogger discards the library's log lines; callers get failures as typed errors.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// Close closes the connection and waits for a notification that is being handled. After it returns, no further
// notification of the connection is handled.
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

func (p *Peer) sendQueued() {
	for {
		select {
		case <-p.outbox.wake:
			items := p.outbox.takeAll()
			for _, n := range combine(items) {
				if p.writeNotification(n) != nil {
					p.Close()
					return
				}
			}
			p.outbox.markSent(len(items))
		case <-p.done:
			return
		}
	}
}

func (p *Peer) writeNotification(n notification) error {
	message, ok := n.params.(cborMessage)
	if !ok {
		return p.conn.Notify(context.Background(), n.method, p.newEnvelope(n.params))
	}
	params, detach := p.codec.attach(message)
	defer detach()
	return p.conn.Notify(context.Background(), n.method, params)
}

// Flushed reports whether all queued notifications have been written, or the connection is closed.
func (p *Peer) Flushed() bool {
	select {
	case <-p.done:
		return true
	default:
		return p.outbox.empty()
	}
}

// notify queues a notification. It returns false if the connection is closed or the queue is full; a full queue also
// closes the connection. A queued notification may still be lost.
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
	p.countMessage("sent", name)
	return true
}

// call sends a request and waits for its result.
func (p *Peer) call(ctx context.Context, name string, params, result any) error {
	p.countMessage("sent", name)
	var reply envelope
	err := p.conn.Call(ctx, name, p.newEnvelope(params), &reply)
	var remote *jsonrpc2.Error
	switch {
	case err == nil:
		p.local.Clock.Observe(reply.Stamp)
		return errors.Wrapf(json.Unmarshal(reply.Message, result), "decode the result of %s", name)
	case errors.As(err, &remote) && remote.Code == codeBusy:
		return errors.WithStack(&BusyError{Peer: p.Name})
	case errors.As(err, &remote):
		return errors.WithStack(&RemoteError{Peer: p.Name, Method: name, Message: remote.Message})
	case ctx.Err() != nil:
		return errors.Wrapf(ctx.Err(), "call %s of %s", name, p.Name)
	default:
		return errors.WithStack(&UnreachableError{Peer: p.Name, Method: name})
	}
}

// outgoingEnvelope is the envelope of an outgoing message. The message is encoded together with the frame.
type outgoingEnvelope struct {
	Stamp   event.Stamp
	Message any
}

func (p *Peer) newEnvelope(message any) outgoingEnvelope {
	return outgoingEnvelope{Stamp: p.local.Clock.Stamp(), Message: message}
}

// Handle implements jsonrpc2.Handler.
func (p *Peer) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	<-p.connSet
	if !p.codec.identified.Load() && request.Method != methodHello {
		// Waiting for the handshake with each message would let anybody fill the memory.
		_ = p.conn.Close()
		return
	}
	m, ok := p.methods[request.Method]
	if !ok || m.isCall == request.Notif {
		p.replyError(ctx, conn, request, jsonrpc2.CodeMethodNotFound, "unknown method "+request.Method)
		return
	}
	p.countMessage("received", request.Method)
	if m.handleAttachment != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.closed {
			// A malformed message is dropped; later ones are still handled.
			_ = m.handleAttachment(p, p.codec.receivedAttachment)
		}
		return
	}
	var e envelope
	if request.Params == nil || json.Unmarshal(*request.Params, &e) != nil {
		p.replyError(ctx, conn, request, jsonrpc2.CodeInvalidParams, "malformed envelope")
		return
	}
	p.local.Clock.Observe(e.Stamp)
	if m.isCall {
		release := func() {}
		if m.isJobRequest {
			memory, ok := p.codec.incoming.reserveRequest(len(e.Message))
			if !ok {
				p.replyError(ctx, conn, request, codeBusy, "busy")
				return
			}
			ctx, release = context.WithValue(ctx, requestMemoryKey{}, memory), memory.release
		}
		request.Params = nil // so that it is collected while the call is served
		go func() {
			defer release()
			p.serveCall(ctx, conn, request, m, e.Message)
		}()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		_, _ = m.handle(ctx, p, e.Message)
	}
}

func (p *Peer) serveCall(
	ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request, m method, message json.RawMessage,
) {
	result, err := m.handle(ctx, p, message)
	endReply := func() {}
	if err == nil {
		endReply, err = p.replies.begin(result, m.isJobRequest && !m.isSubmission)
	}
	if err != nil {
		code := int64(jsonrpc2.CodeInternalError)
		if busy := (*BusyError)(nil); errors.As(err, &busy) {
			code = codeBusy // an agent relays a request to an entry that is busy
		}
		p.replyError(ctx, conn, request, code, err.Error())
		return
	}
	err = conn.Reply(ctx, request.ID, p.newEnvelope(result))
	endReply()
	if err != nil {
		p.Close()
		return
	}
	if m.onReplied != nil {
		m.onReplied(p)
	}
}

func (p *Peer) replyError(
	ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request, code int64, message string,
) {
	if request.Notif {
		return
	}
	_ = conn.ReplyWithError(ctx, request.ID, &jsonrpc2.Error{Code: code, Message: message})
}

func (p *Peer) countMessage(direction, name string) {
	metrics.GetOrRegisterCounter("Inner."+direction+"."+name, p.local.Metrics).Inc(1)
}
