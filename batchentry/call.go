package batchentry

import (
	"context"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/dispatch"
	"dogwoodglade/core/event"
	"dogwoodglade/core/site"
	"dogwoodglade/io/inner"
)

// forwardMargin is added to the caller's time-out when waiting for the outcome of a forwarded job, so that the entry
// that dispatches the job can report its own time-out first.
const forwardMargin = 500 * time.Millisecond

// maxRetries limits how often a job is reassigned after refusals. Entries that stop one after the other may each hand it
// back.
const maxRetries = 3

// call is an open job, with the callers and entries that wait for its outcome.
type call struct {
	job         batch.Job
	arrived     time.Time
	waiters     []chan batch.Outcome // callers of this entry
	origins     map[string]uint64    // entries that forwarded the job to this one, with the number of their session
	forwardedTo string               // the entry that dispatches the job; "" for this one
	retries     int                  // how often it was reassigned after another entry had refused it
}

// Submit runs a job and returns its outcome. If the context ends first and no other caller or entry waits for the job,
// the job is cancelled.
func (e *Entry) Submit(ctx context.Context, j batch.Job) batch.Outcome {
	outcome := make(chan batch.Outcome, 1)
	e.mu.Lock()
	if ctx.Err() != nil {
		e.mu.Unlock()
		return batch.Cancelled{}
	}
	if e.stopped {
		e.mu.Unlock()
		return batch.NotRun{Reason: batch.Draining, RetryAfter: stoppedRetryAfter}
	}
	c := e.findOrNewCall(j)
	c.waiters = append(c.waiters, outcome)
	e.startCall(c)
	e.mu.Unlock()
	select {
	case o := <-outcome:
		return o
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, w := range c.waiters {
		if w == outcome {
			c.waiters = append(c.waiters[:i], c.waiters[i+1:]...)
			e.cancelIfUnneeded(c, "CallerLeft")
			break
		}
	}
	return batch.Cancelled{}
}

// findOrNewCall returns the open call for a job, or a new one that is not yet registered.
func (e *Entry) findOrNewCall(j batch.Job) *call {
	c, ok := e.calls[j.ID]
	if !ok {
		c = &call{job: j, origins: map[string]uint64{}}
	}
	return c
}

// startCall registers a new call and assigns it to an entry. If the call is already open, it only logs the
// resubmission.
func (e *Entry) startCall(c *call) {
	if e.calls[c.job.ID] == c {
		e.log(event.JobResubmitted).Str("Job", string(c.job.ID)).Send()
		return
	}
	c.arrived = e.options.Now()
	e.calls[c.job.ID] = c
	e.metrics.submitted.Inc(1)
	e.assignCall(c)
}

// assignCall dispatches a job here, or forwards it to an entry with more free capacity.
func (e *Entry) assignCall(c *call) {
	now := e.options.Now()
	// A job that another entry forwarded is always dispatched here. Otherwise jobs could be forwarded in a loop.
	if len(c.origins) == 0 && !e.dispatcher.CanStartNow(now, c.job) && !e.dispatcher.GivenUp(now, c.job) &&
		e.forward(c, e.peers.Choose(now, e.dispatcher.Load(), c.job)) {
		return
	}
	e.dispatch(now, c)
}

// remaining returns the job of a call with what is left of its caller's time-out. It reports false if nothing is left.
func (c *call) remaining(now time.Time) (batch.Job, bool) {
	if c.job.Timeout <= 0 {
		return c.job, true
	}
	left := c.job.Timeout - now.Sub(c.arrived)
	return c.job.WithTimeout(left), left > 0
}

// dispatch submits a job that has not run to the dispatcher of this entry. A job whose caller's time-out has passed is
// refused instead, as the caller may have submitted it elsewhere.
func (e *Entry) dispatch(now time.Time, c *call) {
	c.forwardedTo = ""
	j, ok := c.remaining(now)
	if !ok {
		e.log(event.JobRefused).Str("Job", string(c.job.ID)).Str("State", string(batch.DeadlinePassed)).
			Dur("Taken", now.Sub(c.arrived)).Send()
		e.completeCall(c, batch.NotRun{Reason: batch.DeadlinePassed})
		return
	}
	e.performActions(e.dispatcher.Submit(now, j))
}

// forward sends a job to another entry. It reports false if the message could not be sent or the caller's time-out has
// passed.
func (e *Entry) forward(c *call, to string) bool {
	x, ok := e.entries[to]
	j, inTime := c.remaining(e.options.Now())
	if !ok || !inTime || !e.sendToEntry(x, func(p *inner.Peer) bool { return p.Forward(j) }) {
		return false
	}
	c.forwardedTo = to
	e.logForward(c)
	return true
}

// sendToEntry sends on the current connection to an entry, so that messages keep their order. If that connection has
// just closed, it switches to another one.
func (e *Entry) sendToEntry(x *entrySession, send func(p *inner.Peer) bool) bool {
	return send(x.current) || (e.switchConnection(x) && send(x.current))
}

// cancelIfUnneeded cancels a call that no caller and no other entry waits for.
func (e *Entry) cancelIfUnneeded(c *call, reason string) {
	if len(c.waiters) > 0 || len(c.origins) > 0 || e.calls[c.job.ID] != c {
		return
	}
	e.log(event.JobCancelled).Str("Job", string(c.job.ID)).Str("Route", c.job.Route).Str("State", reason).
		Dur("Taken", e.options.Now().Sub(c.arrived)).Str("Peer", c.forwardedTo).Send()
	e.metrics.cancelled.Inc(1)
	delete(e.calls, c.job.ID)
	e.cancelDispatch(c)
}

// cancelDispatch cancels a job in the dispatcher, or withdraws it from the entry that it was forwarded to.
func (e *Entry) cancelDispatch(c *call) {
	if x, ok := e.entries[c.forwardedTo]; ok {
		e.sendToEntry(x, func(p *inner.Peer) bool { return p.WithdrawJob(c.job.ID, false) })
		return
	}
	if c.forwardedTo == "" {
		e.performActions(e.dispatcher.Cancel(e.options.Now(), c.job.ID))
	}
}

// completeCall closes a call and sends its outcome to the callers and entries that wait for it.
func (e *Entry) completeCall(c *call, o batch.Outcome) {
	delete(e.calls, c.job.ID)
	for _, w := range c.waiters {
		w <- o
	}
	for origin := range c.origins {
		if x, ok := e.entries[origin]; ok {
			e.sendToEntry(x, func(p *inner.Peer) bool { return p.ForwardOutcome(c.job.ID, o) })
		}
	}
}

// performActions carries out the actions that the dispatcher returned.
func (e *Entry) performActions(actions []dispatch.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case *dispatch.StartRuns:
			if a, ok := e.agents[action.Agent]; ok {
				e.logStarts(action)
				for i, start := range action.Starts {
					if until, limited := e.jobLimit(a, start.Task.Job); limited {
						action.Starts[i].Until = until
					}
				}
				a.peer.UpdateRuns(action.Starts, nil)
			}
		case *dispatch.StopRuns:
			// A disconnected agent stops its runs itself when its session expires.
			if a, ok := e.agents[action.Agent]; ok {
				a.peer.UpdateRuns(nil, action.Runs)
			}
		case dispatch.CrashesBlamed:
			e.logCrash(action)
			e.sendCrashes(action.Blamed)
		case dispatch.HealthChanged:
			e.logHealthChanged(action)
		case dispatch.Answer:
			e.logAnswer(action)
			if c, ok := e.calls[action.Job]; ok && c.forwardedTo == "" {
				e.completeCall(c, action.Outcome)
			}
		}
	}
}

