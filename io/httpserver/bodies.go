package httpserver

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"dogwoodglade/core/event"
	"dogwoodglade/internal/membudget"
)

// Bodies is the memory that the unfinished request bodies of a process may use. Servers of the process share it.
// Create it with NewBodies.
type Bodies struct {
	refused  metrics.Counter
	timedOut metrics.Counter
	log      *eventLog
	budget   *membudget.Budget
}

// NewBodies returns a budget of a number of bytes. Its metrics are HTTP.BodyBytes, HTTP.BodiesRefused and
// HTTP.BodiesTimedOut.
func NewBodies(total int64, report Report, registry metrics.Registry) *Bodies {
	b := &Bodies{
		refused:  metrics.GetOrRegisterCounter("HTTP.BodiesRefused", registry),
		timedOut: metrics.GetOrRegisterCounter("HTTP.BodiesTimedOut", registry),
		log:      &eventLog{report: report, number: event.BodiesRefused},
		budget:   membudget.New(total),
	}
	_ = registry.Register("HTTP.BodyBytes", metrics.NewFunctionalGauge(b.budget.Held))
	return b
}

// body is a request body that is being read or used.
type body struct {
	share *membudget.Share
	data  []byte // from newBuffer; used by the handler's goroutine only
}

// past is a deadline that has passed. A connection with it returns from a blocked read at once.
var past = time.Unix(1, 0)

func (b *Bodies) add(c *conn) *body {
	return &body{share: b.budget.Open(func() {
		b.refused.Inc(1)
		b.log.add(c.server.options.Name)
		_ = c.SetReadDeadline(past)
	})}
}

// close returns the memory of the body. Further calls have no effect.
func (x *body) close() {
	if cap(x.data) > 0 {
		freeBuffer(x.data)
		x.data = nil
	}
	x.share.Close()
}
