package inner

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Delays of a Connector.
const (
	minRedialDelay         = 50 * time.Millisecond
	maxRedialDelay         = time.Second
	forgetUnreachableAfter = 10 * time.Minute // discovered addresses become invalid when their hosts are replaced
)

// maxAddresses is the number of addresses beyond which discovered ones are ignored. Whoever reaches the inner address can
// name any, and each is tried for forgetUnreachableAfter.
const maxAddresses = 1024

// Connector maintains one connection to each address of a set and reconnects when it is lost.
type Connector struct {
	dial    DialFunc
	local   Local
	handler Handler

	ctx       context.Context //nolint:containedctx // its cancellation closes all connections of the connector
	running   sync.WaitGroup
	mu        sync.Mutex
	addresses map[string]struct{}
}

// NewConnector returns a connector without addresses. The returned clean-up function closes all connections and waits
// until they have ended.
func NewConnector(dial DialFunc, local Local, h Handler) (*Connector, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Connector{dial: dial, local: local, handler: h, ctx: ctx, addresses: map[string]struct{}{}}
	return c, func() {
		c.mu.Lock()
		cancel()
		c.mu.Unlock()
		c.running.Wait()
	}
}

// AddPermanent adds an address that is never removed.
func (c *Connector) AddPermanent(address string) { c.add(address, false) }

// AddDiscovered adds a discovered address, which is removed once it has been unreachable for 10 minutes.
func (c *Connector) AddDiscovered(address string) { c.add(address, true) }

func (c *Connector) add(address string, discovered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.addresses[address]; ok || address == "" || address == c.local.Identity.Address || c.ctx.Err() != nil {
		return
	}
	if discovered && len(c.addresses) >= maxAddresses {
		return
	}
	c.addresses[address] = struct{}{}
	c.running.Go(func() {
		c.maintain(address, discovered)
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.addresses, address)
	})
}

// maintain reconnects to the address whenever its connection is closed. It closes the old connection before it opens
// the next one, so that no message of the old connection is handled after the new handshake. It gives up an address at
// which this process reaches itself.
func (c *Connector) maintain(address string, discovered bool) {
	wait := minRedialDelay
	lastConnected := time.Now()
	for c.ctx.Err() == nil {
		p, err := Dial(c.ctx, c.dial, address, c.local, c.handler)
		if err == nil {
			wait = minRedialDelay
			select {
			case <-p.Done():
			case <-c.ctx.Done():
			}
			p.Close()
			lastConnected = time.Now()
		}
		var self *SelfError
		if errors.As(err, &self) || (discovered && time.Since(lastConnected) > forgetUnreachableAfter) {
			return
		}
		// Jitter prevents the peers of a restarted process from reconnecting all at once.
		jittered := wait/2 + rand.N(wait/2+1)
		select {
		case <-time.After(jittered):
		case <-c.ctx.Done():
		}
		wait = min(2*wait, maxRedialDelay)
	}
}
