package bench

import (
	"container/heap"
	"math"
	"time"
)

// noWaitLimit lets jobs of the ideal queue wait for any time within their deadline.
const noWaitLimit time.Duration = math.MaxInt64

// slot is a slot of the ideal queue.
type slot struct {
	free   time.Duration // when its current task ends
	server int
}

// slots is a heap by the time at which a slot becomes free.
type slots []slot

func (s slots) Len() int           { return len(s) }
func (s slots) Less(i, j int) bool { return s[i].free < s[j].free }
func (s slots) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *slots) Push(x any)        { *s = append(*s, x.(slot)) }
func (s *slots) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// ideal is the omniscient central first-come queue over the slots of a site: it has no network delay, knows
// all run times and deadlines, never uses a failing backend server, and runs nothing that cannot be answered
// in time, or that would wait longer than the limit for its first slot. Because the queue is first-come, the
// slots of a job are known as soon as it arrives.
func ideal(s site, tr *trace, slotCount int, waitLimit time.Duration) []answer {
	free := make(slots, slotCount)
	for i := range free {
		free[i].server = i % s.servers
	}
	answers := make([]answer, len(tr.requests))
	for i := range tr.requests {
		answers[i] = free.serve(&tr.requests[i], tr.fault, waitLimit)
	}
	return answers
}

// serve runs the job on the first free slots, or leaves the slots as they are if that would be too late.
func (s *slots) serve(r *request, f fault, waitLimit time.Duration) answer {
	if r.never {
		return answer{state: refused}
	}
	a := answer{state: complete, waits: make([]time.Duration, len(r.tasks))}
	var used []slot // as they were before the job
	var ran []slot
	for i, runTime := range r.tasks {
		before, start := s.next(r.arrival, f)
		if r.cancelAt > 0 && start >= r.cancelAt {
			heap.Push(s, before)
			a.state = cancelled
			continue
		}
		end := start + runTime
		if r.cancelAt > 0 && end > r.cancelAt {
			end, a.state = r.cancelAt, cancelled
		}
		a.waits[i] = start - r.arrival
		a.closed = max(a.closed, end-r.arrival)
		used = append(used, before)
		ran = append(ran, slot{free: end, server: before.server})
		heap.Push(s, ran[len(ran)-1])
	}
	if a.closed > r.deadline || a.waits[0] > waitLimit {
		s.undo(used, ran)
		return answer{state: refused}
	}
	a.delay = a.closed - r.longest()
	return a
}

// next takes the slot that can start a task first, and returns when it can.
func (s *slots) next(arrival time.Duration, f fault) (slot, time.Duration) {
	for {
		first := heap.Pop(s).(slot)
		start := max(arrival, first.free)
		if !f.failing(first.server, start) {
			return first, start
		}
		first.free = f.failingTo
		heap.Push(s, first)
	}
}

// undo takes back the slots that a job was given.
func (s *slots) undo(used, ran []slot) {
	for i := len(ran) - 1; i >= 0; i-- {
		for j, held := range *s {
			if held == ran[i] {
				(*s)[j] = used[i]
				heap.Fix(s, j)
				break
			}
		}
	}
}
