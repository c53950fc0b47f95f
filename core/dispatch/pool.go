package dispatch

import (
	"cmp"
	"slices"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/resource"
)

// poolState is the queue of a pool, and what is known of its backend servers together. Pools share nothing, so that
// one which is overloaded does not hold up or refuse the work of another.
type poolState struct {
	name   string
	queue  queue
	cores  float64  // of usable backend servers, weighted by their speed
	sound  bool     // one of them is not quarantined
	queued coreTime // of waiting tasks
	usual  int      // thousandths of a core that a task usually asks for; 0 before the first
	retry  retryClock
}

func (d *Dispatcher) pool(name string) *poolState {
	p, ok := d.pools[name]
	if !ok {
		p = &poolState{name: name}
		d.pools[name] = p
		// A fixed order, so that the same events lead to the same actions.
		d.byName = append(d.byName, p)
		slices.SortFunc(d.byName, func(a, b *poolState) int { return cmp.Compare(a.name, b.name) })
	}
	return p
}

func (p *poolState) wait() time.Duration { return waitOf(p.queued.seconds(), p.cores) }

// useful returns what tasks of the usual size can use of a backend server's room. What is left over on several
// backend servers does not add up to room for a task.
func (p *poolState) useful(free resource.Amount) resource.Amount {
	if p.usual > 0 {
		free.Processor = free.Processor / p.usual * p.usual
	}
	return free
}

// observeDemand learns what a task usually asks for.
func (p *poolState) observeDemand(st batch.Step) {
	if p.usual == 0 {
		p.usual = st.Demand.Processor
	}
	p.usual += int(demandWeight * float64(st.Demand.Processor-p.usual))
}

// measure renews the sums over the usable backend servers.
func (d *Dispatcher) measure() {
	for _, p := range d.byName {
		p.cores, p.sound = 0, false
	}
	for _, s := range d.order {
		if s.usable() && !s.quarantined {
			d.pool(s.info.Pool).sound = true
		}
	}
	for _, s := range d.order {
		// If all are quarantined, all are used: see choose.
		if p := d.pool(s.info.Pool); s.usable() && (!s.quarantined || !p.sound) {
			share := max(1-s.failures, minSuccess) / max(s.factor(), 1)
			p.cores += float64(s.capacity.Processor) / 1000 * share
		}
	}
}
