// Package outbox keeps the actions of decision code in order while they are performed outside its lock.
//
// The wiring of a process pushes the actions of a decision while it holds the lock of the decision's state,
// and performs them after it released the lock. One goroutine performs at a time, so actions of one outbox
// are performed in the order of the decisions.
package outbox

import "sync"

// Outbox is a queue of actions of one state. The zero value is empty.
type Outbox[T any] struct {
	mu         sync.Mutex
	items      []T
	performing bool
}

// Push adds actions.
func (o *Outbox[T]) Push(items ...T) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.items = append(o.items, items...)
}

// Idle reports whether all actions were performed.
func (o *Outbox[T]) Idle() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.performing && len(o.items) == 0
}

// Perform performs all actions, including those that are pushed meanwhile. If another goroutine is
// performing, or this one is further up its stack, Perform returns at once and the other call goes on.
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
