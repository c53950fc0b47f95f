package bench

import "time"

// scheduledEvent is an event of the simulation with the simulated time at which it happens.
type scheduledEvent struct {
	at  time.Duration
	seq uint64
	run func()
}

// eventLoop runs events in chronological order. Events of the same time run in the order in which they were added,
// so that a simulation is reproducible.
type eventLoop struct {
	now  time.Duration
	seq  uint64
	heap []scheduledEvent
}

func (e scheduledEvent) before(other scheduledEvent) bool {
	return e.at < other.at || e.at == other.at && e.seq < other.seq
}

// after schedules a call of the function after the given time.
func (l *eventLoop) after(d time.Duration, run func()) {
	l.seq++
	l.heap = append(l.heap, scheduledEvent{at: l.now + max(d, 0), seq: l.seq, run: run})
	for i := len(l.heap) - 1; i > 0; {
		parent := (i - 1) / 2
		if !l.heap[i].before(l.heap[parent]) {
			return
		}
		l.heap[i], l.heap[parent] = l.heap[parent], l.heap[i]
		i = parent
	}
}

// runAll runs events until none are left.
func (l *eventLoop) runAll() {
	for len(l.heap) > 0 {
		next := l.pop()
		l.now = next.at
		next.run()
	}
}

func (l *eventLoop) pop() scheduledEvent {
	top, last := l.heap[0], len(l.heap)-1
	l.heap[0] = l.heap[last]
	l.heap[last] = scheduledEvent{}
	l.heap = l.heap[:last]
	for i := 0; ; {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < last; child++ {
			if l.heap[child].before(l.heap[least]) {
				least = child
			}
		}
		if least == i {
			return top
		}
		l.heap[i], l.heap[least] = l.heap[least], l.heap[i]
		i = least
	}
}
