package batchentry

import (
	"context"
	"maps"
	"slices"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/dispatch"
	"dogwoodglade/core/event"
	"dogwoodglade/core/overflow"
	"dogwoodglade/core/site"
	"dogwoodglade/io/inner"
)

// forwardMargin is added to the caller's time-out when waiting for the outcome of a forwarded job, so that the entry
// that dispatches the job can report its own time-out first.
const forwardMargin = 500 * time.Millisecond

// maxRetries limits how often a job is reassigned after refusals for other reasons than overload. Entries that stop one
// after the other may each hand it back.
const maxRetries = 3

// maxPassOnWait is how long a job of a caller of this entry may have waited here when it is passed on after a refusal. The
// next entry would give it a new target, so that it would be late there.
const maxPassOnWait = 60 * time.Millisecond

// call is an open job, with the callers and entries that wait for its outcome.
type call struct {
	job         batch.Job
	arrived     time.Time
	waiters     []waiter          // callers of this entry
	origins     map[string]origin // entries that forwarded the job to this one
	forwardedTo string            // the entry that dispatches the job; "" for this one
	forward     uint64            // number of the latest forward
	forwardedAt time.Time         // when it was sent
	held        bool              // it waits for the end of a withdrawn forward
	retries     int               // how often it was reassigned after another entry had refused it
	refusals    overflow.Refusals // as Overloaded
}

// waiter is a caller of this entry that waits for the outcome of a job.
type waiter struct {
	outcome   chan batch.Outcome
	connected func() bool
}

// origin identifies a forward by another entry.
type origin struct {
	session uint64 // of the other entry
	number  uint64 // among the forwards of the other entry's process; 0 if it is of an earlier version
}

// endedBy reports whether a withdrawal that was sent in a session ends the forward. Without a number, it may have been
// sent before the other entry forwarded the job again, or continued it.
func (o origin) endedBy(session, number uint64) bool {
	return number == o.number && (number != 0 || session >= o.session)
}

