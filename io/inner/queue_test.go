package inner

import "testing"

// Guards against a queue without a limit, with which a slow peer could exhaust the memory of the process, and against a
// queue that counts notifications as sent when they are taken, so that it holds twice its limit.
func TestFullQueueRejectsPushUntilSent(t *testing.T) {
	q := newQueue()
	for i := range outboxCapacity {
		if !q.push(notification{method: methodEntryHeartbeat}) {
			t.Fatalf("push %d: rejected", i)
		}
	}
	taken := q.takeAll()
	if len(taken) != outboxCapacity || q.push(notification{}) {
		t.Fatalf("took %d, want %d and a full queue", len(taken), outboxCapacity)
	}
	q.markSent(1)
	if !q.push(notification{method: methodPing}) || q.push(notification{}) {
		t.Error("want room for exactly one notification after one was sent")
	}
	if rest := q.takeAll(); len(rest) != 1 || rest[0].method != methodPing {
		t.Errorf("took %v, want one Ping", rest)
	}
}

// Guards against a lost wake-up, which would leave a notification unsent until the next push.
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
		if got := len(q.takeAll()); got != 2 {
			t.Fatalf("took %d, want 2", got)
		}
	}
}
