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
		{
			Name: "job.openjob", Unit: "open job of one task, 1 KiB body; CPU: its submission",
			Sizes: jobs, Run: runOpenJobs(1),
		},
		{
			Name: "job.job", Unit: "retained job of one task; CPU: submission to answer",
			Sizes: jobs, Run: runAnsweredJobs(1),
		},
		{
			Name: "job.opentask", Unit: "open task of a job of 160, 1 KiB body; CPU: its submission",
			Sizes: tasks, Run: runOpenJobs(tasksPerJob),
		},
		{
			Name: "job.task", Unit: "retained task of a job of 160; CPU: submission to answer",
			Sizes: tasks, Run: runAnsweredJobs(tasksPerJob),
		},
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

// submitJobs submits one job with the given number of tasks for each key and returns the slot requests.
func submitJobs(o *job.Owner, keys []string, perJob, bodySize int) []allocator.SlotRequest {
	requests := make([]allocator.SlotRequest, 0, len(keys))
	tables := sampleTables()
	for _, key := range keys {
		bodies := make([][]byte, perJob)
		for i := range bodies {
			bodies[i] = make([]byte, bodySize)
		}
		id := task.JobID{Customer: customerName, Key: key}
		s := job.Submission{ID: id, Route: "route-1", Bodies: bodies}
		for _, action := range o.Submit(startTime, s, key, tables) {
			if request, ok := action.(job.RequestSlots); ok {
				requests = append(requests, request.Request)
			}
		}
	}
	return requests
}

// grantAndComplete grants all requested slots and ends the tasks that the owner starts in them.
func grantAndComplete(o *job.Owner, requests []allocator.SlotRequest) {
	sequence := 0
	for _, request := range requests {
		for range request.Count {
			sequence++
			for _, action := range o.SlotGranted(startTime, allocator.Grant{
				ID: grantID(sequence), RequestID: request.ID, Owner: entryName,
				Allocator: strings.Clone("entry-2"), Agent: strings.Clone(agentName),
				BackendServer: serverName(sequence % 10), Incarnation: strings.Clone(serverIncarnation),
			}) {
				if start, ok := action.(job.SendStart); ok {
					o.OutcomeReceived(startTime.Add(200*time.Millisecond), newRecord(start.Start))
				}
			}
		}
	}
}

func newRecord(s task.Start) task.Record {
	return task.Record{
		Attempt: s.Attempt, TaskCount: s.TaskCount, Route: s.Route, Digest: s.Digest, Epoch: s.Epoch,
		Agent: agentName, State: task.Ended, Result: task.Result{Status: 200}, RunTime: 200 * time.Millisecond,
	}
}

func runOpenJobs(perJob int) func(int) (Cost, error) {
	return func(n int) (Cost, error) {
		keys := keysOfShard(0, customerName, n/perJob)
		var cpu float64
		var err error
		heap := measureHeap(func() any {
			o := newOwner()
			cpu, err = measureCPU(func() { submitJobs(o, keys, perJob, bodyBytes) })
			return o
		})
		return Cost{HeapBytes: heap, CPUMicroseconds: cpu}, err
	}
}

// IncompleteJobError reports a job of a measure that did not complete.
type IncompleteJobError struct{ Key string }

// Error implements error.
func (e *IncompleteJobError) Error() string { return fmt.Sprintf("run job %q: not complete", e.Key) }

// runAnsweredJobs measures jobs whose results have no bodies, because the owner limits the total size of the
// answers that it keeps (MaxAnswerBytes).
func runAnsweredJobs(perJob int) func(int) (Cost, error) {
	return func(n int) (Cost, error) {
		keys := keysOfShard(0, customerName, n/perJob)
		var cpu float64
		var err error
		o := newOwner()
		heap := measureHeap(func() any {
			cpu, err = measureCPU(func() { grantAndComplete(o, submitJobs(o, keys, perJob, 0)) })
			o.Tick(startTime.Add(time.Second))
			return o
		})
		for _, key := range keys {
			if o.Lookup(startTime, task.JobID{Customer: customerName, Key: key}).State != job.Complete {
				return nil, &IncompleteJobError{Key: key}
			}
		}
		return Cost{HeapBytes: heap, CPUMicroseconds: cpu}, err
	}
}
