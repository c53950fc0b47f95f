package inner

import "testing"

// A queue without a bound would let a slow peer exhaust the memory of a process; one that counts what was
// taken as sent would hold twice its bound.
func TestQueueRefusesOverItsBoundUntilSent(t *testing.T) {
	q := newQueue()
	for i := range outboxCapacity {
		if !q.push(notification{method: methodAlive}) {
			t.Fatalf("push %d: refused", i)
		}
	}
	taken := q.take()
	if len(taken) != outboxCapacity || q.push(notification{}) {
		t.Fatalf("took %d, want %d and a full queue", len(taken), outboxCapacity)
	}
	q.sent(1)
	if !q.push(notification{method: methodPing}) || q.push(notification{}) {
		t.Error("one sent notification must make room for one")
	}
	if rest := q.take(); len(rest) != 1 || rest[0].method != methodPing {
		t.Errorf("took %v, want one Ping", rest)
	}
}

// A wake-up that is lost would leave a notification unsent until the next one.
func TestQueueWakesTheSender(t *testing.T) {
	q := newQueue()
	for range 3 {
		q.push(notification{})
		q.push(notification{})
		select {
		case <-q.wake:
		default:
			t.Fatal("no wake-up after a push")
		}
		if got := len(q.take()); got != 2 {
			t.Fatalf("took %d, want 2", got)
		}
	}
}
