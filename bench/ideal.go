package bench

import (
	"container/heap"
	"math"
	"time"
)

// unlimitedWait lets the ideal queue keep jobs waiting for any time within their deadline.
const unlimitedWait time.Duration = math.MaxInt64

// slot is a slot of the ideal queue.
type slot struct {
	freeAt time.Duration // when its current task ends
	server int
}

// slotHeap is a min-heap of slots, ordered by the time at which they become free.
type slotHeap []slot

func (s slotHeap) Len() int           { return len(s) }
func (s slotHeap) Less(i, j int) bool { return s[i].freeAt < s[j].freeAt }
func (s slotHeap) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *slotHeap) Push(x any)        { *s = append(*s, x.(slot)) }
func (s *slotHeap) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// ideal simulates an omniscient, central first-come, first-served queue over the slots of a site. It has no
// network delay, knows all run times and deadlines, and never uses a failing backend server. It refuses jobs
// that cannot complete before their deadline or whose first task would wait longer than the limit. Because
// jobs are served in the order of their arrival, each job can be scheduled completely when it arrives.
func ideal(s site, tr *trace, slotCount int, waitLimit time.Duration) []jobOutcome {
	slots := make(slotHeap, slotCount)
	for i := range slots {
		slots[i].server = i % s.servers
	}
	outcomes := make([]jobOutcome, len(tr.requests))
	for i := range tr.requests {
		outcomes[i] = slots.schedule(&tr.requests[i], tr.faults, waitLimit)
	}
	return outcomes
}

// schedule assigns the tasks of a job to the slots that become free first. It refuses the job and restores
// the slots if the job would complete too late.
func (s *slotHeap) schedule(r *request, f faultSchedule, waitLimit time.Duration) jobOutcome {
	if r.emptyPool {
		return jobOutcome{state: refused}
	}
	outcome := jobOutcome{state: complete, waits: make([]time.Duration, len(r.tasks))}
	var previous []slot // the assigned slots as they were before this job
	var assigned []slot // the same slots with the tasks of this job
	for i, runTime := range r.tasks {
		before, start := s.takeEarliest(r.arrival, f)
		if r.cancelAt > 0 && start >= r.cancelAt {
			heap.Push(s, before)
			outcome.state = cancelled
			continue
		}
		end := start + runTime
		if r.cancelAt > 0 && end > r.cancelAt {
			end, outcome.state = r.cancelAt, cancelled
		}
		outcome.waits[i] = start - r.arrival
		outcome.closedAfter = max(outcome.closedAfter, end-r.arrival)
		previous = append(previous, before)
		assigned = append(assigned, slot{freeAt: end, server: before.server})
		heap.Push(s, assigned[len(assigned)-1])
	}
	if outcome.closedAfter > r.deadline || outcome.waits[0] > waitLimit {
		s.restore(previous, assigned)
		return jobOutcome{state: refused}
	}
	outcome.delay = outcome.closedAfter - r.longest()
	return outcome
}

// takeEarliest removes the slot that can start a task first from the heap, and returns it with that time.
func (s *slotHeap) takeEarliest(arrival time.Duration, f faultSchedule) (slot, time.Duration) {
	for {
		first := heap.Pop(s).(slot)
		start := max(arrival, first.freeAt)
		if !f.failing(first.server, start) {
			return first, start
		}
		first.freeAt = f.failingTo
		heap.Push(s, first)
	}
}

// restore undoes the assignment of slots to a job.
func (s *slotHeap) restore(previous, assigned []slot) {
	for i := len(assigned) - 1; i >= 0; i-- {
		for j, current := range *s {
			if current == assigned[i] {
				(*s)[j] = previous[i]
				heap.Fix(s, j)
				break
			}
		}
	}
}
