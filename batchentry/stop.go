package batchentry

import (
	"context"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/event"
)

const (
	// noticeTime is how long a stopping entry goes on as before, so that the load balancer notices that it is
	// not ready: the balancer asks every second and takes it out after two misses.
	noticeTime = 2500 * time.Millisecond
	stopPoll   = 20 * time.Millisecond
	// stoppedRetry is when a caller may return that reached an entry which has stopped. Another entry serves it.
	stoppedRetry = time.Second
)

// Ready reports whether callers can be served here: a configuration is known, and so is a backend server of
// this entry or another entry that has some.
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
		if now.Sub(x.heard) < readyLoadAge {
			return true
		}
	}
	return false
}

// Stop ends the entry in an orderly way: it is not ready at once, goes on until the load balancer has noticed,
// then leaves its agents to other entries and waits for its open jobs. It returns when nothing is open or the
// context ends.
func (e *Entry) Stop(ctx context.Context) {
	e.mu.Lock()
	e.stopping = true
	e.log(event.ProcessDraining).Int("Open", len(e.calls)).Send()
	e.mu.Unlock()
	notice := noticeTime
	if end, ok := ctx.Deadline(); ok {
		notice = min(notice, time.Until(end)/2)
	}
	select {
	case <-time.After(notice):
	case <-ctx.Done():
	}
	e.mu.Lock()
	e.handover = true
	e.generation++
	e.dispatcher.Drain()
	e.keepAgents()
	e.sendLoad()
	e.mu.Unlock()
	for ctx.Err() == nil && e.open() > 0 {
		time.Sleep(stopPoll)
	}
	e.giveUp()
}

// giveUp answers the jobs that are still open. Their callers learn at once that they have to submit again.
func (e *Entry) giveUp() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopped = true
	now := e.options.Now()
	for _, c := range e.calls {
		e.logGivenUp(now, c, batch.Draining)
		e.deliver(c, batch.Unknown{Reason: batch.Draining})
		e.withdraw(c)
	}
}

// Leaving reports whether callers should use another entry for their next request.
func (e *Entry) Leaving() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.handover
}
