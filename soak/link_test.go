package main

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// echo serves a listener that sends back what it gets.
func echo(t *testing.T) string {
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
	const patience = 100 * time.Millisecond // real time: the sockets are real
	l, cleanUp, err := newLink("127.0.0.1:0", echo(t), 1)
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
	// passes reports whether a byte comes back, and how the connection failed if it did.
	passes := func(c net.Conn) (bool, error) {
		if _, err := c.Write([]byte("x")); err != nil {
			return false, err
		}
		if err := c.SetReadDeadline(time.Now().Add(patience)); err != nil {
			t.Fatal(err)
		}
		_, err := c.Read(make([]byte, 1))
		return err == nil, err
	}
	c := dial()
	for _, r := range []rule{{Forward: true}, {Backward: true}, {Delay: 2 * patience}} {
		if ok, err := passes(c); !ok {
			t.Fatalf("a sound link: %v", err)
		}
		l.Set(r)
		if ok, _ := passes(c); ok {
			t.Errorf("%+v: a byte came back at once", r)
		}
		l.Set(rule{})
		if err := c.SetReadDeadline(time.Now().Add(time.Minute)); err != nil {
			t.Fatal(err)
		}
		if _, err := c.Read(make([]byte, 1)); err != nil {
			t.Errorf("%+v: what was held up did not come: %v", r, err)
		}
	}
	l.Silence(1)
	if ok, _ := passes(c); ok {
		t.Error("a silent connection brought a byte")
	}
	c = dial()
	if ok, err := passes(c); !ok {
		t.Errorf("a new connection beside a silent one: %v", err)
	}
	l.Reset(1)
	if ok, err := passes(c); ok || err == nil {
		t.Error("a reset connection brought a byte")
	}
	var late net.Error
	if _, err := passes(c); errors.As(err, &late) && late.Timeout() {
		t.Error("a reset connection is silent")
	}
}
