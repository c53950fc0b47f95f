package entry

import (
	"strconv"
	"sync"

	"dogwoodglade/core/job"
)

// waiters delivers answers to the submissions that wait in this entry.
type waiters struct {
	mu   sync.Mutex
	next uint64
	byID map[string]chan job.Answer
}

func (w *waiters) init() { w.byID = map[string]chan job.Answer{} }

// add returns a new waiter and the channel of its answer.
func (w *waiters) add() (id string, answer <-chan job.Answer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.next++
	id = strconv.FormatUint(w.next, 10)
	c := make(chan job.Answer, 1)
	w.byID[id] = c
	return id, c
}

func (w *waiters) remove(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.byID, id)
}

// deliver sends an answer to its waiter. Further answers for the same waiter are dropped.
func (w *waiters) deliver(id string, a job.Answer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c, ok := w.byID[id]; ok {
		delete(w.byID, id)
		c <- a
	}
}

func (w *waiters) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.byID)
}
