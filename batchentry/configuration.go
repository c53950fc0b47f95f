package batchentry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodglade/core/evacuation"
	"dogwoodglade/core/event"
	"dogwoodglade/core/home"
	"dogwoodglade/core/site"
	"dogwoodglade/core/watch"
)

const (
	// storeTimeout limits a request to the store. The store normally responds within a few ms; a later response is
	// treated as lost, because a connection can stop delivering data without being closed.
	storeTimeout = time.Second
	// initialStoreTimeout and initialMaxRetryDelay replace the limits of the plan while an entry has no configuration,
	// because it refuses every caller until then. A slow store responds in a quarter of a second.
	initialStoreTimeout  = 500 * time.Millisecond
	initialMaxRetryDelay = 200 * time.Millisecond
	minRetryDelay        = 100 * time.Millisecond
	maxRetryDelay        = 2 * time.Second
	// isolationCheckInterval is how often an entry checks whether it has no connection to another entry. If it has
	// none, it reads the list of entries in the store again.
	isolationCheckInterval = 2 * time.Second
	// minPollTime limits how often a poll in progress is ended because the configuration may be outdated.
	minPollTime = 500 * time.Millisecond
)

// backoff is an exponential backoff. Jitter keeps entries from retrying at the same time.
type backoff struct{ wait time.Duration }

func (b *backoff) pause(ctx context.Context, limit time.Duration) {
	b.wait = min(max(2*b.wait, minRetryDelay), limit)
	select {
	case <-time.After(b.wait/2 + rand.N(b.wait/2+1)):
	case <-ctx.Done():
	}
}

// configurationReader is the state of reading the operators' edits from the store: the configuration and the evacuations.
type configurationReader struct {
	state       evacuation.State // as read here; edits up to its position have been read
	hasPosition bool
	failed      bool // the latest call failed
	outdated    bool // the configuration may be outdated, so the next call does not wait for a change
}

// operatorEdits is what a call to the store returned.
type operatorEdits struct {
	configuration site.Configuration
	evacuations   evacuation.State
	confirmedAt   time.Time // the store had no later edits at this time
}

// errBecameWatcher and errOutdated cancel a poll in progress: one that is longer than that of a watcher, and one that has
// not ended although the configuration may be outdated.
var (
	errBecameWatcher = errors.New("the entry has become a watcher of the configuration")
	errOutdated      = errors.New("the configuration may be outdated")
)

// poll is a call to the store that waits for a change.
type poll struct {
	interrupt context.CancelCauseFunc
	began     time.Time
	watcher   bool // it is as short as that of a watcher
}

// watchConfiguration reads the configuration from the store and applies its changes until the context ends.
func (e *Entry) watchConfiguration(ctx context.Context) {
	var b backoff
	var r configurationReader
	watcher := false
	for ctx.Err() == nil {
		e.mu.Lock()
		plan := e.watchPlan()
		e.mu.Unlock()
		if plan.Watcher != watcher {
			watcher = plan.Watcher
			e.log(event.WatcherChanged).Bool("Watcher", watcher).Send()
		}
		began := e.options.Now()
		edits, err := e.readConfiguration(ctx, r, plan)
		e.mu.Lock()
		// They are valid even if the configuration cannot be decoded.
		e.learnEvacuations(e.options.Now(), edits.evacuations, edits.confirmedAt, "store")
		e.mu.Unlock()
		var lost *HistoryLostError
		switch {
		case errors.Is(err, errBecameWatcher):
			continue
		case errors.Is(err, errOutdated):
			r.outdated = true
			continue
		case errors.As(err, &lost):
			r.hasPosition = false
		case err != nil:
			if !r.failed && ctx.Err() == nil {
				e.log(event.PlatformFailed).Bool("Watcher", plan.Watcher).Dur("Taken", e.options.Now().Sub(began)).Err(err).Send()
			}
			r.failed = true
			e.setReadsStore(false)
			b.pause(ctx, plan.MaxRetryDelay)
			continue
		default:
			r.hasPosition, r.state = true, edits.evacuations
		}
		if r.failed {
			r.failed = false
			e.log(event.PlatformRestored).Send()
		}
		b = backoff{}
		e.setReadsStore(true)
		if err == nil {
			r.outdated = false
			e.applyIfNewer(edits.configuration, edits.confirmedAt, "store")
		}
	}
}

