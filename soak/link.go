package main

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// rule is how a link misbehaves. The zero value is a sound link.
type rule struct {
	Delay    time.Duration // of what passes, each way
	Forward  bool          // nothing passes towards the target
	Backward bool          // nothing passes back
}

// dialTimeout bounds how long a link waits for its target, which is on the same host.
const dialTimeout = time.Second

// link forwards the connections to a process, and delays, holds up, silences or resets them.
type link struct {
	target   string
	listener net.Listener

	mu      sync.Mutex // guards what follows
	random  *rand.Rand
	rule    rule
	changed chan struct{} // closed when the rule changes
	pairs   map[*pair]struct{}
	closed  bool
}

// pair is a connection to the link and the one that it opened for it.
type pair struct {
	near, far net.Conn
	silent    bool
}

func newLink(address, target string, seed uint64) (*link, func(), error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "link to %s", target)
	}
	l := &link{
		target: target, listener: listener, random: rand.New(rand.NewPCG(seed, 3)), changed: make(chan struct{}),
		pairs: map[*pair]struct{}{},
	}
	var running sync.WaitGroup
	running.Go(func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			running.Go(func() { l.forward(near) })
		}
	})
	return l, func() {
		_ = listener.Close()
		l.mu.Lock()
		l.closed = true
		close(l.changed)
		for p := range l.pairs {
			p.close()
		}
		l.mu.Unlock()
		running.Wait()
	}, nil
}

// Set makes the link misbehave from now on, also for open connections.
func (l *link) Set(r rule) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.rule = r
	close(l.changed)
	l.changed = make(chan struct{})
}

// Reset resets a share of the open connections.
func (l *link) Reset(share float64) {
	l.pick(share, func(p *pair) {
		for _, c := range []net.Conn{p.near, p.far} {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
		}
		p.close()
	})
}

// Silence lets nothing pass on a share of the open connections any more, not even their end. New ones work.
func (l *link) Silence(share float64) {
	l.pick(share, func(p *pair) { p.silent = true })
}

func (l *link) pick(share float64, do func(*pair)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		if l.random.Float64() < share {
			do(p)
		}
	}
}

func (p *pair) close() {
	_ = p.near.Close()
	_ = p.far.Close()
}

func (l *link) forward(near net.Conn) {
	far, err := net.DialTimeout("tcp", l.target, dialTimeout)
	if err != nil {
		_ = near.Close() // as a port without a listener
		return
	}
	p := &pair{near: near, far: far}
	l.mu.Lock()
	l.pairs[p] = struct{}{}
	closed := l.closed
	l.mu.Unlock()
	if closed {
		p.close()
	}
	var copying sync.WaitGroup
	copying.Go(func() { l.copy(p, far, near, func(r rule) bool { return r.Forward }) })
	copying.Go(func() { l.copy(p, near, far, func(r rule) bool { return r.Backward }) })
	copying.Wait()
	l.mu.Lock()
	delete(l.pairs, p)
	l.mu.Unlock()
}

// copy passes on what is read, and the end of the connection, unless the link holds it up.
func (l *link) copy(p *pair, to, from net.Conn, blocked func(rule) bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if !l.wait(p, blocked) {
			return
		}
		if _, failed := to.Write(buffer[:n]); failed != nil || err != nil {
			if err != nil && !errors.Is(err, io.EOF) {
				if tcp, ok := to.(*net.TCPConn); ok {
					_ = tcp.SetLinger(0) // a reset is passed on as one
				}
			}
			p.close()
			return
		}
	}
}

// wait delays what passes, and holds it up while the link is blocked. It reports false when the link is closed.
func (l *link) wait(p *pair, blocked func(rule) bool) bool {
	delayed := false
	for {
		l.mu.Lock()
		r, changed, closed, silent := l.rule, l.changed, l.closed, p.silent
		l.mu.Unlock()
		switch {
		case closed:
			return false
		case silent || blocked(r):
			<-changed
		case r.Delay > 0 && !delayed:
			delayed = true
			time.Sleep(r.Delay)
		default:
			return true
		}
	}
}
