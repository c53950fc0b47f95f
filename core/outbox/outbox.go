// Package outbox provides a queue for the actions that a state machine returns, so that they are performed in order
// but without holding the lock of the state machine.
//
// A caller pushes the actions while it holds the lock of the state machine, and calls Perform after it has released
// the lock. Only one goroutine performs actions of an outbox at a time, so they are performed in the order in which
// they were pushed.
package outbox

import "sync"

// Outbox is a queue of the actions of one state machine. The zero value is an empty queue.
type Outbox[T any] struct {
	mu         sync.Mutex
	items      []T
	performing bool
}

// Push appends actions to the queue.
func (o *Outbox[T]) Push(items ...T) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.items = append(o.items, items...)
}

// Idle reports whether all pushed actions have been performed.
func (o *Outbox[T]) Idle() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.performing && len(o.items) == 0
}

// Perform calls perform for each queued action, including actions that are pushed meanwhile. If another call of
// Perform is in progress, in another goroutine or further up the stack of this one, Perform returns immediately and
// that call performs the actions.
func (o *Outbox[T]) Perform(perform func(T)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.performing {
		return
	}
	o.performing = true
	for len(o.items) > 0 {
		items := o.items
		o.items = nil
		o.mu.Unlock()
		for _, item := range items {
			perform(item)
		}
		o.mu.Lock()
	}
	o.performing = false
}
