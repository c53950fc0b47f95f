// Package connlimit decides which connections a listener keeps when it has as many as it may have.
//
// A new connection takes the place of the one that is worth least to its client: first one that has not sent a
// complete request for some time, then the one that has been idle for the longest time, then any that has not sent a
// complete request. Connections whose request is being served are never closed. If all are, the new one is refused.
//
// A Limit is a state machine without a lock: it takes the time and returns what to close.
package connlimit

import "time"

// ID identifies an open connection.
type ID uint64

// State is what a connection is doing.
type State int

// States of a connection.
const (
	Receiving State = iota // it has not sent a complete request
	Idle                   // it has had its responses and may send another request
	Serving                // its request is being served
	stateCount
)

// stalledAfter is how long an ordinary client needs at most for a request that is not disturbed. A connection that has
// needed longer is closed before idle ones, which ordinary clients keep for their next request.
const stalledAfter = time.Second

// connection is an open connection, and an element of the list of its state.
type connection struct {
	id             ID
	since          time.Time
	previous, next *connection
}

// Limit is the set of connections of a listener. Create it with New.
type Limit struct {
	most        int
	connections map[ID]*connection
	// heads are the heads of cyclic lists. The connection that has been in the state for the longest time is first.
	heads [stateCount]connection
}

// New returns a limit of a number of connections.
func New(most int) *Limit {
	l := &Limit{most: most, connections: map[ID]*connection{}}
	for i := range l.heads {
		head := &l.heads[i]
		head.previous, head.next = head, head
	}
	return l
}

// Count returns the number of open connections.
func (l *Limit) Count() int { return len(l.connections) }

// Open adds a new connection. If full is true, there is no room: the connection closing has to be closed, and is
// removed. That may be the new one.
func (l *Limit) Open(now time.Time, id ID) (closing ID, full bool) {
	if len(l.connections) >= l.most {
		victim, found := l.victim(now)
		if !found {
			return id, true
		}
		closing, full = victim.id, true
		l.Close(victim.id)
	}
	c := &connection{id: id}
	l.connections[id] = c
	l.append(now, c, Receiving)
	return closing, full
}

// SetState says what a connection is doing from now on. It has no effect on a connection that was removed.
func (l *Limit) SetState(now time.Time, id ID, state State) {
	if c, ok := l.connections[id]; ok {
		c.unlink()
		l.append(now, c, state)
	}
}

// Close removes a connection. It has no effect on one that was removed before.
func (l *Limit) Close(id ID) {
	if c, ok := l.connections[id]; ok {
		c.unlink()
		delete(l.connections, id)
	}
}

func (l *Limit) append(now time.Time, c *connection, state State) {
	c.since = now
	head := &l.heads[state]
	c.previous, c.next = head.previous, head
	c.previous.next, head.previous = c, c
}

func (c *connection) unlink() {
	c.previous.next, c.next.previous = c.next, c.previous
}

func (l *Limit) victim(now time.Time) (c *connection, found bool) {
	receiving, hasReceiving := l.first(Receiving)
	if hasReceiving && now.Sub(receiving.since) >= stalledAfter {
		return receiving, true
	}
	if idle, ok := l.first(Idle); ok {
		return idle, true
	}
	return receiving, hasReceiving
}

func (l *Limit) first(state State) (c *connection, found bool) {
	head := &l.heads[state]
	return head.next, head.next != head
}
