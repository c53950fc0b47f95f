// Package overflow decides which entry dispatches a batch job: the one that took it from its caller, or
// another one with more room.
//
// Each entry places only on the backend servers whose agents chose it as their home. Traffic and backend
// servers are spread unevenly over the entries, so an entry passes on what it cannot start at once. It knows
// the load of the others from their reports, which are a fraction of a second old, and counts what it sent
// since. The package is called by batchentry; if a peer is lost, its load is forgotten.
package overflow

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/dispatch"
	"dogwoodglade/core/resource"
	"dogwoodglade/internal/uniform"
)

const (
	// passCost is what passing a job on has to gain in waiting time. It covers the way there and back, and the
	// age of the peer's report.
	passCost = 25 * time.Millisecond
	// unsoundWait is the wait at an entry whose backend servers all get only probes: a job is better off behind the
	// queue of another one, and most can wait that long.
	unsoundWait = 300 * time.Millisecond
	// maxAge is the age beyond which a report says nothing.
	maxAge = 500 * time.Millisecond
)

type peer struct {
	load dispatch.Load
	at   time.Time
}

// Peers is what an entry knows of the load of the others. It is not safe for concurrent use.
type Peers struct{ byName map[string]*peer }

// New returns an entry's view without peers.
func New() *Peers { return &Peers{byName: map[string]*peer{}} }

// Report takes the load of a peer.
func (p *Peers) Report(now time.Time, name string, l dispatch.Load) {
	l.Pools = maps.Clone(l.Pools)
	if l.Pools == nil {
		l.Pools = map[string]dispatch.PoolLoad{}
	}
	p.byName[name] = &peer{load: l, at: now}
}

// Forget drops a peer.
func (p *Peers) Forget(name string) { delete(p.byName, name) }

// need is what a job asks for at first.
type need struct {
	pool  string
	total resource.Amount
	task  resource.Amount // the most of any task
	work  float64         // core-seconds, as declared
}

func needOf(j batch.Job) need {
	n := need{pool: j.Pool}
	for _, s := range j.Steps {
		n.task.Processor = max(n.task.Processor, s.Demand.Processor)
		n.task.Memory = max(n.task.Memory, s.Demand.Memory)
		n.task.Accelerators = max(n.task.Accelerators, s.Demand.Accelerators)
		if len(s.After) == 0 {
			n.total = n.total.Plus(s.Demand.Times(s.Count))
		}
		n.work += s.Estimate.Seconds() * float64(s.Demand.Processor*s.Count) / 1000
	}
	return n
}

func startsAtOnce(all dispatch.Load, n need) bool {
	l := all.Pools[n.pool]
	return l.Queued <= 0 && n.total.Fits(l.Free) && n.task.Fits(l.Largest)
}

// wait is the predicted wait for a job at an entry.
func wait(all dispatch.Load, n need) time.Duration {
	l := all.Pools[n.pool]
	if all.Draining || l.Cores <= 0 || !n.task.Fits(l.Largest) {
		return dispatch.NoServerWait
	}
	if !l.Sound {
		return l.Wait() + unsoundWait
	}
	return l.Wait()
}

// Choose returns the peer that dispatches a job which cannot start here at once, or "" for this entry, whose load
// is given.
func (p *Peers) Choose(now time.Time, local dispatch.Load, j batch.Job) string {
	n := needOf(j)
	best, ok := p.roomy(now, j.ID, n)
	if !ok {
		bestWait := wait(local, n)
		for _, name := range p.names() {
			if x := p.byName[name]; x.usable(now) && wait(x.load, n)+passCost < bestWait {
				best, bestWait = name, wait(x.load, n)+passCost
			}
		}
	}
	if best != "" {
		p.sent(best, n)
	}
	return best
}

// Roomy returns a peer that can start the job at once, if there is one.
func (p *Peers) Roomy(now time.Time, j batch.Job) (string, bool) {
	n := needOf(j)
	best, ok := p.roomy(now, j.ID, n)
	if ok {
		p.sent(best, n)
	}
	return best, ok
}

// roomy draws one of the peers that can start a job at once, in proportion to their room: if all entries chose the
// one with the most, they would fill it together before its next report. The ID of the job decides the draw.
func (p *Peers) roomy(now time.Time, id batch.JobID, n need) (best string, ok bool) {
	var bestScore float64
	for _, name := range p.names() {
		x := p.byName[name]
		if !x.usable(now) || !startsAtOnce(x.load, n) {
			continue
		}
		if score := draw(id, name) / float64(max(x.load.Pools[n.pool].Free.Processor, 1)); !ok || score < bestScore {
			best, bestScore, ok = name, score, true
		}
	}
	return best, ok
}

// draw returns an exponentially distributed number that depends on a job and a peer. Divided by weights, the lowest
// such number chooses a peer with a probability that is proportional to its weight.
func draw(id batch.JobID, name string) float64 {
	return -math.Log(uniform.Of(string(id) + "\x00" + name))
}

func (p *Peers) names() []string { return slices.SortedFunc(maps.Keys(p.byName), cmp.Compare[string]) }

// usable reports whether a report is young enough to say something, and the peer takes jobs.
func (x *peer) usable(now time.Time) bool { return now.Sub(x.at) <= maxAge && !x.load.Draining }

// Full takes note that a peer refused a job of a pool although its report promised room.
func (p *Peers) Full(name, pool string) {
	if x, ok := p.byName[name]; ok {
		l := x.load.Pools[pool]
		l.Free = resource.Amount{}
		x.load.Pools[pool] = l
	}
}

// sent counts a job that the peer's report does not include yet. The report is the peer's own copy.
func (p *Peers) sent(name string, n need) {
	all := p.byName[name].load
	l := all.Pools[n.pool]
	if startsAtOnce(all, n) {
		l.Free = l.Free.Minus(n.total)
	} else {
		l.Queued += n.work
	}
	all.Pools[n.pool] = l
}
