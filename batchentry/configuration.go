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
}

// operatorEdits is what a call to the store returned.
type operatorEdits struct {
	configuration site.Configuration
	evacuations   evacuation.State
	confirmedAt   time.Time // the store had no later edits at this time
}

// errBecameWatcher cancels a poll that is longer than that of a watcher.
var errBecameWatcher = errors.New("the entry has become a watcher of the configuration")

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
			if edits.configuration.Version > 0 {
				e.applyIfNewer(edits.configuration, "store")
			}
			e.mu.Lock()
			e.confirmConfiguration(edits.confirmedAt)
			e.mu.Unlock()
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
	if r.failed {
		plan.Wait = 0
	}
	ctx, interrupt := context.WithCancelCause(ctx)
	defer interrupt(nil)
	e.setPollInterrupt(plan, interrupt)
	defer e.setPollInterrupt(plan, nil)
	timeoutCtx, cancel := context.WithTimeout(ctx, plan.Wait+plan.Timeout)
	defer cancel()
	x, err := e.options.Directory.WaitForChange(timeoutCtx, r.state, plan.Wait)
	if err != nil && errors.Is(context.Cause(ctx), errBecameWatcher) {
		err = errBecameWatcher
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

// interruptLongPoll ends the poll in progress if this entry has become a watcher since the poll began.
func (e *Entry) interruptLongPoll() {
	if e.interruptPoll != nil && e.watchPlan().Watcher {
		e.interruptPoll(errBecameWatcher)
		e.interruptPoll = nil
	}
}

// setPollInterrupt sets the function that ends the poll in progress. The poll of a watcher is short and not interrupted.
func (e *Entry) setPollInterrupt(plan watch.Plan, interrupt context.CancelCauseFunc) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if plan.Watcher {
		interrupt = nil
	}
	e.interruptPoll = interrupt
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

// applyIfNewer applies a configuration if it is newer than the current one, and announces its version to the other
// entries.
func (e *Entry) applyIfNewer(c site.Configuration, source string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	previous := e.config.Version
	next, newer := e.config.Newer(c)
	if !newer {
		return
	}
	e.config = next
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
	if age, known := e.configurationAge(e.options.Now()); known {
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
