package batchentry

import (
	"context"
	"math"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/event"
	"dogwoodglade/io/inner"
)

// pullTimeout bounds the transfer of a configuration between entries.
const pullTimeout = time.Second

func (e *Entry) load() inner.EntryLoad {
	l := inner.EntryLoad{Load: e.dispatcher.Load(), Version: e.config.Version, Weight: e.options.Weight}
	l.Load.Draining = l.Load.Draining || e.handover
	return l
}

// loadFor returns the message for one entry.
func (e *Entry) loadFor(x *entrySession) inner.EntryLoad { return x.address(e.load(), e.options.Now()) }

// address adds to a load what is for one entry only.
func (x *entrySession) address(l inner.EntryLoad, now time.Time) inner.EntryLoad {
	l.Session, l.Clock, l.Echo = x.number, time.Duration(now.UnixNano()), x.clock
	return l
}

func (e *Entry) sendLoad() {
	l, now := e.load(), e.options.Now()
	for _, x := range e.entries {
		e.sendTo(x, func(p *inner.Peer) bool { return p.Load(x.address(l, now)) })
	}
}

// chooseCurrent keeps the current connection as long as it is open.
func (x *entrySession) chooseCurrent() {
	if _, ok := x.peers[x.current]; ok {
		return
	}
	x.current = nil
	for p := range x.peers {
		x.current = p
	}
}

// entryOf returns the session with another entry that a connection belongs to.
func (e *Entry) entryOf(p *inner.Peer) (*entrySession, bool) {
	x, ok := e.entries[p.Name]
	if !ok {
		return nil, false
	}
	_, ok = x.peers[p]
	return x, ok
}

// Load implements inner.BatchEntryHandler.
func (e *Entry) Load(p *inner.Peer, l inner.EntryLoad) {
	e.mu.Lock()
	defer e.mu.Unlock()
	x, ok := e.entryOf(p)
	if !ok {
		return
	}
	now := e.options.Now()
	x.peers[p], x.clock = l.Session, max(x.clock, l.Clock)
	if echo := time.Unix(0, int64(l.Echo)); l.Echo > 0 && echo.After(x.confirmed) {
		x.confirmed = echo
	}
	if l.Session > x.theirs {
		x.theirs = l.Session
		e.dropOrigins(p.Name, l.Session)
	}
	if x.Weight != l.Weight {
		e.generation++
	}
	x.heard, x.Weight = now, l.Weight
	e.peers.Report(now, p.Name, l.Load)
	if l.Version > e.config.Version && !x.pulling {
		x.pulling = true
		go e.pull(p, x)
	}
}

// pull adopts the configuration of a peer that has a newer one.
func (e *Entry) pull(p *inner.Peer, x *entrySession) {
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
	e.adopt(c, p.Name)
}

// loseEntry ends what depends on another entry. The agents of a lost entry stop its runs in time; a caller
// whose job it dispatched is told at once that the outcome is unknown, and submits again.
func (e *Entry) loseEntry(now time.Time, name string, x *entrySession) {
	delete(e.entries, name)
	e.generation++
	e.peers.Remove(name)
	for p := range x.peers {
		go p.Close()
	}
	e.dropOrigins(name, math.MaxUint64)
	for _, c := range e.calls {
		if c.forwarded == name {
			e.logGivenUp(now, c, batch.PeerLost)
			e.deliver(c, batch.Unknown{Reason: batch.PeerLost})
		}
	}
}

// dropOrigins gives up the jobs that another entry passed on in sessions before the given one.
func (e *Entry) dropOrigins(name string, before uint64) {
	for _, c := range e.calls {
		if session, ok := c.origins[name]; ok && session < before {
			delete(c.origins, name)
			e.cancelUnwanted(c, "OriginLost")
		}
	}
}
