package event

import (
	"sync"
	"time"
)

// Recorder keeps the latest events of one process in a ring buffer, and its hybrid logical clock. It is safe for
// concurrent use.
type Recorder struct {
	process string
	now     func() time.Time

	mu   sync.Mutex
	last Stamp // latest stamp of the clock
	ring []Event
	next int // index of the next event in ring
	full bool
	// recorded is the number of events so far.
	recorded uint64
	sinks    []func(Event)
}

// NewRecorder returns a recorder that keeps the last capacity events. Each sink is called once for each event, in
// order and with the recorder locked, so it must not call the recorder.
func NewRecorder(process string, capacity int, now func() time.Time, sinks ...func(Event)) *Recorder {
	return &Recorder{
		process: process,
		now:     now,
		ring:    make([]Event, max(capacity, 1)),
		sinks:   sinks,
	}
}

// Record stamps the event and stores it. If the recorder is full, the event replaces the oldest one.
func (r *Recorder) Record(e Event) Stamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Process = r.process
	e.Stamp = r.advance(Stamp{})
	r.ring[r.next] = e
	r.recorded++
	r.next = (r.next + 1) % len(r.ring)
	r.full = r.full || r.next == 0
	for _, sink := range r.sinks {
		sink(e)
	}
	return e.Stamp
}

// Stamp advances the clock and returns a stamp to send with a message.
func (r *Recorder) Stamp() Stamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.advance(Stamp{})
}

// Observe advances the clock past a stamp that was received with a message.
func (r *Recorder) Observe(remote Stamp) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(remote)
}

// Events returns the stored events, oldest first.
func (r *Recorder) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.full {
		return append([]Event(nil), r.ring[:r.next]...)
	}
	events := append([]Event(nil), r.ring[r.next:]...)
	return append(events, r.ring[:r.next]...)
}

// Read copies stored events into a buffer, oldest first, beginning with the event at a position, or with the oldest one if
// that is no longer stored. It returns the number of events and the position after them. The first event of the process is
// at position 0; Position returns that of the next one.
func (r *Recorder) Read(position uint64, buffer []Event) (n int, next uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	size := uint64(len(r.ring))
	if r.recorded > size {
		position = max(position, r.recorded-size)
	}
	for n < len(buffer) && position < r.recorded {
		buffer[n] = r.ring[position%size]
		n++
		position++
	}
	return n, position
}

// Position returns the position of the next event.
func (r *Recorder) Position() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recorded
}

// advance moves the clock past both its last stamp and the remote one, and returns the new stamp.
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
