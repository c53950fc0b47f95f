package httpserver

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"dogwoodglade/core/event"
)

// logInterval limits the log lines of one kind, so that a crowd of clients does not fill the log.
const logInterval = time.Second

// eventLog logs an event at most once in logInterval, with the number of occurrences since the last line.
type eventLog struct {
	logger zerolog.Logger
	number event.Number

	mu       sync.Mutex // guards what follows
	count    int
	loggedAt time.Time
}

func newEventLog(logger zerolog.Logger, number event.Number) *eventLog {
	return &eventLog{logger: logger, number: number}
}

func (l *eventLog) add(listener string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count++
	now := time.Now()
	if now.Sub(l.loggedAt) < logInterval {
		return
	}
	l.logger.Warn().Int("Number", int(l.number)).Str("Event", l.number.String()).Str("Listener", listener).
		Int("Count", l.count).Send()
	l.count, l.loggedAt = 0, now
}
