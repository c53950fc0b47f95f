package batchagent

import (
	"context"
	"math/rand/v2"
	"time"

	"dogwoodglade/core/event"
	"dogwoodglade/core/home"
	"dogwoodglade/core/supervise"
	"dogwoodglade/io/inner"
)

const (
	// homeCheckInterval is how often the choice of the home is reconsidered without an event that triggers it.
	homeCheckInterval = time.Second
	// homelessInterval is how often an agent without a home looks for one.
	homelessInterval = 50 * time.Millisecond
	// dialTimeout limits a connection attempt with its handshake.
	dialTimeout = 400 * time.Millisecond
	// An entry that did not respond is avoided for minRetryDelay, and twice as long after each further failure, up to
	// retryDelay. When a whole site restarts, agents are up some 100 ms before the entries.
	minRetryDelay = 100 * time.Millisecond
	retryDelay    = time.Second
	maxRetryShift = 10
	// evacuationMoveWindow is how long after a change of the evacuations an agent may first prefer another home because of
	// it, as it reconsiders the choice every 1.5 s at least.
	evacuationMoveWindow = 2 * homeCheckInterval
	// forgetUnlistedAfter is how long an entry is remembered that its home no longer lists.
	forgetUnlistedAfter = 10 * time.Minute
	// directoryTimeout limits a read of the store.
	directoryTimeout = time.Second
	// directoryReadInterval is the mean time between reads of the store while no entry can be reached. It varies by half, so
	// that the agents of a site that start at once do not go on to read at once.
	directoryReadInterval = time.Second
)

// knownEntry is an entry that the agent may connect to.
type knownEntry struct {
	home.Entry
	// unlistedSince is when the home first sent a list of all entries without this one; zero if it is listed. An entry
	// that is not listed is tried after all others: the home may have lost its connection to it.
	unlistedSince time.Time
}

// preference is the entry that an agent prefers to its home.
type preference struct {
	name  string
	since time.Time
	delay time.Duration // until the agent moves there
}

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
	nextRead := nextDirectoryRead()
	for ctx.Err() == nil {
		connected := a.connectToBestHome(ctx)
		if !connected && time.Now().After(nextRead) {
			nextRead = nextDirectoryRead()
			a.readDirectory(ctx)
			continue
		}
		wait := homeCheckInterval
		if !connected {
			wait = homelessInterval
		}
		select {
		case <-ctx.Done():
		case <-a.homeCheckNeeded:
		case <-time.After(wait/2 + rand.N(wait)):
		}
	}
}

// nextDirectoryRead returns when the directory may be read again after a read that begins now.
func nextDirectoryRead() time.Time {
	return time.Now().Add(directoryReadInterval/2 + rand.N(directoryReadInterval))
}

// connectToBestHome connects to the first entry in the order of preference that responds. It keeps the current home if
// no entry that ranks higher responds, or if that entry has been preferred only for a short time. It reports whether the
// agent has a home.
func (a *Agent) connectToBestHome(ctx context.Context) bool {
	if a.keepsHome(a.candidates()) {
		return true
	}
	for ctx.Err() == nil {
		// The order is computed for each attempt, because entries that rank higher may no longer be avoided.
		candidates := a.candidates()
		a.mu.Lock()
		current := a.supervisor.Home()
		a.mu.Unlock()
		if len(candidates) == 0 || candidates[0].Name == current {
			return current != ""
		}
		e := candidates[0]
		dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
		p, err := inner.Dial(dialCtx, inner.WithConnectTimeout(a.options.Dial), e.Address, a.local, a)
		cancel()
		if err != nil {
			a.avoid(e.Name)
			a.log(event.EntryLost).Str("Peer", e.Name).Str("State", "Unreachable").Err(err).Send()
			continue
		}
		if a.isDraining(p) {
			a.avoid(e.Name)
			p.Close()
			continue
		}
		a.awaitEvacuations(ctx, p)
		return a.setHome(p, e)
	}
	return false
}

// avoid makes the agent try other entries first for some time.
func (a *Agent) avoid(entry string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delay := min(minRetryDelay<<min(a.failedDials[entry], maxRetryShift), retryDelay)
	a.failedDials[entry]++
	a.avoidUntil[entry] = a.options.Now().Add(delay/2 + rand.N(delay))
}

// isDraining reports whether the entry has told this agent to choose another home, and has not been restarted since.
func (a *Agent) isDraining(p *inner.Peer) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.draining[p.Name] == p.Incarnation
}

// keepsHome reports whether the agent stays with its home, given the entries in order of preference.
func (a *Agent) keepsHome(candidates []home.Entry) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	current, now := a.supervisor.Home(), a.options.Now()
	if current == "" || len(candidates) == 0 || candidates[0].Name == current {
		a.preferred = preference{}
		return current != ""
	}
	if a.preferred.name != candidates[0].Name {
		changed := now.Sub(a.evacuationsChangedAt) < evacuationMoveWindow
		a.preferred = preference{
			name: candidates[0].Name, since: now, delay: home.MoveDelay(a.options.Name, changed),
		}
	}
	return now.Sub(a.preferred.since) < a.preferred.delay
}

