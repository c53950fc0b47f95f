package batchagent

import (
	"github.com/rcrowley/go-metrics"

	"dogwoodglade/core/supervise"
)

// measures are the counters and gauges of an agent.
type measures struct {
	registry    metrics.Registry
	stopped     metrics.Counter
	holdsFailed metrics.Counter
	running     metrics.Gauge
}

func newMeasures(r metrics.Registry) measures {
	return measures{
		registry:    r,
		stopped:     metrics.GetOrRegisterCounter("Run.Stopped", r),
		holdsFailed: metrics.GetOrRegisterCounter("Run.HoldsFailed", r),
		running:     metrics.GetOrRegisterGauge("Run.Running", r),
	}
}

func (m measures) started(result supervise.StartResult) {
	metrics.GetOrRegisterCounter("Run.Started."+result.String(), m.registry).Inc(1)
}
