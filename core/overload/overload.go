// Package overload decides which jobs wait, are refused or are displaced when a pool has too little capacity, by what
// that costs their callers: by the priority of a job, its latest start and the work that it needs.
//
// Jobs wait in the order of their latest starts. A job that can start is admitted. A job that cannot start in time
// because of the work ahead of it is refused on arrival, and as the predicted wait of the whole queue grows, so is a
// rising share of all that would have to wait: a smaller one of the most urgent priority and of small jobs, and less
// of a route or of a size of jobs that has been refused more than others. A job that would be refused may displace
// waiting jobs that are less urgent, if that costs callers less. Only a job without a started task that arrived a
// moment ago is displaced; its route is then refused less.
//
// The package is pure: it is given the time, the queue and the capacity, and its caller carries the decision out.
package overload

import (
	"slices"
	"time"
)

// Job is a job that waits or arrives.
type Job struct {
	Route       string
	Priority    int // 0 is the most urgent
	ArrivedAt   time.Time
	TargetStart time.Time // latest start that can still meet the target
	LatestStart time.Time // latest start with which the answer can still be useful to the caller
	Work        float64   // predicted core-seconds of its waiting tasks
	Started     bool      // one of its tasks has started
}

// Capacity is what a pool has for waiting and arriving jobs.
type Capacity struct {
	Cores float64 // weighted by speed and success rate
	Fits  bool    // all tasks of the arriving job that can start fit now
}

// Decision is what happens with an arriving job: Admit, Wait, Refuse or Displace.
type Decision interface{ decision() }

// Admit means that the job can start now.
type Admit struct{}

// Wait means that the job waits, and probably starts in time.
type Wait struct{}

// Refuse means that the job is refused at once.
type Refuse struct{ Cause Cause }

// Displace means that the job waits, and the waiting jobs at the given positions of the queue are refused in its favour.
type Displace struct{ Victims []int }

func (Admit) decision()    {}
func (Wait) decision()     {}
func (Refuse) decision()   {}
func (Displace) decision() {}

// Cause is why a job is refused.
type Cause string

// Causes of refusals.
const (
	TooLate   Cause = "TooLate"   // the job would start after its latest start
	NotInTime Cause = "NotInTime" // it would not start in time for its target
	Share     Cause = "Share"     // a share of the jobs that would have to wait is refused
	Displaced Cause = "Displaced" // it waited and gave way to a more urgent one
)

const (
	// displaceShare is the part of its slack, the time until its target start, after which a waiting job is no longer
	// displaced. An early refusal leaves its caller time to try again.
	displaceShare = 0.2
	// maxDisplaceShare is the share of refusals from which no job is displaced. In a lasting overload the queue is full of
	// jobs that are better left to complete.
	maxDisplaceShare = 0.5
	// minWait and maxWait are the predicted waits between which the share of the arriving work that is refused rises
	// from 0 to 1. Short jobs thus meet their short targets.
	minWait = 60 * time.Millisecond
	maxWait = 200 * time.Millisecond
)

// Decide decides about an arriving job and counts it. The queue is in the order in which the jobs start.
func (p *Policy) Decide(now time.Time, j Job, queue []Job, c Capacity) Decision {
	p.observe(now, j)
	if c.Fits {
		return Admit{}
	}
	s := newSchedule(now, j, queue, c.Cores)
	wait := DrainTime(s.totalWork(), c.Cores)
	cause, refuse := p.judge(now, j, wait, s)
	if !refuse {
		return Wait{}
	}
	if cause != TooLate && shedShare(wait) < maxDisplaceShare {
		if victims := p.findVictims(j, cause, s); len(victims) > 0 {
			for _, v := range victims {
				p.lose(now, queue[v])
				p.routes[queue[v].Route].credit()
			}
			return Displace{Victims: victims}
		}
	}
	p.lose(now, j)
	return Refuse{Cause: cause}
}

// judge reports whether the arriving job is to be refused, if no other gives way, and why.
func (p *Policy) judge(now time.Time, j Job, wait time.Duration, s schedule) (Cause, bool) {
	if now.Add(wait).After(j.LatestStart) {
		return TooLate, true
	}
	if share := shedShare(wait) * p.weight(now, j); share > 0 && p.routes[j.Route].collect(share) {
		return Share, true
	}
	if wait > minWait && DrainTime(s.workAhead(), s.cores) > j.TargetStart.Sub(now) {
		return NotInTime, true
	}
	return "", false
}

// findVictims returns the positions of waiting jobs that are refused in favour of the arriving one. They are less urgent,
// arrived a moment ago, and together free the work of the arriving job at less cost to callers.
func (p *Policy) findVictims(j Job, cause Cause, s schedule) []int {
	end := len(s.queue)
	if cause == NotInTime {
		end = s.position // jobs behind it do not make it late
	}
	var victims []int
	freed, cost := 0.0, 0.0
	for i := end - 1; i >= 0 && freed < j.Work; i-- {
		other := s.queue[i]
		if other.Priority > j.Priority && other.mayBeDisplaced(s.now) && !p.isBelow(s.now, other, 1, displaceSizeShare) {
			victims = append(victims, i)
			freed += other.Work
			cost += p.urgency(other.Priority) * other.Work
		}
	}
	if freed < j.Work || cost > p.urgency(j.Priority)*j.Work {
		return nil
	}
	slices.Sort(victims)
	return victims
}

// shedShare returns the share of the arriving jobs to refuse at a predicted wait.
func shedShare(wait time.Duration) float64 {
	return min(max(float64(wait-minWait)/float64(maxWait-minWait), 0), 1)
}

// schedule is the queue of a pool with an arriving job.
type schedule struct {
	now      time.Time
	queue    []Job
	position int // of the arriving job
	cores    float64
}

func newSchedule(now time.Time, j Job, queue []Job, cores float64) schedule {
	s := schedule{now: now, queue: queue, position: len(queue), cores: cores}
	if i := slices.IndexFunc(queue, func(other Job) bool { return other.TargetStart.After(j.TargetStart) }); i >= 0 {
		s.position = i
	}
	return s
}

func (s schedule) totalWork() float64 { return sumWork(s.queue) }

// workAhead returns the work ahead of the arriving job.
func (s schedule) workAhead() float64 { return sumWork(s.queue[:s.position]) }

func sumWork(jobs []Job) float64 {
	total := 0.0
	for _, j := range jobs {
		total += j.Work
	}
	return total
}

func (j Job) mayBeDisplaced(now time.Time) bool {
	limit := time.Duration(displaceShare * float64(j.TargetStart.Sub(j.ArrivedAt)))
	return !j.Started && j.Work > 0 && now.Sub(j.ArrivedAt) <= limit
}
