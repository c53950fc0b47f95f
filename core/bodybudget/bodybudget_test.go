package bodybudget

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// The body that is larger and older is refused for a new one, which waits until the memory has been returned.
func ExampleBudget() {
	b := New(100)
	b.Open(start, 1)
	b.Open(start, 2)
	fmt.Println(b.Reserve(start, 1, 70))
	fmt.Println(b.Reserve(start, 2, 20))
	later := start.Add(time.Second)
	b.Open(later, 3)
	fmt.Println(b.Reserve(later, 3, 20))
	fmt.Println(b.Close(later, 1))
	// Output:
	// true []
	// true []
	// false [{1}]
	// [{3}]
}

// Guards against a crowd of stalled bodies, small or large, that takes the memory of an ordinary request.
func TestOrdinaryBodyIsServed(t *testing.T) {
	for _, size := range []int64{1, 8, 64, 256} {
		b := New(1024)
		now := start
		for id := ID(1); b.Held()+size <= 1024; id++ {
			b.Open(now, id)
			b.Reserve(now, id, size)
		}
		now = now.Add(100 * time.Millisecond)
		const ordinary = 5000
		b.Open(now, ordinary)
		granted, actions := b.Reserve(now, ordinary, 8)
		for len(actions) > 0 && !granted {
			switch a := actions[0].(type) {
			case Refuse:
				if a.ID == ordinary {
					t.Fatalf("bodies of %d: the ordinary body was refused", size)
				}
				actions = append(actions[1:], b.Close(now, a.ID)...)
			case Grant:
				granted = a.ID == ordinary
				actions = actions[1:]
			}
		}
		if !granted {
			t.Errorf("bodies of %d: the ordinary body still waits", size)
		}
	}
}

// Guards against a body that is refused after it was complete, when its request may already run.
func TestCompleteBodyIsNotRefused(t *testing.T) {
	b := New(100)
	b.Open(start, 1)
	b.Reserve(start, 1, 90)
	if !b.Complete(1) {
		t.Fatal("the body was refused without a need")
	}
	later := start.Add(time.Minute)
	b.Open(later, 2)
	if granted, actions := b.Reserve(later, 2, 20); granted || len(actions) > 0 {
		t.Fatalf("got %v %v, want to wait", granted, actions)
	}
	b.Open(later, 3)
	b.Reserve(later, 3, 20)
	if actions := b.Abandon(later, 3); len(actions) != 1 || actions[0] != (Refuse{ID: 3}) {
		t.Errorf("got %v, want a refusal of the body that waits no longer", actions)
	}
	if actions := b.Close(later, 1); len(actions) != 1 || actions[0] != (Grant{ID: 2}) {
		t.Errorf("got %v, want a grant", actions)
	}
}

// Guards against more bytes in use than the budget, bytes that are lost or returned twice, and a body that waits for
// ever.
func TestBudgetProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const total = 100
		b := New(total)
		now := start
		type state struct {
			held, wants       int64
			complete, refused bool
		}
		open := map[ID]*state{}
		perform := func(actions []Action) {
			for _, action := range actions {
				switch a := action.(type) {
				case Grant:
					x := open[a.ID]
					if x.wants == 0 || x.refused {
						t.Fatalf("body %d was granted what it does not wait for", a.ID)
					}
					x.held, x.wants = x.held+x.wants, 0
				case Refuse:
					x := open[a.ID]
					if x.complete || x.refused {
						t.Fatalf("body %d was refused while it was complete or refused", a.ID)
					}
					x.refused, x.wants = true, 0
				}
			}
		}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "pause")) * time.Millisecond)
			id := ID(rapid.IntRange(1, 8).Draw(t, "body"))
			x := open[id]
			switch {
			case x == nil:
				open[id] = &state{}
				b.Open(now, id)
			case x.refused || x.complete:
				delete(open, id)
				perform(b.Close(now, id))
			case x.wants > 0:
			case step%7 == 6:
				x.complete = b.Complete(id)
			default:
				bytes := int64(rapid.IntRange(1, 120).Draw(t, "bytes"))
				granted, actions := b.Reserve(now, id, bytes)
				if x.wants = bytes; granted {
					x.held, x.wants = x.held+bytes, 0
				}
				perform(actions)
			}
			sum, waiting, ending := int64(0), false, false
			for _, x := range open {
				sum += x.held
				waiting = waiting || x.wants > 0
				ending = ending || x.refused || x.complete
			}
			if sum != b.Held() || sum > total {
				t.Fatalf("%d bytes are in use, the budget says %d of %d", sum, b.Held(), total)
			}
			if waiting && !ending {
				t.Fatal("a body waits, and no other is about to return its bytes")
			}
		}
	})
}

// Guards against stalled bodies that keep their memory while the rest is held by requests that are being served.
func TestStalledBodyIsRefusedBesideCompleteOnes(t *testing.T) {
	b := New(100)
	b.Open(start, 1)
	b.Reserve(start, 1, 60)
	b.Complete(1)
	b.Open(start, 2)
	b.Reserve(start, 2, 30)
	later := start.Add(time.Second)
	b.Open(later, 3)
	if _, actions := b.Reserve(later, 3, 20); len(actions) != 1 || actions[0] != (Refuse{ID: 2}) {
		t.Errorf("got %v, want a refusal of the stalled body", actions)
	}
}
