package timeline_test

import (
	"testing"
	"time"

	"dogwoodglade/internal/timeline"
)

// Guards against events that are returned out of order, which would invalidate every simulation.
func TestEventsArePoppedInOrder(t *testing.T) {
	var queue timeline.EventQueue
	begin := time.Unix(1000, 0)
	var got []int
	for i, second := range []int{3, 1, 2, 1} {
		queue.Schedule(begin.Add(time.Duration(second)*time.Second), func() { got = append(got, i) })
	}
	for {
		_, do, ok := queue.Pop()
		if !ok {
			break
		}
		do()
	}
	want := []int{1, 3, 2, 0}
	for i := range want {
		if got[i] != want[i] {
			t.Fatalf("got %v, want %v", got, want)
		}
	}
}
