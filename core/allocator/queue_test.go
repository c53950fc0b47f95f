package allocator_test

import (
	"fmt"
	"testing"
	"time"

	"dogwoodglade/core/allocator"
	"dogwoodglade/core/pool"
)

// Guards against newer work that overtakes older work of another owner, which would make waits unbounded.
func TestOldestRequestIsServedFirstAcrossOwners(t *testing.T) {
	h := newHarness(t, pool.New("p"))
	for i, age := range []time.Duration{time.Second, 3 * time.Second, 2 * time.Second} {
		h.request(fmt.Sprint(age), "c", 1, func(req *allocator.SlotRequest) {
			req.Age, req.Owner = age, fmt.Sprint("owner", i)
		})
	}
	for i, g := range wantGrants(t, 3, h.announce("s1", 3)) {
		if want := fmt.Sprint(time.Duration(3-i) * time.Second); g.RequestID != want {
			t.Errorf("grant %d went to the work of age %s, want %s", i, g.RequestID, want)
		}
	}
}

// Guards against work in an empty pool that waits until its deadline, and against refusals during a short gap
// between two servers.
func TestEmptyPoolRefusesAfterEmptyPoolWait(t *testing.T) {
	h := newHarness(t, pool.New("p").WithEmptyPoolWait(3*time.Second))
	h.announce("s1", 0)
	h.announce("s1", 0, withLeaving)
	h.request("a", "c", 2)
	if got := refusals(h.sleep(2900 * time.Millisecond)); len(got) > 0 {
		t.Fatalf("refused too early: %+v", got)
	}
	got := append(refusals(h.sleep(100*time.Millisecond)), refusals(h.request("b", "c", 1))...)
	if len(got) != 2 || got[0].Reason != allocator.EmptyPool || got[1].Reason != allocator.EmptyPool {
		t.Fatalf("got %+v", got)
	}
	h.announce("s1", 1)
	wantGrants(t, 1, h.request("c", "c", 1))
}

// Guards against a queue that grows until memory is exhausted, and against the burst of one customer that fills the
// queue and shuts out the others.
func TestFullQueueKeepsEachCustomersShare(t *testing.T) {
	h := newHarness(t, pool.New("p").WithQueueLimit(10))
	h.announce("s1", 0)
	for i := range 12 {
		h.request(fmt.Sprint("burst", i), "flooding", 1)
	}
	if got := h.a.Stats(); got.QueuedTasks != 10 || got.Refused[allocator.Overloaded] != 2 {
		t.Fatalf("got %+v", got)
	}
	for i := range 5 {
		got := refusals(h.request(fmt.Sprint("modest", i), "modest", 1))
		if len(got) != 1 || got[0].RequestID != fmt.Sprint("burst", 9-i) {
			t.Fatalf("modest request %d: got %+v, want the newest request of the burst refused", i, got)
		}
	}
	if got := refusals(h.request("beyond", "modest", 1)); len(got) != 1 || got[0].RequestID != "beyond" {
		t.Fatalf("got %+v, want the request beyond the share refused", got)
	}
}

// Guards against a far too high estimate that refuses all the work that could correct it.
func TestTooHighEstimateExpires(t *testing.T) {
	h := newHarness(t, pool.New("p"))
	h.announce("s1", 4)
	for _, g := range wantGrants(t, 4, h.request("slow", "c", 4)) {
		h.a.Release(h.now, allocator.Release{
			Grant: g.ID, Route: "r", Outcome: allocator.Succeeded, RunTime: time.Minute,
		})
	}
	h.sleep(1100 * time.Millisecond)
	h.announce("s1", 4)
	if got := refusals(h.request("at once", "c", 8)); len(got) != 1 {
		t.Fatalf("got %+v, want the request refused because of the estimate", got)
	}
	for range 6 {
		h.sleep(time.Second)
		h.announce("s1", 4)
	}
	wantGrants(t, 4, h.request("later", "c", 8))
}

// Guards against refusals when an empty pool gets its first server back: this server has only a small part of the
// capacity, and the servers that follow can do the work.
func TestNothingIsRefusedDuringWarmUp(t *testing.T) {
	h := newHarness(t, pool.New("p"))
	h.announce("s1", 4)
	for _, g := range wantGrants(t, 4, h.request("warm", "c", 4)) {
		h.release(g, allocator.Succeeded)
	}
	h.sleep(3 * time.Second)
	h.announce("s1", 1)
	job := func(req *allocator.SlotRequest) { req.Deadline = time.Second }
	wantGrants(t, 1, h.request("job", "c", 16, job))
	wantGrants(t, 15, h.announce("s2", 15))
}

// Guards against slots wasted on a part of a job when the whole job can no longer end in time.
func TestLateJobIsRefusedAsAWhole(t *testing.T) {
	h := newHarness(t, pool.New("p"))
	h.announce("s1", 4)
	h.sleep(1500 * time.Millisecond)
	h.announce("s1", 4)
	for _, g := range wantGrants(t, 4, h.request("warm", "c", 4)) {
		h.release(g, allocator.Succeeded)
	}
	running := wantGrants(t, 4, h.request("running", "c", 4))
	wantGrants(t, 0, h.request("job", "c", 8, func(req *allocator.SlotRequest) { req.Deadline = time.Second }))
	h.sleep(850 * time.Millisecond)
	if got := refusals(h.release(running[0], allocator.Succeeded)); len(got) != 1 || got[0].Count != 8 {
		t.Fatalf("got %+v, want the whole job refused", got)
	}
}

// Guards against work that cannot meet its deadline and is refused late or not at all, so that its caller waits in
// vain.
func TestRequestsThatMissTheirDeadlineAreRefused(t *testing.T) {
	deadline := func(d time.Duration) func(*allocator.SlotRequest) {
		return func(req *allocator.SlotRequest) { req.Deadline = d }
	}
	h := newHarness(t, pool.New("p").WithQuota("limited", 1))
	h.announce("s1", 4)
	h.sleep(1500 * time.Millisecond)
	h.announce("s1", 4)
	for _, g := range wantGrants(t, 4, h.request("warm", "c", 4)) {
		h.release(g, allocator.Succeeded) // 100 ms each
	}
	wantGrants(t, 4, h.request("running", "c", 4))
	tests := []struct {
		id, customer string
		count        int
		deadline     time.Duration
		want         allocator.Reason
	}{
		{"passed", "c", 1, 0, allocator.DeadlineExceeded},
		{"too short", "c", 1, 100 * time.Millisecond, allocator.Overloaded},
		{"too many", "c", 40, time.Second, allocator.Overloaded},
		{"quota", "limited", 20, time.Second, allocator.QuotaExceeded},
		{"enough", "c", 4, time.Second, ""},
	}
	for _, test := range tests {
		got := refusals(h.request(test.id, test.customer, test.count, deadline(test.deadline)))
		if test.want == "" && len(got) > 0 {
			t.Errorf("%s: got %+v", test.id, got)
		}
		if test.want != "" && (len(got) != 1 || got[0].Reason != test.want || got[0].Count != test.count) {
			t.Errorf("%s: got %+v, want %s", test.id, got, test.want)
		}
	}
	if got := refusals(h.sleep(850 * time.Millisecond)); len(got) != 0 {
		t.Errorf("got %+v before the latest start", got)
	}
	got := refusals(h.sleep(100 * time.Millisecond))
	if len(got) != 1 || got[0].Reason != allocator.DeadlineExceeded || got[0].Count != 4 {
		t.Errorf("got %+v, want the rest refused when a task can no longer end in time", got)
	}
}
