package batchentry

import (
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/event"
	"dogwoodglade/core/supervise"
	"dogwoodglade/io/inner"
)

// maxWithdrawnRun is how long the runs of a withdrawn forward may continue after the latest load that this entry received
// from the other one, whatever that one receives. Before the withdrawal, this entry cannot have echoed a later clock
// reading, so the limit of the runs is at most forwardedJobLease and runLimitSlack after it.
const maxWithdrawnRun = forwardedJobLease + runLimitSlack + supervise.MaxRunAfterLimit

// withdrawal is a forward that this entry has withdrawn, and whose runs may still exist.
type withdrawal struct {
	number  uint64
	session *entrySession
	endsBy  time.Time // the runs have ended by then
}

// recordWithdrawn records that a call's forward has been withdrawn, or has been lost with the other entry.
func (e *Entry) recordWithdrawn(c *call, x *entrySession) {
	id := c.job.ID
	if e.withdrawn[id] == nil {
		e.withdrawn[id] = map[string]withdrawal{}
	}
	e.withdrawn[id][x.Name] = withdrawal{number: c.forward, session: x, endsBy: x.lastLoad.Add(maxWithdrawnRun)}
}

// mayRunElsewhere reports whether runs of a withdrawn forward may still exist at an entry other than the given one. An
// entry that gets the job again waits for the end of its own earlier runs, unless it has been restarted.
func (e *Entry) mayRunElsewhere(id batch.JobID, to string) bool {
	for name, w := range e.withdrawn[id] {
		if name != to || e.entries[name] != w.session {
			return true
		}
	}
	return false
}

// forwardedElsewhere reports whether an entry other than the given one has a job for the callers of this one.
func (e *Entry) forwardedElsewhere(id batch.JobID, to string) bool {
	c, ok := e.calls[id]
	return ok && c.forwardedTo != "" && c.forwardedTo != to
}

// hold keeps a call unassigned until its withdrawn forwards have ended.
func (e *Entry) hold(c *call) {
	c.forwardedTo, c.held = "", true
	e.log(event.JobResubmitted).Str("Job", string(c.job.ID)).Str("State", "Held").Send()
}

// JobWithdrawn implements inner.BatchEntryHandler.
func (e *Entry) JobWithdrawn(p *inner.Peer, id batch.JobID, number uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	x, ok := e.entrySessionOf(p)
	if w, open := e.withdrawn[id][p.Name]; ok && open && w.session == x && w.number == number {
		e.endWithdrawn(e.options.Now(), id, p.Name)
	}
}

// endWithdrawn forgets a withdrawn forward whose runs have ended, and assigns the job if it waits for that.
func (e *Entry) endWithdrawn(now time.Time, id batch.JobID, name string) {
	delete(e.withdrawn[id], name)
	if len(e.withdrawn[id]) > 0 {
		return
	}
	delete(e.withdrawn, id)
	if c, ok := e.calls[id]; ok && c.held && !e.expireHeld(now, c) {
		c.held = false
		e.assignCall(c)
	}
	e.confirmWithdrawn()
}

// expireHeld answers a held call whose caller's time-out has passed. Its earlier submission may have run. It reports
// whether the call was answered.
func (e *Entry) expireHeld(now time.Time, c *call) bool {
	if _, inTime := c.remaining(now); inTime {
		return false
	}
	e.logUnknownOutcome(now, c, batch.DeadlinePassed)
	e.completeCall(c, batch.Unknown{Reason: batch.DeadlinePassed})
	return true
}

// expireWithdrawn ends the withdrawn forwards that were not confirmed in time, and the held calls whose caller's time-out
// has passed. Entries of earlier versions do not confirm withdrawals.
func (e *Entry) expireWithdrawn(now time.Time) {
	for id, forwards := range e.withdrawn {
		if c, ok := e.calls[id]; ok && c.held {
			e.expireHeld(now, c)
		}
		for name, w := range forwards {
			if now.After(w.endsBy) {
				e.endWithdrawn(now, id, name)
			}
		}
	}
}

// recordUnconfirmed records a withdrawal by another entry for confirmWithdrawn.
func (e *Entry) recordUnconfirmed(id batch.JobID, name string, number uint64) {
	if e.unconfirmed[id] == nil {
		e.unconfirmed[id] = map[string]uint64{}
	}
	e.unconfirmed[id][name] = number
}

// confirmWithdrawn confirms the withdrawals of the jobs that have no run here any more, nor at an entry that they were
// forwarded to. The run of another caller counts, too: the origin must not start the job beside it.
func (e *Entry) confirmWithdrawn() {
	for id, origins := range e.unconfirmed {
		if open, _ := e.dispatcher.JobStatus(id); open || e.dispatcher.Stopping(id) {
			continue
		}
		for name, number := range origins {
			// The origin's own withdrawal is not waited for: it may wait for this confirmation.
			if e.mayRunElsewhere(id, name) || e.forwardedElsewhere(id, name) {
				continue
			}
			delete(origins, name)
			if x, ok := e.entries[name]; ok {
				e.sendToEntry(x, func(p *inner.Peer) bool { return p.JobWithdrawn(id, number) })
			}
		}
		if len(origins) == 0 {
			delete(e.unconfirmed, id)
		}
	}
}
