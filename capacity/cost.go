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

var epoch = time.Unix(1_800_000_000, 0)

func discardEvent(event.Event) {}

// liveHeap returns the live bytes. Two collections also empty the pools of the standard library.
func liveHeap() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// heapOf returns the live bytes of what build returns.
func heapOf(build func() any) float64 {
	before := liveHeap()
	built := build()
	after := liveHeap()
	runtime.KeepAlive(built)
	return after - before
}

// UsageError reports a system that does not tell the processor time of a process.
type UsageError struct{ Cause error }

// Error implements error.
func (e *UsageError) Error() string { return fmt.Sprintf("read processor time: %v", e.Cause) }

// Unwrap returns the cause.
func (e *UsageError) Unwrap() error { return e.Cause }

// cpuOf returns the processor time in microseconds that the process spent.
func cpuOf(do func()) (float64, error) {
	runtime.GC()
	before, err := cpuTime()
	if err != nil {
		return 0, err
	}
	do()
	after, err := cpuTime()
	return float64((after - before).Microseconds()), err
}

func cpuTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, &UsageError{Cause: err}
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}

// keysOf returns keys of one customer that hash to the shard.
func keysOf(id shard.ID, customer string, n int) []string {
	keys := make([]string, 0, n)
	for i := 0; len(keys) < n; i++ {
		if key := fmt.Sprintf("race-2028-%08d", i); shard.Of(customer, key) == id {
			keys = append(keys, key)
		}
	}
	return keys
}

// Sizes of names and bodies in messages.
const (
	bodyBytes       = 1 << 10
	customerName    = "customer-042"
	entryName       = "entry-7"
	agentName       = "agent-04333"
	incarnationText = "ABCDEFGHIJKLMNOPQRSTUVWXYZ" // as long as rand.Text
	serverRun       = "18f0c1d2e3a4b5c6-ABCDEFGH"
)

// attemptOf returns an attempt as it appears in messages and records.
func attemptOf(key string, index int) task.AttemptID {
	job := task.JobID{Customer: customerName, Key: key}
	return task.AttemptID{Task: task.ID{Job: job, Index: index}, Number: 1}
}

func shardEpoch() shard.Epoch { return shard.Epoch{Counter: 4321, Incarnation: incarnationText} }

// grantID returns a grant as the allocator forms it.
func grantID(n int) string { return fmt.Sprintf("%s/pool-17/dk3jz8q1x2y/%d", entryName, 48_000_000+n) }

func serverName(n int) string { return fmt.Sprintf("server-%05d", n) }
