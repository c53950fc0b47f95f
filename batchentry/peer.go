package batchentry

import (
	"context"
	"math"
	"slices"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/dispatch"
	"dogwoodglade/core/event"
	"dogwoodglade/core/overflow"
	"dogwoodglade/io/inner"
)

const (
	// pullTimeout limits the transfer of a configuration between entries.
	pullTimeout = time.Second
	// promptLoadChange is the relative change of an entry's cores after which it sends its load at the next tick.
	promptLoadChange = 0.25
)

func (e *Entry) load() inner.EntryLoad {
	l := inner.EntryLoad{
		Load: e.dispatcher.Load(), Version: e.config.Version, Weight: e.options.Weight, ReadsStore: e.readsStore,
	}
	l.Load.Draining = l.Load.Draining || e.releasingAgents
	now := e.options.Now()
	l.StoreAge = e.storeAge(now)
	if age, known := e.configurationAge(now); known {
		l.ConfigurationAge = max(age, time.Nanosecond)
	}
	return l
}

// firstLoad returns the first load message of a session with another entry, which lists the open jobs that one of the
// two has forwarded to the other.
func (e *Entry) firstLoad(x *entrySession) inner.EntryLoad {
	l := x.withSessionFields(e.load(), e.options.Now())
	l.Evacuations = inner.EvacuationsOf(e.evacuations.State())
	l.ForwardedNumbers, l.AcceptedNumbers = map[batch.JobID]uint64{}, map[batch.JobID]uint64{}
	for id, c := range e.calls {
		if c.forwardedTo == x.Name {
			l.Forwarded = append(l.Forwarded, id)
			l.ForwardedNumbers[id] = c.forward
		}
		if origin, ok := c.origins[x.Name]; ok {
			l.Accepted = append(l.Accepted, id)
			l.AcceptedNumbers[id] = origin.number
		}
	}
	return l
}

// unusedLoad returns the load message for a connection that this entry does not send on.
func (e *Entry) unusedLoad(x *entrySession) inner.EntryLoad {
	l := x.withSessionFields(e.load(), e.options.Now())
	l.Session, l.Evacuations = 0, inner.EvacuationsOf(e.evacuations.State())
	return l
}

// withSessionFields adds the fields that are specific to the receiving entry to a load message: the session number and
// the clock readings.
func (x *entrySession) withSessionFields(l inner.EntryLoad, now time.Time) inner.EntryLoad {
	l.Session, l.Clock, l.Echo = x.session, time.Duration(now.UnixNano()), x.peerClock
	return l
}

// coresChanged reports whether this entry has gained or lost much capacity since it last sent its load, as when agents
// choose it as their home after another entry has stopped.
func (e *Entry) coresChanged() bool {
	cores := e.dispatcher.Load().Total().Cores
	return math.Abs(cores-e.sentCores) > promptLoadChange*max(cores, e.sentCores)
}

// sendLoad sends the load of this entry to the others.
func (e *Entry) sendLoad() {
	now := e.options.Now()
	e.sentLoads = e.sentLoads.WithRegular(now, e.broadcastLoad(now))
}

// sendChangedLoad sends the load before the next interval if the other entries would choose differently by it. They have
// no choice while this entry is the only one that dispatches.
func (e *Entry) sendChangedLoad(now time.Time) {
	if e.peers.Dispatchers() > 0 && e.sentLoads.MaySendPrompt(now, e.dispatcher.Load()) {
		e.sentLoads = e.sentLoads.WithPrompt(now, e.broadcastLoad(now))
		e.metrics.promptLoads.Inc(1)
	}
}

// broadcastLoad sends the load of this entry to the others and returns it. The jobs that it has forwarded continue there, so
// those of callers that have left are withdrawn first.
func (e *Entry) broadcastLoad(now time.Time) dispatch.Load {
	e.dropDepartedCallers()
	l := e.load()
	l.Evacuations = e.loadEvacuations.next(now, e.evacuations.State())
	e.sentCores = l.Load.Total().Cores
	for _, x := range e.entries {
		x.loadSentAt = now
		e.sendToEntry(x, func(p *inner.Peer) bool { return p.Load(x.withSessionFields(l, now)) })
	}
	return l.Load
}

