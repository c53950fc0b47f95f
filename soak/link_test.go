package main

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// newEchoServer serves a listener that sends back what it gets.
func newEchoServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	return listener.Addr().String()
}

// Guards against faults that do nothing: a soak with such a link would pass whatever the programs do.
func TestLink(t *testing.T) {
	const readTimeout = 100 * time.Millisecond // real time: the sockets are real
	l, cleanUp, err := newLink("127.0.0.1:0", newEchoServer(t), 1)
	if err != nil {
		t.Fatal(err)
	}
	defer cleanUp()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", l.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	// roundTrip reports whether a byte comes back, and how the connection failed if it did.
	roundTrip := func(c net.Conn) (bool, error) {
		if _, err := c.Write([]byte("x")); err != nil {
			return false, err
		}
		if err := c.SetReadDeadline(time.Now().Add(readTimeout)); err != nil {
			t.Fatal(err)
		}
		_, err := c.Read(make([]byte, 1))
		return err == nil, err
	}
	c := dial()
	for _, r := range []linkFault{{BlockForward: true}, {BlockBackward: true}, {Delay: 2 * readTimeout}} {
		if ok, err := roundTrip(c); !ok {
			t.Fatalf("a sound link: %v", err)
		}
		l.SetFault(r)
		if ok, _ := roundTrip(c); ok {
			t.Errorf("%+v: a byte came back at once", r)
		}
		l.SetFault(linkFault{})
		if err := c.SetReadDeadline(time.Now().Add(time.Minute)); err != nil {
			t.Fatal(err)
		}
		if _, err := c.Read(make([]byte, 1)); err != nil {
			t.Errorf("%+v: what was held up did not come: %v", r, err)
		}
	}
	l.BlackholeConnections(1)
	if ok, _ := roundTrip(c); ok {
		t.Error("a silent connection brought a byte")
	}
	c = dial()
	if ok, err := roundTrip(c); !ok {
		t.Errorf("a new connection beside a silent one: %v", err)
	}
	l.ResetConnections(1)
	if ok, err := roundTrip(c); ok || err == nil {
		t.Error("a reset connection brought a byte")
	}
	var netErr net.Error
	if _, err := roundTrip(c); errors.As(err, &netErr) && netErr.Timeout() {
		t.Error("a reset connection is silent")
	}
}
