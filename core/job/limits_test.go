package job_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dogwoodglade/core/allocator"
	"dogwoodglade/core/event"
	"dogwoodglade/core/job"
	"dogwoodglade/core/pool"
	"dogwoodglade/core/retry"
	"dogwoodglade/core/route"
	"dogwoodglade/core/shard"
	"dogwoodglade/core/table"
	"dogwoodglade/core/task"
)

var (
	start  = time.Unix(1_000_000, 0)
	tables = table.NewSnapshot(table.Versions{}, []route.Route{
		route.New("r", "p").WithMaxTasks(2).WithMaxBody(1 << 20), route.New("lost", "no such pool"),
	}, []pool.Pool{pool.New("p")})
)

func newOwner(id task.JobID) *job.Owner {
	epoch := shard.Epoch{Counter: 1, Incarnation: "e"}
	return job.New("e", id.Shard(), epoch, true, rand.New(rand.NewPCG(1, 1)), func(event.Event) {})
}

func answerOf(t *testing.T, actions []job.Action) job.Answer {
	t.Helper()
	for _, a := range actions {
		if r, ok := a.(job.Reply); ok {
			return r.Answer
		}
	}
	t.Fatalf("no reply in %+v", actions)
	return job.Answer{}
}

// A job that can never run must fail immediately with the reason, and must leave the key unused.
func TestInvalidJobsFailImmediately(t *testing.T) {
	body := []byte("body")
	for _, c := range []struct {
		route  string
		bodies [][]byte
		want   job.Reason
	}{
		{"unknown", [][]byte{body}, job.ReasonUnknownRoute},
		{"lost", [][]byte{body}, job.ReasonUnknownRoute},
		{"r", nil, job.ReasonNoTasks},
		{"r", [][]byte{body, body, body}, job.ReasonTooManyTasks},
		{"r", [][]byte{make([]byte, 1<<20+1)}, job.ReasonBodyTooLarge},
	} {
		o := newOwner(keys[0])
		s := job.Submission{ID: keys[0], Route: c.route, Bodies: c.bodies}
		if a := answerOf(t, o.Submit(start, s, "w", tables)); a.State != job.Failed || a.Reason != c.want {
			t.Errorf("route %q with %d tasks: got %+v", c.route, len(c.bodies), a)
		}
		if a := o.Lookup(start, keys[0]); a.Reason != job.ReasonNotFound {
			t.Errorf("the key is in use: %+v", a)
		}
	}
}

// Without a limit, retained answers exhaust the entry's memory. If an answer is dropped too early, a
// resubmission runs the job again.
func TestAnswersAreLimitedAndRetained(t *testing.T) {
	o := newOwner(keys[0])
	var ids []task.JobID
	for i := 0; len(ids) < 6; i++ {
		if id := (task.JobID{Customer: "c", Key: fmt.Sprint(i)}); id.Shard() == keys[0].Shard() {
			ids = append(ids, id)
		}
	}
	for i, id := range ids {
		s := job.Submission{ID: id, Route: "r", Bodies: [][]byte{{1}}}
		request, ok := o.Submit(start, s, "w", tables)[0].(job.RequestSlots)
		if !ok {
			t.Fatal("no slot request")
		}
		grant := allocator.Grant{ID: fmt.Sprint(i), RequestID: request.Request.ID, Agent: "a", BackendServer: "b"}
		sent, ok := o.SlotGranted(start, grant)[0].(job.SendStart)
		if !ok {
			t.Fatal("no start")
		}
		r := task.Record{Attempt: sent.Start.Attempt, Agent: "a", TaskCount: 1, State: task.Ended}
		r.Result = task.Result{Status: 200, Body: make([]byte, job.MaxAnswerBytes/4)}
		if a := answerOf(t, o.OutcomeReceived(start, r)); a.State != job.Complete {
			t.Fatalf("got %+v", a)
		}
		if len(o.SlotGranted(start, grant)) != 1 {
			t.Fatal("the owner still counts the grant as in use")
		}
		if again := o.Submit(start, s, "w", tables); len(again) != 0 {
			t.Fatalf("a repeated message was answered again: %v", again)
		}
	}
	o.Tick(start.Add(job.RetentionWindow - 1))
	for i, id := range ids {
		a := o.Lookup(start, id)
		if (a.Reason == job.ReasonResultEvicted) != (i < 2) || (a.State == job.Complete) != (i >= 2) {
			t.Errorf("answer %d: %s %s", i, a.State, a.Reason)
		}
	}
	o.Tick(start.Add(job.RetentionWindow))
	if a := o.Lookup(start, ids[5]); a.Reason != job.ReasonNotFound {
		t.Fatalf("after the retention window: %+v", a)
	}
}

