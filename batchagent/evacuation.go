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
	// maxEvacuationAge is the age of the knowledge about evacuations from which an agent reads the store itself. An entry
	// that reads the store, or is connected to one that does, keeps it below 1.6 s: 1 s is the poll of a watcher, the rest
	// are the intervals of the messages. A slow store adds 0.4 s for each of two responses.
	maxEvacuationAge = 2500 * time.Millisecond
	// evacuationCheckInterval is how often the age is checked, with a jitter of a half.
	evacuationCheckInterval = 250 * time.Millisecond
	// evacuationTimeout limits a read. A slow store responds in 400 ms.
	evacuationTimeout = 500 * time.Millisecond
	// minEvacuationRetry and maxEvacuationRetry bound the exponential backoff between reads that fail. With the longest
	// one, the first read after an outage succeeds at most 3 s after its end.
	minEvacuationRetry = 250 * time.Millisecond
	maxEvacuationRetry = 2 * time.Second
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
}

// watchEvacuations reads the evacuations from the store while no entry has fresh knowledge of it. The entries may be cut
// off from the store and from each other while this host is not.
func (a *Agent) watchEvacuations(ctx context.Context) {
	retry := minEvacuationRetry
	failed := false
	for ctx.Err() == nil {
		sleep(ctx, evacuationCheckInterval/2+rand.N(evacuationCheckInterval))
		if !a.needsEvacuations() {
			retry, failed = minEvacuationRetry, false
			continue
		}
		err := a.readEvacuations(ctx)
		if err == nil {
			retry, failed = minEvacuationRetry, false
			continue
		}
		if !failed && ctx.Err() == nil {
			a.log(event.PlatformFailed).Str("State", "ReadEvacuations").Err(err).Send()
		}
		failed = true
		sleep(ctx, retry/2+rand.N(retry/2))
		retry = min(2*retry, maxEvacuationRetry)
	}
}

// needsEvacuations reports whether the knowledge about evacuations is old. An agent without an entry keeps it fresh as
// well: the next entry may know nothing, and starts tasks at once.
func (a *Agent) needsEvacuations() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.options.Now()
	age, known := a.evacuations.Age(now)
	if !known {
		age = now.Sub(a.startedAt)
	}
	return !a.stopping && age > maxEvacuationAge
}

// readEvacuations reads the evacuations from the store, and tells the entries about a change.
func (a *Agent) readEvacuations(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, evacuationTimeout)
	defer cancel()
	a.metrics.evacuationReads.Inc(1)
	askedAt := a.options.Now()
	s, err := a.options.Directory.Evacuations(ctx)
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.learnEvacuations(s, askedAt, "store") {
		for _, p := range a.peers {
			p.Evacuations(s)
		}
	}
	return nil
}

// evacuationMetrics returns the gauge of the evacuated data centres that an agent knows, and the counter of its reads.
func evacuationMetrics(r metrics.Registry) (known metrics.Gauge, reads metrics.Counter) {
	return metrics.GetOrRegisterGauge("Evacuation.Known", r), metrics.GetOrRegisterCounter("Evacuation.StoreReads", r)
}
