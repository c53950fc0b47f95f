// Package connlimit decides which connections a listener keeps when it has as many as it may have.
//
// A new connection takes the place of the one that its client needs least: first one that has not sent a complete
// request, or has not read its response, for some time, then the one that has been idle for the longest time, then any
// that has not sent a complete request. Connections whose request is being served are never closed. If all are, the new
// one is refused. A sixteenth of the places is not for serving: a request on them gets a response that says so.
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
	Receiving  State = iota // it has not sent a complete request
	Idle                    // it has had its responses and may send another request
	Serving                 // its request is being served
	Responding              // bytes of a response wait for the client
	stateCount
)

// stalledAfter is how long an ordinary client needs at most for a request that is not disturbed. A connection that has
// needed longer is closed before idle ones, which ordinary clients keep for their next request.
const stalledAfter = time.Second

// notServingShare is the part of the places, as a divisor, on which no request is served. Without it, new clients get no
// response at all while callers hold all places with requests that take long.
const notServingShare = 16

// connection is an open connection, and an element of the list of its state.
type connection struct {
	id             ID
	state          State
	since          time.Time
	previous, next *connection
}

// Limit is the set of connections of a listener. Create it with New.
type Limit struct {
	most        int
	serving     int // connections in the state Serving
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

// SetState says what a connection is doing from now on, and returns what it did before. It has no effect on a connection
// that was removed.
func (l *Limit) SetState(now time.Time, id ID, state State) (previous State) {
	c, ok := l.connections[id]
	if !ok {
		return state
	}
	previous = c.state
	l.remove(c)
	l.append(now, c, state)
	return previous
}

// Serve changes the state of a connection to Serving. It reports false, and changes nothing, if the connection was
// removed or if as many requests as may be are being served.
func (l *Limit) Serve(now time.Time, id ID) bool {
	c, ok := l.connections[id]
	switch {
	case !ok:
		return false
	case c.state == Serving:
		return true
	case l.serving >= l.most-l.most/notServingShare:
		return false
	}
	l.SetState(now, id, Serving)
	return true
}

// Close removes a connection. It has no effect on one that was removed before.
func (l *Limit) Close(id ID) {
	if c, ok := l.connections[id]; ok {
		l.remove(c)
		delete(l.connections, id)
	}
}

func (l *Limit) append(now time.Time, c *connection, state State) {
	c.since, c.state = now, state
	if state == Serving {
		l.serving++
	}
	head := &l.heads[state]
	c.previous, c.next = head.previous, head
	c.previous.next, head.previous = c, c
}

func (l *Limit) remove(c *connection) {
	if c.state == Serving {
		l.serving--
	}
	c.previous.next, c.next.previous = c.next, c.previous
}

func (l *Limit) victim(now time.Time) (c *connection, found bool) {
	receiving, hasReceiving := l.first(Receiving)
	if hasReceiving && now.Sub(receiving.since) >= stalledAfter {
		return receiving, true
	}
	if responding, ok := l.first(Responding); ok && now.Sub(responding.since) >= stalledAfter {
		return responding, true
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
