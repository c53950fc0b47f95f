package outbox_test

import (
	"slices"
	"sync"
	"testing"

	"dogwoodglade/core/outbox"
)

// Actions performed out of order could withdraw a slot request before it was sent.
func TestActionsPushedWhilePerformingKeepTheirOrder(t *testing.T) {
	var o outbox.Outbox[int]
	var got []int
	o.Push(1, 2)
	o.Perform(func(i int) {
		got = append(got, i)
		if i == 1 {
			o.Push(3)
			o.Perform(func(int) { t.Error("performed within another call") })
		}
	})
	if !slices.Equal(got, []int{1, 2, 3}) {
		t.Fatalf("got %v", got)
	}
}

// Two goroutines that perform actions concurrently could reorder them.
func TestOneGoroutinePerformsAtATime(t *testing.T) {
	var o outbox.Outbox[int]
	var stateMu sync.Mutex // stands for the lock of the state machine
	var next int
	var got []int
	var running sync.WaitGroup
	for range 8 {
		running.Go(func() {
			for range 1000 {
				stateMu.Lock()
				o.Push(next)
				next++
				stateMu.Unlock()
				o.Perform(func(i int) { got = append(got, i) })
			}
		})
	}
	running.Wait()
	if len(got) != 8000 || !slices.IsSorted(got) {
		t.Fatalf("got %d actions, in order: %t", len(got), slices.IsSorted(got))
	}
}
