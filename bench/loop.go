package bench

import "time"

// message is an event of the simulation: something that happens at a process at a time.
type message struct {
	at  time.Duration
	seq uint64
	run func()
}

// loop runs messages in order of time. Messages of the same time run in the order in which they were added,
// so that a simulation repeats exactly.
type loop struct {
	now  time.Duration
	seq  uint64
	heap []message
}

func (m message) before(other message) bool {
	return m.at < other.at || m.at == other.at && m.seq < other.seq
}

// after runs the function when the given time has passed.
func (l *loop) after(d time.Duration, run func()) {
	l.seq++
	l.heap = append(l.heap, message{at: l.now + max(d, 0), seq: l.seq, run: run})
	for i := len(l.heap) - 1; i > 0; {
		parent := (i - 1) / 2
		if !l.heap[i].before(l.heap[parent]) {
			return
		}
		l.heap[i], l.heap[parent] = l.heap[parent], l.heap[i]
		i = parent
	}
}

// runAll runs messages until none is left.
func (l *loop) runAll() {
	for len(l.heap) > 0 {
		next := l.pop()
		l.now = next.at
		next.run()
	}
}

func (l *loop) pop() message {
	top, last := l.heap[0], len(l.heap)-1
	l.heap[0] = l.heap[last]
	l.heap[last] = message{}
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
