package executor_test

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"dogwoodglade/core/allocator"
	"dogwoodglade/core/event"
	"dogwoodglade/core/executor"
	"dogwoodglade/core/shard"
	"dogwoodglade/core/task"
)

var now = time.Unix(1_000_000, 0)

func newExecutor(t *testing.T, slots int) *executor.Executor {
	e := executor.New("a", func(event.Event) {})
	e.Registered(now, nil)
	announce(t, e, slots, "9")
	return e
}

func announce(t *testing.T, e *executor.Executor, slots int, incarnation string) []executor.Action {
	t.Helper()
	actions, err := e.Announce(now, executor.Announcement{
		ID: "b", Pool: "p", Address: "address", Slots: slots, Incarnation: incarnation,
	})
	if err != nil {
		t.Fatal(err)
	}
	return actions
}

func start(index int) task.Start {
	id := task.JobID{Customer: "c", Key: "k"}
	return task.Start{
		Attempt: task.AttemptID{Task: task.ID{Job: id, Index: index}, Number: 1}, TaskCount: index + 1,
		Owner: "old", Allocator: "x", BackendServer: "b", Incarnation: "9", Grant: strconv.Itoa(index),
		Deadline: time.Second, Epoch: shard.Epoch{Counter: 1, Incarnation: "old"},
	}
}

func want(t *testing.T, e *executor.Executor, s task.Start, why task.Refusal) {
	t.Helper()
	if got, _ := e.Start(now, s); got != why {
		t.Fatalf("start %v: got %q, want %q", s.Attempt, got, why)
	}
}

// A start that was under way when the owner cancelled or reconciled it must not run when it arrives (P4).
func TestUnseenAttemptsNeverStart(t *testing.T) {
	e := newExecutor(t, 2)
	e.Cancel(now, start(0).Attempt)
	want(t, e, start(0), task.RefusedReconciled)
	if _, unseen := e.Reconcile(now, []task.AttemptID{start(1).Attempt}); len(unseen) != 1 {
		t.Fatalf("reconcile: got unseen %v", unseen)
	}
	want(t, e, start(1), task.RefusedReconciled)
}

// A job is reported as not run on the word of one agent. A successor that fenced the agent, or that reads the
// records it leaves when it drains, may have started the job (P4).
func TestOnlyAnAgentThatASuccessorMustFenceConfirms(t *testing.T) {
	id := start(0).Attempt.Task.Job.Shard()
	own := shard.Fence{Shard: id, Epoch: shard.Epoch{Counter: 2, Incarnation: "own"}}
	next := shard.Fence{Shard: id, Epoch: own.Epoch.Next("next")}
	confirms := func(e *executor.Executor, why task.Refusal) {
		t.Helper()
		if got := e.Confirm(own); got != why {
			t.Fatalf("confirm: got %q, want %q", got, why)
		}
	}
	confirms(executor.New("a", func(event.Event) {}), task.RefusedUnregistered)
	e := newExecutor(t, 2)
	e.Fence(now, "own", []shard.Fence{own})
	confirms(e, task.Accepted)
	e.Drain(now)
	confirms(e, task.RefusedLeaving)
	e.Fence(now, "next", []shard.Fence{next})
	confirms(e, task.RefusedEpoch)
	late := executor.New("late", func(event.Event) {})
	epochs := make([]shard.Epoch, shard.Count)
	epochs[id] = next.Epoch
	late.Registered(now, epochs)
	confirms(late, task.RefusedEpoch)
}

// A slot that is free before the backend server ended the request overloads the backend server.
func TestSlotIsHeldUntilTheRequestEnds(t *testing.T) {
	e := newExecutor(t, 1)
	want(t, e, start(0), task.Accepted)
	e.Cancel(now, start(0).Attempt)
	want(t, e, start(1), task.RefusedSlots)
	if got := e.Heartbeat(now)[0].Grants; !slices.Equal(got, []string{"0"}) {
		t.Fatalf("grants in use: %v", got)
	}
	actions := e.Ended(now, start(0).Attempt, task.Result{Status: 499})
	if r, ok := actions[1].(executor.SendRelease); !ok || r.Release.Outcome != allocator.Cancelled {
		t.Fatalf("got %+v", actions)
	}
	// A delayed copy of the refused start must not run: the owner was told that it had not run.
	want(t, e, start(1), task.RefusedReconciled)
	want(t, e, start(2), task.Accepted)
}

// A late announcement of an earlier run would make the agent refuse the starts of the current one.
func TestIncarnationsOnlyGrow(t *testing.T) {
	e := newExecutor(t, 2)
	want(t, e, start(0), task.Accepted)
	lost := announce(t, e, 2, "10")
	if o, ok := lost[0].(executor.SendOutcome); !ok || o.Record.State != task.Lost {
		t.Fatalf("a new incarnation did not lose the running task: %+v", lost)
	}
	_, err := e.Announce(now, executor.Announcement{ID: "b", Pool: "p", Address: "a", Slots: 1, Incarnation: "9"})
	if err == nil {
		t.Fatal("an older incarnation was accepted")
	}
	want(t, e, start(1), task.RefusedBackendServer)
}

