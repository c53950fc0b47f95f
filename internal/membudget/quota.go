package membudget

import "sync"

// Quota is a number of bytes that is reserved at once or not at all. Create it with NewQuota.
type Quota struct {
	mu    sync.Mutex
	total int64
	used  int64
}

// NewQuota returns a quota of a number of bytes.
func NewQuota(total int64) *Quota { return &Quota{total: total} }

// largeShare is the part of a quota, as a divisor, that large reservations leave to small ones.
const largeShare = 4

// TryReserve reserves bytes until release is called. Without room for them, ok is false. Large reservations leave a quarter
// of the quota to others.
func (q *Quota) TryReserve(bytes int64, large bool) (release func(), ok bool) {
	most := q.total
	if large {
		most -= most / largeShare
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.used+bytes > most {
		return nil, false
	}
	q.used += bytes
	return sync.OnceFunc(func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.used -= bytes
	}), true
}

// Used returns the number of reserved bytes.
func (q *Quota) Used() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.used
}