// sendFreshLoad sends the load to an entry whose job is refused, so that it chooses again by the present load. It echoes
// no clock reading, because callers may have left since the latest check, and an echo would let their runs continue.
func (e *Entry) sendFreshLoad(x *entrySession) {
	now := e.options.Now()
	if now.Sub(x.loadSentAt) < overflow.MinLoadInterval {
		return
	}
	x.loadSentAt = now
	e.sendToEntry(x, func(p *inner.Peer) bool {
		l := x.withSessionFields(e.load(), e.checkedAt)
		l.Echo = 0
		return p.Load(l)
	})
}

// switchConnection replaces the current connection to an entry after it has closed. Messages sent on it may be lost, so a
// new session begins. It reports false if no other connection is open.
func (e *Entry) switchConnection(x *entrySession) bool {
	closed := x.current
	for p := range x.connections {
		if p != closed && e.useConnection(x, p) {
			return true
		}
	}
	return false
}

// useConnection begins a session on a connection. It reports false if the connection is closed.
func (e *Entry) useConnection(x *entrySession, p *inner.Peer) bool {
	e.dropDepartedCallers()
	e.lastSession++
	x.current, x.session = p, e.lastSession
	return p.Load(e.firstLoad(x))
}

// entrySessionOf returns the entry session that a connection belongs to.
func (e *Entry) entrySessionOf(p *inner.Peer) (*entrySession, bool) {
	x, ok := e.entries[p.Name]
	if !ok {
		return nil, false
	}
	_, ok = x.connections[p]
	return x, ok
}

// Load implements inner.BatchEntryHandler.
func (e *Entry) Load(p *inner.Peer, l inner.EntryLoad) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.options.Now()
	e.checkIfLate(now)
	x, ok := e.entrySessionOf(p)
	if !ok {
		return
	}
	x.connections[p] = l.Session
	if l.Session < x.peerSession {
		return // the other entry does not use this connection, so the message says nothing about the one in use
	}
	x.peerClock = max(x.peerClock, l.Clock)
	if echo := time.Unix(0, int64(l.Echo)); l.Echo > 0 && (!x.echoed || echo.After(x.lastEcho)) {
		x.lastEcho, x.echoed = echo, true
	}
	if l.Session > x.peerSession {
		lost := x.peerSession > 0 && l.Echo == 0
		x.peerSession = l.Session
		e.beginPeerSession(now, x, l)
		if lost && x.current != p {
			// The peer had received nothing on the current connection, which can be open here and deliver nothing.
			e.useConnection(x, p)
		}
	}
	if x.Weight != l.Weight || x.draining != l.Load.Draining {
		e.entryListVersion++
	}
	resumed := now.Sub(x.lastLoad) > keepAliveInterval && e.hasJobsOf(p.Name)
	x.lastLoad, x.Weight, x.draining, x.readsStore = now, l.Weight, l.Load.Draining, l.ReadsStore
	if resumed {
		e.sendKeepAlives() // the limits of its jobs are later now
	}
	e.peers.RecordReport(now, p.Name, l.Load)
	for name, pool := range l.Load.Pools {
		if pool.Cores > 0 {
			e.dispatcher.NoteServed(now, name)
		}
	}
	e.learnFromLoad(now, p, l)
	if l.Version <= e.config.Version && l.ConfigurationAge > 0 && l.Echo > 0 {
		// The load was sent after this entry's clock reading that it echoes.
		e.confirmConfiguration(time.Unix(0, int64(l.Echo)).Add(-l.ConfigurationAge))
	}
	e.reassignStranded(now)
	if l.Version > e.config.Version && !x.pulling {
		x.pulling = true
		go e.pullConfiguration(p, x)
	}
}

// hasJobsOf reports whether jobs that another entry forwarded are open here.
func (e *Entry) hasJobsOf(name string) bool {
	for _, c := range e.calls {
		if _, ok := c.origins[name]; ok {
			return true
		}
	}
	return false
}

