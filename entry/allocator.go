package entry

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dogwoodglade/core/allocator"
	"dogwoodglade/core/job"
	"dogwoodglade/core/outbox"
	"dogwoodglade/core/ownership"
	"dogwoodglade/io/inner"
)

// poolAllocator is the allocator of one pool in this entry. Every entry keeps one for each pool from the
// agents' heartbeats, so that it can take over at once; only the first live entry is asked for slots.
type poolAllocator struct {
	mu      sync.Mutex
	state   *allocator.Allocator
	actions outbox.Outbox[allocator.Action]
}

// allocators holds the allocators of all pools, and which entry is asked for the slots of each.
type allocators struct {
	changed atomic.Bool // the tables have changed

	mu     sync.Mutex
	byPool map[string]*poolAllocator
	at     map[string]string // entry that is asked, by pool
	lost   map[string]bool   // pools with slot requests that could not be sent
}

func (a *allocators) init() {
	a.byPool = map[string]*poolAllocator{}
	a.at = map[string]string{}
	a.lost = map[string]bool{}
	a.changed.Store(true)
}

// of returns the allocator of a pool, or nil if the pool does not exist.
func (a *allocators) of(e *Entry, pool string) *poolAllocator {
	a.mu.Lock()
	defer a.mu.Unlock()
	if p := a.byPool[pool]; p != nil {
		return p
	}
	row, ok := e.tables.Current().Pools[pool]
	if !ok {
		return nil
	}
	options := allocator.DefaultOptions().WithIncarnation(e.incarnation)
	p := &poolAllocator{state: allocator.NewWithOptions(e.options.Name, row, e.record, options)}
	a.byPool[pool] = p
	return p
}

func (a *allocators) each(e *Entry, decision func(now time.Time, a *allocator.Allocator) []allocator.Action) {
	a.mu.Lock()
	all := slices.Collect(maps.Values(a.byPool))
	a.mu.Unlock()
	for _, p := range all {
		p.decide(e, decision)
	}
}

func (p *poolAllocator) decide(e *Entry, decision func(now time.Time, a *allocator.Allocator) []allocator.Action) {
	p.mu.Lock()
	p.actions.Push(decision(time.Now(), p.state)...)
	p.mu.Unlock()
	p.actions.Perform(e.performAllocator)
}

func (e *Entry) performAllocator(action allocator.Action) {
	switch action := action.(type) {
	case allocator.Grant:
		if action.Owner == e.options.Name {
			e.Grant(nil, action)
			return
		}
		if p := e.directory.entry(action.Owner); p == nil || !p.Grant(action) {
			e.returnGrant(e.options.Name, action.ID)
		}
	case allocator.Refusal:
		if action.Owner == e.options.Name {
			e.RefuseSlotRequest(nil, action)
			return
		}
		// An owner that is gone needs no refusal.
		if p := e.directory.entry(action.Owner); p != nil {
			p.RefuseSlotRequest(action)
		}
	}
}

// lose asks again for what waits at an entry whose connection was lost.
func (a *allocators) lose(entry string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for pool, at := range a.at {
		if at == entry {
			a.lost[pool] = true
		}
	}
}

// update adopts changed pools, and asks again for everything that waits in a pool whose allocator moved.
func (a *allocators) update(e *Entry) {
	snapshot := e.tables.Current()
	if a.changed.Swap(false) {
		a.adopt(e)
	}
	live := e.liveEntries()
	a.mu.Lock()
	var moved, left []string
	for pool := range snapshot.Pools {
		at := ownership.Rendezvous("Pool/"+pool, live)
		if a.at[pool] != at || a.lost[pool] {
			if a.at[pool] != "" {
				moved = append(moved, pool)
			}
			if a.at[pool] == e.options.Name && at != e.options.Name {
				left = append(left, pool)
			}
			a.at[pool] = at
			delete(a.lost, pool)
		}
	}
	a.mu.Unlock()
	for _, pool := range left {
		e.withdrawLocal(pool, e.options.Name, "", 0)
	}
	slices.Sort(moved)
	for _, pool := range moved {
		e.eachOwner(func(now time.Time, o *job.Owner) []job.Action { return o.AllocatorLost(now, pool) })
	}
}

