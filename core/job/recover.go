package job

import (
	"time"

	"dogwoodglade/core/event"
	"dogwoodglade/core/task"
)

// Recovered takes the start records of one agent that was fenced for this owner, or those of a planned
// handover, for which the agent is empty. An owner whose recovery is incomplete uses only such agents.
func (o *Owner) Recovered(now time.Time, agent string, records []task.Record) []Action {
	o.observe(now)
	if agent != "" {
		o.fenced[agent] = true
	}
	for _, r := range records {
		o.apply(now, r)
	}
	return o.flush()
}

// remember adds a job that is known only from a record. Its missing tasks wait for a resubmission.
func (o *Owner) remember(now time.Time, r task.Record) *work {
	if r.TaskCount <= 0 || o.superseded {
		return nil
	}
	w := &work{
		id: r.Attempt.Task.Job, route: r.Route, digest: r.Digest, idempotent: r.Idempotent,
		recovered: true, parts: make([]part, r.TaskCount),
	}
	o.jobs[w.id] = w
	o.keep(now, w)
	ev := o.event(event.JobRecovered, w)
	ev.Count = r.TaskCount
	o.record(ev)
	return w
}

// RecoveryComplete tells the owner that every registered agent gave its records: a key without a record
// was never started.
func (o *Owner) RecoveryComplete(now time.Time) []Action {
	o.observe(now)
	o.completeRecovery(now)
	return o.flush()
}

func (o *Owner) completeRecovery(now time.Time) {
	if o.complete {
		return
	}
	o.complete = true
	for _, w := range o.queue {
		if !w.open() {
			continue
		}
		for i := range w.parts {
			o.advance(now, w, i)
		}
		o.settle(now, w)
		o.askDue(now, w)
	}
}
