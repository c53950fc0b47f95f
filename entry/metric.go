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
	e.gauge("Entry.Submissions", e.submissions.Load())
	e.gauge("Entry.Agents", int64(len(e.directory.connectedAgents())))
	e.gauge("Entry.Entries", int64(len(e.directory.connectedEntries())))
	for pool, stats := range e.allocators.stats() {
		name := "Pool." + pool + "."
		e.gauge(name+"QueuedTasks", int64(stats.QueuedTasks))
		e.gauge(name+"BackendServers", int64(stats.BackendServers))
		e.gauge(name+"Ejected", int64(stats.Ejected))
		e.gauge(name+"Slots", int64(stats.Slots))
		e.gauge(name+"FreeSlots", int64(stats.FreeSlots))
		e.gauge(name+"DelayMilliseconds", stats.Delay.Milliseconds())
		overloaded := int64(0)
		if stats.Overloaded {
			overloaded = 1
		}
		e.gauge(name+"Overloaded", overloaded)
	}
}

func (e *Entry) gauge(name string, value int64) {
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