// candidates returns the entries that may be tried now, in order of preference.
func (a *Agent) candidates() []home.Entry {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.options.Now()
	var listed, unlisted []home.Entry
	for name, e := range a.known {
		switch {
		case now.Before(a.avoidUntil[name]):
		case e.unlistedSince.IsZero():
			listed = append(listed, e.Entry)
		default:
			unlisted = append(unlisted, e.Entry)
		}
	}
	rank := func(entries []home.Entry) []home.Entry {
		return home.Rank(a.options.Name, a.options.Region, a.options.DataCentre, a.evacuations.State(), entries)
	}
	return append(rank(listed), rank(unlisted)...)
}

// setHome makes the entry of a new connection the home, so that it may use the backend server. It reports whether the
// agent has a home.
func (a *Agent) setHome(p *inner.Peer, e home.Entry) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.nextHome = ""
	if e.Name != p.Name {
		// A seed is listed under its address until its name is known from a connection.
		delete(a.known, e.Name)
		if _, ok := a.known[p.Name]; !ok {
			a.known[p.Name] = knownEntry{
				Entry: home.Entry{Name: p.Name, Address: e.Address, Region: p.Region, DataCentre: p.DataCentre},
			}
		}
	}
	if a.peers[p.Name] != p {
		return a.supervisor.Home() != "" // the connection has been closed in the meantime
	}
	if a.draining[p.Name] == p.Incarnation { // the entry has said so while the agent awaited the evacuations
		a.performActions(a.supervisor.Disconnect(a.options.Now(), p.Name))
		a.closePeer(p.Name)
		return a.supervisor.Home() != ""
	}
	if a.supervisor.Home() != p.Name {
		a.log(event.HomeChosen).Str("Peer", p.Name).Str("Previous", a.supervisor.Home()).Send()
	}
	a.sessions[p.Name].wasHome = true
	a.changeHome(p.Name)
	return true
}

// changeHome offers the backend server to another entry, or to none if the name is empty.
func (a *Agent) changeHome(entry string) {
	if previous := a.supervisor.Home(); previous != "" && previous != entry {
		a.usedAt[previous] = a.options.Now()
	}
	a.performActions(a.supervisor.SetHome(entry))
}

func (a *Agent) readDirectory(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	entries, err := a.options.Directory.Entries(ctx)
	if err != nil {
		a.log(event.PlatformFailed).Err(err).Send()
		return
	}
	a.updateEntries(entries, false)
}

// updateEntries adds or updates known entries. Those that are missing from a complete list are tried after all others;
// an incomplete list says nothing about them.
func (a *Agent) updateEntries(entries []home.Entry, complete bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	defer a.triggerHomeCheck()
	listed := map[string]bool{}
	for _, e := range entries {
		listed[e.Name] = true
		a.known[e.Name] = knownEntry{Entry: e}
		delete(a.known, e.Address) // a seed, listed under its address until now
	}
	if !complete {
		return
	}
	now := a.options.Now()
	for name, e := range a.known {
		switch {
		case listed[name]:
		case e.unlistedSince.IsZero():
			e.unlistedSince = now
			a.known[name] = e
		case now.Sub(e.unlistedSince) > forgetUnlistedAfter:
			delete(a.known, name)
			delete(a.avoidUntil, name)
			delete(a.failedDials, name)
			delete(a.draining, name)
			delete(a.asksReaders, name)
		}
	}
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
	delete(a.failedDials, p.Name)
	a.peers[p.Name], a.usedAt[p.Name], a.sessions[p.Name] = p, a.options.Now(), &entrySession{}
	a.log(event.EntryConnected).Str("Peer", p.Name).Str("Incarnation", p.Incarnation).Send()
	a.performActions(a.supervisor.Connect(a.options.Now(), p.Name))
	p.Evacuations(a.evacuations.State(), 0) // the entry may have started while the store was away
}

// Disconnected implements inner.Handler.
func (a *Agent) Disconnected(p *inner.Peer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.peers[p.Name] != p {
		return
	}
	delete(a.peers, p.Name)
	delete(a.usedAt, p.Name)
	delete(a.sessions, p.Name)
	delete(a.asksReaders, p.Name)
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
	a.learnFromKeepAlive(p, k)
	if a.peers[p.Name] == p {
		a.sessions[p.Name].toldAge = a.sessions[p.Name].toldAge || k.StoreSeen > 0
		a.supervisor.ExtendSession(p.Name, supervise.ClockTime(k.Until))
		a.supervisor.LimitRuns(p.Name, k.Jobs)
		a.performActions(a.supervisor.SetRefusingPool(p.Name, k.RefusingPool))
		if k.Draining && a.draining[p.Name] != p.Incarnation {
			a.draining[p.Name] = p.Incarnation
			a.avoidUntil[p.Name] = a.options.Now().Add(retryDelay)
			a.log(event.EntryLost).Str("Peer", p.Name).Str("State", "Draining").Send()
			if a.supervisor.Home() == p.Name {
				a.changeHome("")
			}
			a.triggerHomeCheck()
		}
	}
	a.mu.Unlock()
	if len(k.Entries) > 0 {
		a.updateEntries(k.Entries, k.Complete)
	}
}