// readConfiguration waits for a change after the position. Without a position it reads the current configuration. After
// a failure it does not wait, so that a lost response is noticed soon.
func (e *Entry) readConfiguration(
	ctx context.Context, r configurationReader, plan watch.Plan,
) (operatorEdits, error) {
	askedAt := e.options.Now()
	if !r.hasPosition {
		ctx, cancel := context.WithTimeout(ctx, plan.Timeout)
		defer cancel()
		c, evacuations, err := e.options.Directory.Configuration(ctx)
		return operatorEdits{configuration: c, evacuations: evacuations, confirmedAt: askedAt}.valid(), err
	}
	if r.failed || r.outdated {
		plan.Wait = 0
	}
	ctx, interrupt := context.WithCancelCause(ctx)
	defer interrupt(nil)
	if plan.Wait > 0 {
		e.setPoll(&poll{interrupt: interrupt, began: askedAt, watcher: plan.Watcher})
		defer e.setPoll(nil)
	}
	timeoutCtx, cancel := context.WithTimeout(ctx, plan.Wait+plan.Timeout)
	defer cancel()
	x, err := e.options.Directory.WaitForChange(timeoutCtx, r.state, plan.Wait)
	if cause := context.Cause(ctx); err != nil && (errors.Is(cause, errBecameWatcher) || errors.Is(cause, errOutdated)) {
		err = cause
	}
	edits := operatorEdits{configuration: x.Configuration, evacuations: x.Evacuations, confirmedAt: askedAt}
	if end := askedAt.Add(plan.Wait); x.Waited && !e.options.Now().Before(end) {
		edits.confirmedAt = end // the store has waited until then for an edit
	}
	return edits.valid(), err
}

// valid returns the edits, or none if the call returned no state.
func (o operatorEdits) valid() operatorEdits {
	if o.evacuations.Position() == 0 {
		return operatorEdits{}
	}
	return o
}

// watchPlan returns how this entry polls the store at present.
func (e *Entry) watchPlan() watch.Plan {
	others := make([]watch.Entry, 0, len(e.entries))
	for name, x := range e.entries {
		others = append(others, watch.Entry{Name: name, ReadsStore: x.readsStore})
	}
	plan := watch.For(e.options.Name, others)
	if e.config.Version == 0 {
		plan.Timeout, plan.MaxRetryDelay = initialStoreTimeout, initialMaxRetryDelay
	}
	return plan
}

// interruptPoll ends the poll in progress if this entry has become a watcher since the poll began, or if the
// configuration may be outdated: the poll's response may have been lost, and the watchers may not reach the store.
func (e *Entry) interruptPoll(now time.Time) {
	if e.poll == nil {
		return
	}
	plan := e.watchPlan()
	age, known := e.configurationAge(now)
	var cause error
	switch {
	case known && age > plan.MaxAge && now.Sub(e.poll.began) >= minPollTime:
		cause = errOutdated
	case plan.Watcher && !e.poll.watcher:
		cause = errBecameWatcher
	default:
		return
	}
	e.poll.interrupt(cause)
	e.poll = nil
}

func (e *Entry) setPoll(p *poll) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.poll = p
}

func (e *Entry) setReadsStore(reads bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.readsStore = reads
}

// confirmConfiguration records that the store had no newer configuration at a time.
func (e *Entry) confirmConfiguration(at time.Time) { e.configAsOf = latest(e.configAsOf, at) }

