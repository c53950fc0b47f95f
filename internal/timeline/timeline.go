// Package timeline provides the event queue of discrete-event simulations, for tests that run the state machines in
// simulated time without a network.
package timeline

import (
	"container/heap"
	"time"
)

// EventQueue is a queue of events ordered by time. Events with the same time are returned in the order in which they
// were added. The zero value is an empty queue.
type EventQueue struct {
	events       eventHeap
	lastSequence int
}

// Schedule adds an event that calls do at the given time.
func (q *EventQueue) Schedule(at time.Time, do func()) {
	q.lastSequence++
	heap.Push(&q.events, event{at: at, sequence: q.lastSequence, do: do})
}

// Pop removes and returns the earliest event. It reports false if the queue is empty.
func (q *EventQueue) Pop() (at time.Time, do func(), ok bool) {
	if len(q.events) == 0 {
		return time.Time{}, nil, false
	}
	e := heap.Pop(&q.events).(event)
	return e.at, e.do, true
}

type event struct {
	at       time.Time
	sequence int
	do       func()
}

type eventHeap []event

// Len implements heap.Interface.
func (e eventHeap) Len() int { return len(e) }

// Less implements heap.Interface.
func (e eventHeap) Less(i, k int) bool {
	if e[i].at.Equal(e[k].at) {
		return e[i].sequence < e[k].sequence
	}
	return e[i].at.Before(e[k].at)
}

// Swap implements heap.Interface.
func (e eventHeap) Swap(i, k int) { e[i], e[k] = e[k], e[i] }

// Push implements heap.Interface.
func (e *eventHeap) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *eventHeap) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
