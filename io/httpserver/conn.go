package httpserver

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodglade/core/connlimit"
)

// conn is a connection of a Server.
type conn struct {
	net.Conn
	server   *Server
	id       connlimit.ID
	bodyRead bool // the body of the current request was read to its end; used by the handler's goroutine only
	linger   atomic.Bool
}

const (
	// lingerTimeout and lingerBytes limit what a connection reads after a response that did not wait for the request's
	// body. Closing it before would reset it, and the client might lose the response.
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 1 << 20
)

// Write implements net.Conn.
func (c *conn) Write(data []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	previous := c.setState(connlimit.Responding)
	defer c.setState(previous)
	return c.Conn.Write(data)
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	if inner, ok := c.Conn.(syscall.Conn); ok {
		return inner.SyscallConn()
	}
	return nil, errors.WithStack(errors.ErrUnsupported)
}

// CloseWrite lets http.Server end a connection so that the client can read the last response.
func (c *conn) CloseWrite() error {
	if inner, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. If the body of the last request was not read to its end, it first discards what the client
// is still sending. A second call, and the end of the server, interrupt that.
func (c *conn) Close() error {
	if c.linger.Swap(false) && !c.server.ending.Load() && c.CloseWrite() == nil {
		_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
	}
	return c.Conn.Close()
}

func (c *conn) setState(state connlimit.State) (previous connlimit.State) {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limit.SetState(time.Now(), c.id, state)
}

// serve reports whether the current request may be served. From then on, the connection is not closed for a new one.
func (c *conn) serve() bool {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limit.Serve(time.Now(), c.id)
}

// limitedListener accepts the connections of a Server within its limit.
type limitedListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l limitedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.server.admit(accepted); c != nil {
			return c, nil
		}
	}
}

// admit adds a connection, and closes the one whose place it takes. It returns nil if that is the new one.
func (s *Server) admit(accepted net.Conn) *conn {
	s.mu.Lock()
	s.nextID++
	c := &conn{Conn: accepted, server: s, id: s.nextID}
	s.open[c.id] = c
	closing, full := s.limit.Open(time.Now(), c.id)
	victim := s.open[closing]
	if full {
		delete(s.open, closing)
	}
	s.mu.Unlock()
	if full {
		s.closed.Inc(1)
		s.log.add(s.options.Name)
		_ = victim.Conn.Close()
	}
	if victim == c {
		return nil
	}
	return c
}

func (s *Server) connContext(ctx context.Context, c net.Conn) context.Context {
	if s.options.ConnContext != nil {
		ctx = s.options.ConnContext(ctx, c)
	}
	return context.WithValue(ctx, connKey{}, c)
}

func (s *Server) connState(c net.Conn, state http.ConnState) {
	x, ok := c.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		x.setState(connlimit.Idle)
	case http.StateClosed, http.StateHijacked:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.limit.Close(x.id)
		delete(s.open, x.id)
	}
}

func newReader(data []byte) io.ReadCloser { return io.NopCloser(bytes.NewReader(data)) }
