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

// answerMargin is allowed to the entry that dispatches a job beyond the time for which the caller waits.
const answerMargin = 500 * time.Millisecond

// call is an open job, with everyone who waits for its outcome.
type call struct {
	job       batch.Job
	arrived   time.Time
	waiters   []chan batch.Outcome // callers of this entry
	origins   map[string]uint64    // entries that passed the job on to this one, with their sessions
	forwarded string               // the entry that dispatches the job; "" is this one
	retried   bool                 // another entry refused it
}

// Submit runs a job and returns its outcome. If the context ends first and nobody else waits for the job, the
// job is cancelled.
func (e *Entry) Submit(ctx context.Context, j batch.Job) batch.Outcome {
	outcome := make(chan batch.Outcome, 1)
	e.mu.Lock()
	if e.stopped {
		e.mu.Unlock()
		return batch.NotRun{Reason: batch.Draining, RetryAfter: stoppedRetry}
	}
	c := e.callOf(j)
	c.waiters = append(c.waiters, outcome)
	e.begin(c)
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
			e.cancelUnwanted(c, "CallerLeft")
			break
		}
	}
	return batch.Cancelled{}
}

// callOf returns the open call of a job, or a new one that is not begun.
func (e *Entry) callOf(j batch.Job) *call {
	c, ok := e.calls[j.ID]
	if !ok {
		c = &call{job: j, origins: map[string]uint64{}}
	}
	return c
}

// begin decides where a new call is dispatched. A call that is open already goes on.
func (e *Entry) begin(c *call) {
	if e.calls[c.job.ID] == c {
		e.log(event.JobResubmitted).Str("Job", string(c.job.ID)).Send()
		return
	}
	c.arrived = e.options.Now()
	e.calls[c.job.ID] = c
	e.measures.submitted.Inc(1)
	e.choose(c)
}

func (e *Entry) choose(c *call) {
	now := e.options.Now()
	// A job that another entry passed on is dispatched here, or jobs could go in circles.
	if len(c.origins) == 0 && !e.dispatcher.CanStartNow(now, c.job) && e.forward(c, e.peers.Choose(now, e.dispatcher.Load(), c.job)) {
		return
	}
	c.forwarded = ""
	e.perform(e.dispatcher.Submit(now, c.job))
}

// forward passes a call on to an entry, and reports whether that could be sent.
func (e *Entry) forward(c *call, to string) bool {
	x, ok := e.entries[to]
	if !ok || !e.sendTo(x, func(p *inner.Peer) bool {
		return p.Forward(c.job.WithTimeout(max(c.job.Timeout-e.options.Now().Sub(c.arrived), 0)))
	}) {
		return false
	}
	c.forwarded = to
	e.logForward(c)
	return true
}

// sendTo sends on the current connection of an entry, so that messages keep their order. If that connection has just
// ended, another one takes over.
func (e *Entry) sendTo(x *entrySession, send func(p *inner.Peer) bool) bool {
	if x.current != nil && send(x.current) {
		return true
	}
	for p := range x.peers {
		if p != x.current && send(p) {
			x.current = p
			return true
		}
	}
	return false
}

// cancelUnwanted cancels a call that nobody waits for.
func (e *Entry) cancelUnwanted(c *call, why string) {
	if len(c.waiters) > 0 || len(c.origins) > 0 || e.calls[c.job.ID] != c {
		return
	}
	e.log(event.JobCancelled).Str("Job", string(c.job.ID)).Str("Route", c.job.Route).Str("State", why).
		Dur("Taken", e.options.Now().Sub(c.arrived)).Str("Peer", c.forwarded).Send()
	e.measures.cancelled.Inc(1)
	delete(e.calls, c.job.ID)
	e.withdraw(c)
}

func (e *Entry) withdraw(c *call) {
	if x, ok := e.entries[c.forwarded]; ok {
		e.sendTo(x, func(p *inner.Peer) bool { return p.WithdrawJob(c.job.ID, false) })
		return
	}
	if c.forwarded == "" {
		e.perform(e.dispatcher.Cancel(e.options.Now(), c.job.ID))
	}
}

// deliver ends a call.
func (e *Entry) deliver(c *call, o batch.Outcome) {
	delete(e.calls, c.job.ID)
	for _, w := range c.waiters {
		w <- o
	}
	for origin := range c.origins {
		if x, ok := e.entries[origin]; ok {
			e.sendTo(x, func(p *inner.Peer) bool { return p.Forwarded(c.job.ID, o) })
		}
	}
}

// perform performs the actions of the dispatcher.
func (e *Entry) perform(actions []dispatch.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case *dispatch.StartRuns:
			if a, ok := e.agents[action.Agent]; ok {
				e.logStarts(action)
				a.peer.Runs(action.Starts, nil)
			}
		case *dispatch.StopRuns:
			// The runs of a lost agent end with its session.
			if a, ok := e.agents[action.Agent]; ok {
				a.peer.Runs(nil, action.Runs)
			}
		case dispatch.HealthChanged:
			e.logHealthChanged(action)
		case dispatch.Answer:
			e.logAnswer(action)
			if c, ok := e.calls[action.Job]; ok && c.forwarded == "" {
				e.deliver(c, action.Outcome)
			}
		}
	}
}

