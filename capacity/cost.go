package capacity

import (
	"fmt"
	"runtime"
	"syscall"
	"time"

	"dogwoodglade/core/event"
	"dogwoodglade/core/shard"
	"dogwoodglade/core/task"
)

var startTime = time.Unix(1_800_000_000, 0)

func discardEvent(event.Event) {}

// liveHeap returns the size of the live heap in bytes. The second collection also frees objects in a sync.Pool.
func liveHeap() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// measureHeap returns the increase of the live heap, in bytes, while the value that build returns is reachable.
func measureHeap(build func() any) float64 {
	before := liveHeap()
	built := build()
	after := liveHeap()
	runtime.KeepAlive(built)
	return after - before
}

// ProcessorTimeError reports that the processor time of the process could not be read.
type ProcessorTimeError struct{ Cause error }

// Error implements error.
func (e *ProcessorTimeError) Error() string { return fmt.Sprintf("read processor time: %v", e.Cause) }

// Unwrap returns the cause.
func (e *ProcessorTimeError) Unwrap() error { return e.Cause }

// measureCPU returns the processor time that the process used during the call, in microseconds.
func measureCPU(do func()) (float64, error) {
	runtime.GC()
	before, err := processorTime()
	if err != nil {
		return 0, err
	}
	do()
	after, err := processorTime()
	return float64((after - before).Microseconds()), err
}

func processorTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, &ProcessorTimeError{Cause: err}
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}

// keysOfShard returns keys of a customer that hash to the shard.
func keysOfShard(id shard.ID, customer string, n int) []string {
	keys := make([]string, 0, n)
	for i := 0; len(keys) < n; i++ {
		if key := fmt.Sprintf("race-2028-%08d", i); shard.Of(customer, key) == id {
			keys = append(keys, key)
		}
	}
	return keys
}

// Names of realistic length, and the size of bodies, in messages.
const (
	bodyBytes         = 1 << 10
	customerName      = "customer-042"
	entryName         = "entry-7"
	agentName         = "agent-04333"
	entryIncarnation  = "ABCDEFGHIJKLMNOPQRSTUVWXYZ" // as long as rand.Text
	serverIncarnation = "18f0c1d2e3a4b5c6-ABCDEFGH"
)

// newAttemptID returns the ID of the first attempt of a task, with names of realistic length.
func newAttemptID(key string, index int) task.AttemptID {
	job := task.JobID{Customer: customerName, Key: key}
	return task.AttemptID{Task: task.ID{Job: job, Index: index}, Number: 1}
}

func shardEpoch() shard.Epoch { return shard.Epoch{Counter: 4321, Incarnation: entryIncarnation} }

// grantID returns an ID in the format of the allocator's grant IDs.
func grantID(n int) string { return fmt.Sprintf("%s/pool-17/dk3jz8q1x2y/%d", entryName, 48_000_000+n) }

func serverName(n int) string { return fmt.Sprintf("server-%05d", n) }
