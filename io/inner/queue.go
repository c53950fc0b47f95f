package inner

import "sync"

// queue holds the notifications that wait to be sent. It allocates memory as needed, because a buffered channel of
// outboxCapacity takes 2 MB for each connection, and an entry has a connection to each agent of its region.
type queue struct {
	wake chan struct{} // capacity 1; holds a value if items were pushed since the last receive

	mu     sync.Mutex
	items  []notification
	unsent int // notifications not yet sent, including those that takeAll returned
}

func newQueue() *queue { return &queue{wake: make(chan struct{}, 1)} }

// push returns false if the queue is full.
func (q *queue) push(n notification) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.unsent >= outboxCapacity {
		return false
	}
	q.items = append(q.items, n)
	q.unsent++
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return true
}

// takeAll removes and returns all notifications. They count towards the capacity until markSent is called.
func (q *queue) takeAll() []notification {
	q.mu.Lock()
	defer q.mu.Unlock()
	items := q.items
	q.items = nil
	return items
}

// markSent records that n of the notifications that takeAll returned have been sent.
func (q *queue) markSent(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.unsent -= n
}

// empty reports whether all notifications have been sent.
func (q *queue) empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.unsent == 0
}