// Forward implements inner.BatchEntryHandler.
func (e *Entry) Forward(p *inner.Peer, j batch.Job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	x, ok := e.entrySessionOf(p)
	if !ok || x.connections[p] < x.peerSession {
		return // sent in a session that the other entry has since ended, so it no longer waits for the job
	}
	if _, open := e.calls[j.ID]; e.releasingAgents && !open {
		e.sendToEntry(x, func(p *inner.Peer) bool { return p.ForwardOutcome(j.ID, batch.NotRun{Reason: batch.Draining}) })
		return
	}
	session := x.connections[p]
	c := e.findOrNewCall(j)
	if c.forwardedTo == p.Name {
		// The caller submitted the job to both entries, and each forwarded it to the other. The entry whose name sorts
		// first dispatches it, but only once the other one has declined: that one may have withdrawn the job before it
		// received it, and then dispatches it.
		if e.options.Name < p.Name {
			c.origins[p.Name] = session
		} else {
			e.sendToEntry(x, func(p *inner.Peer) bool {
				return p.ForwardOutcome(j.ID, batch.NotRun{Reason: batch.AlreadySubmitted})
			})
		}
		return
	}
	c.origins[p.Name] = session
	e.startCall(c)
}

// reassignStranded passes on the jobs that another entry can start sooner because this one has no backend server for
// them, or is stopping. If only other entries wait for such a job, they choose again; it has not been started.
func (e *Entry) reassignStranded(now time.Time) {
	for _, id := range e.dispatcher.Stranded() {
		c, ok := e.calls[id]
		if !ok || c.forwardedTo != "" {
			continue
		}
		if len(c.waiters) == 0 {
			if e.dispatcher.Withdraw(id) {
				e.handBack(c)
				delete(e.calls, id)
			}
			continue
		}
		// The job goes on elsewhere for the callers of this entry, and for the entries that forwarded it.
		to := e.peers.Choose(now, e.dispatcher.Load(), c.job)
		if _, isOrigin := c.origins[to]; to == "" || isOrigin || !e.dispatcher.Withdraw(id) {
			continue
		}
		if !e.forward(c, to) {
			e.dispatch(now, c)
		}
	}
}

