package httpserver

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"dogwoodglade/core/bodybudget"
	"dogwoodglade/core/event"
)

// Bodies is the memory that the unfinished request bodies of a process may use. Servers of the process share it.
// Create it with NewBodies.
type Bodies struct {
	refused  metrics.Counter
	timedOut metrics.Counter
	log      *eventLog

	mu     sync.Mutex // guards what follows
	budget *bodybudget.Budget
	nextID bodybudget.ID
	open   map[bodybudget.ID]*body
}

// NewBodies returns a budget of a number of bytes. Its metrics are HTTP.BodyBytes, HTTP.BodiesRefused and
// HTTP.BodiesTimedOut.
func NewBodies(total int64, report Report, registry metrics.Registry) *Bodies {
	b := &Bodies{
		refused:  metrics.GetOrRegisterCounter("HTTP.BodiesRefused", registry),
		timedOut: metrics.GetOrRegisterCounter("HTTP.BodiesTimedOut", registry),
		log:      &eventLog{report: report, number: event.BodiesRefused},
		budget:   bodybudget.New(total), open: map[bodybudget.ID]*body{},
	}
	held := metrics.NewFunctionalGauge(func() int64 {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.budget.Held()
	})
	_ = registry.Register("HTTP.BodyBytes", held)
	return b
}

// body is a request body that is being read or used.
type body struct {
	id      bodybudget.ID
	bodies  *Bodies
	conn    *conn
	data    []byte    // from newBuffer; used by the handler's goroutine only
	decided chan bool // whether the waiting reservation was granted
}

// maxWait is how long a body waits for memory. Refused bodies return theirs at once; those that are complete may keep it
// while their requests are served.
const maxWait = 2 * time.Second

// past is a deadline that has passed. A connection with it returns from a blocked read at once.
var past = time.Unix(1, 0)

func (b *Bodies) add(c *conn) *body {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nextID++
	x := &body{id: b.nextID, bodies: b, conn: c}
	b.open[x.id] = x
	b.budget.Open(time.Now(), x.id)
	return x
}

// reserve reserves bytes, and waits for them if others have to be refused first. It reports false if this body is
// refused.
func (x *body) reserve(bytes int) bool {
	b := x.bodies
	b.mu.Lock()
	granted, actions := b.budget.Reserve(time.Now(), x.id, int64(bytes))
	if granted {
		b.mu.Unlock()
		return true
	}
	decided := make(chan bool, 1)
	x.decided = decided
	b.perform(actions)
	b.mu.Unlock()
	timer := time.AfterFunc(maxWait, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.perform(b.budget.Abandon(time.Now(), x.id))
	})
	defer timer.Stop()
	return <-decided
}

func (x *body) shrink(bytes int) {
	b := x.bodies
	b.mu.Lock()
	defer b.mu.Unlock()
	b.perform(b.budget.Shrink(time.Now(), x.id, int64(bytes)))
}

// complete reports false if the body was refused before it was complete.
func (x *body) complete() bool {
	b := x.bodies
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Complete(x.id)
}

// close returns the memory of the body. Further calls have no effect.
func (x *body) close() {
	b := x.bodies
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.open[x.id] == nil {
		return
	}
	delete(b.open, x.id)
	if cap(x.data) > 0 {
		freeBuffer(x.data)
		x.data = nil
	}
	b.perform(b.budget.Close(time.Now(), x.id))
}

// perform carries out actions. The caller holds mu.
func (b *Bodies) perform(actions []bodybudget.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case bodybudget.Grant:
			b.open[a.ID].decide(true)
		case bodybudget.Refuse:
			x := b.open[a.ID]
			b.refused.Inc(1)
			b.log.add(x.conn.server.options.Name)
			_ = x.conn.SetReadDeadline(past)
			x.decide(false)
		}
	}
}

// decide ends the wait of reserve. The caller holds mu.
func (x *body) decide(granted bool) {
	if x.decided != nil {
		x.decided <- granted
		x.decided = nil
	}
}
