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

// poolAllocator is the allocator of one pool in this entry. Every entry keeps an allocator for each pool up
// to date from the agents' heartbeats, so that it can take over at once. Slots are requested only from the
// entry that ranks first for the pool among the live ones.
type poolAllocator struct {
	mu      sync.Mutex
	state   *allocator.Allocator
	actions outbox.Outbox[allocator.Action]
}

// allocators holds this entry's allocators of all pools, and the entry from which the slots of each pool are
// requested.
type allocators struct {
	tablesChanged atomic.Bool // since the last update

	mu           sync.Mutex
	byPool       map[string]*poolAllocator
	entryFor     map[string]string // entry that receives the slot requests, by pool
	requestsLost map[string]bool   // pools with slot requests that could not be sent or whose entry disconnected
}

func (a *allocators) init() {
	a.byPool = map[string]*poolAllocator{}
	a.entryFor = map[string]string{}
	a.requestsLost = map[string]bool{}
	a.tablesChanged.Store(true)
}

// getOrCreate returns the allocator of a pool, or nil if the pool does not exist.
func (a *allocators) getOrCreate(e *Entry, pool string) *poolAllocator {
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

func (a *allocators) each(e *Entry, call func(now time.Time, a *allocator.Allocator) []allocator.Action) {
	a.mu.Lock()
	all := slices.Collect(maps.Values(a.byPool))
	a.mu.Unlock()
	for _, p := range all {
		p.withState(e, call)
	}
}

// withState runs call with the lock held, then performs the returned actions in order.
func (p *poolAllocator) withState(e *Entry, call func(now time.Time, a *allocator.Allocator) []allocator.Action) {
	p.mu.Lock()
	p.actions.Push(call(time.Now(), p.state)...)
	p.mu.Unlock()
	p.actions.Perform(e.performAllocatorAction)
}

func (e *Entry) performAllocatorAction(action allocator.Action) {
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
		// If the owner's entry is gone, no refusal is needed.
		if p := e.directory.entry(action.Owner); p != nil {
			p.RefuseSlotRequest(action)
		}
	}
}

// entryDisconnected marks the pools whose slots were requested from the entry, so that the next update requests
// them again.
func (a *allocators) entryDisconnected(entry string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for pool, allocatorEntry := range a.entryFor {
		if allocatorEntry == entry {
			a.requestsLost[pool] = true
		}
	}
}

// update applies changed tables, and requests slots again for the pools whose allocator has moved or whose
// slot requests were lost.
func (a *allocators) update(e *Entry) {
	snapshot := e.tables.Current()
	if a.tablesChanged.Swap(false) {
		a.applyTables(e)
	}
	live := e.liveEntries()
	a.mu.Lock()
	var moved, movedAway []string
	for pool := range snapshot.Pools {
		allocatorEntry := ownership.Rendezvous("Pool/"+pool, live)
		if a.entryFor[pool] != allocatorEntry || a.requestsLost[pool] {
			if a.entryFor[pool] != "" {
				moved = append(moved, pool)
			}
			if a.entryFor[pool] == e.options.Name && allocatorEntry != e.options.Name {
				movedAway = append(movedAway, pool)
			}
			a.entryFor[pool] = allocatorEntry
			delete(a.requestsLost, pool)
		}
	}
	a.mu.Unlock()
	for _, pool := range movedAway {
		e.withdrawLocally(pool, e.options.Name, "", 0)
	}
	slices.Sort(moved)
	for _, pool := range moved {
		e.eachOwner(func(now time.Time, o *job.Owner) []job.Action { return o.AllocatorLost(now, pool) })
	}
}

func (a *allocators) applyTables(e *Entry) {
	a.mu.Lock()
	// Read under the lock: an older snapshot could lack a pool whose allocator was created meanwhile.
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
			p.withState(e, func(now time.Time, a *allocator.Allocator) []allocator.Action { return a.SetPool(now, row) })
		}
	}
}