// handBack tells the entries that forwarded a job that it has not been started here and will not be.
func (e *Entry) handBack(c *call) {
	for origin := range c.origins {
		e.log(event.JobRefused).Str("Job", string(c.job.ID)).Str("Peer", origin).Str("State", "HandedBack").Send()
		if x, ok := e.entries[origin]; ok {
			e.sendToEntry(x, func(p *inner.Peer) bool {
				return p.ForwardOutcome(c.job.ID, batch.NotRun{Reason: batch.NoServer})
			})
		}
	}
	clear(c.origins)
}

// expireForwarded ends forwarded jobs whose outcome did not arrive within the caller's time-out. The entry that
// dispatches a job normally reports the time-out itself, so this covers an outcome message that was lost.
func (e *Entry) expireForwarded(now time.Time) {
	for _, c := range e.calls {
		if c.forwardedTo == "" || now.Sub(c.arrived) <= c.job.Timeout+forwardMargin {
			continue
		}
		e.logUnknownOutcome(now, c, batch.DeadlinePassed)
		e.completeCall(c, batch.Unknown{Reason: batch.DeadlinePassed})
		e.cancelDispatch(c)
	}
}

// ForwardOutcome implements inner.BatchEntryHandler.
func (e *Entry) ForwardOutcome(p *inner.Peer, id batch.JobID, o batch.Outcome) {
	e.mu.Lock()
	defer e.mu.Unlock()
	x, connected := e.entrySessionOf(p)
	if !connected || x.connections[p] < x.peerSession {
		return // sent in an earlier session, so it may not be the outcome of the job as forwarded in this one
	}
	c, ok := e.calls[id]
	if !ok || c.forwardedTo != p.Name {
		return
	}
	if o == (batch.NotRun{Reason: batch.AlreadySubmitted}) {
		e.dispatch(e.options.Now(), c)
		return
	}
	if n, ok := o.(batch.NotRun); ok && n.Reason != batch.Crashes && c.retries < maxRetries && e.retry(c, n.Reason) {
		return
	}
	if _, unknown := o.(batch.Unknown); unknown {
		e.cancelDispatch(c) // the other entry may have sent the outcome before it receives the job
	}
	e.log(event.JobAnswered).Str("Job", string(id)).Str("Route", c.job.Route).Str("State", batch.OutcomeName(o)).
		Str("Peer", p.Name).Dur("Taken", e.options.Now().Sub(c.arrived)).Send()
	e.metrics.recordOutcome(o, e.options.Now().Sub(c.arrived))
	e.completeCall(c, o)
}

