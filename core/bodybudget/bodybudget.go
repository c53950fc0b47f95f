// Package bodybudget decides which unfinished request bodies may use memory when there is not enough for all of them.
//
// A body reserves memory before it grows. If a reservation does not fit, the bodies that have used the most memory for
// the longest time are refused until it does. An ordinary body is small and arrives within milliseconds, so it is never
// the one that is refused while a large or a stalled one is there. A body that has arrived completely is never refused.
//
// A Budget is a state machine without a lock: it takes the time and returns actions.
package bodybudget

import (
	"slices"
	"time"
)

// ID identifies an open body.
type ID uint64

// Action is what the owner of a Budget has to do: Grant or Refuse.
type Action interface{ isAction() }

// Grant says that the waiting reservation of a body has been made.
type Grant struct{ ID ID }

// Refuse says that a body may not use more memory. Its reader has to drop what it has read, and to call Close.
type Refuse struct{ ID ID }

func (Grant) isAction()  {}
func (Refuse) isAction() {}

// body is an open body. A refused or complete one stays until its reader has dropped it.
type body struct {
	openedAt time.Time
	held     int64
	wants    int64 // size of the waiting reservation
	complete bool
	refused  bool
}

// Budget shares a number of bytes between bodies. Create it with New.
type Budget struct {
	total     int64
	held      int64
	returning int64 // held by refused bodies, which are closed at once; complete ones may be held while a request is served
	bodies    map[ID]*body
	waiting   []ID // in the order of their reservations
}

// New returns a budget of a number of bytes.
func New(total int64) *Budget { return &Budget{total: total, bodies: map[ID]*body{}} }

// Held returns the number of bytes that are in use.
func (b *Budget) Held() int64 { return b.held }

// Open adds a body that holds nothing yet.
func (b *Budget) Open(now time.Time, id ID) { b.bodies[id] = &body{openedAt: now} }

// Reserve reserves further bytes for a body. If granted is false, the body has to wait for a Grant or a Refuse, which
// may be among the actions. A body has one waiting reservation at most.
func (b *Budget) Reserve(now time.Time, id ID, bytes int64) (granted bool, actions []Action) {
	x := b.bodies[id]
	switch {
	case x.refused:
		return false, []Action{Refuse{ID: id}}
	case b.held+bytes <= b.total:
		b.held += bytes
		x.held += bytes
		return true, nil
	case x.held+bytes > b.total:
		return false, append([]Action{b.refuse(id)}, b.settle(now)...)
	}
	x.wants = bytes
	b.waiting = append(b.waiting, id)
	return false, b.settle(now)
}

// Abandon refuses a body whose reservation has waited for too long. It has no effect on one that does not wait.
func (b *Budget) Abandon(now time.Time, id ID) []Action {
	if x, ok := b.bodies[id]; !ok || x.wants == 0 {
		return nil
	}
	return append([]Action{b.refuse(id)}, b.settle(now)...)
}

// Shrink returns bytes of a body that stays open.
func (b *Budget) Shrink(now time.Time, id ID, bytes int64) []Action {
	x := b.bodies[id]
	x.held -= bytes
	b.held -= bytes
	if x.refused {
		b.returning -= bytes
	}
	return b.settle(now)
}

// Complete says that a body has arrived completely. It reports false if the body was refused before.
func (b *Budget) Complete(id ID) bool {
	x := b.bodies[id]
	if x.refused {
		return false
	}
	x.complete = true
	return true
}

// Close removes a body whose memory is no longer in use.
func (b *Budget) Close(now time.Time, id ID) []Action {
	x := b.bodies[id]
	b.held -= x.held
	if x.refused {
		b.returning -= x.held
	}
	delete(b.bodies, id)
	b.removeWaiting(id)
	return b.settle(now)
}

// settle makes the waiting reservations that fit. For the first one that does not, it refuses bodies until it will fit
// when the refused ones have been closed. If too little is held by unfinished bodies, it waits for complete ones.
func (b *Budget) settle(now time.Time) []Action {
	var actions []Action
	for len(b.waiting) > 0 {
		id := b.waiting[0]
		x := b.bodies[id]
		if b.held+x.wants <= b.total {
			b.held += x.wants
			x.held, x.wants = x.held+x.wants, 0
			b.waiting = b.waiting[1:]
			actions = append(actions, Grant{ID: id})
			continue
		}
		if b.held+x.wants-b.returning <= b.total {
			break
		}
		victim, found := b.victim(now)
		if !found {
			break
		}
		actions = append(actions, b.refuse(victim))
	}
	return actions
}

// victim returns the body that has used the most memory for the longest time.
func (b *Budget) victim(now time.Time) (victim ID, found bool) {
	most := float64(0)
	for id, x := range b.bodies {
		if x.refused || x.complete || x.held == 0 {
			continue
		}
		// A body opened at this instant has some weight, so that the largest of several new ones is found.
		use := float64(x.held+x.wants) * (now.Sub(x.openedAt) + time.Millisecond).Seconds()
		if !found || use > most || use == most && id < victim {
			victim, most, found = id, use, true
		}
	}
	return victim, found
}

func (b *Budget) refuse(id ID) Refuse {
	x := b.bodies[id]
	x.refused, x.wants = true, 0
	b.returning += x.held
	b.removeWaiting(id)
	return Refuse{ID: id}
}

func (b *Budget) removeWaiting(id ID) {
	if i := slices.Index(b.waiting, id); i >= 0 {
		b.waiting = slices.Delete(b.waiting, i, i+1)
	}
}