// Forward implements inner.BatchEntryHandler.
func (e *Entry) Forward(p *inner.Peer, j batch.Job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	x, ok := e.entryOf(p)
	if !ok || x.peers[p] < x.theirs {
		return // its origin has given it up
	}
	session := x.peers[p]
	c := e.callOf(j)
	if c.forwarded == p.Name {
		// Its caller submitted the job at both entries, and both passed it on. One of them dispatches it.
		if e.options.Name < p.Name {
			c.origins[p.Name] = session
			c.forwarded = ""
			e.perform(e.dispatcher.Submit(e.options.Now(), c.job))
		}
		return
	}
	c.origins[p.Name] = session
	e.begin(c)
}

// expire gives up the jobs that other entries did not answer while their callers wait. The entry that dispatches a
// job does so itself in time, so this is for an answer that was lost.
func (e *Entry) expire(now time.Time) {
	for _, c := range e.calls {
		if c.forwarded == "" || now.Sub(c.arrived) <= c.job.Timeout+answerMargin {
			continue
		}
		e.logGivenUp(now, c, batch.DeadlinePassed)
		e.deliver(c, batch.Unknown{Reason: batch.DeadlinePassed})
		e.withdraw(c)
	}
}

// Forwarded implements inner.BatchEntryHandler.
func (e *Entry) Forwarded(p *inner.Peer, id batch.JobID, o batch.Outcome) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c, ok := e.calls[id]
	if !ok || c.forwarded != p.Name {
		return
	}
	if n, ok := o.(batch.NotRun); ok && !c.retried && e.retry(c, n.Reason) {
		return
	}
	e.log(event.JobAnswered).Str("Job", string(id)).Str("Route", c.job.Route).Str("State", batch.OutcomeName(o)).
		Str("Peer", p.Name).Dur("Taken", e.options.Now().Sub(c.arrived)).Send()
	e.measures.answered(o, e.options.Now().Sub(c.arrived))
	e.deliver(c, o)
}

// retry decides once more about a job that a peer refused: its report was older than what happened there since. An
// overloaded peer is replaced only by an entry with room, so that a site without room refuses at once. It reports
// whether the job goes on.
func (e *Entry) retry(c *call, why batch.Reason) bool {
	peer := c.forwarded
	c.retried = true
	if why != batch.Overloaded {
		e.logRefusedByPeer(c, why)
		e.peers.Remove(peer)
		e.choose(c)
		return true
	}
	e.peers.MarkFull(peer, c.job.Pool)
	now := e.options.Now()
	if e.dispatcher.CanStartNow(now, c.job) {
		e.logRefusedByPeer(c, why)
		c.forwarded = ""
		e.perform(e.dispatcher.Submit(now, c.job))
		return true
	}
	if to, ok := e.peers.ChooseWithCapacity(now, c.job); ok && to != peer {
		e.logRefusedByPeer(c, why)
		return e.forward(c, to)
	}
	return false
}

// WithdrawJob implements inner.BatchEntryHandler.
func (e *Entry) WithdrawJob(p *inner.Peer, id batch.JobID, forAll bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c, ok := e.calls[id]
	switch {
	case !ok:
	case forAll:
		e.cancel(c)
	default:
		delete(c.origins, p.Name)
		e.cancelUnwanted(c, "Withdrawn")
	}
}

// CancelJob cancels a job for all who wait for it, at this entry and the others. It reports whether the job was
// open here.
func (e *Entry) CancelJob(id batch.JobID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	c, ok := e.calls[id]
	if !ok {
		for _, x := range e.entries {
			e.sendTo(x, func(p *inner.Peer) bool { return p.WithdrawJob(id, true) })
		}
		return false
	}
	e.cancel(c)
	return true
}

func (e *Entry) cancel(c *call) {
	id := c.job.ID
	e.log(event.JobCancelled).Str("Job", string(id)).Str("Route", c.job.Route).Str("State", "Asked").
		Dur("Taken", e.options.Now().Sub(c.arrived)).Str("Peer", c.forwarded).Send()
	e.measures.cancelled.Inc(1)
	e.deliver(c, batch.Cancelled{})
	e.withdraw(c)
}

// State reports whether a job is open here, and whether a run of it was ordered.
func (e *Entry) State(id batch.JobID) (open, started bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c, ok := e.calls[id]
	if !ok {
		return false, false
	}
	_, started = e.dispatcher.JobStatus(id)
	return true, started || c.forwarded != ""
}

// Waiting returns the number of jobs of a route that wait here for their first start.
func (e *Entry) Waiting(route string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dispatcher.WaitingJobs(route)
}

// Configuration implements inner.BatchEntryHandler. Version 0 means that none was learned yet.
func (e *Entry) Configuration() site.Configuration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.config
}
