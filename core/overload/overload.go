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
// After an outage, the callers that could not be served return together with those that come for the first time. The
// former are late already. They are admitted while the queue is short, and otherwise refused, so that the others are in
// time.
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
	Size        float64   // predicted core-seconds of all its tasks
	Started     bool      // one of its tasks has started
	Late        bool      // it can no longer meet its target, and starts after all jobs that can
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
	// AlreadyLate means that its caller has lost time with an earlier submission, and the queue has jobs that can be in time.
	AlreadyLate Cause = "AlreadyLate"
	Share       Cause = "Share"     // a share of the jobs that would have to wait is refused
	Displaced   Cause = "Displaced" // it waited and gave way to a more urgent one
)

const (
	// displaceShare is the part of its slack, the time until its target start, after which a waiting job is no longer
	// displaced. An early refusal leaves its caller time to try again.
	displaceShare = 0.2
	// maxDisplaceShare is the share of refusals, before the weights of priority and size, from which no job is displaced.
	// When half of the arriving jobs are refused, most of those that wait were accepted in place of others: displacing them exchanges
	// one refusal for another, and its caller is told later.
	maxDisplaceShare = 0.5
	// minWait and maxWait are the predicted waits between which the share of the arriving work that is refused rises
	// from 0 to 1. Short jobs thus meet their short targets.
	minWait = 60 * time.Millisecond
	maxWait = 200 * time.Millisecond
)

// lateWaitFactor is how many times the predicted wait a late job must have left until its latest start. Under overload,
// jobs that start ahead of it keep arriving.
const lateWaitFactor = 3

// ExpiresLate reports whether a job that can no longer meet its target would probably expire in the queue, given the
// predicted wait of the queue and the time left until the latest start of the job.
func ExpiresLate(wait, left time.Duration) bool { return wait*lateWaitFactor > left }

// Queue is the queue of a pool.
type Queue interface {
	// Work returns the core-seconds of all waiting jobs.
	Work() float64
	// ReturningWork returns the core-seconds of the waiting jobs of callers that have submitted them before. They start
	// after all that can be in time.
	ReturningWork() float64
	// WorkAhead returns the core-seconds of the waiting jobs that start before an arriving one.
	WorkAhead(j Job) float64
	// Jobs returns the waiting jobs in the order in which they start. It is called only if one may be displaced.
	Jobs() []Job
}

// Decide decides about an arriving job and counts it.
func (p *Policy) Decide(now time.Time, j Job, queue Queue, c Capacity) Decision {
	p.observe(now, j)
	if c.Fits {
		return Admit{}
	}
	s := schedule{now: now, arriving: j, cores: c.Cores, work: queue.Work()}
	if !j.Late && s.wait() > minWait {
		s.work -= queue.ReturningWork()
	}
	if now.Add(s.wait()).After(j.LatestStart) {
		p.lose(now, j)
		return Refuse{Cause: TooLate}
	}
	if j.Late {
		if s.wait() <= minWait && !ExpiresLate(s.wait(), j.LatestStart.Sub(now)) {
			return Wait{}
		}
		p.lose(now, j)
		return Refuse{Cause: AlreadyLate}
	}
	if s.wait() > minWait {
		s.workAhead = queue.WorkAhead(j)
	}
	cause, refuse := p.judge(s)
	if !refuse {
		return Wait{}
	}
	if p.mayDisplace(s) {
		jobs := queue.Jobs()
		if victims := p.findVictims(s, cause, jobs); len(victims) > 0 {
			for _, v := range victims {
				p.displace(now, jobs[v])
			}
			return Displace{Victims: victims}
		}
	}
	p.lose(now, j)
	return Refuse{Cause: cause}
}

// judge reports whether the arriving job is to be refused, if no other gives way, and why. Its share is collected in any
// case, so that refusals for NotInTime do not add to the share.
func (p *Policy) judge(s schedule) (Cause, bool) {
	share := shedShare(s.wait()) * p.weight(s.now, s.arriving)
	inShare := share > 0 && p.routes[s.arriving.Route].collect(share)
	if !s.inTime() {
		return NotInTime, true
	}
	return Share, inShare
}

// mayDisplace reports whether jobs may be displaced at the predicted wait. No job is less urgent than one of the least
// urgent priority.
func (p *Policy) mayDisplace(s schedule) bool {
	return p.rules.Displace && shedShare(s.wait()) < maxDisplaceShare && p.rank(s.arriving.Priority) < len(p.priorities)-1
}

// findVictims returns the positions of waiting jobs that are refused in favour of the arriving one. They are less urgent,
// arrived a moment ago, and together free the work of the arriving job at less cost to callers. The arriving job is in
// time without them.
func (p *Policy) findVictims(s schedule, cause Cause, jobs []Job) []int {
	var victims []int
	freed, cost := 0.0, 0.0
	for i := len(jobs) - 1; i >= 0 && (freed < s.arriving.Work || !s.inTime()); i-- {
		other := jobs[i]
		ahead := !other.startsAfter(s.arriving)
		if cause == NotInTime && !ahead {
			continue // it does not make the arriving job late
		}
		if other.Priority > s.arriving.Priority && other.mayBeDisplaced(s.now) &&
			!p.isBelow(s.now, other, 1, displaceSizeShare) {
			victims = append(victims, i)
			freed += other.Work
			cost += p.urgency(other.Priority) * other.Work
			s = s.without(other.Work, ahead)
		}
	}
	if freed < s.arriving.Work || !s.inTime() || cost > p.urgency(s.arriving.Priority)*s.arriving.Work {
		return nil
	}
	slices.Sort(victims)
	return victims
}

// shedShare returns the share of the arriving jobs to refuse at a predicted wait.
func shedShare(wait time.Duration) float64 {
	return min(max(float64(wait-minWait)/float64(maxWait-minWait), 0), 1)
}

// schedule is what the queue of a pool means for an arriving job.
type schedule struct {
	now       time.Time
	arriving  Job
	cores     float64
	work      float64 // of all waiting jobs
	workAhead float64 // of those that start before the arriving one
}

// wait returns the predicted wait of the whole queue.
func (s schedule) wait() time.Duration { return DrainTime(s.work, s.cores) }

// inTime reports whether the arriving job is predicted to start in time for its target.
func (s schedule) inTime() bool {
	return s.wait() <= minWait || DrainTime(s.workAhead, s.cores) <= s.arriving.TargetStart.Sub(s.now)
}

// without returns the schedule without a displaced job.
func (s schedule) without(work float64, ahead bool) schedule {
	s.work -= work
	if ahead {
		s.workAhead -= work
	}
	return s
}

// startsAfter reports whether a waiting job starts after an arriving one.
func (j Job) startsAfter(arriving Job) bool {
	return j.Late || j.TargetStart.After(arriving.TargetStart)
}

func (j Job) mayBeDisplaced(now time.Time) bool {
	limit := time.Duration(displaceShare * float64(j.TargetStart.Sub(j.ArrivedAt)))
	return !j.Started && !j.Late && j.Work > 0 && now.Sub(j.ArrivedAt) <= limit
}
