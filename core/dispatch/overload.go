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

// decide carries out the decision of the pool's policy about an arriving job.
func (d *Dispatcher) decide(now time.Time, j *job, canStart bool) (batch.Reason, bool) {
	p := d.pool(j.Pool)
	waiting, queue := p.describeQueue()
	c := overload.Capacity{Cores: p.cores, Fits: canStart}
	switch decision := p.policy.Decide(now, j.describe(), queue, c).(type) {
	case overload.Refuse:
		j.refusal = refusalCause{cause: decision.Cause}
		return batch.Overloaded, false
	case overload.Displace:
		for _, i := range decision.Victims {
			waiting[i].refusal = refusalCause{cause: overload.Displaced, inFavourOf: j.ID}
			d.refuse(now, waiting[i], batch.Overloaded)
		}
	case overload.Admit, overload.Wait:
	}
	return "", true
}

// describeQueue returns the waiting jobs in the order in which they start, also as the policy sees them.
func (p *poolState) describeQueue() ([]*job, []overload.Job) {
	var waiting []*job
	for _, j := range p.queue.jobs {
		if !j.answered && len(j.waiting) > 0 {
			waiting = append(waiting, j)
		}
	}
	slices.SortFunc(waiting, compareStartOrder)
	described := make([]overload.Job, len(waiting))
	for i, j := range waiting {
		described[i] = j.describe()
	}
	return waiting, described
}

func (j *job) describe() overload.Job {
	return overload.Job{
		Route: j.Route, Priority: j.Priority, ArrivedAt: j.submittedAt, TargetStart: j.targetStart,
		LatestStart: j.startDeadline, Work: j.waitingWork.seconds(), Started: j.started() || j.activeRuns > 0,
	}
}
