package capacity

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"dogwoodglade/core/allocator"
	"dogwoodglade/core/job"
	"dogwoodglade/core/pool"
	"dogwoodglade/core/route"
	"dogwoodglade/core/table"
	"dogwoodglade/core/task"
)

const tasksPerJob = 160

func jobMeasures() []Measure {
	jobs := []int{1000, 2000, 4000, 8000}
	tasks := []int{8000, 16_000, 32_000, 64_000}
	return []Measure{
		{Name: "job.openjob", Unit: "open job of one task, 1 KiB body; CPU: its submission", Sizes: jobs, Run: runOpen(1)},
		{Name: "job.job", Unit: "remembered job of one task; CPU: submission to answer", Sizes: jobs, Run: runAnswered(1)},
		{Name: "job.opentask", Unit: "open task of a job of 160, 1 KiB body; CPU: its submission", Sizes: tasks, Run: runOpen(tasksPerJob)},
		{Name: "job.task", Unit: "remembered task of a job of 160; CPU: submission to answer", Sizes: tasks, Run: runAnswered(tasksPerJob)},
	}
}

func sampleTables() table.Snapshot {
	return table.NewSnapshot(table.Versions{Routes: 1, Pools: 1}, []route.Route{route.New("route-1", "pool-17")},
		[]pool.Pool{pool.New("pool-17")})
}

func newOwner() *job.Owner {
	random := rand.New(rand.NewPCG(1, 0))
	return job.New(entryName, 0, shardEpoch(), true, random, discardEvent)
}

// submit submits jobs of the given number of tasks and returns the asks.
func submit(o *job.Owner, keys []string, perJob, bodySize int) []allocator.SlotRequest {
	asks := make([]allocator.SlotRequest, 0, len(keys))
	tables := sampleTables()
	for _, key := range keys {
		bodies := make([][]byte, perJob)
		for i := range bodies {
			bodies[i] = make([]byte, bodySize)
		}
		id := task.JobID{Customer: customerName, Key: key}
		s := job.Submission{ID: id, Route: "route-1", Bodies: bodies}
		for _, action := range o.Submit(epoch, s, key, tables) {
			if ask, ok := action.(job.RequestSlots); ok {
				asks = append(asks, ask.Request)
			}
		}
	}
	return asks
}

// answer grants and ends every task of the asks.
func answer(o *job.Owner, asks []allocator.SlotRequest) {
	sequence := 0
	for _, ask := range asks {
		for range ask.Count {
			sequence++
			for _, action := range o.Granted(epoch, allocator.Grant{
				ID: grantID(sequence), RequestID: ask.ID, Owner: entryName, Allocator: strings.Clone("entry-2"), Agent: strings.Clone(agentName),
				BackendServer: serverName(sequence % 10), Incarnation: strings.Clone(serverRun),
			}) {
				if start, ok := action.(job.SendStart); ok {
					o.OutcomeReceived(epoch.Add(200*time.Millisecond), recordOf(start.Start))
				}
			}
		}
	}
}

func recordOf(s task.Start) task.Record {
	return task.Record{
		Attempt: s.Attempt, TaskCount: s.TaskCount, Route: s.Route, Digest: s.Digest, Epoch: s.Epoch,
		Agent: agentName, State: task.Ended, Result: task.Result{Status: 200}, RunTime: 200 * time.Millisecond,
	}
}

func runOpen(perJob int) func(int) (Cost, error) {
	return func(n int) (Cost, error) {
		keys := keysOf(0, customerName, n/perJob)
		var cpu float64
		var err error
		heap := heapOf(func() any {
			o := newOwner()
			cpu, err = cpuOf(func() { submit(o, keys, perJob, bodyBytes) })
			return o
		})
		return Cost{HeapBytes: heap, CPUMicroseconds: cpu}, err
	}
}

// UnansweredError reports a measure whose jobs did not complete.
type UnansweredError struct{ Key string }

// Error implements error.
func (e *UnansweredError) Error() string { return fmt.Sprintf("answer job %q: not complete", e.Key) }

// runAnswered measures answered jobs without result bodies, whose total the owner bounds by MaxAnswerBytes.
func runAnswered(perJob int) func(int) (Cost, error) {
	return func(n int) (Cost, error) {
		keys := keysOf(0, customerName, n/perJob)
		var cpu float64
		var err error
		o := newOwner()
		heap := heapOf(func() any {
			cpu, err = cpuOf(func() { answer(o, submit(o, keys, perJob, 0)) })
			o.Tick(epoch.Add(time.Second))
			return o
		})
		for _, key := range keys {
			if o.Lookup(epoch, task.JobID{Customer: customerName, Key: key}).State != job.Complete {
				return nil, &UnansweredError{Key: key}
			}
		}
		return Cost{HeapBytes: heap, CPUMicroseconds: cpu}, err
	}
}
