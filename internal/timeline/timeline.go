// Package timeline is the event queue of discrete-event simulations, for tests that run the state machines in simulated
// time without a network.
package timeline

import (
	"container/heap"
	"time"
)

// Timeline is a queue of events ordered by time. Events with the same time are returned in the order in which they were
// added. The zero value is an empty queue.
type Timeline struct {
	events events
	next   int
}

// At adds an event that calls do at the given time.
func (t *Timeline) At(at time.Time, do func()) {
	t.next++
	heap.Push(&t.events, event{at: at, sequence: t.next, do: do})
}

// Next removes and returns the earliest event. It reports false if the queue is empty.
func (t *Timeline) Next() (at time.Time, do func(), ok bool) {
	if len(t.events) == 0 {
		return time.Time{}, nil, false
	}
	e := heap.Pop(&t.events).(event)
	return e.at, e.do, true
}

type event struct {
	at       time.Time
	sequence int
	do       func()
}

type events []event

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, k int) bool {
	if e[i].at.Equal(e[k].at) {
		return e[i].sequence < e[k].sequence
	}
	return e[i].at.Before(e[k].at)
}

// Swap implements heap.Interface.
func (e events) Swap(i, k int) { e[i], e[k] = e[k], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
