package batchagent

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rcrowley/go-metrics"

	"dogwoodglade/core/evacuation"
	"dogwoodglade/core/event"
	"dogwoodglade/io/inner"
)

const (
	// evacuationCheckInterval is how often the age is checked, with a jitter of a half.
	evacuationCheckInterval = 250 * time.Millisecond
	// evacuationTimeout limits a read. A slow store responds in 400 ms.
	evacuationTimeout = 500 * time.Millisecond
	// minEvacuationRetry and maxEvacuationRetry bound the exponential backoff between reads that fail. With the longest
	// one, the first read after an outage succeeds at most 3 s after its end.
	minEvacuationRetry = 250 * time.Millisecond
	maxEvacuationRetry = 2 * time.Second
	// entryTellTime is how long an agent with old knowledge waits for that of a new home before it reads the store itself.
	// The first message of an entry answers the agent's first report.
	entryTellTime = 200 * time.Millisecond
	// failedReadTime is how long after a read that failed a change of the home does not wait for another one, so that the
	// loss of a home during an outage of the store costs little service.
	failedReadTime = 2 * time.Second
)

// learnEvacuations processes what the store or an entry tells about the evacuations. The state was complete in the store
// at confirmedAt or later; zero means that this is not known.
func (a *Agent) learnEvacuations(s evacuation.State, confirmedAt time.Time, source string) (changed bool) {
	now := a.options.Now()
	next, changes := a.evacuations.With(now, s, confirmedAt, source)
	a.evacuations = next
	for _, c := range changes {
		number := event.DataCentreEvacuated
		if c.TakenBack {
			number = event.EvacuationTakenBack
		}
		line := a.log(number).Str("DataCentre", c.DataCentre).Uint64("Version", c.Version).Str("Peer", c.Source)
		if c.TakenBack {
			line = line.Dur("Taken", now.Sub(c.Since))
		}
		line.Send()
	}
	if len(changes) > 0 {
		a.evacuationsChangedAt = now
		a.metrics.evacuations.Update(int64(len(next.State().DataCentres())))
		a.performActions(a.supervisor.SetEvacuated(next.State().Has(a.options.DataCentre)))
	}
	return len(changes) > 0
}

// learnFromKeepAlive processes what an entry tells about the evacuations.
func (a *Agent) learnFromKeepAlive(p *inner.Peer, k inner.KeepAlive) {
	var confirmedAt time.Time
	if k.StoreSeen > 0 {
		confirmedAt = time.Unix(0, int64(k.StoreSeen))
	}
	a.learnEvacuations(k.Evacuations.State(), confirmedAt, p.Name)
	a.asksReaders[p.Name] = k.AsksReaders
	if k.ReadStore > 0 && !a.stopping {
		a.calls.Go(func() { a.readFor(p, k.ReadStore) })
	}
}

// watchEvacuations reads the evacuations from the store while the home is an entry of an earlier version, which does not
// ask for it, and has no fresh knowledge.
func (a *Agent) watchEvacuations(ctx context.Context) {
	retry := minEvacuationRetry
	for ctx.Err() == nil {
		sleep(ctx, evacuationCheckInterval/2+rand.N(evacuationCheckInterval))
		if !a.needsEvacuations() || a.readEvacuations(ctx) {
			retry = minEvacuationRetry
			continue
		}
		sleep(ctx, retry/2+rand.N(retry/2))
		retry = min(2*retry, maxEvacuationRetry)
	}
}

// needsEvacuations reports whether the knowledge about evacuations is old and the home does not ask for reads.
func (a *Agent) needsEvacuations() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	current := a.supervisor.Home()
	return current != "" && !a.asksReaders[current] && a.evacuationsAreOld()
}

// evacuationsAreOld reports whether an evacuation may have been ordered too long ago to start a task without knowing it.
func (a *Agent) evacuationsAreOld() bool {
	age, known := a.evacuations.Age(a.options.Now())
	return !a.stopping && (!known || age > evacuation.MaxAge)
}

// awaitEvacuations learns the evacuations before the agent has a home again, as that entry may know nothing and starts
// tasks at once. It returns when a read has failed too, now or lately, because an outage of the store must not end all
// service.
func (a *Agent) awaitEvacuations(ctx context.Context, p *inner.Peer) {
	a.mu.Lock()
	a.nextHome = p.Name
	a.mu.Unlock()
	for begin := time.Now(); a.mayBeTold(p) && time.Since(begin) < entryTellTime && ctx.Err() == nil; {
		sleep(ctx, entryTellTime/10)
	}
	if a.shouldRead(p) {
		a.readEvacuations(ctx)
	}
}

// mayBeTold reports whether the agent's knowledge is old and the entry may still tell it about the evacuations. An entry
// that knows nothing may have just started, and be about to read the store.
func (a *Agent) mayBeTold(p *inner.Peer) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.evacuationsAreOld() && a.peers[p.Name] == p && !a.sessions[p.Name].toldAge
}

// shouldRead reports whether the agent's knowledge is old, the connection is open and no read has failed lately.
func (a *Agent) shouldRead(p *inner.Peer) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	failedLately := a.readFailed && a.options.Now().Sub(a.readFailedAt) < failedReadTime
	return a.evacuationsAreOld() && a.peers[p.Name] == p && !failedLately
}

// readEvacuations reads the evacuations from the store, and tells the entries about a change. It reports whether that
// succeeded.
func (a *Agent) readEvacuations(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, evacuationTimeout)
	defer cancel()
	a.metrics.evacuationReads.Inc(1)
	askedAt := a.options.Now()
	s, err := a.options.Directory.Evacuations(ctx)
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		if !a.readFailed && ctx.Err() == nil {
			a.log(event.PlatformFailed).Str("State", "ReadEvacuations").Err(err).Send()
		}
		a.readFailed, a.readFailedAt = true, a.options.Now()
		return false
	}
	a.readFailed = false
	if a.learnEvacuations(s, askedAt, "store") {
		for _, p := range a.peers {
			p.Evacuations(s, 0)
		}
	}
	return true
}

// readFor reads the evacuations from the store for an entry that has asked for it.
func (a *Agent) readFor(p *inner.Peer, asked time.Duration) {
	if a.readEvacuations(context.Background()) {
		a.mu.Lock()
		defer a.mu.Unlock()
		p.Evacuations(a.evacuations.State(), asked)
	}
}

// evacuationMetrics returns the gauge of the evacuated data centres that an agent knows, and the counter of its reads.
func evacuationMetrics(r metrics.Registry) (known metrics.Gauge, reads metrics.Counter) {
	return metrics.GetOrRegisterGauge("Evacuation.Known", r), metrics.GetOrRegisterCounter("Evacuation.StoreReads", r)
}
