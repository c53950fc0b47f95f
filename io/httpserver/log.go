package httpserver

import (
	"sync"
	"time"

	"dogwoodglade/core/event"
)

// Report records an event of a listener: ConnectionsClosed or BodiesRefused, with the number of occurrences since the
// last one.
type Report func(number event.Number, listener string, count int)

// reportInterval limits the events of one kind, so that a crowd of clients does not fill the log.
const reportInterval = time.Second

// eventLog reports an event at most once in reportInterval.
type eventLog struct {
	report Report
	number event.Number

	mu         sync.Mutex // guards what follows
	count      int
	reportedAt time.Time
}

func (l *eventLog) add(listener string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count++
	now := time.Now()
	if now.Sub(l.reportedAt) < reportInterval {
		return
	}
	l.report(l.number, listener, l.count)
	l.count, l.reportedAt = 0, now
}
