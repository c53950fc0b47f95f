package batchagent

import (
	"github.com/rcrowley/go-metrics"

	"dogwoodglade/core/supervise"
)

// agentMetrics are the counters and gauges of an agent.
type agentMetrics struct {
	registry    metrics.Registry
	stopped     metrics.Counter
	holdsFailed metrics.Counter
	running     metrics.Gauge

	evacuations     metrics.Gauge   // evacuated data centres that the agent knows
	evacuationReads metrics.Counter // of the store, for want of an entry with fresh knowledge
}

func newAgentMetrics(r metrics.Registry) agentMetrics {
	evacuations, evacuationReads := evacuationMetrics(r)
	return agentMetrics{
		registry:    r,
		stopped:     metrics.GetOrRegisterCounter("Run.Stopped", r),
		holdsFailed: metrics.GetOrRegisterCounter("Run.HoldsFailed", r),
		running:     metrics.GetOrRegisterGauge("Run.Running", r),

		evacuations: evacuations, evacuationReads: evacuationReads,
	}
}

func (m agentMetrics) recordStart(result supervise.StartResult) {
	metrics.GetOrRegisterCounter("Run.Started."+result.String(), m.registry).Inc(1)
}
