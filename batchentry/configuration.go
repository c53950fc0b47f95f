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
	// watchWait is how long the store may hold back its answer for news, for each entry of the region: the
	// entries tell each other of a new version at once, so together they ask at the rate of one.
	watchWait    = 500 * time.Millisecond
	minWatchWait = time.Second
	maxWatchWait = 10 * time.Second
	// answerTime is allowed to the store beyond what it may hold back. It takes some ms; an answer that comes
	// later is taken as lost, because connections can go silent.
	answerTime = time.Second
	// firstAnswerTime is allowed to the store's answer, and firstMaxRetry bounds the pause between tries, while an entry
	// has no configuration and so refuses every caller. A slow store takes a quarter of a second.
	firstAnswerTime = 500 * time.Millisecond
	firstMaxRetry   = 200 * time.Millisecond
	firstRetry      = 100 * time.Millisecond
	maxRetry        = 2 * time.Second
	// isolatedCheck is how often an entry without peers looks for others in the store.
	isolatedCheck = 2 * time.Second
)

// backoff waits longer after each failure, with jitter so that entries do not return together.
type backoff struct{ wait time.Duration }

func (b *backoff) pause(ctx context.Context, limit time.Duration) {
	b.wait = min(max(2*b.wait, firstRetry), limit)
	select {
	case <-time.After(b.wait/2 + rand.N(b.wait/2+1)):
	case <-ctx.Done():
	}
}

// watchConfiguration follows the configuration in the store.
func (e *Entry) watchConfiguration(ctx context.Context) {
	var b backoff
	var position uint64
	known, failed := false, false
	for ctx.Err() == nil {
		c, next, err := e.readConfiguration(ctx, known, position)
		var lost *HistoryLostError
		switch {
		case errors.As(err, &lost):
			known = false
		case err != nil:
			if !failed && ctx.Err() == nil {
				e.log(event.PlatformFailed).Err(err).Send()
			}
			failed = true
			_, pause := e.storeLimits()
			b.pause(ctx, pause)
			continue
		default:
			known, position = true, next
		}
		if failed {
			failed = false
			e.log(event.PlatformRestored).Send()
		}
		b = backoff{}
		if err == nil && c.Version > 0 {
			e.adopt(c, "store")
		}
	}
}

func (e *Entry) readConfiguration(ctx context.Context, known bool, position uint64) (site.Configuration, uint64, error) {
	if !known {
		limit, _ := e.storeLimits()
		ctx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		return e.options.Directory.Configuration(ctx)
	}
	e.mu.Lock()
	wait := min(max(time.Duration(len(e.entries)+1)*watchWait, minWatchWait), maxWatchWait)
	e.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, wait+answerTime)
	defer cancel()
	return e.options.Directory.Changes(ctx, position, wait)
}

// storeLimits returns how long a read may take, and the longest pause before the next try.
func (e *Entry) storeLimits() (answer, pause time.Duration) {
	if e.Configuration().Version == 0 {
		return firstAnswerTime, firstMaxRetry
	}
	return answerTime, maxRetry
}

// adopt uses a configuration if it is newer than the current one, and tells the other entries.
func (e *Entry) adopt(c site.Configuration, source string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	previous := e.config.Version
	next, adopted := e.config.Newer(c)
	if !adopted {
		return
	}
	e.config = next
	e.log(event.TablesAdopted).Uint64("Version", next.Version).Uint64("Previous", previous).
		Int("Routes", len(next.Routes)).Int("Skipped", next.Skipped).Str("Peer", source).Send()
	e.sendLoad()
}

// register makes the entry known in the store, and learns of the others. The row is written before the others
// are read, so that of two entries that start together at least one finds the other.
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
			b.pause(ctx, maxRetry)
			continue
		}
		if !registered {
			e.log(event.EntryRegistered).Send()
		}
		registered, b = true, backoff{}
		if !e.waitIsolated(ctx) {
			return
		}
	}
}

// waitIsolated returns true once no other entry is connected for a while.
func (e *Entry) waitIsolated(ctx context.Context) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(isolatedCheck/2 + rand.N(isolatedCheck)):
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
	ctx, cancel := context.WithTimeout(ctx, answerTime)
	defer cancel()
	if write {
		if err := e.options.Directory.Register(ctx, self); err != nil {
			return err
		}
	}
	entries, err := e.options.Directory.Entries(ctx)
	for _, x := range entries {
		if x.Name != self.Name {
			e.connector.Learn(x.Address)
		}
	}
	return err
}