// liveEntries returns the entries that can be allocators: this one and those it is connected to, except
// entries that are draining. If there are none, it returns this entry.
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

// allocatorPeer returns the connection to the entry from which a pool's slots are requested, or nil if it is
// not connected. If that is this entry, local is true and p is nil.
func (e *Entry) allocatorPeer(pool string) (p *inner.Peer, local bool) {
	e.allocators.mu.Lock()
	allocatorEntry := e.allocators.entryFor[pool]
	e.allocators.mu.Unlock()
	if allocatorEntry == "" {
		allocatorEntry = ownership.Rendezvous("Pool/"+pool, e.liveEntries())
	}
	if allocatorEntry == e.options.Name {
		return nil, true
	}
	return e.directory.entry(allocatorEntry), false
}

func (e *Entry) requestSlots(pool string, slotRequest allocator.SlotRequest) {
	p, local := e.allocatorPeer(pool)
	if local {
		e.RequestSlots(nil, pool, slotRequest)
		return
	}
	if p == nil || !p.RequestSlots(pool, slotRequest) {
		e.allocators.mu.Lock()
		e.allocators.requestsLost[pool] = true
		e.allocators.mu.Unlock()
	}
}

func (e *Entry) withdrawSlotRequest(pool, requestID string, count int) {
	p, local := e.allocatorPeer(pool)
	if local {
		e.withdrawLocally(pool, e.options.Name, requestID, count)
		return
	}
	if p != nil {
		p.WithdrawSlotRequest(pool, requestID, count)
	}
}

// withdrawLocally withdraws slots of a slot request from the allocator in this entry, or all slot requests of
// the owner if requestID is empty.
func (e *Entry) withdrawLocally(pool, owner, requestID string, count int) {
	if a := e.allocators.getOrCreate(e, pool); a != nil {
		a.withState(e, func(now time.Time, a *allocator.Allocator) []allocator.Action {
			if requestID == "" {
				return a.OwnerLost(now, owner)
			}
			return a.Withdraw(now, owner, requestID, count)
		})
	}
}

// returnGrant returns a grant to the entry that made it. The pool is not needed: allocators recognise their
// own grants by ID.
func (e *Entry) returnGrant(allocatorEntry, grantID string) {
	if allocatorEntry != e.options.Name {
		if p := e.directory.entry(allocatorEntry); p != nil {
			p.ReturnGrant("", grantID)
		}
		return
	}
	e.allocators.each(e, func(now time.Time, a *allocator.Allocator) []allocator.Action {
		return a.Return(now, grantID)
	})
}

// RequestSlots implements inner.SlotHandler.
func (e *Entry) RequestSlots(_ *inner.Peer, pool string, slotRequest allocator.SlotRequest) {
	a := e.allocators.getOrCreate(e, pool)
	if a == nil {
		e.performAllocatorAction(allocator.Refusal{
			RequestID: slotRequest.ID, Owner: slotRequest.Owner, Count: slotRequest.Count, Reason: allocator.UnknownPool,
		})
		return
	}
	a.withState(e, func(now time.Time, a *allocator.Allocator) []allocator.Action {
		return a.RequestSlots(now, slotRequest)
	})
}

// WithdrawSlotRequest implements inner.SlotHandler.
func (e *Entry) WithdrawSlotRequest(p *inner.Peer, pool, requestID string, count int) {
	e.withdrawLocally(pool, p.Name, requestID, count)
}

// ReturnGrant implements inner.SlotHandler.
func (e *Entry) ReturnGrant(_ *inner.Peer, _, grantID string) { e.returnGrant(e.options.Name, grantID) }

// ReleaseSlot implements inner.SlotHandler.
func (e *Entry) ReleaseSlot(_ *inner.Peer, r allocator.Release) {
	if a := e.allocators.getOrCreate(e, e.directory.poolOf(r.BackendServer)); a != nil {
		a.withState(e, func(now time.Time, a *allocator.Allocator) []allocator.Action { return a.Release(now, r) })
	}
}
