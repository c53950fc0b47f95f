// Package tables keeps the routes and pools of an entry process up to date with the platform's table service and with
// other entries.
//
// It polls the platform, pulls newer versions from peers and commits operators' edits in transactions; only this
// package writes the rows of the tables in the platform. Entries use it. If the platform fails, it keeps the latest
// snapshot, gets newer versions from peers and refuses edits; if a peer fails, it pulls from another one.
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

// Intervals and timeouts. An accepted edit must be in effect everywhere within 4 s, even on an entry that only learns
// of it by polling, so the longest wait between polls plus the timeout of a poll stays below that.
const (
	pollInterval    = time.Second
	maxBackoff      = 2 * time.Second // maximum wait between polls while the platform fails
	pollTimeout     = 1500 * time.Millisecond
	slowReadTimeout = 30 * time.Second // for the read that runs concurrently with the polls while the platform is slow
	pullTimeout     = time.Second
)

// Jitter, as the largest share by which a wait is shortened, so that entries do not poll at the same time. The larger
// one spreads the polls of entries that all wait for the platform to recover.
const (
	pollJitter    = 0.2
	backoffJitter = 0.5
)

// Config has the dependencies of Tables.
type Config struct {
	Platform store.Table
	// Pull requests the edits after the given versions from a peer.
	Pull func(ctx context.Context, peer string, since table.Versions) (table.PullResponse, error)
	// OnUpdate is called with each new snapshot, in order. It must neither block nor call the Tables.
	// It may be nil.
	OnUpdate func(table.Snapshot)
	Record   func(event.Event)
	Random   *rand.Rand
}

// Tables maintains the copy of both tables in an entry process. It is safe for concurrent use.
type Tables struct {
	config     Config
	current    atomic.Pointer[table.Snapshot]
	pullNeeded chan struct{} // signalled when a peer is ahead

	mu              sync.Mutex
	slowReadActive  bool // readWithLongTimeout is running
	replica         *table.Replica
	platformFailure string // error type of the latest poll, or "" if it succeeded
	platformRead    bool   // whether the tables were ever read from the platform
}

// New starts goroutines that poll the platform and pull from peers. The returned function stops them and waits until
// they have ended.
func New(config Config) (*Tables, func()) {
	t := newTables(config)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() {
		wait := pollInterval
		for {
			jitter := pollJitter
			if err := t.poll(ctx); err != nil {
				wait, jitter = min(2*wait, maxBackoff), backoffJitter
				if errors.Is(err, context.DeadlineExceeded) && t.startSlowRead() {
					running.Go(func() { t.readWithLongTimeout(ctx) })
				}
			} else {
				wait = pollInterval
			}
			if !sleep(ctx, t.withJitter(wait, jitter)) {
				return
			}
		}
	})
	running.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.pullNeeded:
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
	t := &Tables{config: config, pullNeeded: make(chan struct{}, 1), replica: table.NewReplica()}
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
	return t.platformRead || t.replica.Snapshot().Versions != table.Versions{}
}

// PlatformFailure returns the error type of the latest poll of the platform, or "" if it succeeded.
func (t *Tables) PlatformFailure() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.platformFailure
}

// Notification returns the notification to send to peers with the next pings.
func (t *Tables) Notification() table.Notification {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.replica.Notification()
}

// HandleNotification handles the notification in a peer's ping and starts a pull if the peer is ahead.
func (t *Tables) HandleNotification(peer string, n table.Notification) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.replica.RecordNotification(peer, n)
	if _, ahead := t.replica.ChoosePull(); ahead {
		select {
		case t.pullNeeded <- struct{}{}:
		default:
		}
	}
}

// ForgetPeer deletes the notification of a peer whose connection was lost.
func (t *Tables) ForgetPeer(peer string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.replica.ForgetPeer(peer)
}

// PullTables returns the response to a peer's pull.
func (t *Tables) PullTables(since table.Versions) table.PullResponse {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.replica.PullResponse(since)
}

// poll reads the tables from the platform within pollTimeout and records the result.
func (t *Tables) poll(ctx context.Context) error {
	pollCtx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	_, err := t.read(pollCtx)
	if ctx.Err() == nil {
		t.recordPollResult(err)
	}
	return err
}

// startSlowRead marks a slow read as running. It returns false if one was running already.
func (t *Tables) startSlowRead() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	began := !t.slowReadActive
	t.slowReadActive = true
	return began
}

// readWithLongTimeout reads the tables from a platform that does not answer within pollTimeout. The polls continue
// meanwhile, because they detect sooner that the platform has recovered.
func (t *Tables) readWithLongTimeout(ctx context.Context) {
	readCtx, cancel := context.WithTimeout(ctx, slowReadTimeout)
	defer cancel()
	_, err := t.read(readCtx)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.slowReadActive = false
	t.platformRead = t.platformRead || err == nil
}

// pull requests newer edits from peers until no peer is ahead.
func (t *Tables) pull(ctx context.Context) {
	for ctx.Err() == nil {
		t.mu.Lock()
		pull, ok := t.replica.ChoosePull()
		t.mu.Unlock()
		if !ok {
			return
		}
		pullCtx, cancel := context.WithTimeout(ctx, pullTimeout)
		response, err := t.config.Pull(pullCtx, pull.Peer, pull.Since)
		cancel()
		t.applyPull(pull, response, err)
	}
}

// applyPull applies the response to a pull. A peer whose pull failed or returned nothing new is not asked again
// before its next ping.
func (t *Tables) applyPull(pull table.Pull, response table.PullResponse, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changed []table.Name
	if err == nil {
		changed, err = t.replica.ApplyPull(response)
	}
	if err != nil || len(changed) == 0 {
		t.replica.ForgetPeer(pull.Peer)
		return
	}
	t.publish(changed, pull.Peer)
}

// publish makes the replica's snapshot the current one, and records and reports the change. The caller must hold
// t.mu.
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
	if t.config.OnUpdate != nil {
		t.config.OnUpdate(snapshot)
	}
}

// recordPollResult stores the result of a poll and records an event when an outage of the platform begins or ends.
func (t *Tables) recordPollResult(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	failure := platformErrorType(err)
	switch {
	case failure != "" && t.platformFailure == "":
		t.config.Record(event.Event{Number: event.PlatformFailed, Task: -1, State: failure})
	case failure == "" && t.platformFailure != "":
		t.config.Record(event.Event{Number: event.PlatformRestored, Task: -1})
	}
	t.platformFailure = failure
	t.platformRead = t.platformRead || err == nil
}

// withJitter returns d shortened by a random share of it, which is at most maxShare.
func (t *Tables) withJitter(d time.Duration, maxShare float64) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(float64(d) * (1 - maxShare*t.config.Random.Float64()))
}

// sleep waits for the duration. It returns false if the context ended first.
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
