package bench

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// workload is a named load with one or more traces.
type workload struct {
	name   string
	traces []*trace
	// fairSlots is the fair share of slots of each customer during the burst.
	fairSlots map[string]int
	// remainingSlots is the number of slots that long tasks leave free on average.
	remainingSlots int
}

// Routes and customers of the traces.
const (
	routeMixed = "mixed"
	routeShort = "short"
	routeLong  = "long"

	customerOne   = "one"
	customerQuiet = "quiet"
	customerBurst = "burst"
)

// Loads of the response measure, as shares of the slots.
var steadyLoads = []float64{0.60, 0.80, 0.90, 0.95}

// Times and loads of the burst traces. The burst lasts 10 s (docs/design.md, section 1).
const (
	burstStart        = 20 * time.Second
	burstDuration     = 10 * time.Second
	afterBurst        = 20 * time.Second
	burstWarmUp       = 5 * time.Second
	burstBaseLoad     = 0.6
	burstLongShare    = 0.1 // share of long tasks, which have their own route, in the load
	burstDeadline     = 2 * time.Second
	burstLongDeadline = 15 * time.Second // deadline of jobs on the long route
	longJobTasks      = 4
)

// Loads of the blocking traces. In the mix of docs/design.md, section 1, a third of the work is in long tasks.
var blockingLoads = []float64{0.40, 0.60, 0.80}

const (
	longWorkShare = 1.0 / 3
	stragglerLoad = 0.01 // of stragglers on the short route
)

// Settings.Duration is divided by these to get the length of the blocking and the fault traces.
const (
	blockingDivisor = 3
	faultsDivisor   = 5
)

func workloads(settings Settings, s site, measure string) []workload {
	g := generator{site: s, settings: settings}
	switch measure {
	case Response:
		return g.steady()
	case Burst:
		return g.burst()
	case Blocking:
		return g.blocking()
	default:
		return g.faults()
	}
}

type generator struct {
	site     site
	settings Settings
}

// traceRand returns the random source of a trace. It does not depend on the site, so that both sites get the
// same jobs.
func (g generator) traceRand(name string, repetition int) *rand.Rand {
	return newRand(g.settings.Seed, "trace", name, fmt.Sprint(repetition))
}

func (g generator) singleTrace(name string, f faultSchedule, streams ...stream) workload {
	tr := &trace{requests: generate(g.site, g.traceRand(name, 0), streams...), faults: f}
	return workload{name: name, traces: []*trace{tr}}
}

func (g generator) mixed(load float64, to time.Duration) stream {
	return stream{
		customer: customerOne, route: routeMixed, runTimes: mixedTasks(), maxTasks: maxTasksPerJob,
		deadline: steadyDeadline, load: load, to: to,
	}
}

func (g generator) steady() []workload {
	var all []workload
	for _, load := range steadyLoads {
		all = append(all, g.singleTrace(steadyName(load), faultSchedule{}, g.mixed(load, g.settings.Duration)))
	}
	return all
}

func steadyName(load float64) string { return fmt.Sprintf("steady %.0f%%", load*100) }

// burstStreams returns the streams of a customer with the load base before and after the burst, and the load
// burst during it.
func burstStreams(customer string, base, burst float64) []stream {
	const end = burstStart + burstDuration
	var all []stream
	for _, part := range []struct {
		load     float64
		from, to time.Duration
	}{{base, 0, burstStart}, {burst, burstStart, end}, {base, end, end + afterBurst}} {
		all = append(all, stream{
			customer: customer, route: routeShort, runTimes: shortTasks(), maxTasks: maxTasksPerJob,
			deadline: burstDeadline, load: part.load * (1 - burstLongShare), from: part.from, to: part.to,
		}, stream{
			customer: customer, route: routeLong, runTimes: longTasks(), maxTasks: longJobTasks,
			deadline: burstLongDeadline, load: part.load * burstLongShare, from: part.from, to: part.to,
		})
	}
	return all
}

func (g generator) burst() []workload {
	slots := g.site.totalSlots()
	all := []workload{
		{name: "burst 2x", fairSlots: map[string]int{customerOne: slots}},
		{name: "burst 4x", fairSlots: map[string]int{customerOne: slots}},
		// The fair share of the quiet customer is half of the slots, that of the other customer all slots
		// that the quiet customer does not use.
		{name: "two customers", fairSlots: map[string]int{
			customerQuiet: slots / 2, customerBurst: slots - int(burstBaseLoad/2*float64(slots)),
		}},
	}
	streams := [][]stream{
		burstStreams(customerOne, burstBaseLoad, 2),
		burstStreams(customerOne, burstBaseLoad, 4),
		append(burstStreams(customerQuiet, burstBaseLoad/2, burstBaseLoad/2),
			burstStreams(customerBurst, burstBaseLoad/2, 4-burstBaseLoad/2)...),
	}
	for i := range all {
		for k := range g.settings.Repetitions {
			requests := generate(g.site, g.traceRand(all[i].name, k), streams[i]...)
			all[i].traces = append(all[i].traces, &trace{requests: requests})
		}
	}
	return all
}

// blocking returns pairs of workloads: one with short and long tasks, followed by one with the same short
// tasks alone.
func (g generator) blocking() []workload {
	to := g.settings.Duration / blockingDivisor
	var all []workload
	for _, load := range blockingLoads {
		long := load * longWorkShare
		name := fmt.Sprintf("short %.0f%%, long %.0f%%", (load-long)*100, long*100)
		base := stream{customer: customerOne, deadline: steadyDeadline, to: to}
		shortStream, longStream, stragglerStream := base, base, base
		shortStream.route, shortStream.runTimes = routeShort, shortTasks()
		shortStream.maxTasks, shortStream.load = maxTasksPerJob, load-long
		longStream.route, longStream.maxTasks, longStream.load = routeLong, longJobTasks, long-stragglerLoad
		longStream.runTimes = withStragglers(longTasks(), stragglerShare, stragglerFactor)
		// Stragglers have the same route as short tasks and cannot be told apart from them before they run.
		stragglerStream.route, stragglerStream.straggler = routeShort, true
		stragglerStream.maxTasks, stragglerStream.load = 1, stragglerLoad
		stragglerStream.runTimes = uniform(10*shortMax, 20*shortMax)
		mixed := g.singleTrace(name, faultSchedule{}, shortStream, longStream, stragglerStream)
		alone := &trace{keepWaits: true}
		for _, r := range mixed.traces[0].requests {
			if r.route == routeShort && !r.straggler {
				alone.requests = append(alone.requests, r)
			}
		}
		mixed.traces[0].keepWaits = true
		all = append(all, mixed, workload{
			name: name + ", short alone", traces: []*trace{alone},
			remainingSlots: int(float64(g.site.totalSlots()) * (1 - long)),
		})
	}
	return all
}