// Without a retry budget, retries multiply the load on a pool in which every task fails.
func TestRetriesStayWithinBudget(t *testing.T) {
	o, idempotent, starts := newOwner(keys[0]), true, 0
	manyAttempts := tables.WithRoute(route.New("r", "p").WithAttempts(10)).WithPool(pool.New("p").WithRetryBudget(0.1))
	for _, id := range keys {
		now := start
		s := job.Submission{ID: id, Route: "r", Idempotent: &idempotent, Bodies: [][]byte{{1}}}
		actions := o.Submit(now, s, "w", manyAttempts)
		for len(actions) > 0 || o.Lookup(now, id).State == job.Pending {
			now = now.Add(100 * time.Millisecond)
			for _, a := range actions {
				switch a := a.(type) {
				case job.RequestSlots:
					starts++
					g := allocator.Grant{ID: fmt.Sprint(starts), RequestID: a.Request.ID, Agent: "a", BackendServer: "b"}
					sent := o.SlotGranted(now, g)[0].(job.SendStart).Start
					actions = o.OutcomeReceived(now, task.Record{
						Attempt: sent.Attempt, Agent: "a", TaskCount: 1, State: task.Ended, Result: task.Result{Status: 500},
					})
				default:
					actions = nil
				}
			}
			if len(actions) == 0 {
				actions = o.Tick(now)
			}
		}
	}
	if want := len(keys) + retry.MaxTokens; starts != want {
		t.Fatalf("got %d starts of %d failing tasks, want %d", starts, len(keys), want)
	}
}

// submitAndCancel submits and cancels a job, and returns the owner's request to confirm its epoch, which precedes
// the answer.
func submitAndCancel(t *testing.T, o *job.Owner) job.ConfirmEpoch {
	t.Helper()
	o.Submit(start, job.Submission{ID: keys[0], Route: "r", Bodies: [][]byte{{1}}}, "w", tables)
	actions := o.Cancel(start, keys[0])
	c, ok := actions[len(actions)-1].(job.ConfirmEpoch)
	if !ok {
		t.Fatalf("no confirmation request in %+v", actions)
	}
	return c
}

// If a start record arrives before the confirmation, the job has run and must not be reported as not run.
func TestRecordBeforeConfirmationPreventsNotRun(t *testing.T) {
	o := newOwner(keys[0])
	c := submitAndCancel(t, o)
	attempt := task.AttemptID{Task: task.ID{Job: keys[0]}, Number: 1}
	o.RecordsRecovered(start, "a", []task.Record{{Attempt: attempt, Agent: "a", TaskCount: 1, State: task.Running}})
	if a := answerOf(t, o.ConfirmationReceived(start, c, task.Accepted)); a.State != job.OutcomeUnknown {
		t.Fatalf("got %+v", a)
	}
}

