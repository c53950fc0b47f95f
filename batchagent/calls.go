package batchagent

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/event"
	"dogwoodglade/core/supervise"
)

// stopKey identifies the run that a stop is for.
type stopKey struct {
	task   batch.TaskID
	number int
}

// listRuns makes a hold call beside the regular ones, after the one that is under way. One that waits renews no lease: it
// could arrive later than the end of the lease allows for. The regular calls renew it.
func (a *Agent) listRuns(h supervise.Hold) {
	if a.listUnderWay {
		h.Renew = false
	}
	if a.pendingList != nil {
		h = a.pendingList.Merge(h)
	}
	a.pendingList = &h
	if !a.listUnderWay {
		a.listUnderWay = true
		a.calls.Go(a.sendLists)
	}
}

// sendLists makes the pending hold call, and those that become pending meanwhile.
func (a *Agent) sendLists() {
	for {
		a.mu.Lock()
		h := a.pendingList
		a.pendingList = nil
		if h == nil || a.stopping {
			a.listUnderWay = false
			a.mu.Unlock()
			return
		}
		a.mu.Unlock()
		a.hold(context.Background(), *h)
	}
}

// await waits until a start or stop may be made, for the given time at most.
func (a *Agent) await(limit time.Duration) (done func(), ok bool) {
	timeout := time.NewTimer(limit)
	defer timeout.Stop()
	select {
	case a.underWay <- struct{}{}:
		return func() { <-a.underWay }, true
	case <-timeout.C:
		return func() {}, false
	}
}

func (a *Agent) start(c supervise.CallStart) {
	result, clock := a.callStart(c)
	a.metrics.recordStart(result)
	number := event.TaskStarted
	if result != supervise.Accepted {
		number = event.TaskRefused
	}
	a.logRun(number, c.Task, c.Number).Str("Peer", c.Entry).Uint64("Token", c.Token).Str("State", result.String()).Send()
	a.withSupervisor(func(now time.Time) []supervise.Action { return a.supervisor.StartAnswered(now, c, result, clock) })
}

// callStart makes the call that starts a run, if the run is still wanted when its turn comes. The supervisor repeats a start
// that was not sent in time.
func (a *Agent) callStart(c supervise.CallStart) (supervise.StartResult, time.Duration) {
	done, ok := a.await(startTimeout - c.Age(a.options.Now()))
	defer done()
	if ok {
		c, ok = a.sendStart(c)
	}
	if !ok {
		return supervise.Unsent, 0
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	return a.options.Server.Start(ctx, c)
}

func (a *Agent) sendStart(c supervise.CallStart) (supervise.CallStart, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.options.Now()
	// The process may have been frozen since the decision. A backend server that restarted under its ID meanwhile would
	// take the end of the lease for a time on its new clock.
	if a.stopping || c.Age(now) > startTimeout {
		return c, false
	}
	return a.supervisor.SendStart(now, c)
}

// stop makes the call that stops a run. A stop that does not get its turn in time has not been sent, so it does not count as
// unanswered; the supervisor repeats it.
func (a *Agent) stop(c supervise.CallStop) {
	done, ok := a.await(stopTimeout)
	defer done()
	a.mu.Lock()
	delete(a.waitingStops, stopKey{c.Task, c.Number})
	a.mu.Unlock()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	answered, clock := a.options.Server.Stop(ctx, c)
	a.metrics.stopped.Inc(1)
	line := a.logRun(event.TaskStopped, c.Task, c.Number).Uint64("Token", c.Token).Bool("Answered", answered)
	if c.Unrequested {
		line = line.Str("State", "Unrequested")
	}
	line.Send()
	a.withSupervisor(func(now time.Time) []supervise.Action { return a.supervisor.StopAnswered(now, c, answered, clock) })
}

// logRun starts a log line about a run.
func (a *Agent) logRun(n event.Number, task batch.TaskID, run int) *zerolog.Event {
	return a.log(n).Str("Job", string(task.Job)).Int("Step", task.Step).Int("Task", task.Index).Int("Run", run)
}

// logEnds logs the ends of runs that a response contains for the first time.
func (a *Agent) logEnds(h supervise.Hold, response supervise.HoldResponse) {
	for _, x := range response.Ended {
		if x.Sequence <= h.Seen {
			continue
		}
		line := a.logRun(event.TaskEnded, x.Task, x.Number).Str("State", string(x.End))
		if lapsed, ok := h.Lapsed(a.options.Now()); ok {
			line = line.Dur("Lapsed", lapsed)
		}
		line.Send()
	}
}

// holdLoop renews the lease of the backend server and collects the runs that have ended, while needed returns true.
func (a *Agent) holdLoop(ctx context.Context, needed func() bool) {
	for ctx.Err() == nil {
		if !needed() {
			sleep(ctx, noServerPollInterval)
			continue
		}
		a.mu.Lock()
		now, wait := a.options.Now(), supervise.HoldWait
		if now.Before(a.spareHoldUntil) {
			wait = lossyHoldWait
		}
		h, ok := a.supervisor.NextHold(now, wait)
		a.mu.Unlock()
		switch {
		case !ok:
			select {
			case <-ctx.Done():
			case <-a.serverKnown:
			case <-time.After(noServerPollInterval):
			}
		case !a.hold(ctx, h):
			a.mu.Lock()
			pause := minHoldPause << min(a.supervisor.UnansweredHolds(), maxHoldBackoffShift)
			a.mu.Unlock()
			sleep(ctx, pause)
		case h.Wait == 0:
			sleep(ctx, minHoldPause)
		}
	}
}

// hold makes one hold call, which lists the runs and may renew the lease. It reports whether the call succeeded.
func (a *Agent) hold(ctx context.Context, h supervise.Hold) bool {
	ctx, cancel := context.WithTimeout(ctx, h.Wait+holdMargin)
	defer cancel()
	response, err := a.options.Server.Hold(ctx, h.AsOf(a.options.Now()))
	a.logEnds(h, response)
	var fenced *FencedError
	var misdirected *MisdirectedError
	var notListening *NotListeningError
	a.withSupervisor(func(now time.Time) []supervise.Action {
		switch {
		case err == nil:
			before, _ := a.supervisor.Server()
			actions := a.supervisor.HoldAnswered(now, h, response)
			if after, _ := a.supervisor.Server(); after.Incarnation > before.Incarnation {
				a.log(event.BackendAnnounced).Str("Peer", after.ID).Int64("Born", after.Incarnation).Str("State", "Restarted").
					Int("Running", a.supervisor.TotalRunCount()).Send()
			}
			return actions
		case errors.As(err, &fenced):
			return a.supervisor.HoldFenced(now, h, fenced.Clock)
		case errors.As(err, &misdirected):
			return a.supervisor.HoldMisdirected(now, h)
		case errors.As(err, &notListening):
			a.spareHoldUntil = now.Add(spareHoldPeriod)
			return a.supervisor.HoldRefused(now, h)
		default:
			a.spareHoldUntil = now.Add(spareHoldPeriod)
			return a.supervisor.HoldFailed(now, h)
		}
	})
	if err != nil {
		a.metrics.holdsFailed.Inc(1)
		a.log(event.BackendSilent).Str("Peer", h.Server).Uint64("Token", h.Token).Err(err).Send()
	}
	return err == nil
}