// beginPeerSession ends the jobs that this entry and another one have forwarded to each other, except those that continue
// in the other entry's new session.
func (e *Entry) beginPeerSession(now time.Time, x *entrySession, l inner.EntryLoad) {
	for _, id := range l.Forwarded {
		number := l.ForwardedNumbers[id]
		if c, ok := e.calls[id]; ok {
			if origin, ok := c.origins[x.Name]; ok && origin.number == number {
				origin.session = l.Session
				c.origins[x.Name] = origin
				continue
			}
		}
		// The job or its outcome was lost.
		e.sendToEntry(x, func(p *inner.Peer) bool { return p.ForwardOutcome(id, number, batch.Unknown{Reason: batch.PeerLost}) })
	}
	e.dropOrigins(x.Name, l.Session)
	for id, c := range e.calls {
		if c.forwardedTo != x.Name {
			continue
		}
		number := l.AcceptedNumbers[id]
		if slices.Contains(l.Accepted, id) && (number == 0 || number == c.forward) {
			continue
		}
		e.logUnknownOutcome(now, c, batch.PeerLost)
		e.completeCall(c, batch.Unknown{Reason: batch.PeerLost})
		e.cancelDispatch(c) // the other entry may receive the job after it has sent the list
	}
}

// sendCrashes passes on the crashes that were recorded here, so that a job that crashes backend servers does not begin
// anew when it is submitted to another entry.
func (e *Entry) sendCrashes(list []dispatch.Crash) {
	for _, x := range e.entries {
		e.sendToEntry(x, func(p *inner.Peer) bool { return p.Crashes(list) })
	}
}

// Crashes implements inner.BatchEntryHandler.
func (e *Entry) Crashes(p *inner.Peer, list []dispatch.Crash) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.entrySessionOf(p); ok {
		e.performActions(e.dispatcher.MergeCrashes(e.options.Now(), list))
	}
}

// pullConfiguration fetches the configuration of an entry that reported a newer version, and applies it.
func (e *Entry) pullConfiguration(p *inner.Peer, x *entrySession) {
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	c, err := p.PullConfiguration(ctx)
	e.mu.Lock()
	x.pulling = false
	e.mu.Unlock()
	if err != nil {
		e.log(event.PlatformFailed).Str("Peer", p.Name).Err(err).Send()
		return
	}
	e.applyIfNewer(c, time.Time{}, p.Name)
}

// removeEntry ends the session with another entry. Jobs that it forwarded are cancelled. Jobs that were forwarded to it
// are answered as Unknown at once, so that their callers can resubmit them; its agents stop the runs of those jobs when
// their sessions expire.
func (e *Entry) removeEntry(now time.Time, name string, x *entrySession) {
	delete(e.entries, name)
	e.entryListVersion++
	e.peers.Remove(name)
	for p := range x.connections {
		go p.Close()
	}
	e.dropOrigins(name, math.MaxUint64)
	for _, origins := range e.unconfirmed {
		delete(origins, name) // a new process numbers its forwards anew
	}
	for _, c := range e.calls {
		if c.forwardedTo == name {
			e.logUnknownOutcome(now, c, batch.PeerLost)
			e.completeCall(c, batch.Unknown{Reason: batch.PeerLost})
			e.recordWithdrawn(c, x)
		}
	}
}

// expireForwards cancels the jobs that another entry forwarded. It is told, as it may have the same session all the time
// if messages are late.
func (e *Entry) expireForwards(x *entrySession) {
	for id, c := range e.calls {
		origin, ok := c.origins[x.Name]
		if !ok {
			continue
		}
		delete(c.origins, x.Name)
		e.cancelIfUnneeded(c, "OriginLost")
		e.sendToEntry(x, func(p *inner.Peer) bool {
			return p.ForwardOutcome(id, origin.number, batch.Unknown{Reason: batch.PeerLost})
		})
	}
}

// dropOrigins removes another entry as an origin of the jobs that it forwarded in sessions before the given one. Jobs
// that nobody else waits for are cancelled.
func (e *Entry) dropOrigins(name string, before uint64) {
	for _, c := range e.calls {
		if origin, ok := c.origins[name]; ok && origin.session < before {
			delete(c.origins, name)
			e.cancelIfUnneeded(c, "OriginLost")
		}
	}
}
