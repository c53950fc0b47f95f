package dispatch

import (
	"slices"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/overload"
)

// refusalCause explains a refusal in the log.
type refusalCause struct {
	cause      overload.Cause
	inFavourOf batch.JobID // job for which a waiting one was displaced
}

// SetOverloadRules sets which parts of the overload policy the configuration in force calls for, by pool.
func (d *Dispatcher) SetOverloadRules(rules map[string]overload.Rules) {
	d.rules = rules
	for _, p := range d.sortedPools {
		p.policy.SetRules(rules[p.name])
	}
}

// decide carries out the decision of the pool's policy about an arriving job.
func (d *Dispatcher) decide(now time.Time, j *job, canStart bool) (batch.Reason, bool) {
	p := d.pool(j.Pool)
	queue := &queueView{pool: p}
	c := overload.Capacity{Cores: p.expectedCores(now), Fits: canStart}
	switch decision := p.policy.Decide(now, j.describe(), queue, c).(type) {
	case overload.Refuse:
		j.refusal = refusalCause{cause: decision.Cause}
		return batch.Overloaded, false
	case overload.Displace:
		for _, i := range decision.Victims {
			queue.waiting[i].refusal = refusalCause{cause: overload.Displaced, inFavourOf: j.ID}
			d.refuse(now, queue.waiting[i], batch.Overloaded)
		}
	case overload.Admit, overload.Wait:
	}
	return "", true
}

// queueView is the queue of a pool as the policy sees it. It is sorted only when the policy asks for the jobs, as each
// arrival is decided under the lock of the entry.
type queueView struct {
	pool    *poolState
	waiting []*job // in the order of the jobs that Jobs returned
}

// Work implements overload.Queue.
func (q *queueView) Work() float64 { return q.pool.queued.seconds() }

// ReturningWork implements overload.Queue.
func (q *queueView) ReturningWork() float64 {
	var total coreTime
	for _, j := range q.pool.queue.jobs {
		if j.Returning && !j.answered {
			total += j.waitingWork
		}
	}
	return total.seconds()
}

// WorkAhead implements overload.Queue.
func (q *queueView) WorkAhead(arriving overload.Job) float64 {
	var total coreTime
	for _, j := range q.pool.queue.jobs {
		if !j.answered && !j.last && !j.turn.After(arriving.TargetStart) {
			total += j.waitingWork
		}
	}
	return total.seconds()
}

// Jobs implements overload.Queue.
func (q *queueView) Jobs() []overload.Job {
	q.waiting = q.waiting[:0]
	for _, j := range q.pool.queue.jobs {
		if !j.answered && len(j.waiting) > 0 {
			q.waiting = append(q.waiting, j)
		}
	}
	slices.SortFunc(q.waiting, compareStartOrder)
	described := make([]overload.Job, len(q.waiting))
	for i, j := range q.waiting {
		described[i] = j.describe()
	}
	return described
}

func (j *job) describe() overload.Job {
	return overload.Job{
		Route: j.Route, Priority: j.Priority, ArrivedAt: j.submittedAt, TargetStart: j.targetStart,
		LatestStart: j.startDeadline, Work: j.waitingWork.seconds(), Started: j.started() || j.activeRuns > 0,
		Late: j.late, Size: j.size.seconds(),
	}
}
