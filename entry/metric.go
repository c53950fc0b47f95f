package entry

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"dogwoodglade/core/allocator"
)

// metricsInterval is the time between two updates of the gauges.
const metricsInterval = time.Second

// updateMetrics sets the gauges of the entry: open submissions, connections, and the state of each pool as
// this entry sees it.
func (e *Entry) updateMetrics(time.Time) {
	e.setGauge("Entry.Submissions", e.submissions.Load())
	e.setGauge("Entry.Agents", int64(len(e.directory.connectedAgents())))
	e.setGauge("Entry.Entries", int64(len(e.directory.connectedEntries())))
	for pool, stats := range e.allocators.stats() {
		name := "Pool." + pool + "."
		e.setGauge(name+"QueuedTasks", int64(stats.QueuedTasks))
		e.setGauge(name+"BackendServers", int64(stats.BackendServers))
		e.setGauge(name+"Ejected", int64(stats.Ejected))
		e.setGauge(name+"Slots", int64(stats.Slots))
		e.setGauge(name+"FreeSlots", int64(stats.FreeSlots))
		e.setGauge(name+"DelayMilliseconds", stats.Delay.Milliseconds())
		overloaded := int64(0)
		if stats.Overloaded {
			overloaded = 1
		}
		e.setGauge(name+"Overloaded", overloaded)
	}
}

func (e *Entry) setGauge(name string, value int64) {
	metrics.GetOrRegisterGauge(name, e.options.Metrics).Update(value)
}

// stats returns the state of each allocator.
func (a *allocators) stats() map[string]allocator.Stats {
	a.mu.Lock()
	defer a.mu.Unlock()
	stats := map[string]allocator.Stats{}
	for pool, p := range a.byPool {
		p.mu.Lock()
		stats[pool] = p.state.Stats()
		p.mu.Unlock()
	}
	return stats
}