// Submit runs a job and returns its outcome. If the context ends first and no other caller or entry waits for the job,
// the job is cancelled.
//
// The function connected reports whether the caller is still there. It must not block, and is called each time before the
// permission of the job's runs is extended. It may return false long before the context ends, in a process that is short
// of processor time.
func (e *Entry) Submit(ctx context.Context, j batch.Job, connected func() bool) batch.Outcome {
	outcome := make(chan batch.Outcome, 1)
	e.mu.Lock()
	if ctx.Err() != nil || !connected() {
		e.mu.Unlock()
		return batch.Cancelled{}
	}
	if e.stopped {
		e.mu.Unlock()
		return batch.NotRun{Reason: batch.Draining, RetryAfter: stoppedRetryAfter}
	}
	e.checkIfLate(e.options.Now())
	c := e.findOrNewCall(j)
	c.waiters = append(c.waiters, waiter{outcome: outcome, connected: connected})
	e.startCall(c)
	e.mu.Unlock()
	select {
	case o := <-outcome:
		return o
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropWaiters(c, "CallerLeft", func(w waiter) bool { return w.outcome == outcome })
	return batch.Cancelled{}
}

// dropWaiters removes the callers of a job for which the condition holds, and cancels the job if nobody else waits for it.
func (e *Entry) dropWaiters(c *call, reason string, condition func(waiter) bool) {
	before := len(c.waiters)
	c.waiters = slices.DeleteFunc(c.waiters, condition)
	if len(c.waiters) < before {
		e.endSecondForward(c)
		e.cancelIfUnneeded(c, reason)
	}
}

// endSecondForward ends the forwards of a job that another entry dispatches and no caller of this one waits for. The limits
// of the two forwards would add up.
func (e *Entry) endSecondForward(c *call) {
	if len(c.waiters) > 0 || c.forwardedTo == "" || e.calls[c.job.ID] != c {
		return
	}
	for name, origin := range c.origins {
		if x, ok := e.entries[name]; ok && name != c.forwardedTo {
			delete(c.origins, name)
			e.sendToEntry(x, func(p *inner.Peer) bool {
				return p.ForwardOutcome(c.job.ID, origin.number, batch.Unknown{Reason: batch.PeerLost})
			})
		}
	}
}

// dropDepartedCallers cancels the jobs whose callers have all left. The contexts of their requests may end later.
func (e *Entry) dropDepartedCallers() {
	for _, c := range e.calls {
		e.dropWaiters(c, "ConnectionClosed", func(w waiter) bool {
			if w.connected() {
				return false
			}
			w.outcome <- batch.Cancelled{}
			return true
		})
	}
}

// findOrNewCall returns the open call for a job, or a new one that is not yet registered.
func (e *Entry) findOrNewCall(j batch.Job) *call {
	c, ok := e.calls[j.ID]
	if !ok {
		c = &call{job: j, origins: map[string]origin{}}
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
	// A job that another entry forwarded is always dispatched here. Otherwise jobs could be forwarded in a loop. One that
	// was submitted again waits here until its earlier runs have ended.
	bound := len(c.origins) > 0 || e.dispatcher.Stopping(c.job.ID)
	if !bound && !e.dispatcher.CanStartNow(now, c.job) && !e.dispatcher.GivenUp(now, c.job) &&
		e.forward(c, e.peers.Choose(now, e.dispatcher.LocalLoad(now), c.job)) {
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
	if e.calls[c.job.ID] != c {
		return // cancelled by forward, which found that its caller had left
	}
	if e.mayRunElsewhere(c.job.ID, "") {
		e.hold(c)
		return
	}
	j, ok := c.remaining(now)
	if !ok {
		e.log(event.JobRefused).Str("Job", string(c.job.ID)).Str("State", string(batch.DeadlinePassed)).
			Dur("Taken", now.Sub(c.arrived)).Send()
		e.completeCall(c, batch.NotRun{Reason: batch.DeadlinePassed})
		return
	}
	e.performActions(e.dispatcher.Submit(now, j))
}

// forward sends a job to another entry, or holds it while it may still run at a third one. It reports false if the message
// could not be sent or the caller's time-out has passed.
func (e *Entry) forward(c *call, to string) bool {
	x, ok := e.entries[to]
	j, inTime := c.remaining(e.options.Now())
	if !ok || !inTime {
		return false
	}
	if e.mayRunElsewhere(c.job.ID, to) {
		e.hold(c)
		return true
	}
	e.lastForward++
	number := e.lastForward
	if !e.sendToEntry(x, func(p *inner.Peer) bool { return p.Forward(j, number) }) {
		return false
	}
	c.forwardedTo, c.forward, c.forwardedAt = to, number, e.options.Now()
	e.logForward(c)
	if e.calls[c.job.ID] != c {
		e.cancelDispatch(c) // its caller was found to have left when the connection was switched
	}
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
		e.recordWithdrawn(c, x)
		e.sendToEntry(x, func(p *inner.Peer) bool { return p.WithdrawJob(c.job.ID, c.forward, false) })
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
		w.outcome <- o
	}
	n, notRun := o.(batch.NotRun)
	for name, origin := range c.origins {
		if x, ok := e.entries[name]; ok {
			if notRun && n.Reason == batch.Overloaded {
				e.sendFreshLoad(x)
			}
			e.sendToEntry(x, func(p *inner.Peer) bool { return p.ForwardOutcome(c.job.ID, origin.number, o) })
		}
	}
}

// performActions carries out the actions that the dispatcher returned, after those that are being carried out. Sending an
// outcome may cancel jobs, and a stop must not precede its start.
func (e *Entry) performActions(actions []dispatch.Action) {
	e.actions = append(e.actions, actions...)
	if e.performing {
		return
	}
	e.performing = true
	for len(e.actions) > 0 {
		next := e.actions[0]
		e.actions = e.actions[1:]
		e.performAction(next)
	}
	e.performing = false
	e.confirmWithdrawn()
}

func (e *Entry) performAction(action dispatch.Action) {
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
	case dispatch.RunsMoved:
		e.logRunsMoved(action)
	case dispatch.HealthChanged:
		e.logHealthChanged(action)
	case dispatch.Answer:
		c, ok := e.calls[action.Job]
		open := ok && c.forwardedTo == "" && !c.held
		if open && e.passOnOwn(c, action) {
			e.dispatcher.ReleaseRetry(action)
			return
		}
		e.logAnswer(action)
		if open {
			e.completeCall(c, action.Outcome)
		}
	}
}

// Forward implements inner.BatchEntryHandler.
func (e *Entry) Forward(p *inner.Peer, j batch.Job, number uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.checkIfLate(e.options.Now())
	x, ok := e.entrySessionOf(p)
	if !ok || x.connections[p] < x.peerSession {
		return // sent in a session that the other entry has since ended, so it no longer waits for the job
	}
	if _, open := e.calls[j.ID]; e.releasingAgents && !open && !e.dispatcher.Stopping(j.ID) {
		e.sendToEntry(x, func(p *inner.Peer) bool {
			return p.ForwardOutcome(j.ID, number, batch.NotRun{Reason: batch.Draining})
		})
		return
	}
	from := origin{session: x.connections[p], number: number}
	c := e.findOrNewCall(j)
	if c.forwardedTo == p.Name {
		// The caller submitted the job to both entries, and each forwarded it to the other. The entry whose name sorts
		// first dispatches it, but only once the other one has declined: that one may have withdrawn the job before it
		// received it, and then dispatches it.
		if e.options.Name < p.Name {
			c.origins[p.Name] = from
		} else {
			e.sendToEntry(x, func(p *inner.Peer) bool {
				return p.ForwardOutcome(j.ID, number, batch.NotRun{Reason: batch.AlreadySubmitted})
			})
		}
		return
	}
	c.origins[p.Name] = from
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
		to := e.peers.Choose(now, e.dispatcher.LocalLoad(now), c.job)
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
	for name, origin := range c.origins {
		e.log(event.JobRefused).Str("Job", string(c.job.ID)).Str("Peer", name).Str("State", "HandedBack").Send()
		if x, ok := e.entries[name]; ok {
			e.sendToEntry(x, func(p *inner.Peer) bool {
				return p.ForwardOutcome(c.job.ID, origin.number, batch.NotRun{Reason: batch.NoServer})
			})
		}
	}
	clear(c.origins)
}

// declinedSilently reports whether the entry that a job was forwarded to has left it to this one, as an entry of an earlier
// version does without a message. It has received the forward, as it has echoed a later clock reading. If it had withdrawn
// its own forward before that, it would no longer be an origin here, as the withdrawal precedes the echo.
func (e *Entry) declinedSilently(c *call) bool {
	x, ok := e.entries[c.forwardedTo]
	if !ok {
		return false
	}
	_, crossed := c.origins[c.forwardedTo]
	return crossed && x.lastEcho.After(c.forwardedAt)
}

// expireForwarded ends forwarded jobs whose outcome did not arrive within the caller's time-out. The entry that
// dispatches a job normally reports the time-out itself, so this covers an outcome message that was lost.
func (e *Entry) expireForwarded(now time.Time) {
	for _, c := range e.calls {
		if e.declinedSilently(c) {
			e.dispatch(now, c)
		}
		if c.forwardedTo == "" || now.Sub(c.arrived) <= c.job.Timeout+forwardMargin {
			continue
		}
		e.logUnknownOutcome(now, c, batch.DeadlinePassed)
		e.completeCall(c, batch.Unknown{Reason: batch.DeadlinePassed})
		e.cancelDispatch(c)
	}
}

// ForwardOutcome implements inner.BatchEntryHandler.
func (e *Entry) ForwardOutcome(p *inner.Peer, id batch.JobID, number uint64, o batch.Outcome) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.checkIfLate(e.options.Now())
	x, connected := e.entrySessionOf(p)
	if !connected || x.connections[p] < x.peerSession {
		return // sent in an earlier session, so it may not be the outcome of the job as forwarded in this one
	}
	c, ok := e.calls[id]
	if !ok || c.forwardedTo != p.Name || number != 0 && number != c.forward {
		return
	}
	if o == (batch.NotRun{Reason: batch.AlreadySubmitted}) {
		e.dispatch(e.options.Now(), c)
		return
	}
	if n, ok := o.(batch.NotRun); ok && n.Reason != batch.Crashes && e.retry(c, n.Reason) {
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

// retry reassigns a job that another entry refused. It reports whether the job was reassigned.
func (e *Entry) retry(c *call, reason batch.Reason) bool {
	peer := c.forwardedTo
	if reason != batch.Overloaded {
		if c.retries >= maxRetries {
			return false
		}
		c.retries++
		e.logRefusedByPeer(c, reason)
		e.peers.Remove(peer)
		e.assignCall(c)
		return true
	}
	e.peers.MarkFull(peer, c.job.Pool)
	c.refusals = c.refusals.With(peer)
	now := e.options.Now()
	if e.dispatcher.CanStartNow(now, c.job) {
		e.logRefusedByPeer(c, reason)
		e.dispatch(now, c)
		return true
	}
	return e.passOn(now, c)
}

// passOnOwn offers a job of a caller of this entry that the dispatcher has refused as Overloaded to another entry. It
// reports whether one takes it.
func (e *Entry) passOnOwn(c *call, a dispatch.Answer) bool {
	o, refused := a.Outcome.(batch.NotRun)
	if !refused || o.Reason != batch.Overloaded || a.Waited > maxPassOnWait || len(c.origins) > 0 || e.dispatcher.Stopping(c.job.ID) {
		return false
	}
	c.refusals = c.refusals.With(e.options.Name)
	return e.passOn(e.options.Now(), c)
}

// passOn forwards a job that was refused as Overloaded to an entry that has not refused it and where nothing waits. Under
// a general overload there is none, and the caller is told at once. It reports whether the job was forwarded.
func (e *Entry) passOn(now time.Time, c *call) bool {
	origins := slices.Collect(maps.Keys(c.origins)) // they wait for this entry, and would pass the job back
	to, ok := e.peers.ChooseAfterRefusal(now, c.job, c.refusals, origins...)
	if !ok {
		return false
	}
	e.logRefusedByPeer(c, batch.Overloaded)
	if !e.forward(c, to) {
		return false
	}
	e.metrics.passedOn.Inc(1)
	return true
}

// WithdrawJob implements inner.BatchEntryHandler.
func (e *Entry) WithdrawJob(p *inner.Peer, id batch.JobID, number uint64, forAll bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	x, connected := e.entrySessionOf(p)
	if connected && number != 0 {
		e.recordUnconfirmed(id, p.Name, number)
		defer e.confirmWithdrawn()
	}
	c, ok := e.calls[id]
	switch {
	case !ok:
	case forAll:
		e.cancel(c)
	case connected && c.origins[p.Name].endedBy(x.connections[p], number):
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
			e.sendToEntry(x, func(p *inner.Peer) bool { return p.WithdrawJob(id, 0, true) })
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
