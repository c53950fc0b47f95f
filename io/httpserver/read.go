package httpserver

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodglade/core/connlimit"
)

const (
	// firstBuffer is the size of the smallest buffer of a body. It holds an ordinary request, so that it is not copied.
	firstBuffer = 8 << 10
	// DefaultBodyTimeout is how long a body may take to arrive. It is longer than callers wait for a response.
	DefaultBodyTimeout = 15 * time.Second
)

// TooLargeError reports a body that exceeds the limit of its handler.
type TooLargeError struct{ Limit int64 }

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("read body: it is larger than %d bytes", e.Limit)
}

// BusyError reports a body that was refused because the bodies of all requests would exceed their memory.
type BusyError struct{}

// Error implements error.
func (*BusyError) Error() string { return "read body: too many unfinished bodies" }

// SlowError reports a body that has not arrived in time.
type SlowError struct{ Timeout time.Duration }

// Error implements error.
func (e *SlowError) Error() string {
	return fmt.Sprintf("read body: not complete within %v", e.Timeout)
}

// ReadBody reads the body of a request that is served by a Server. The memory of the body stays reserved until release
// is called, which is never nil; data must not be used after that. If it fails, the connection closes after the
// response, which does not wait for the rest of the body.
//
// For a request of another server, only the size is limited.
func ReadBody(r *http.Request, limit int64, timeout time.Duration) (data []byte, release func(), err error) {
	release = func() {}
	if r.ContentLength > limit {
		return nil, release, errors.WithStack(&TooLargeError{Limit: limit})
	}
	c := connOf(r.Context())
	if r.ContentLength == 0 {
		return nil, release, nil
	}
	if c == nil {
		data, err = io.ReadAll(io.LimitReader(r.Body, limit+1))
		if err == nil && int64(len(data)) > limit {
			err = errors.WithStack(&TooLargeError{Limit: limit})
		}
		return data, release, err
	}
	if timeout <= 0 || timeout > DefaultBodyTimeout {
		timeout = DefaultBodyTimeout
	}
	deadline := time.Now().Add(timeout)
	_ = c.SetReadDeadline(deadline)
	c.setState(connlimit.Receiving)
	x := c.server.options.Bodies.add(c)
	err = x.read(r, limit)
	var tooLarge *TooLargeError
	switch {
	case err == nil && x.share.Complete() && c.serve():
		_ = c.SetReadDeadline(time.Time{})
		c.bodyRead = true
		return x.data, x.close, nil
	case err == nil || !x.share.Complete():
		err = errors.WithStack(&BusyError{})
	case errors.As(err, &tooLarge):
	case !time.Now().Before(deadline):
		// The error is another one if the time was over in the trailer.
		c.server.options.Bodies.timedOut.Inc(1)
		err = errors.WithStack(&SlowError{Timeout: timeout})
	}
	_ = c.SetReadDeadline(past)
	x.close()
	return nil, release, err
}

// read reads the body into a buffer that grows with what arrives.
func (x *body) read(r *http.Request, limit int64) error {
	if !x.grow(firstBuffer) {
		return errors.WithStack(&BusyError{})
	}
	for {
		var n int
		var err error
		if int64(len(x.data)) == limit {
			// A body that goes on is too large. At its end, this returns io.EOF.
			n, err = r.Body.Read(make([]byte, 1))
		} else {
			n, err = r.Body.Read(x.data[len(x.data):min(int64(cap(x.data)), limit)])
		}
		atEnd := errors.Is(err, io.EOF)
		switch {
		case int64(len(x.data)+n) > limit:
			return errors.WithStack(&TooLargeError{Limit: limit})
		case err != nil && !atEnd:
			return errors.Wrap(err, "read body")
		}
		x.data = x.data[:len(x.data)+n]
		switch {
		case atEnd:
			return nil
		case len(x.data) == cap(x.data) && int64(len(x.data)) < limit && !x.grow(2*cap(x.data)):
			return errors.WithStack(&BusyError{})
		}
	}
}

// grow replaces the buffer by one of the given size. It reports false if the body is refused.
func (x *body) grow(size int) bool {
	if !x.share.Reserve(size) {
		return false
	}
	old := x.data
	x.data = append(newBuffer(size), old...)
	if cap(old) > 0 {
		freeBuffer(old)
		x.share.Shrink(cap(old))
	}
	return true
}

type connKey struct{}

// connOf returns the connection of a request, or nil if its server is not a Server.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}
