package main

import (
	"bytes"
	"net"
	"sync"
)

// link is a TCP proxy in front of the inner address of an entry. It can hold back what one process or all others send
// there and get from there, on open and on new connections, as a partition does.
type link struct {
	target   string
	listener net.Listener

	mu          sync.Mutex
	cut         func(dialler string) bool // nil if nothing is held back
	changed     chan struct{}             // closed when cut changes
	closed      bool
	connections []net.Conn
}

func newLink(address, target string) (*link, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &link{target: target, listener: listener, changed: make(chan struct{})}
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			go l.forward(client)
		}
	}()
	return l, nil
}

func (l *link) close() {
	_ = l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	close(l.changed)
	for _, c := range l.connections {
		_ = c.Close()
	}
}

// setCut holds back the connections of the diallers for which the function returns true; nil ends that.
func (l *link) setCut(cut func(dialler string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *link) forward(client net.Conn) {
	first := make([]byte, 16<<10)
	n, err := client.Read(first)
	if err != nil {
		_ = client.Close()
		return
	}
	// The first message of a connection names the process that opened it.
	name := dialler(first[:n])
	if !l.pass(name) {
		return
	}
	server, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = client.Close()
		return
	}
	l.mu.Lock()
	l.connections = append(l.connections, client, server)
	l.mu.Unlock()
	_, _ = server.Write(first[:n])
	go l.copyData(name, server, client)
	l.copyData(name, client, server)
}

func dialler(hello []byte) string {
	for _, field := range []string{`"Name":"`} {
		if _, rest, ok := bytes.Cut(hello, []byte(field)); ok {
			name, _, _ := bytes.Cut(rest, []byte{'"'})
			return string(name)
		}
	}
	return ""
}

func (l *link) copyData(name string, to, from net.Conn) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if !l.pass(name) {
			return
		}
		if _, failed := to.Write(buffer[:n]); failed != nil || err != nil {
			return
		}
	}
}

// pass waits while the connection is held back. It reports false if the link was closed.
func (l *link) pass(name string) bool {
	for {
		l.mu.Lock()
		cut, changed, closed := l.cut, l.changed, l.closed
		l.mu.Unlock()
		switch {
		case closed:
			return false
		case cut == nil || !cut(name):
			return true
		}
		<-changed
	}
}
