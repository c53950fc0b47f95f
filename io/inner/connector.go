package inner

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Intervals of a connector.
const (
	firstRedial   = 50 * time.Millisecond
	longestRedial = time.Second
	forgetAfter   = 10 * time.Minute // hosts are replaced, so learned addresses become invalid
)

// Connector keeps one connection to each of a set of addresses.
type Connector struct {
	dial    DialFunc
	local   Local
	handler Handler

	ctx     context.Context //nolint:containedctx // ends all connections of the connector
	running sync.WaitGroup
	mu      sync.Mutex
	known   map[string]struct{}
}

// NewConnector returns a connector without addresses. Its clean-up closes all connections and waits for
// them.
func NewConnector(dial DialFunc, local Local, h Handler) (*Connector, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Connector{dial: dial, local: local, handler: h, ctx: ctx, known: map[string]struct{}{}}
	return c, func() {
		c.mu.Lock()
		cancel()
		c.mu.Unlock()
		c.running.Wait()
	}
}

// Keep keeps a connection to the address for as long as the connector runs.
func (c *Connector) Keep(address string) { c.add(address, false) }

// Learn keeps a connection to the address until it was unreachable for 10 minutes.
func (c *Connector) Learn(address string) { c.add(address, true) }

func (c *Connector) add(address string, learned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.known[address]; ok || address == "" || address == c.local.Identity.Address || c.ctx.Err() != nil {
		return
	}
	c.known[address] = struct{}{}
	c.running.Go(func() {
		c.keep(address, learned)
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.known, address)
	})
}

// keep dials the address again whenever its connection is closed. The old connection is closed before the
// next one is opened, so nothing sent on it is handled after the new handshake.
func (c *Connector) keep(address string, learned bool) {
	wait := firstRedial
	lastConnected := time.Now()
	for c.ctx.Err() == nil {
		p, err := Dial(c.ctx, c.dial, address, c.local, c.handler)
		if err == nil {
			wait = firstRedial
			select {
			case <-p.Done():
			case <-c.ctx.Done():
			}
			p.Close()
			lastConnected = time.Now()
		}
		if learned && time.Since(lastConnected) > forgetAfter {
			return
		}
		// Jitter keeps the peers of a restarted process from dialling it at the same moment.
		jittered := wait/2 + rand.N(wait/2+1)
		select {
		case <-time.After(jittered):
		case <-c.ctx.Done():
		}
		wait = min(2*wait, longestRedial)
	}
}