func (a *allocators) adopt(e *Entry) {
	a.mu.Lock()
	// Under the lock, so that an allocator that was created for a newer pool is not removed.
	snapshot := e.tables.Current()
	existing := maps.Clone(a.byPool)
	for pool := range existing {
		if _, ok := snapshot.Pools[pool]; !ok {
			delete(a.byPool, pool)
		}
	}
	a.mu.Unlock()
	for pool, p := range existing {
		if row, ok := snapshot.Pools[pool]; ok {
			p.decide(e, func(now time.Time, a *allocator.Allocator) []allocator.Action { return a.SetPool(now, row) })
		}
	}
}

// liveEntries returns the entries that may be allocators: this one and those it is connected to, unless
// they drain.
func (e *Entry) liveEntries() []string {
	live := []string{e.options.Name}
	if e.draining.Load() {
		live = nil
	}
	e.ownership.mu.Lock()
	defer e.ownership.mu.Unlock()
	for _, p := range e.directory.connectedEntries() {
		if e.ownership.state.PeerAvailable(p.Name) {
			live = append(live, p.Name)
		}
	}
	if len(live) == 0 {
		live = []string{e.options.Name}
	}
	return live
}

// allocatorOf returns the connection to the allocator of a pool, or nil with local set if it is this entry.
func (e *Entry) allocatorOf(pool string) (p *inner.Peer, local bool) {
	e.allocators.mu.Lock()
	at := e.allocators.at[pool]
	e.allocators.mu.Unlock()
	if at == "" {
		at = ownership.Rendezvous("Pool/"+pool, e.liveEntries())
	}
	if at == e.options.Name {
		return nil, true
	}
	return e.directory.entry(at), false
}

func (e *Entry) requestSlots(pool string, slotRequest allocator.SlotRequest) {
	p, local := e.allocatorOf(pool)
	if local {
		e.RequestSlots(nil, pool, slotRequest)
		return
	}
	if p == nil || !p.RequestSlots(pool, slotRequest) {
		e.allocators.mu.Lock()
		e.allocators.lost[pool] = true
		e.allocators.mu.Unlock()
	}
}

func (e *Entry) withdraw(pool, requestID string, count int) {
	p, local := e.allocatorOf(pool)
	if local {
		e.withdrawLocal(pool, e.options.Name, requestID, count)
		return
	}
	if p != nil {
		p.WithdrawSlotRequest(pool, requestID, count)
	}
}

// withdrawLocal withdraws slots of a request, or all requests of the owner if requestID is empty.
func (e *Entry) withdrawLocal(pool, owner, requestID string, count int) {
	if a := e.allocators.of(e, pool); a != nil {
		a.decide(e, func(now time.Time, a *allocator.Allocator) []allocator.Action {
			if requestID == "" {
				return a.OwnerLost(now, owner)
			}
			return a.Withdraw(now, owner, requestID, count)
		})
	}
}

// returnGrant gives a grant back to the entry that made it. Allocators know their own grants by ID.
func (e *Entry) returnGrant(at, grant string) {
	if at != e.options.Name {
		if p := e.directory.entry(at); p != nil {
			p.ReturnGrant("", grant)
		}
		return
	}
	e.allocators.each(e, func(now time.Time, a *allocator.Allocator) []allocator.Action {
		return a.Return(now, grant)
	})
}

// RequestSlots implements inner.SlotHandler.
func (e *Entry) RequestSlots(_ *inner.Peer, pool string, slotRequest allocator.SlotRequest) {
	a := e.allocators.of(e, pool)
	if a == nil {
		e.performAllocator(allocator.Refusal{
			RequestID: slotRequest.ID, Owner: slotRequest.Owner, Count: slotRequest.Count, Reason: allocator.UnknownPool,
		})
		return
	}
	a.decide(e, func(now time.Time, a *allocator.Allocator) []allocator.Action {
		return a.RequestSlots(now, slotRequest)
	})
}

// WithdrawSlotRequest implements inner.SlotHandler.
func (e *Entry) WithdrawSlotRequest(p *inner.Peer, pool, requestID string, count int) {
	e.withdrawLocal(pool, p.Name, requestID, count)
}

// ReturnGrant implements inner.SlotHandler.
func (e *Entry) ReturnGrant(_ *inner.Peer, _, grant string) { e.returnGrant(e.options.Name, grant) }

// ReleaseSlot implements inner.SlotHandler.
func (e *Entry) ReleaseSlot(_ *inner.Peer, r allocator.Release) {
	if a := e.allocators.of(e, e.directory.poolOf(r.BackendServer)); a != nil {
		a.decide(e, func(now time.Time, a *allocator.Allocator) []allocator.Action { return a.Release(now, r) })
	}
}
