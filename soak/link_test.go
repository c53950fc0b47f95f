package main

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// newEchoServer starts a TCP server that sends back what it receives, and returns its address.
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

// Guards against link faults without effect: with them the soak would pass without testing the programs.
func TestLink(t *testing.T) {
	const readTimeout = 100 * time.Millisecond // in real time, because the test uses real sockets
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
	// roundTrip sends a byte and reports whether it is echoed within readTimeout. If not, it returns the error.
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
	for _, f := range []linkFault{{BlockForward: true}, {BlockBackward: true}, {Delay: 2 * readTimeout}} {
		if ok, err := roundTrip(c); !ok {
			t.Fatalf("link without a fault: %v", err)
		}
		l.SetFault(f)
		if ok, _ := roundTrip(c); ok {
			t.Errorf("%+v: a byte was echoed without the fault's effect", f)
		}
		l.SetFault(linkFault{})
		if err := c.SetReadDeadline(time.Now().Add(time.Minute)); err != nil {
			t.Fatal(err)
		}
		if _, err := c.Read(make([]byte, 1)); err != nil {
			t.Errorf("%+v: delayed or blocked data was not forwarded after the fault ended: %v", f, err)
		}
	}
	l.BlackholeConnections(1)
	if ok, _ := roundTrip(c); ok {
		t.Error("a blackholed connection echoed a byte")
	}
	c = dial()
	if ok, err := roundTrip(c); !ok {
		t.Errorf("new connection after others were blackholed: %v", err)
	}
	l.ResetConnections(1)
	if ok, err := roundTrip(c); ok || err == nil {
		t.Error("a reset connection echoed a byte")
	}
	var netErr net.Error
	if _, err := roundTrip(c); errors.As(err, &netErr) && netErr.Timeout() {
		t.Error("a reset connection timed out instead of failing")
	}
}
