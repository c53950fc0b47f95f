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
	"slices"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/dispatch"
	"dogwoodglade/core/resource"
)

const (
	// passCost is what passing a job on has to gain in waiting time. It covers the way there and back, and the
	// age of the peer's report.
	passCost = 25 * time.Millisecond
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
	p.byName[name] = &peer{load: l, at: now}
}

// Forget drops a peer.
func (p *Peers) Forget(name string) { delete(p.byName, name) }

// need is what a job asks for at first.
type need struct {
	total resource.Amount
	task  resource.Amount // the most of any task
	work  float64         // core-seconds, as declared
}

func needOf(j batch.Job) need {
	var n need
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

func startsAtOnce(l dispatch.Load, n need) bool {
	return l.Queued <= 0 && n.total.Fits(l.Free) && n.task.Fits(l.Largest)
}

// wait is the predicted wait for a job at an entry.
func wait(l dispatch.Load, n need) time.Duration {
	if l.Draining || l.Cores <= 0 || !n.task.Fits(l.Largest) {
		return dispatch.NoServerWait
	}
	return l.Wait()
}

// Choose returns the peer that dispatches the job, or "" for this entry, whose load is given.
func (p *Peers) Choose(now time.Time, local dispatch.Load, j batch.Job) string {
	n := needOf(j)
	if !local.Draining && startsAtOnce(local, n) {
		return ""
	}
	best := ""
	bestWait := wait(local, n)
	var bestFree int
	for _, name := range slices.SortedFunc(maps.Keys(p.byName), cmp.Compare[string]) {
		x := p.byName[name]
		if now.Sub(x.at) > maxAge || x.load.Draining {
			continue
		}
		if startsAtOnce(x.load, n) {
			if x.load.Free.Processor > bestFree {
				best, bestFree, bestWait = name, x.load.Free.Processor, 0
			}
			continue
		}
		if w := wait(x.load, n); bestFree == 0 && w+passCost < bestWait {
			best, bestWait = name, w+passCost
		}
	}
	if best != "" {
		p.sent(best, n)
	}
	return best
}

// sent counts a job that the peer's report does not include yet.
func (p *Peers) sent(name string, n need) {
	x := p.byName[name]
	if startsAtOnce(x.load, n) {
		x.load.Free = x.load.Free.Minus(n.total)
	} else {
		x.load.Queued += n.work
	}
}