// retry reassigns a job that another entry refused, which happens when the load report that led to the choice was out
// of date. A job refused as Overloaded is only moved to an entry with free capacity, so that a full site refuses jobs
// at once. It reports whether the job was reassigned.
func (e *Entry) retry(c *call, reason batch.Reason) bool {
	peer := c.forwardedTo
	c.retries++
	if reason != batch.Overloaded {
		e.logRefusedByPeer(c, reason)
		e.peers.Remove(peer)
		e.assignCall(c)
		return true
	}
	c.retries = maxRetries // one more try, as waiting for room takes longer than the job can
	e.peers.MarkFull(peer, c.job.Pool)
	now := e.options.Now()
	if e.dispatcher.CanStartNow(now, c.job) {
		e.logRefusedByPeer(c, reason)
		e.dispatch(now, c)
		return true
	}
	if to, ok := e.peers.ChooseWithCapacity(now, c.job); ok && to != peer {
		e.logRefusedByPeer(c, reason)
		return e.forward(c, to)
	}
	return false
}

// WithdrawJob implements inner.BatchEntryHandler.
func (e *Entry) WithdrawJob(p *inner.Peer, id batch.JobID, forAll bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	x, connected := e.entrySessionOf(p)
	c, ok := e.calls[id]
	switch {
	case !ok:
	case forAll:
		e.cancel(c)
	case !connected || x.connections[p] < c.origins[p.Name]:
		// The other entry has forwarded the job again, or continued it, since it sent the message.
	default:
		delete(c.origins, p.Name)
		e.cancelIfUnneeded(c, "Withdrawn")
	}
}

// CancelJob cancels a job for every caller, at this entry and at the others. It reports whether the job was open
// here.
func (e *Entry) CancelJob(id batch.JobID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	c, ok := e.calls[id]
	if !ok {
		for _, x := range e.entries {
			e.sendToEntry(x, func(p *inner.Peer) bool { return p.WithdrawJob(id, true) })
		}
		return false
	}
	e.cancel(c)
	return true
}

func (e *Entry) cancel(c *call) {
	id := c.job.ID
	e.log(event.JobCancelled).Str("Job", string(id)).Str("Route", c.job.Route).Str("State", "Asked").
		Dur("Taken", e.options.Now().Sub(c.arrived)).Str("Peer", c.forwardedTo).Send()
	e.metrics.cancelled.Inc(1)
	e.completeCall(c, batch.Cancelled{})
	e.cancelDispatch(c)
}

// JobStatus reports whether a job is open here, and whether it was started or forwarded.
func (e *Entry) JobStatus(id batch.JobID) (open, started bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c, ok := e.calls[id]
	if !ok {
		return false, false
	}
	_, started = e.dispatcher.JobStatus(id)
	return true, started || c.forwardedTo != ""
}

// QueuedJobs returns the number of a route's jobs that are queued here and have no started task.
func (e *Entry) QueuedJobs(route string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dispatcher.WaitingJobs(route)
}

// Configuration implements inner.BatchEntryHandler. Version 0 means that no configuration has been received yet.
func (e *Entry) Configuration() site.Configuration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.config
}
