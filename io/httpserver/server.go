// Package httpserver serves HTTP to clients that may send anything.
//
// A server has a limit on its connections, and the servers of a process share the memory of unfinished request bodies
// (Bodies). Handlers read bodies with ReadBody. A client that sends its requests whole and within the limits is not
// affected; docs/design/caller-limits.md says who is when a limit is reached. Limits on requests that are complete are
// those of the handlers.
package httpserver

import (
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"dogwoodglade/core/connlimit"
	"dogwoodglade/core/event"
)

// Limits on all connections. IdleTimeout is long because callers reuse connections after long pauses.
const (
	HeaderTimeout  = 3 * time.Second
	IdleTimeout    = 90 * time.Second
	MaxHeaderBytes = 16 << 10
)

const (
	// writeTimeout limits how long a client may leave a response unread that the kernel does not buffer.
	writeTimeout = 10 * time.Second
	// receiveBuffer limits the bytes of a connection that were received and not read, which may count as memory of the
	// process. It holds an ordinary request; larger bodies need more round trips. The kernel doubles it for its overhead.
	receiveBuffer = 8 << 10
	// sendBuffer limits the bytes of responses that the kernel keeps for a client that does not read. With the default
	// of some kernels, 2.5 MB, a client that sends requests and never reads is noticed late.
	sendBuffer = 32 << 10
)

// ConnectionBytes is the memory that a connection may need besides its body: the buffers of net/http (4 KiB each way and
// 2 KiB for a response), a header of the largest size, two stacks of 8 KiB, and receiveBuffer.
const ConnectionBytes = 64 << 10

// Options configure a Server.
type Options struct {
	Name           string // of the listener in events
	Handler        http.Handler
	MaxConnections int // lowered to half of the descriptors that the process may open
	Bodies         *Bodies
	ConnContext    func(ctx context.Context, c net.Conn) context.Context // may be nil
	Report         Report
	Metrics        metrics.Registry
}

// Server is an HTTP server with limits. Create it with New.
type Server struct {
	options Options
	http    *http.Server
	closed  metrics.Counter
	log     *eventLog
	ending  atomic.Bool

	mu     sync.Mutex // guards what follows
	limit  *connlimit.Limit
	nextID connlimit.ID
	open   map[connlimit.ID]*conn
}

// Listen listens on a TCP address with small buffers.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		// Accepted connections inherit the size. Without it, the only harm is larger buffers.
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, sendBuffer)
		})
	}}
	listener, err := config.Listen(context.Background(), "tcp", address)
	return listener, errors.Wrapf(err, "listen on %s", address)
}

// New serves HTTP on a listener until the returned function is called. Its metrics are HTTP.Connections.NAME and
// HTTP.ConnectionsClosed.NAME.
func New(listener net.Listener, options Options) (s *Server, cleanUp func()) {
	s = &Server{
		options: options, limit: connlimit.New(min(options.MaxConnections, max(maxDescriptors()/2, 1))), open: map[connlimit.ID]*conn{},
		closed: metrics.GetOrRegisterCounter("HTTP.ConnectionsClosed."+options.Name, options.Metrics),
		log:    &eventLog{report: options.Report, number: event.ConnectionsClosed},
	}
	_ = options.Metrics.Register("HTTP.Connections."+options.Name, metrics.NewFunctionalGauge(func() int64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return int64(s.limit.Count())
	}))
	s.http = &http.Server{
		Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: HeaderTimeout, IdleTimeout: IdleTimeout,
		MaxHeaderBytes: MaxHeaderBytes, ConnContext: s.connContext, ConnState: s.connState,
	}
	var running sync.WaitGroup
	running.Go(func() { _ = s.http.Serve(limitedListener{Listener: listener, server: s}) })
	return s, func() {
		s.ending.Store(true)
		_ = s.http.Close()
		running.Wait()
	}
}

// maxDescriptors returns the number of descriptors that the process may open. Beyond it, accepting a connection fails, and
// no other one would be closed for it.
func maxDescriptors() int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return math.MaxInt
	}
	return int(min(limit.Cur, math.MaxInt))
}

// Shutdown stops accepting connections and waits until all requests are answered, or until the context ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.acceptPending()
	return s.http.Shutdown(ctx)
}

const (
	// acceptPause and maxAcceptTime limit how long Shutdown waits for connections that the kernel holds.
	acceptPause   = 10 * time.Millisecond
	maxAcceptTime = 100 * time.Millisecond
)

// acceptPending waits until no connection has been accepted for acceptPause. Closing the listener resets those that have
// not been accepted, which may be many after a suspension of the process.
func (s *Server) acceptPending() {
	accepted := func() connlimit.ID {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.nextID
	}
	for begin := time.Now(); time.Since(begin) < maxAcceptTime; {
		before := accepted()
		time.Sleep(acceptPause)
		if accepted() == before {
			return
		}
	}
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if c := connOf(r.Context()); c != nil {
		if r.ContentLength != 0 {
			c.bodyRead = false
			w = &bodyWriter{ResponseWriter: w, conn: c, request: r}
		}
		if !c.serve() {
			WriteError(w, errors.WithStack(&BusyError{}))
			return
		}
	}
	s.options.Handler.ServeHTTP(w, r)
}

// bodyWriter writes the response to a request with a body. If the body was not read to its end, it closes the
// connection: net/http would otherwise wait for the rest of the body before it sends the response.
type bodyWriter struct {
	http.ResponseWriter
	conn        *conn
	request     *http.Request
	wroteHeader bool
}

// Unwrap implements the interface of http.ResponseController.
func (w *bodyWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *bodyWriter) WriteHeader(status int) {
	if !w.wroteHeader && !w.conn.bodyRead {
		w.Header().Set("Connection", "close")
		_ = w.conn.SetReadDeadline(past)
		w.conn.setState(connlimit.Receiving)
		w.conn.linger.Store(true)
		w.request.Body = unreadBody{w.request.Body}
	}
	w.wroteHeader = true
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *bodyWriter) Write(data []byte) (int, error) {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(data)
}

// unreadBody hides the type of a body from net/http, which would otherwise sleep 500 ms before it closes a connection with
// a long rest of a body.
type unreadBody struct{ io.ReadCloser }

// Buffered returns a handler that reads request bodies of at most limit bytes before it calls next.
func Buffered(limit int64, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, release, err := ReadBody(r, limit, 0)
		defer release()
		if err != nil {
			WriteError(w, err)
			return
		}
		r.Body = newReader(data)
		next.ServeHTTP(w, r)
	})
}

// WriteError sends the response for an error of ReadBody.
func WriteError(w http.ResponseWriter, err error) {
	var (
		tooLarge *TooLargeError
		busy     *BusyError
		slow     *SlowError
	)
	status := http.StatusBadRequest
	switch {
	case errors.As(err, &tooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.As(err, &busy):
		w.Header().Set("Retry-After", "1")
		status = http.StatusServiceUnavailable
	case errors.As(err, &slow):
		status = http.StatusRequestTimeout
	}
	w.WriteHeader(status)
}