// configurationAge returns for how long the store may have had a newer configuration. It reports false if that is not
// known.
func (e *Entry) configurationAge(now time.Time) (age time.Duration, known bool) {
	if e.configAsOf.IsZero() {
		return 0, false
	}
	return now.Sub(e.configAsOf), true
}

// applyIfNewer applies a configuration if it is newer than the current one. The store had no newer one at confirmedAt; zero
// means that this is not known. The other entries are told at once of a newer version, and of a confirmation that was
// overdue, so that they need not read the store as well.
func (e *Entry) applyIfNewer(c site.Configuration, confirmedAt time.Time, source string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.options.Now()
	age, known := e.configurationAge(now)
	outdated := known && age > e.watchPlan().MaxAge
	previous := e.config.Version
	next, newer := e.config.Newer(c)
	e.config = next
	e.confirmConfiguration(confirmedAt)
	if !newer {
		if outdated && !confirmedAt.IsZero() {
			e.sendLoad()
		}
		return
	}
	rules := next.OverloadRules()
	e.dispatcher.SetOverloadRules(rules)
	displacing, guarded := countRules(rules)
	e.metrics.displacingPools.Update(displacing)
	e.metrics.guardedPools.Update(guarded)
	if previous == 0 {
		close(e.configured)
	}
	line := e.log(event.TablesAdopted).Uint64("Version", next.Version).Uint64("Previous", previous).
		Int("Routes", len(next.Routes)).Int("Skipped", next.Skipped).Str("Peer", source).
		Int64("DisplacingPools", displacing).Int64("GuardedPools", guarded)
	if known {
		line = line.Dur("Age", age)
	}
	line.Send()
	e.sendLoad()
}

// AwaitConfiguration returns the configuration. If there is none yet, it waits for one, but not after the entry has been
// running for configurationGrace.
func (e *Entry) AwaitConfiguration(ctx context.Context) site.Configuration {
	if grace := configurationGrace - e.options.Now().Sub(e.startedAt); grace > 0 {
		select {
		case <-e.configured:
		case <-time.After(grace):
		case <-ctx.Done():
		}
	}
	return e.Configuration()
}

// register writes the entry's row to the store and reads the addresses of the others. The row is written before the
// others are read, so that of two entries that start at the same time at least one finds the other. The addresses are
// read again when a periodic check finds no connection to another entry.
func (e *Entry) register(ctx context.Context) {
	var b backoff
	self := home.Entry{
		Name: e.options.Name, Address: e.options.Address, Region: e.options.Region, DataCentre: e.options.DataCentre,
		Weight: e.options.Weight,
	}
	registered := false
	for ctx.Err() == nil {
		err := e.tryRegister(ctx, self, !registered)
		if err != nil {
			if b.wait == 0 && ctx.Err() == nil {
				e.log(event.PlatformFailed).Str("State", "Register").Err(err).Send()
			}
			b.pause(ctx, maxRetryDelay)
			continue
		}
		if !registered {
			e.log(event.EntryRegistered).Send()
		}
		registered, b = true, backoff{}
		if !e.waitUntilIsolated(ctx) {
			return
		}
	}
}

// waitUntilIsolated returns true when a periodic check finds no connection to another entry, and false when the
// context ends.
func (e *Entry) waitUntilIsolated(ctx context.Context) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(isolationCheckInterval/2 + rand.N(isolationCheckInterval)):
		}
		e.mu.Lock()
		isolated := len(e.entries) == 0
		e.mu.Unlock()
		if isolated {
			return true
		}
	}
}

func (e *Entry) tryRegister(ctx context.Context, self home.Entry, write bool) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if write {
		if err := e.options.Directory.Register(ctx, self); err != nil {
			return err
		}
	}
	entries, err := e.options.Directory.Entries(ctx)
	for _, x := range entries {
		if x.Name != self.Name {
			e.connector.AddDiscovered(x.Address)
		}
	}
	return err
}
