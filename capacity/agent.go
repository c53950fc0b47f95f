package capacity

import (
	"fmt"
	"strings"
	"time"

	"dogwoodglade/core/executor"
	"dogwoodglade/core/shard"
	"dogwoodglade/core/task"
)

func agentMeasures() []Measure {
	records := []int{2000, 4000, 8000, 16_000}
	return []Measure{
		{Name: "executor.record", Unit: "start record without result body; CPU: start and end", Sizes: records, Run: runRecords},
		{Name: "executor.fence", Unit: "record of the fenced shard; CPU: one fence of it", Sizes: records, Run: runFence},
		{Name: "executor.heartbeat", Unit: "backend server with 8 running grants; CPU: one heartbeat of the agent", Sizes: []int{1, 2, 4, 8, 16}, Run: runAgentHeartbeat},
	}
}

func newExecutor(servers int) (*executor.Executor, error) {
	e := executor.New(agentName, discardEvent)
	e.Register(epoch, make([]shard.Epoch, shard.Count))
	for i := range servers {
		if _, err := e.Announce(epoch, executor.Announcement{
			ID: serverName(i), Pool: "pool-17", Address: "10.1.2.3:8000", Slots: slotsPerServer,
			Connections: 64, Incarnation: serverRun,
		}); err != nil {
			return nil, err
		}
	}
	return e, nil
}

func startOf(key string, index, server int) task.Start {
	return task.Start{
		Attempt: attemptOf(key, index), TaskCount: tasksPerJob, Route: "route-1",
		Digest: "0123456789abcdef0123456789abcdef", Epoch: shardEpoch(), Owner: entryName, Allocator: "entry-2",
		BackendServer: serverName(server), Incarnation: serverRun, Grant: grantID(index), Deadline: 10 * time.Second,
	}
}

// RefusedError reports a start that the agent of a measure refused.
type RefusedError struct{ Why task.Refusal }

// Error implements error.
func (e *RefusedError) Error() string { return fmt.Sprintf("start task: refused as %s", e.Why) }

// decoded returns the start with strings of its own, as it arrives in a message.
func decoded(s task.Start) task.Start {
	for _, text := range []*string{
		&s.Attempt.Task.Job.Customer, &s.Attempt.Task.Job.Key, &s.Route, &s.Digest, &s.Epoch.Incarnation,
		&s.Owner, &s.Allocator, &s.BackendServer, &s.Incarnation, &s.Grant,
	} {
		*text = strings.Clone(*text)
	}
	return s
}

func identity(s task.Start) task.Start { return s }

// runTasks starts and ends tasks one after the other.
func runTasks(e *executor.Executor, keys []string, arrive func(task.Start) task.Start) error {
	for i, key := range keys {
		s := arrive(startOf(key, i%tasksPerJob, 0))
		if why, _ := e.Start(epoch, s); why != task.Accepted {
			return &RefusedError{Why: why}
		}
		e.AttemptEnded(epoch.Add(200*time.Millisecond), s.Attempt, task.Result{Status: 200})
	}
	return nil
}

func spreadKeys(n int) []string {
	keys := make([]string, n)
	for i := range keys {
		keys[i] = fmt.Sprintf("race-2028-%08d", i)
	}
	return keys
}

func runRecords(n int) (Cost, error) {
	keys := spreadKeys(n)
	e, err := newExecutor(1)
	if err != nil {
		return nil, err
	}
	var failed error
	heap := heapOf(func() any {
		failed = runTasks(e, keys, decoded)
		return e
	})
	if failed != nil {
		return nil, failed
	}
	if e, err = newExecutor(1); err != nil {
		return nil, err
	}
	cpu, err := cpuOf(func() { failed = runTasks(e, keys, identity) })
	if failed != nil {
		return nil, failed
	}
	return Cost{HeapBytes: heap, CPUMicroseconds: cpu}, err
}

func runFence(n int) (Cost, error) {
	e, err := newExecutor(1)
	if err == nil {
		err = runTasks(e, keysOf(0, customerName, n), identity)
	}
	if err != nil {
		return nil, err
	}
	found := 0
	cpu, err := cpuOf(func() {
		found = len(e.Fence(epoch, "entry-2", []shard.Fence{{Shard: 0, Epoch: shardEpoch()}}))
	})
	if found != n {
		return nil, &CountError{What: "records", Got: found, Want: n}
	}
	return Cost{CPUMicroseconds: cpu}, err
}

// CountError reports a measure whose mechanism handled another number of things than it was given.
type CountError struct {
	What string
	Got  int
	Want int
}

// Error implements error.
func (e *CountError) Error() string {
	return fmt.Sprintf("measure: got %d %s, want %d", e.Got, e.What, e.Want)
}

func runAgentHeartbeat(n int) (Cost, error) {
	e, err := newExecutor(n)
	if err != nil {
		return nil, err
	}
	for i := range n * slotsPerServer {
		if why, _ := e.Start(epoch, startOf(fmt.Sprint("key-", i), i%tasksPerJob, i/slotsPerServer)); why != task.Accepted {
			return nil, &RefusedError{Why: why}
		}
	}
	const rounds = 200
	cpu, err := cpuOf(func() {
		for range rounds {
			e.Heartbeat(epoch)
		}
	})
	return Cost{CPUMicroseconds: cpu / rounds}, err
}
