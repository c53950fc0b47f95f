package batchagent

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"dogwoodglade/core/event"
	"dogwoodglade/core/home"
	"dogwoodglade/core/supervise"
	"dogwoodglade/io/inner"
)

const (
	// homeCheck is how often the choice of the home is looked at without a cause.
	homeCheck = time.Second
	// dialTimeout bounds a connection attempt; a host without power does not answer it.
	dialTimeout = 400 * time.Millisecond
	// retryDelay is how long an entry that did not answer is not tried again.
	retryDelay = time.Second
	// drainDelay is how long an entry that is stopping is not tried again. It is above the time of a restart's
	// notice, and a restarted entry is found again after it.
	drainDelay = 6 * time.Second
	// directoryTimeout bounds a read of the store.
	directoryTimeout = time.Second
	// directoryPause keeps reads of the store apart while no entry is found.
	directoryPause = time.Second
)

func (a *Agent) wake() {
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

// keepHome keeps a session with the first entry in the agent's order that can be reached.
func (a *Agent) keepHome(ctx context.Context) {
	a.readDirectory(ctx)
	var read time.Time
	for ctx.Err() == nil {
		found := a.improveHome(ctx)
		if !found && time.Since(read) > directoryPause {
			read = time.Now()
			a.readDirectory(ctx)
			continue
		}
		wait := homeCheck
		if !found {
			wait = homeCheck / 8
		}
		select {
		case <-ctx.Done():
		case <-a.changed:
		case <-time.After(wait/2 + rand.N(wait)):
		}
	}
}

// improveHome connects to the first entry in the order that answers, and stays with the current home if none
// before it does. It reports whether there is a home.
func (a *Agent) improveHome(ctx context.Context) bool {
	for _, e := range a.candidates() {
		a.mu.Lock()
		current := a.supervisor.Home()
		a.mu.Unlock()
		if e.Name == current || ctx.Err() != nil {
			return true
		}
		dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
		p, err := inner.Dial(dialCtx, a.dial, e.Address, a.local, a)
		cancel()
		if err != nil {
			a.mu.Lock()
			a.avoid[e.Name] = a.options.Now().Add(retryDelay/2 + rand.N(retryDelay))
			a.mu.Unlock()
			a.log(event.EntryLost).Str("Peer", e.Name).Str("State", "Unreachable").Err(err).Send()
			continue
		}
		return a.moveTo(p, e)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.supervisor.Home() != ""
}

func (a *Agent) dial(ctx context.Context, network, address string) (net.Conn, error) {
	return a.options.Dial(ctx, network, address)
}

// candidates returns the entries that may be tried, the most suitable first.
func (a *Agent) candidates() []home.Entry {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.options.Now()
	var list []home.Entry
	for name, e := range a.known {
		if !now.Before(a.avoid[name]) {
			list = append(list, e)
		}
	}
	return home.Rank(a.options.Name, a.options.Region, a.options.DataCentre, list)
}

// moveTo offers the backend server to the entry of a new connection.
func (a *Agent) moveTo(p *inner.Peer, e home.Entry) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if e.Name != p.Name {
		// A seed is known by its address only.
		delete(a.known, e.Name)
		if _, ok := a.known[p.Name]; !ok {
			a.known[p.Name] = home.Entry{Name: p.Name, Address: e.Address, Region: p.Region, DataCentre: p.DataCentre}
		}
	}
	if a.peers[p.Name] != p {
		return false // it was closed meanwhile
	}
	if a.supervisor.Home() != p.Name {
		a.log(event.HomeChosen).Str("Peer", p.Name).Str("Previous", a.supervisor.Home()).Send()
	}
	a.perform(a.supervisor.SetHome(p.Name))
	return true
}

func (a *Agent) readDirectory(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	entries, err := a.options.Directory.Entries(ctx)
	if err != nil {
		a.log(event.PlatformFailed).Err(err).Send()
		return
	}
	a.learn(entries)
}

// learn takes a list of entries. Seeds stay known, for the case that the list is outdated.
func (a *Agent) learn(entries []home.Entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, e := range entries {
		a.known[e.Name] = e
		delete(a.known, e.Address)
	}
	a.wake()
}

// Connected implements inner.Handler.
func (a *Agent) Connected(p *inner.Peer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stopping {
		go p.Close()
		return
	}
	a.closePeer(p.Name)
	a.peers[p.Name] = p
	a.log(event.EntryConnected).Str("Peer", p.Name).Str("Incarnation", p.Incarnation).Send()
	a.perform(a.supervisor.Connect(a.options.Now(), p.Name))
}

// Disconnected implements inner.Handler.
func (a *Agent) Disconnected(p *inner.Peer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.peers[p.Name] != p {
		return
	}
	delete(a.peers, p.Name)
	a.log(event.EntryLost).Str("Peer", p.Name).Str("State", "Closed").Int("Running", a.supervisor.RunCount(p.Name)).Send()
	a.perform(a.supervisor.Disconnect(a.options.Now(), p.Name))
	a.wake()
}

// Runs implements inner.BatchAgentHandler.
func (a *Agent) Runs(p *inner.Peer, starts []supervise.Start, stops []supervise.RunID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.peers[p.Name] != p {
		return
	}
	now := a.options.Now()
	a.perform(a.supervisor.StopRuns(now, p.Name, stops))
	a.perform(a.supervisor.StartRuns(now, p.Name, starts))
}

// Keep implements inner.BatchAgentHandler.
func (a *Agent) Keep(p *inner.Peer, k inner.KeepAlive) {
	a.mu.Lock()
	if a.peers[p.Name] == p {
		a.supervisor.ExtendSession(p.Name, supervise.ClockTime(k.Until))
		if k.Draining && !a.options.Now().Before(a.avoid[p.Name]) {
			a.avoid[p.Name] = a.options.Now().Add(drainDelay)
			a.log(event.EntryLost).Str("Peer", p.Name).Str("State", "Draining").Send()
			a.perform(a.supervisor.SetHome(""))
			a.wake()
		}
	}
	a.mu.Unlock()
	if len(k.Entries) > 0 {
		a.learn(k.Entries)
	}
}
