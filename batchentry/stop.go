package batchentry

import (
	"context"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/event"
)

const (
	// readinessDelay is how long a stopping entry continues to accept jobs after it has become unready. The load
	// balancer checks readiness every second and removes an entry after two failed checks.
	readinessDelay    = 2500 * time.Millisecond
	drainPollInterval = 20 * time.Millisecond
	// stoppedRetryAfter is the Retry-After for callers that reach a stopped entry. Another entry serves the retry.
	stoppedRetryAfter = time.Second
)

// Ready reports whether this entry can serve callers: it has a configuration, and either backend servers of its own or
// another entry that reported its load within maxReadyLoadAge.
func (e *Entry) Ready() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopping || e.config.Version == 0 {
		return false
	}
	if e.dispatcher.Load().Total().Cores > 0 {
		return true
	}
	now := e.options.Now()
	for _, x := range e.entries {
		if now.Sub(x.lastLoad) < maxReadyLoadAge {
			return true
		}
	}
	return false
}

// Stop drains the entry: it becomes unready, accepts jobs until the load balancer has removed it, and waits for its open
// jobs. It releases its agents at once if another entry can dispatch to them, so that the jobs that it has started have
// as much time as possible, and otherwise when it accepts no more jobs. It returns when no job is open or the context
// ends. Jobs that are still open then are answered as Unknown.
func (e *Entry) Stop(ctx context.Context) {
	e.mu.Lock()
	e.stopping = true
	e.log(event.ProcessDraining).Int("Open", len(e.calls)).Send()
	if e.hasSuccessor(e.options.Now()) {
		e.releaseAgents()
	}
	e.mu.Unlock()
	delay := readinessDelay
	if end, ok := ctx.Deadline(); ok {
		delay = min(delay, time.Until(end)/2)
	}
	select {
	case <-time.After(delay):
	case <-ctx.Done():
	}
	e.mu.Lock()
	e.closing = true
	e.releaseAgents()
	e.mu.Unlock()
	for ctx.Err() == nil && e.openCallCount() > 0 {
		time.Sleep(drainPollInterval)
	}
	e.abandonOpenCalls()
}

// hasSuccessor reports whether another entry can take over the agents.
func (e *Entry) hasSuccessor(now time.Time) bool {
	for _, x := range e.entries {
		if !x.draining && now.Sub(x.lastLoad) < maxReadyLoadAge {
			return true
		}
	}
	return false
}

// releaseAgents tells the agents to choose another home, and hands the jobs that have not started to other entries.
func (e *Entry) releaseAgents() {
	if e.releasingAgents {
		return
	}
	e.releasingAgents = true
	e.entryListVersion++
	e.dispatcher.Drain()
	e.sendKeepAlives()
	e.sendLoad()
}

// abandonOpenCalls answers the jobs that are still open as Unknown, so that their callers can resubmit them at once.
func (e *Entry) abandonOpenCalls() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopped = true
	now := e.options.Now()
	for _, c := range e.calls {
		e.logUnknownOutcome(now, c, batch.Draining)
		e.completeCall(c, batch.Unknown{Reason: batch.Draining})
		e.cancelDispatch(c)
	}
}

// Draining reports whether callers should use another entry for their next request.
func (e *Entry) Draining() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.closing
}
