package event

import (
	"sync"
	"time"
)

// Recorder keeps the latest events of one process and its hybrid logical clock. It is safe for concurrent
// use.
type Recorder struct {
	process string
	now     func() time.Time

	mu      sync.Mutex
	last    Stamp
	records []Event
	next    int
	full    bool
	sinks   []func(Event)
}

// NewRecorder returns a recorder that keeps the given number of events. Sinks see each event once, in
// order, and must not call the recorder.
func NewRecorder(process string, capacity int, now func() time.Time, sinks ...func(Event)) *Recorder {
	return &Recorder{
		process: process,
		now:     now,
		records: make([]Event, max(capacity, 1)),
		sinks:   sinks,
	}
}

// Record stamps the event and keeps it, in place of the oldest one if the recorder is full.
func (r *Recorder) Record(e Event) Stamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Process = r.process
	e.Stamp = r.advance(Stamp{})
	r.records[r.next] = e
	r.next = (r.next + 1) % len(r.records)
	r.full = r.full || r.next == 0
	for _, sink := range r.sinks {
		sink(e)
	}
	return e.Stamp
}

// Stamp returns a stamp to send with a message.
func (r *Recorder) Stamp() Stamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.advance(Stamp{})
}

// Observe moves the clock past a stamp received with a message.
func (r *Recorder) Observe(remote Stamp) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(remote)
}

// Events returns the kept events, oldest first.
func (r *Recorder) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.full {
		return append([]Event(nil), r.records[:r.next]...)
	}
	events := append([]Event(nil), r.records[r.next:]...)
	return append(events, r.records[:r.next]...)
}

func (r *Recorder) advance(remote Stamp) Stamp {
	wall := Stamp{Wall: r.now().UnixNano()}
	latest := r.last
	if latest.Compare(remote) < 0 {
		latest = remote
	}
	if wall.Wall > latest.Wall {
		r.last = wall
	} else {
		r.last = Stamp{Wall: latest.Wall, Logical: latest.Logical + 1}
	}
	return r.last
}
