package batchentry

import (
	"context"
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

func (e *Entry) sendLoad() {
	l := e.load()
	for _, x := range e.entries {
		e.sendTo(x, func(p *inner.Peer) bool { return p.Load(l) })
	}
}

// Load implements inner.BatchEntryHandler.
func (e *Entry) Load(p *inner.Peer, l inner.EntryLoad) {
	e.mu.Lock()
	defer e.mu.Unlock()
	x, ok := e.entries[p.Name]
	if !ok || !x.peers[p] {
		return
	}
	now := e.options.Now()
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
	e.peers.Forget(name)
	for p := range x.peers {
		go p.Close()
	}
	for _, c := range e.calls {
		if c.origins[name] {
			delete(c.origins, name)
			e.cancelUnwanted(c, "OriginLost")
		}
		if c.forwarded == name {
			e.logGivenUp(now, c, batch.PeerLost)
			e.deliver(c, batch.Unknown{Reason: batch.PeerLost})
		}
	}
}
