package batchentry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodglade/core/event"
	"dogwoodglade/core/home"
	"dogwoodglade/core/site"
)

const (
	// watchWaitPerEntry is the long-poll time for configuration changes, multiplied by the number of entries in the
	// region. With it the total request rate stays that of one entry. The longer wait delays no update, because
	// entries notify each other of a new version at once.
	watchWaitPerEntry = 500 * time.Millisecond
	minWatchWait      = time.Second
	maxWatchWait      = 10 * time.Second
	// storeTimeout limits a request to the store, in addition to the long-poll time. The store normally responds
	// within a few ms; a later response is treated as lost, because a connection can stop delivering data without
	// being closed.
	storeTimeout = time.Second
	// initialStoreTimeout and initialMaxRetryDelay replace storeTimeout and maxRetryDelay while an entry has no
	// configuration, because it refuses every caller until then. A slow store responds in a quarter of a second.
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

// watchConfiguration reads the configuration from the store and applies its changes until the context ends.
func (e *Entry) watchConfiguration(ctx context.Context) {
	var b backoff
	var position uint64
	hasPosition, failed := false, false
	for ctx.Err() == nil {
		c, next, err := e.readConfiguration(ctx, hasPosition, position)
		var lost *HistoryLostError
		switch {
		case errors.As(err, &lost):
			hasPosition = false
		case err != nil:
			if !failed && ctx.Err() == nil {
				e.log(event.PlatformFailed).Err(err).Send()
			}
			failed = true
			_, maxDelay := e.storeLimits()
			b.pause(ctx, maxDelay)
			continue
		default:
			hasPosition, position = true, next
		}
		if failed {
			failed = false
			e.log(event.PlatformRestored).Send()
		}
		b = backoff{}
		if err == nil && c.Version > 0 {
			e.applyIfNewer(c, "store")
		}
	}
}

// readConfiguration waits for a change after the position. Without a position it reads the current configuration.
func (e *Entry) readConfiguration(
	ctx context.Context, hasPosition bool, position uint64,
) (site.Configuration, uint64, error) {
	if !hasPosition {
		limit, _ := e.storeLimits()
		ctx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		return e.options.Directory.Configuration(ctx)
	}
	e.mu.Lock()
	wait := min(max(time.Duration(len(e.entries)+1)*watchWaitPerEntry, minWatchWait), maxWatchWait)
	e.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, wait+storeTimeout)
	defer cancel()
	return e.options.Directory.WaitForChange(ctx, position, wait)
}

// storeLimits returns the time-out of a read and the maximum delay before a retry.
func (e *Entry) storeLimits() (timeout, maxDelay time.Duration) {
	if e.Configuration().Version == 0 {
		return initialStoreTimeout, initialMaxRetryDelay
	}
	return storeTimeout, maxRetryDelay
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
	if previous == 0 {
		close(e.configured)
	}
	e.log(event.TablesAdopted).Uint64("Version", next.Version).Uint64("Previous", previous).
		Int("Routes", len(next.Routes)).Int("Skipped", next.Skipped).Str("Peer", source).Send()
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
