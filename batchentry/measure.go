package batchentry

import (
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/overload"
)

// sampleSize limits the memory of a histogram. The samples are from about the last five minutes.
const (
	sampleSize  = 512
	sampleAlpha = 0.015 // weight of recent samples, as go-metrics recommends for five minutes
)

// entryMetrics are the counters, gauges and histograms of an entry. Histograms are in microseconds.
type entryMetrics struct {
	registry  metrics.Registry
	submitted metrics.Counter
	forwarded metrics.Counter
	passedOn  metrics.Counter // forwarded again, or first forwarded, after a refusal as Overloaded
	// promptLoads counts the loads to all other entries that were sent before the regular interval.
	promptLoads metrics.Counter
	cancelled   metrics.Counter
	rejected    metrics.Counter // requests that were rejected before a job was created
	crashes     metrics.Counter // of backend servers while tasks ran on them
	moved       metrics.Counter // runs that were stopped because their backend server left
	givenUp     metrics.Counter // jobs that failed or were refused because of crashes
	waited      metrics.Histogram
	taken       metrics.Histogram
	queue       metrics.GaugeFloat64
	open        metrics.Gauge
	waiting     metrics.Gauge
	cores       metrics.GaugeFloat64
	free        metrics.GaugeFloat64
	agents      metrics.Gauge
	entries     metrics.Gauge
	// The ages in milliseconds of the oldest agent report and the oldest entry load in use.
	agentAge metrics.Gauge
	entryAge metrics.Gauge
	version  metrics.Gauge
	// The age in milliseconds of the latest confirmation that the store has no newer configuration; -1 if there is none.
	configurationAge metrics.Gauge

	displacingPools  metrics.Gauge // pools in which more urgent jobs may displace others
	guardedPools     metrics.Gauge // pools in which no route may starve
	dispatchingPeers metrics.Gauge // other entries to which refused jobs may be passed on
	slowServers      metrics.Gauge // backend servers that are permanently slow

	evacuations evacuationMetrics
}

func newEntryMetrics(r metrics.Registry) entryMetrics {
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram(name, r, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}
	return entryMetrics{
		registry:         r,
		submitted:        metrics.GetOrRegisterCounter("Batch.Submitted", r),
		forwarded:        metrics.GetOrRegisterCounter("Batch.Forwarded", r),
		passedOn:         metrics.GetOrRegisterCounter("Batch.PassedOn", r),
		promptLoads:      metrics.GetOrRegisterCounter("Batch.PromptLoads", r),
		cancelled:        metrics.GetOrRegisterCounter("Batch.Cancelled", r),
		rejected:         metrics.GetOrRegisterCounter("Batch.Rejected", r),
		crashes:          metrics.GetOrRegisterCounter("Batch.Crashes", r),
		moved:            metrics.GetOrRegisterCounter("Batch.Moved", r),
		givenUp:          metrics.GetOrRegisterCounter("Batch.GivenUp", r),
		waited:           histogram("Batch.WaitedMicroseconds"),
		taken:            histogram("Batch.TakenMicroseconds"),
		queue:            metrics.GetOrRegisterGaugeFloat64("Batch.QueuedCoreSeconds", r),
		open:             metrics.GetOrRegisterGauge("Batch.Open", r),
		waiting:          metrics.GetOrRegisterGauge("Batch.Waiting", r),
		cores:            metrics.GetOrRegisterGaugeFloat64("Batch.Cores", r),
		free:             metrics.GetOrRegisterGaugeFloat64("Batch.FreeCores", r),
		agents:           metrics.GetOrRegisterGauge("Batch.Agents", r),
		entries:          metrics.GetOrRegisterGauge("Batch.Entries", r),
		agentAge:         metrics.GetOrRegisterGauge("Batch.OldestAgentMilliseconds", r),
		entryAge:         metrics.GetOrRegisterGauge("Batch.OldestEntryMilliseconds", r),
		version:          metrics.GetOrRegisterGauge("Batch.ConfigurationVersion", r),
		configurationAge: metrics.GetOrRegisterGauge("Batch.ConfigurationAgeMilliseconds", r),

		displacingPools:  metrics.GetOrRegisterGauge("Batch.DisplacingPools", r),
		guardedPools:     metrics.GetOrRegisterGauge("Batch.GuardedPools", r),
		dispatchingPeers: metrics.GetOrRegisterGauge("Batch.DispatchingPeers", r),
		slowServers:      metrics.GetOrRegisterGauge("Batch.SlowServers", r),

		evacuations: newEvacuationMetrics(r),
	}
}

func (m entryMetrics) recordOutcome(o batch.Outcome, taken time.Duration) {
	metrics.GetOrRegisterCounter("Batch.Answered."+batch.OutcomeName(o), m.registry).Inc(1)
	m.taken.Update(taken.Microseconds())
}

func (e *Entry) updateMetrics(now time.Time) {
	m := e.metrics
	l := e.dispatcher.Load().Total()
	open, waiting := e.dispatcher.JobCounts()
	m.queue.Update(l.Queued)
	m.open.Update(int64(open))
	m.waiting.Update(int64(waiting))
	m.cores.Update(l.Cores)
	m.free.Update(float64(l.Free.Processor) / 1000)
	m.agents.Update(int64(len(e.agents)))
	m.entries.Update(int64(len(e.entries)))
	m.version.Update(int64(e.config.Version))
	configurationAge := int64(-1)
	if age, known := e.configurationAge(now); known {
		configurationAge = age.Milliseconds()
	}
	m.configurationAge.Update(configurationAge)
	m.dispatchingPeers.Update(int64(e.peers.Dispatchers()))
	m.slowServers.Update(int64(e.dispatcher.SlowServers()))
	m.evacuations.update(now, e.evacuations)
	var agentAge, entryAge time.Duration
	for _, a := range e.agents {
		agentAge = max(agentAge, now.Sub(a.lastReport))
	}
	for _, x := range e.entries {
		entryAge = max(entryAge, now.Sub(x.lastLoad))
	}
	m.agentAge.Update(agentAge.Milliseconds())
	m.entryAge.Update(entryAge.Milliseconds())
}

// countRules returns in how many pools jobs may be displaced, and in how many the routes are guarded.
func countRules(rules map[string]overload.Rules) (displacing, guarded int64) {
	for _, r := range rules {
		if r.Displace {
			displacing++
		}
		if r.GuardRoutes {
			guarded++
		}
	}
	return displacing, guarded
}

// recordRefusal counts a refusal for overload by cause and priority.
func (m entryMetrics) recordRefusal(cause overload.Cause, priority int) {
	metrics.GetOrRegisterCounter(fmt.Sprintf("Batch.Refused.%s.%d", cause, priority), m.registry).Inc(1)
}
