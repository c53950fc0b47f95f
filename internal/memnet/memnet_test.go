package memnet_test

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodglade/internal/memnet"
)

// connect returns both ends of a connection between two hosts.
func connect(t *testing.T, network *memnet.Network) (dialled, accepted net.Conn) {
	t.Helper()
	l, err := network.Host("a").Listen("a:1")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	conns := make(chan net.Conn)
	go func() {
		c, err := l.Accept()
		if err != nil {
			t.Error(err)
		}
		conns <- c
	}()
	dialled, err = network.Host("b").Dial(context.Background(), "tcp", "a:1")
	if err != nil {
		t.Fatal(err)
	}
	return dialled, <-conns
}

// Guards against a deadlock at the end of a test: if both ends were closed with unsent data, each sender waited for the
// other end to read, and the bubble never ended.
func TestCloseBothEndsWithUnsentData(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := connect(t, memnet.New())
		for _, c := range []net.Conn{a, b} {
			if _, err := c.Write([]byte("unread")); err != nil {
				t.Fatal(err)
			}
		}
		for _, c := range []net.Conn{a, b} {
			if err := c.Close(); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// Guards against data that is lost because its sender closes the connection, and against a reader that is not woken by
// the close of its own end.
func TestClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := connect(t, memnet.New())
		if _, err := a.Write([]byte("last words")); err != nil {
			t.Fatal(err)
		}
		_ = a.Close()
		if got, err := io.ReadAll(b); err != nil || string(got) != "last words" {
			t.Errorf("got %q, %v", got, err)
		}
		_ = b.Close()

		a, b = connect(t, memnet.New())
		time.AfterFunc(time.Second, func() { _ = b.Close() })
		if _, err := b.Read(make([]byte, 1)); err == nil {
			t.Error("the read on a closed end returned no error")
		}
		if _, err := b.Read(make([]byte, 1)); err == nil {
			t.Error("a read after the close returned no error")
		}
		if _, err := a.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Errorf("got %v at the other end, want EOF", err)
		}
		_ = a.Close()
	})
}
