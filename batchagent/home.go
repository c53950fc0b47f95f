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
	// homeCheckInterval is how often the choice of the home is reconsidered without an event that triggers it.
	homeCheckInterval = time.Second
	// dialTimeout limits a connection attempt. A host that is powered off does not respond to one.
	dialTimeout = 400 * time.Millisecond
	// retryDelay is the minimum delay before an entry that did not respond is tried again.
	retryDelay = time.Second
	// drainingRetryDelay is how long a draining entry is avoided. It is longer than the grace period in which a
	// restarting entry has to stop. A restarted entry is used again after the delay.
	drainingRetryDelay = 6 * time.Second
	// directoryTimeout limits a read of the store.
	directoryTimeout = time.Second
	// directoryReadInterval is the minimum time between reads of the store while no entry can be reached.
	directoryReadInterval = time.Second
)

// triggerHomeCheck makes maintainHome reconsider the home without waiting for the next interval.
func (a *Agent) triggerHomeCheck() {
	select {
	case a.homeCheckNeeded <- struct{}{}:
	default:
	}
}

// maintainHome keeps the agent connected to the first reachable entry in its order of preference.
func (a *Agent) maintainHome(ctx context.Context) {
	a.readDirectory(ctx)
	var lastRead time.Time
	for ctx.Err() == nil {
		connected := a.connectToBestHome(ctx)
		if !connected && time.Since(lastRead) > directoryReadInterval {
			lastRead = time.Now()
			a.readDirectory(ctx)
			continue
		}
		wait := homeCheckInterval
		if !connected {
			wait = homeCheckInterval / 8
		}
		select {
		case <-ctx.Done():
		case <-a.homeCheckNeeded:
		case <-time.After(wait/2 + rand.N(wait)):
		}
	}
}

// connectToBestHome connects to the first entry in the order of preference that responds. It keeps the current home if
// no entry that ranks higher responds. It reports whether the agent has a home.
func (a *Agent) connectToBestHome(ctx context.Context) bool {
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
			a.avoidUntil[e.Name] = a.options.Now().Add(retryDelay/2 + rand.N(retryDelay))
			a.mu.Unlock()
			a.log(event.EntryLost).Str("Peer", e.Name).Str("State", "Unreachable").Err(err).Send()
			continue
		}
		return a.setHome(p, e)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.supervisor.Home() != ""
}

func (a *Agent) dial(ctx context.Context, network, address string) (net.Conn, error) {
	return a.options.Dial(ctx, network, address)
}

// candidates returns the entries that may be tried now, in order of preference.
func (a *Agent) candidates() []home.Entry {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.options.Now()
	var list []home.Entry
	for name, e := range a.known {
		if !now.Before(a.avoidUntil[name]) {
			list = append(list, e)
		}
	}
	return home.Rank(a.options.Name, a.options.Region, a.options.DataCentre, list)
}

// setHome makes the entry of a new connection the home, so that it may use the backend server. It reports whether the
// connection is still open.
func (a *Agent) setHome(p *inner.Peer, e home.Entry) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if e.Name != p.Name {
		// A seed is listed under its address until its name is known from a connection.
		delete(a.known, e.Name)
		if _, ok := a.known[p.Name]; !ok {
			a.known[p.Name] = home.Entry{Name: p.Name, Address: e.Address, Region: p.Region, DataCentre: p.DataCentre}
		}
	}
	if a.peers[p.Name] != p {
		return false // the connection has been closed in the meantime
	}
	if a.supervisor.Home() != p.Name {
		a.log(event.HomeChosen).Str("Peer", p.Name).Str("Previous", a.supervisor.Home()).Send()
	}
	a.performActions(a.supervisor.SetHome(p.Name))
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
	a.addEntries(entries)
}

// addEntries adds or updates known entries. Seeds that are not in the list are kept, because the list may be out of
// date.
func (a *Agent) addEntries(entries []home.Entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, e := range entries {
		a.known[e.Name] = e
		delete(a.known, e.Address)
	}
	a.triggerHomeCheck()
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
	a.performActions(a.supervisor.Connect(a.options.Now(), p.Name))
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
	a.performActions(a.supervisor.Disconnect(a.options.Now(), p.Name))
	a.triggerHomeCheck()
}

// UpdateRuns implements inner.BatchAgentHandler.
func (a *Agent) UpdateRuns(p *inner.Peer, starts []supervise.Start, stops []supervise.RunID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.peers[p.Name] != p {
		return
	}
	now := a.options.Now()
	a.performActions(a.supervisor.StopRuns(now, p.Name, stops))
	a.performActions(a.supervisor.StartRuns(now, p.Name, starts))
}

// KeepAlive implements inner.BatchAgentHandler.
func (a *Agent) KeepAlive(p *inner.Peer, k inner.KeepAlive) {
	a.mu.Lock()
	if a.peers[p.Name] == p {
		a.supervisor.ExtendSession(p.Name, supervise.ClockTime(k.Until))
		if k.Draining && !a.options.Now().Before(a.avoidUntil[p.Name]) {
			a.avoidUntil[p.Name] = a.options.Now().Add(drainingRetryDelay)
			a.log(event.EntryLost).Str("Peer", p.Name).Str("State", "Draining").Send()
			a.performActions(a.supervisor.SetHome(""))
			a.triggerHomeCheck()
		}
	}
	a.mu.Unlock()
	if len(k.Entries) > 0 {
		a.addEntries(k.Entries)
	}
}
