package inner

import "sync"

// queue holds the notifications that wait to be sent. It grows with what waits: a buffered channel of
// outboxCapacity takes 2 MB for each connection, and an entry has one to each agent of its region.
type queue struct {
	wake chan struct{} // has an element while notifications wait

	mu      sync.Mutex
	items   []notification
	waiting int // items that were not sent yet, those taken included
}

func newQueue() *queue { return &queue{wake: make(chan struct{}, 1)} }

// push reports false if the queue is full.
func (q *queue) push(n notification) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiting >= outboxCapacity {
		return false
	}
	q.items = append(q.items, n)
	q.waiting++
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return true
}

// take removes all notifications. Each still counts until it is sent.
func (q *queue) take() []notification {
	q.mu.Lock()
	defer q.mu.Unlock()
	items := q.items
	q.items = nil
	return items
}

// sent takes note that the items of a take were sent.
func (q *queue) sent(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting -= n
}

// empty reports whether everything was sent.
func (q *queue) empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting == 0
}
