// Package tables keeps the routes and pools of an entry process up to date with the platform's table
// service and with other entries.
//
// It owns the rows of the tables in the platform, the poller, the pulls from peers and the transactions of
// operators' edits. Entries call it. If the platform fails, it keeps the latest snapshot, learns newer
// versions from peers and refuses edits; if a peer fails, it pulls from another one.
package tables

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodglade/core/event"
	"dogwoodglade/core/table"
	"dogwoodglade/io/store"
)

// Times of the poller. An accepted edit must be in force everywhere within 4 s, even on an entry that only
// learns of it by polling, so the longest wait between polls and the time of a poll stay below that.
const (
	pollInterval   = time.Second
	backoffLimit   = 2 * time.Second // longest wait between polls while the platform fails
	pollTimeout    = 1500 * time.Millisecond
	patientTimeout = 30 * time.Second // of the read that goes on beside the polls while the platform is slow
	pullTimeout    = time.Second      // of a pull from a peer
)

// Shares by which the waits vary, so that entries do not poll together. The wide one spreads the polls of
// entries that all wait for the platform to return.
const (
	pollJitter    = 0.2
	backoffJitter = 0.5
)

// Config is what a Tables needs of its process.
type Config struct {
	Platform store.Table
	// Pull asks a peer for what it has beyond the given versions.
	Pull func(ctx context.Context, peer string, since table.Versions) (table.Answer, error)
	// Adopted is called with each new snapshot, in order. It must neither block nor call the Tables.
	// It may be nil.
	Adopted func(table.Snapshot)
	Record  func(event.Event)
	Random  *rand.Rand
}

// Tables is the copy of both tables in an entry process. It is safe for concurrent use.
type Tables struct {
	config  Config
	current atomic.Pointer[table.Snapshot]
	wake    chan struct{} // a peer is ahead

	mu      sync.Mutex
	patient bool // a patient read is going on
	replica *table.Replica
	failure string // why the platform failed, or "" if it works
	polled  bool   // whether the platform was ever read
}

// New starts polling and pulling. The returned function stops both and waits for them.
func New(config Config) (*Tables, func()) {
	t := newTables(config)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() {
		wait := pollInterval
		for {
			jitter := pollJitter
			if err := t.poll(ctx); err != nil {
				wait, jitter = min(2*wait, backoffLimit), backoffJitter
				if errors.Is(err, context.DeadlineExceeded) && t.beginPatient() {
					running.Go(func() { t.readPatiently(ctx) })
				}
			} else {
				wait = pollInterval
			}
			if !sleep(ctx, t.vary(wait, jitter)) {
				return
			}
		}
	})
	running.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.wake:
				t.pull(ctx)
			}
		}
	})
	return t, func() {
		cancel()
		running.Wait()
	}
}

func newTables(config Config) *Tables {
	t := &Tables{config: config, wake: make(chan struct{}, 1), replica: table.NewReplica()}
	snapshot := t.replica.Snapshot()
	t.current.Store(&snapshot)
	return t
}

// Current returns the current snapshot.
func (t *Tables) Current() table.Snapshot { return *t.current.Load() }

// Ready reports whether the tables were read from the platform or from a peer.
func (t *Tables) Ready() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.polled || t.replica.Snapshot().Versions != table.Versions{}
}

// PlatformFailure returns why the platform fails, or "" if the latest operation succeeded.
func (t *Tables) PlatformFailure() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.failure
}

// Notification returns what the next pings tell the peers.
func (t *Tables) Notification() table.Notification {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.replica.Notification()
}

// Notified takes in what a ping told of a peer, and pulls if the peer is ahead.
func (t *Tables) Notified(peer string, n table.Notification) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.replica.Notified(peer, n)
	if _, ahead := t.replica.ChoosePull(); ahead {
		select {
		case t.wake <- struct{}{}:
		default:
		}
	}
}

// PeerLost drops what is known of a peer.
func (t *Tables) PeerLost(peer string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.replica.Forget(peer)
}

// PullTables answers a peer's pull.
func (t *Tables) PullTables(since table.Versions) table.Answer {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.replica.Answer(since)
}

// poll reads the heads and takes over what is new.
func (t *Tables) poll(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	_, err := t.read(limited)
	if ctx.Err() == nil {
		t.observe(err)
	}
	return err
}

// beginPatient reports false if a patient read is going on already.
func (t *Tables) beginPatient() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	began := !t.patient
	t.patient = true
	return began
}

// readPatiently reads the tables from a platform that is too slow for the polls. The polls go on, because
// they notice first that the platform is fast again.
func (t *Tables) readPatiently(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, patientTimeout)
	defer cancel()
	_, err := t.read(limited)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.patient = false
	t.polled = t.polled || err == nil
}

// pull asks peers for what they have beyond the current snapshot until no peer is ahead.
func (t *Tables) pull(ctx context.Context) {
	for ctx.Err() == nil {
		t.mu.Lock()
		pull, ok := t.replica.ChoosePull()
		t.mu.Unlock()
		if !ok {
			return
		}
		asked, cancel := context.WithTimeout(ctx, pullTimeout)
		answer, err := t.config.Pull(asked, pull.Peer, pull.Since)
		cancel()
		t.pulled(pull, answer, err)
	}
}

// pulled takes over an answer. A peer that brought nothing new is not asked again before its next ping.
func (t *Tables) pulled(pull table.Pull, answer table.Answer, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changed []table.Name
	if err == nil {
		changed, err = t.replica.Pulled(answer)
	}
	if err != nil || len(changed) == 0 {
		t.replica.Forget(pull.Peer)
		return
	}
	t.publish(changed, pull.Peer)
}

// publish makes the replica's snapshot the current one. The caller holds the lock.
func (t *Tables) publish(changed []table.Name, peer string) {
	if len(changed) == 0 {
		return
	}
	snapshot := t.replica.Snapshot()
	t.current.Store(&snapshot)
	for _, n := range changed {
		t.config.Record(event.Event{
			Number: event.TablesAdopted, Task: -1, Version: snapshot.Versions.Of(n), State: string(n), Peer: peer,
		})
	}
	if t.config.Adopted != nil {
		t.config.Adopted(snapshot)
	}
}

// observe records the beginning and the end of an outage of the platform.
func (t *Tables) observe(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	failure := failureOf(err)
	switch {
	case failure != "" && t.failure == "":
		t.config.Record(event.Event{Number: event.PlatformFailed, Task: -1, State: failure})
	case failure == "" && t.failure != "":
		t.config.Record(event.Event{Number: event.PlatformRestored, Task: -1})
	}
	t.failure = failure
	t.polled = t.polled || err == nil
}

// vary returns the duration shortened by a random part of the given share.
func (t *Tables) vary(d time.Duration, share float64) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(float64(d) * (1 - share*t.config.Random.Float64()))
}

// sleep reports false if the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
