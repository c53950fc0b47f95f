package dispatch

import (
	"cmp"
	"slices"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/overload"
	"dogwoodglade/core/resource"
)

// poolState is the queue of a pool and the totals of its backend servers. Pools share no state, so that an
// overloaded pool does not delay or refuse the jobs of another.
type poolState struct {
	name          string
	queue         queue
	cores         float64  // of usable backend servers, weighted by speed and success rate
	anyIncluded   bool     // at least one usable backend server is not excluded
	queued        coreTime // predicted processor time of the waiting tasks
	typicalDemand int      // thousandths of a core, moving average over jobs; 0 before the first
	policy        *overload.Policy
	retries       overload.Retries
	servedAt      time.Time // when this or another entry last had a usable backend server; zero if never
	risingSince   time.Time // when its first backend server arrived after a restart or an outage; zero if never
	arrivedAt     time.Time // when its latest backend server arrived
}

func (d *Dispatcher) pool(name string) *poolState {
	p, ok := d.pools[name]
	if !ok {
		p = &poolState{name: name, policy: overload.New()}
		if d.rules != nil {
			p.policy.SetRules(d.rules[name])
		}
		d.pools[name] = p
		// Sorted, so that the same events lead to the same actions.
		d.sortedPools = append(d.sortedPools, p)
		slices.SortFunc(d.sortedPools, func(a, b *poolState) int { return cmp.Compare(a.name, b.name) })
	}
	return p
}

func (p *poolState) wait() time.Duration { return overload.DrainTime(p.queued.seconds(), p.cores) }

// usableCapacity rounds the free processor capacity of a backend server down to a multiple of the typical demand of a
// task. The remainders on several backend servers do not add up to capacity for a task.
func (p *poolState) usableCapacity(free resource.Amount) resource.Amount {
	if p.typicalDemand > 0 {
		free.Processor = free.Processor / p.typicalDemand * p.typicalDemand
	}
	return free
}

// observeDemand updates the typical demand of a task.
func (p *poolState) observeDemand(st batch.Step) {
	if p.typicalDemand == 0 {
		p.typicalDemand = st.Demand.Processor
	}
	p.typicalDemand += int(demandWeight * float64(st.Demand.Processor-p.typicalDemand))
}

// served reports whether the pool has a usable backend server at this entry.
func (p *poolState) served() bool { return p.cores > 0 }

// updatePoolCapacity computes the totals of the usable backend servers of each pool.
func (d *Dispatcher) updatePoolCapacity() {
	for _, p := range d.sortedPools {
		p.cores, p.anyIncluded = 0, false
	}
	for _, s := range d.sortedServers {
		if s.usable() && !s.excluded() {
			d.pool(s.info.Pool).anyIncluded = true
		}
	}
	for _, s := range d.sortedServers {
		// If all are excluded, all get work (see chooseServer), so all count.
		if p := d.pool(s.info.Pool); s.usable() && (!s.excluded() || !p.anyIncluded) {
			share := max(1-s.failureShare, minCapacityShare) / max(s.slowdown(), 1)
			p.cores += float64(s.capacity.Processor) / 1000 * share
		}
	}
}