// A confirmation for an earlier submission proves nothing for the next one, because a successor may have started
// the job in between. An owner that gets no confirmation does not know whether its epoch is current.
func TestConfirmationsOfEarlierRequestsAreIgnored(t *testing.T) {
	o := newOwner(keys[0])
	first := submitAndCancel(t, o)
	second, ok := o.Tick(start.Add(job.ConfirmTimeout))[0].(job.ConfirmEpoch)
	if !ok || second.RequestID == first.RequestID {
		t.Fatalf("got %+v", second)
	}
	if a := answerOf(t, o.ConfirmationReceived(start, second, task.Accepted)); a.State != job.NotRun {
		t.Fatalf("got %+v", a)
	}
	third := submitAndCancel(t, o)
	earlierOwner := third
	earlierOwner.Epoch.Counter--
	for _, late := range []job.ConfirmEpoch{first, second, earlierOwner} {
		if actions := o.ConfirmationReceived(start, late, task.Accepted); len(actions) != 0 {
			t.Fatalf("after a late confirmation: %+v", actions)
		}
	}
	for range job.MaxConfirmAttempts - 1 {
		third = o.ConfirmationReceived(start, third, task.RefusedAgentUnreachable)[0].(job.ConfirmEpoch)
	}
	if a := answerOf(t, o.ConfirmationReceived(start, third, task.RefusedLeaving)); a.State != job.OutcomeUnknown {
		t.Fatalf("got %+v", a)
	}
}

// A late refusal of an attempt that was sent before the answer NotRun must not apply to an attempt of the retry, which
// would then run twice.
func TestRetryAfterNotRunUsesNewAttemptNumbers(t *testing.T) {
	o := newOwner(keys[0])
	sent := func(actions []job.Action, grant string) task.AttemptID {
		t.Helper()
		for _, a := range actions {
			if request, ok := a.(job.RequestSlots); ok {
				g := allocator.Grant{ID: grant, RequestID: request.Request.ID, Agent: "a", BackendServer: "b"}
				return o.SlotGranted(start, g)[0].(job.SendStart).Start.Attempt
			}
		}
		t.Fatalf("no slot request in %+v", actions)
		return task.AttemptID{}
	}
	s := job.Submission{ID: keys[0], Route: "r", Bodies: [][]byte{{1}}}
	first := sent(o.Submit(start, s, "w", tables), "1")
	o.StartRefused(start, first, task.RefusedNoFreeSlot)
	o.ConfirmationReceived(start, submitAndCancel(t, o), task.Accepted)
	second := sent(o.Submit(start, s, "retry", tables), "2")
	if actions := o.StartRefused(start, first, task.RefusedNoFreeSlot); second == first || len(actions) != 0 {
		t.Fatalf("attempt %v after %v, and after its late refusal: %+v", second, first, actions)
	}
	if ids := o.InFlight("a"); len(ids) != 1 || ids[0] != second {
		t.Fatalf("in flight: %v", ids)
	}
}

// A slot request whose age restarts is granted in the wrong order. One that outlives its job wastes a grant.
func TestSlotRequestsCarryAgeDeadlineAndCount(t *testing.T) {
	o := newOwner(keys[0])
	s := job.Submission{ID: keys[0], Route: "r", Deadline: 3 * time.Second, Bodies: [][]byte{{1}, {2}}}
	o.Submit(start, s, "w", tables)
	later := start.Add(time.Second)
	request, ok := o.AllocatorLost(later, "p")[0].(job.RequestSlots)
	if r := request.Request; !ok || r.Age != time.Second || r.Deadline != 2*time.Second || r.Count != 2 {
		t.Fatalf("got %+v", request)
	}
	grant := allocator.Grant{ID: "1", RequestID: request.Request.ID, Allocator: "x", Agent: "a", BackendServer: "b"}
	sent, ok := o.SlotGranted(later, grant)[0].(job.SendStart)
	if !ok || sent.Start.Deadline != 2*time.Second || sent.Start.Grant != "1" {
		t.Fatalf("got %+v", sent)
	}
	actions := o.StartRefused(later, sent.Start.Attempt, task.RefusedLeaving)
	again, ok := actions[1].(job.RequestSlots)
	if actions[0] != (job.ReturnGrant{Allocator: "x", Grant: "1"}) || !ok ||
		len(again.Request.Avoid) != 1 || again.Request.Count != 1 {
		t.Fatalf("got %+v", actions)
	}
	for _, a := range o.Tick(start.Add(3 * time.Second)) {
		if _, ok := a.(job.WithdrawSlotRequest); ok {
			return
		}
	}
	t.Fatal("the slot request was not withdrawn at the deadline of its job")
}
