package main

import (
	"net"
	"sync"
)

// link forwards TCP connections to a target. Its open connections can be made silent: what either side sends is lost,
// and neither side learns of it, while new connections work. It can be cut: then new connections are silent as well.
type link struct {
	target string

	mu          sync.Mutex
	connections map[*linkConnection]struct{}
	accepted    int
	closed      bool
	isCut       bool
}

type linkConnection struct {
	client, server net.Conn
	silent         bool // guarded by link.mu
}

func newLink(address, target string) (*link, func(), error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, err
	}
	l := &link{target: target, connections: map[*linkConnection]struct{}{}}
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			go l.forward(client)
		}
	}()
	return l, func() {
		_ = listener.Close()
		l.mu.Lock()
		defer l.mu.Unlock()
		l.closed = true
		for c := range l.connections {
			_ = c.client.Close()
			_ = c.server.Close()
		}
	}, nil
}

func (l *link) forward(client net.Conn) {
	server, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = client.Close()
		return
	}
	c := &linkConnection{client: client, server: server}
	l.mu.Lock()
	c.silent = l.isCut
	l.connections[c] = struct{}{}
	l.accepted++
	closed := l.closed
	l.mu.Unlock()
	if closed {
		_ = client.Close()
		_ = server.Close()
	}
	var copying sync.WaitGroup
	copying.Go(func() { l.copyData(c, server, client) })
	copying.Go(func() { l.copyData(c, client, server) })
	copying.Wait()
	_ = client.Close()
	_ = server.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.connections, c)
}

// copyData forwards data and the end of the connection, unless the connection is silent.
func (l *link) copyData(c *linkConnection, to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		l.mu.Lock()
		silent := c.silent
		l.mu.Unlock()
		switch {
		case silent && err != nil:
			return
		case silent:
			continue
		}
		if _, failed := to.Write(buffer[:n]); failed != nil || err != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}

// silence makes all open connections silent and returns their number.
func (l *link) silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.connections {
		c.silent = true
	}
	return len(l.connections)
}

// cut begins or ends a cut. Connections that were open or opened during the cut stay silent.
func (l *link) cut(begins bool) {
	if begins {
		l.silence()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isCut = begins
}
