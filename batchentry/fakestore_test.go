package batchentry_test

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dogwoodglade/batchentry"
	"dogwoodglade/core/evacuation"
	"dogwoodglade/core/home"
	"dogwoodglade/core/site"
	"dogwoodglade/core/supervise"
)

// fakeStore is the store that all processes share.
type fakeStore struct {
	mu           sync.Mutex
	config       site.Configuration
	state        evacuation.State // its position rises with each change
	history      uint64           // changes up to this position were dropped
	entries      []home.Entry
	servers      map[string]supervise.Server
	down         bool
	unresponsive bool // calls about the configuration get no response
	// foreignDelay is how long after the wait responses with rows of other keys arrive; zero if there are none.
	foreignDelay time.Duration
	foreignAsked time.Time     // when the latest call that got such a response began
	foreignWaits int           // such responses to calls that waited
	delay        time.Duration // of the responses about the configuration
	changed      chan struct{}
	silenced     chan struct{} // closed when the calls in progress lose their responses
	polls        int           // calls of WaitForChange
	calls        atomic.Int64  // of any kind, other than reads of the evacuations by agents
}

func newFakeStore() *fakeStore {
	return &fakeStore{
		config: site.Configuration{Version: 1}, servers: map[string]supervise.Server{}, changed: make(chan struct{}),
		silenced: make(chan struct{}), state: evacuation.NewState(1, nil),
	}
}

// silence loses the responses to the calls in progress.
func (d *fakeStore) silence() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.silenced)
	d.silenced = make(chan struct{})
}

func (d *fakeStore) setUnresponsive(unresponsive bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unresponsive = unresponsive
}

type storeDownError struct{}

func (storeDownError) Error() string { return "the store is down" }

func (d *fakeStore) check() error {
	if d.down {
		return storeDownError{}
	}
	return nil
}

func (d *fakeStore) Configuration(ctx context.Context) (site.Configuration, evacuation.State, error) {
	d.calls.Add(1)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.unresponsive {
		d.mu.Unlock()
		<-ctx.Done()
		d.mu.Lock()
		return site.Configuration{}, evacuation.State{}, ctx.Err()
	}
	return d.read(evacuation.State{})
}

func (d *fakeStore) WaitForChange(
	ctx context.Context, after evacuation.State, wait time.Duration,
) (batchentry.Edits, error) {
	d.calls.Add(1)
	d.mu.Lock()
	d.polls++
	defer time.Sleep(d.delay)
	changed, silenced := d.changed, d.silenced
	if d.unresponsive {
		d.mu.Unlock()
		<-ctx.Done()
		return batchentry.Edits{}, ctx.Err()
	}
	if d.foreignDelay > 0 {
		asked, delay := time.Now(), wait+d.foreignDelay
		d.mu.Unlock()
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return batchentry.Edits{}, ctx.Err()
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		d.foreignAsked = asked
		if wait > 0 {
			d.foreignWaits++
		}
		return batchentry.Edits{Evacuations: after}, nil
	}
	if d.state.Position() > after.Position() || d.down {
		defer d.mu.Unlock()
		return d.edits(after)
	}
	d.mu.Unlock()
	timeout := time.After(wait)
	select {
	case <-changed:
	case <-timeout:
	case <-silenced:
		<-ctx.Done()
	case <-ctx.Done():
	}
	if ctx.Err() != nil {
		return batchentry.Edits{}, ctx.Err()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.edits(after)
}

func (d *fakeStore) edits(after evacuation.State) (batchentry.Edits, error) {
	c, state, err := d.read(after)
	return batchentry.Edits{Configuration: c, Evacuations: state, Waited: state.Position() == after.Position()}, err
}

// read returns what was changed after a state.
func (d *fakeStore) read(after evacuation.State) (site.Configuration, evacuation.State, error) {
	switch {
	case d.down:
		return site.Configuration{}, evacuation.State{}, d.check()
	case after.Position() > 0 && after.Position() < d.history:
		return site.Configuration{}, evacuation.State{}, &batchentry.HistoryLostError{}
	case after.Position() == d.state.Position():
		return site.Configuration{}, d.state, nil
	}
	return d.config, d.state, nil
}

func (d *fakeStore) set(version uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.config.Version = version
	d.change(d.state)
}

// change sets the evacuations and wakes those that wait for a change.
func (d *fakeStore) change(state evacuation.State) {
	d.state = state.WithPosition(d.state.Position() + 1)
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *fakeStore) Register(_ context.Context, e home.Entry) error {
	d.calls.Add(1)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entries = append(d.entries, e)
	return d.check()
}

func (d *fakeStore) Entries(context.Context) ([]home.Entry, error) {
	d.calls.Add(1)
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.entries), d.check()
}

func (d *fakeStore) SaveServer(_ context.Context, agent string, s supervise.Server) error {
	d.calls.Add(1)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.servers[agent] = s
	return d.check()
}

func (d *fakeStore) Server(_ context.Context, agent string) (supervise.Server, error) {
	d.calls.Add(1)
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.servers[agent], d.check()
}
