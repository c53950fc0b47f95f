// Package membudget shares memory between goroutines that read from connections.
//
// core/bodybudget decides who gets memory; this package makes the others wait for it.
package membudget

import (
	"sync"
	"time"

	"dogwoodglade/core/bodybudget"
)

// maxWait is how long a share waits for memory. Refused shares return theirs at once; complete ones may keep it while they
// are used.
const maxWait = 2 * time.Second

// Budget is a number of bytes that goroutines share. Create it with New.
type Budget struct {
	mu     sync.Mutex // guards what follows
	state  *bodybudget.Budget
	nextID bodybudget.ID
	open   map[bodybudget.ID]*Share
}

// New returns a budget of a number of bytes.
func New(total int64) *Budget {
	return &Budget{state: bodybudget.New(total), open: map[bodybudget.ID]*Share{}}
}

// Held returns the number of bytes that are in use.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.Held()
}

// Share is what one reader has of a Budget. Only its reader calls its methods.
type Share struct {
	id      bodybudget.ID
	budget  *Budget
	refused func()
	decided chan bool // whether the waiting reservation was granted; guarded by budget.mu
}

// Open returns a share that holds nothing yet. If it is refused, refused is called, which should interrupt the reader. It
// must not use the budget.
func (b *Budget) Open(refused func()) *Share {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nextID++
	x := &Share{id: b.nextID, budget: b, refused: refused}
	b.open[x.id] = x
	b.state.Open(time.Now(), x.id)
	return x
}

// Reserve reserves further bytes, and waits for them if others have to be refused first. It reports false if this share is
// refused.
func (x *Share) Reserve(bytes int) bool {
	b := x.budget
	b.mu.Lock()
	granted, actions := b.state.Reserve(time.Now(), x.id, int64(bytes))
	if granted {
		b.mu.Unlock()
		return true
	}
	decided := make(chan bool, 1)
	x.decided = decided
	b.perform(actions)
	b.mu.Unlock()
	timer := time.AfterFunc(maxWait, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.perform(b.state.Abandon(time.Now(), x.id))
	})
	defer timer.Stop()
	return <-decided
}

// Shrink returns bytes.
func (x *Share) Shrink(bytes int) {
	b := x.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.perform(b.state.Shrink(time.Now(), x.id, int64(bytes)))
}

// Complete says that everything has been read, so that the share is not refused any more. It reports false if it was
// refused before.
func (x *Share) Complete() bool {
	b := x.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.Complete(x.id)
}

// Close returns all bytes. Further calls have no effect.
func (x *Share) Close() {
	b := x.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.open[x.id] == nil {
		return
	}
	delete(b.open, x.id)
	b.perform(b.state.Close(time.Now(), x.id))
}

// perform carries out actions. The caller holds mu.
func (b *Budget) perform(actions []bodybudget.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case bodybudget.Grant:
			b.open[a.ID].decide(true)
		case bodybudget.Refuse:
			x := b.open[a.ID]
			x.refused()
			x.decide(false)
		}
	}
}

// decide ends the wait of Reserve. The caller holds mu.
func (x *Share) decide(granted bool) {
	if x.decided != nil {
		x.decided <- granted
		x.decided = nil
	}
}