// Work sent to a leaving backend server is interrupted when it exits (P6). A late heartbeat undoes nothing.
func TestLeavingBackendServerGetsNoWork(t *testing.T) {
	e := newExecutor(t, 2)
	if got := e.Leave(now, "b", "9"); len(got) != 1 || got[0] != (executor.SendHeartbeat{}) {
		t.Fatalf("leave: got %v", got)
	}
	announce(t, e, 2, "9")
	want(t, e, start(0), task.RefusedLeaving)
	e = newExecutor(t, 2)
	silent := now.Add(executor.Silence)
	if why, _ := e.Start(silent, start(0)); why != task.RefusedLeaving || !e.Heartbeat(silent)[0].Leaving {
		t.Fatalf("silent backend server: got %q", why)
	}
}

// Records without a bound exhaust the agent's memory; a record that is dropped too early allows a second start.
func TestRecordsAreBoundedAndRetained(t *testing.T) {
	e := newExecutor(t, 64)
	body := make([]byte, executor.MaxResultBytes/4)
	for i := range 6 {
		want(t, e, start(i), task.Accepted)
		e.Ended(now, start(i).Attempt, task.Result{Status: 200, Body: body})
	}
	for i, r := range e.Records() {
		if evicted := i < 2; evicted != (r.State == task.Evicted) || evicted != (r.Result.Body == nil) {
			t.Errorf("record %d: %s with %d bytes", i, r.State, len(r.Result.Body))
		}
	}
	e.Tick(now.Add(executor.RetentionWindow - 1))
	want(t, e, start(0), task.RefusedDuplicate)
	e.Tick(now.Add(executor.RetentionWindow))
	if got := e.Records(); len(got) != 0 {
		t.Fatalf("%d records after the retention window", len(got))
	}
}

// A task that runs twice at once, or again after it succeeded, is a duplicate (P1, P5).
func TestSecondAttempts(t *testing.T) {
	for _, c := range []struct {
		name       string
		idempotent bool
		status     int // 0: lost, 1: still runs
		want       task.Refusal
	}{
		{"running", true, 1, task.RefusedConflict},
		{"succeeded", true, 200, task.RefusedConflict},
		{"failed", true, 500, task.Accepted},
		{"lost", true, 0, task.Accepted},
		{"failed, not idempotent", false, 500, task.RefusedConflict},
		{"lost, not idempotent", false, 0, task.RefusedConflict},
	} {
		t.Run(c.name, func(t *testing.T) {
			e, s := newExecutor(t, 2), start(0)
			s.Idempotent = c.idempotent
			want(t, e, s, task.Accepted)
			switch c.status {
			case 0:
				e.Lost(now, s.Attempt)
			case 1:
			default:
				e.Ended(now, s.Attempt, task.Result{Status: c.status})
			}
			s.Attempt.Number = 2
			want(t, e, s, c.want)
		})
	}
}

// An outcome sent to a superseded owner is lost, and a fence that sinks lets that owner start tasks again.
func TestFenceMovesOutcomesToTheSuccessor(t *testing.T) {
	e, s := newExecutor(t, 2), start(0)
	want(t, e, s, task.Accepted)
	id := s.Attempt.Task.Job.Shard()
	fence := func(counter uint64, owner string) []task.Record {
		return e.Fence(now, owner, []shard.Fence{{Shard: id, Epoch: shard.Epoch{Counter: counter, Incarnation: owner}}})
	}
	if got := fence(3, "new"); len(got) != 1 {
		t.Fatalf("fence: got records %v", got)
	}
	if got := fence(2, "late"); got != nil {
		t.Fatalf("late fence: got records %v", got)
	}
	want(t, e, start(1), task.RefusedEpoch)
	o, ok := e.Ended(now, s.Attempt, task.Result{Status: 200})[0].(executor.SendOutcome)
	if !ok || o.Owner != "new" {
		t.Fatalf("outcome: got %+v", o)
	}
	if got := e.OwnerSilence(now.Add(time.Second), "new"); got != time.Second {
		t.Fatalf("silence: got %v", got)
	}
}

// A drained agent that still runs a task would interrupt it by exiting (P7).
func TestDrainFinishesRunningTasks(t *testing.T) {
	e := newExecutor(t, 2)
	want(t, e, start(0), task.Accepted)
	if got := e.Drain(now); len(got) != 1 || e.Drained() {
		t.Fatalf("drain: got %v, drained %t", got, e.Drained())
	}
	want(t, e, start(1), task.RefusedLeaving)
	e.Ended(now, start(0).Attempt, task.Result{Status: 200})
	if !e.Drained() {
		t.Fatal("the agent is not drained after its last task")
	}
}

// A goodbye that arrives after its backend server restarted would stop work for the new run.
func TestLateGoodbyeOfAnEarlierRunIsIgnored(t *testing.T) {
	e := newExecutor(t, 2)
	if got := e.Leave(now, "b", "8"); len(got) != 0 {
		t.Fatalf("leave: got %v", got)
	}
	want(t, e, start(0), task.Accepted)
}

// A planned goodbye that is reported as a loss would alarm operators at every restart.
func TestGoodbyeIsNoLoss(t *testing.T) {
	var numbers []event.Number
	e := executor.New("agent", func(ev event.Event) { numbers = append(numbers, ev.Number) })
	announce(t, e, 2, "9")
	e.Leave(now, "b", "9")
	e.Tick(now.Add(2 * executor.Silence))
	if slices.Contains(numbers, event.BackendLost) || !slices.Contains(numbers, event.BackendLeaving) {
		t.Fatalf("got %v", numbers)
	}
}
