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
		{
			Name: "executor.record", Unit: "start record without result body; CPU: start and end",
			Sizes: records, Run: runRecords,
		},
		{
			Name: "executor.fence", Unit: "record of the fenced shard; CPU: one fence of it",
			Sizes: records, Run: runFence,
		},
		{
			Name: "executor.heartbeat", Unit: "backend server with 8 running grants; CPU: one heartbeat of the agent",
			Sizes: []int{1, 2, 4, 8, 16}, Run: runAgentHeartbeat,
		},
	}
}

func newExecutor(servers int) (*executor.Executor, error) {
	e := executor.New(agentName, discardEvent)
	e.Register(startTime, make([]shard.Epoch, shard.Count))
	for i := range servers {
		if _, err := e.Announce(startTime, executor.Announcement{
			ID: serverName(i), Pool: "pool-17", Address: "10.1.2.3:8000", Slots: slotsPerServer,
			Connections: 64, Incarnation: serverIncarnation,
		}); err != nil {
			return nil, err
		}
	}
	return e, nil
}

func newStart(key string, index, server int) task.Start {
	return task.Start{
		Attempt: newAttemptID(key, index), TaskCount: tasksPerJob, Route: "route-1",
		Digest: "0123456789abcdef0123456789abcdef", Epoch: shardEpoch(), Owner: entryName, Allocator: "entry-2",
		BackendServer: serverName(server), Incarnation: serverIncarnation, Grant: grantID(index), Deadline: 10 * time.Second,
	}
}

// StartRefusedError reports that the agent refused to start a task of a measure.
type StartRefusedError struct{ Refusal task.Refusal }

// Error implements error.
func (e *StartRefusedError) Error() string {
	return fmt.Sprintf("start task: refused as %s", e.Refusal)
}

// withClonedStrings returns the start with its own copies of all strings, as if it had been decoded from a message.
func withClonedStrings(s task.Start) task.Start {
	for _, text := range []*string{
		&s.Attempt.Task.Job.Customer, &s.Attempt.Task.Job.Key, &s.Route, &s.Digest, &s.Epoch.Incarnation,
		&s.Owner, &s.Allocator, &s.BackendServer, &s.Incarnation, &s.Grant,
	} {
		*text = strings.Clone(*text)
	}
	return s
}

func unchanged(s task.Start) task.Start { return s }

// runTasks starts and ends tasks sequentially.
func runTasks(e *executor.Executor, keys []string, receive func(task.Start) task.Start) error {
	for i, key := range keys {
		s := receive(newStart(key, i%tasksPerJob, 0))
		if refusal, _ := e.Start(startTime, s); refusal != task.Accepted {
			return &StartRefusedError{Refusal: refusal}
		}
		e.AttemptEnded(startTime.Add(200*time.Millisecond), s.Attempt, task.Result{Status: 200})
	}
	return nil
}

func keysOfAllShards(n int) []string {
	keys := make([]string, n)
	for i := range keys {
		keys[i] = fmt.Sprintf("race-2028-%08d", i)
	}
	return keys
}

func runRecords(n int) (Cost, error) {
	keys := keysOfAllShards(n)
	e, err := newExecutor(1)
	if err != nil {
		return nil, err
	}
	var failed error
	heap := measureHeap(func() any {
		failed = runTasks(e, keys, withClonedStrings)
		return e
	})
	if failed != nil {
		return nil, failed
	}
	if e, err = newExecutor(1); err != nil {
		return nil, err
	}
	cpu, err := measureCPU(func() { failed = runTasks(e, keys, unchanged) })
	if failed != nil {
		return nil, failed
	}
	return Cost{HeapBytes: heap, CPUMicroseconds: cpu}, err
}

func runFence(n int) (Cost, error) {
	e, err := newExecutor(1)
	if err == nil {
		err = runTasks(e, keysOfShard(0, customerName, n), unchanged)
	}
	if err != nil {
		return nil, err
	}
	found := 0
	cpu, err := measureCPU(func() {
		found = len(e.Fence(startTime, "entry-2", []shard.Fence{{Shard: 0, Epoch: shardEpoch()}}))
	})
	if found != n {
		return nil, &CountError{What: "records", Got: found, Want: n}
	}
	return Cost{CPUMicroseconds: cpu}, err
}

// CountError reports that the measured code handled another number of items than expected.
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
		s := newStart(fmt.Sprint("key-", i), i%tasksPerJob, i/slotsPerServer)
		if refusal, _ := e.Start(startTime, s); refusal != task.Accepted {
			return nil, &StartRefusedError{Refusal: refusal}
		}
	}
	const rounds = 200
	cpu, err := measureCPU(func() {
		for range rounds {
			e.Heartbeat(startTime)
		}
	})
	return Cost{CPUMicroseconds: cpu / rounds}, err
}
