package bench

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// workload is a kind of load with one or more traces of it.
type workload struct {
	name   string
	traces []*trace
	// fairSlots is the fair share of each customer during the burst, in slots.
	fairSlots map[string]int
	// leftSlots is the number of slots that long work leaves to the short work on average.
	leftSlots int
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

// Loads of the steady measure, as shares of the slots.
var steadyLoads = []float64{0.60, 0.80, 0.90, 0.95}

// Times and loads of the burst traces. The burst lasts 10 s (docs/design.md, section 1).
const (
	crestBefore    = 20 * time.Second
	crestBurst     = 10 * time.Second
	crestAfter     = 20 * time.Second
	crestWarmUp    = 5 * time.Second
	crestBaseLoad  = 0.6
	crestLongShare = 0.1 // of the load; long tasks have their own route
	crestDeadline  = 2 * time.Second
	crestLongLimit = 15 * time.Second // deadline of jobs on the long route
	longJobTasks   = 4
)

// Loads of the blocking traces. In the mix of section 1, a third of the work is in long tasks.
var blockingLoads = []float64{0.40, 0.60, 0.80}

const (
	longWorkShare = 1.0 / 3
	strayLoad     = 0.01 // of stragglers on the short route
)

// Lengths of the shorter traces as divisors of Settings.Duration.
const (
	blockingPart = 3
	faultsPart   = 5
)

func workloads(settings Settings, s site, measure string) []workload {
	g := generator{site: s, settings: settings}
	switch measure {
	case Response:
		return g.steady()
	case Crest:
		return g.crest()
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

// random depends on the workload and the repetition but not on the site: both sites see the same jobs.
func (g generator) random(name string, repetition int) *rand.Rand {
	return source(g.settings.Seed, "trace", name, fmt.Sprint(repetition))
}

func (g generator) one(name string, f fault, streams ...stream) workload {
	tr := &trace{requests: generate(g.site, g.random(name, 0), streams...), fault: f}
	return workload{name: name, traces: []*trace{tr}}
}

func (g generator) mixed(load float64, to time.Duration) stream {
	return stream{
		customer: customerOne, route: routeMixed, times: mixedTasks(), maxTasks: maxTasksPerJob,
		deadline: steadyDeadline, load: load, to: to,
	}
}

func (g generator) steady() []workload {
	var all []workload
	for _, load := range steadyLoads {
		all = append(all, g.one(steadyName(load), fault{}, g.mixed(load, g.settings.Duration)))
	}
	return all
}

func steadyName(load float64) string { return fmt.Sprintf("steady %.0f%%", load*100) }

// surge is the load of a customer before and after the burst, and during it.
func surge(customer string, base, burst float64) []stream {
	const end = crestBefore + crestBurst
	var all []stream
	for _, part := range []struct {
		load     float64
		from, to time.Duration
	}{{base, 0, crestBefore}, {burst, crestBefore, end}, {base, end, end + crestAfter}} {
		all = append(all, stream{
			customer: customer, route: routeShort, times: shortTasks(), maxTasks: maxTasksPerJob,
			deadline: crestDeadline, load: part.load * (1 - crestLongShare), from: part.from, to: part.to,
		}, stream{
			customer: customer, route: routeLong, times: longTasks(), maxTasks: longJobTasks,
			deadline: crestLongLimit, load: part.load * crestLongShare, from: part.from, to: part.to,
		})
	}
	return all
}

func (g generator) crest() []workload {
	slots := g.site.totalSlots()
	all := []workload{
		{name: "burst 2x", fairSlots: map[string]int{customerOne: slots}},
		{name: "burst 4x", fairSlots: map[string]int{customerOne: slots}},
		// The quiet customer is owed half of the slots, the other one all that the quiet one does not need.
		{name: "two customers", fairSlots: map[string]int{
			customerQuiet: slots / 2, customerBurst: slots - int(crestBaseLoad/2*float64(slots)),
		}},
	}
	streams := [][]stream{
		surge(customerOne, crestBaseLoad, 2),
		surge(customerOne, crestBaseLoad, 4),
		append(surge(customerQuiet, crestBaseLoad/2, crestBaseLoad/2),
			surge(customerBurst, crestBaseLoad/2, 4-crestBaseLoad/2)...),
	}
	for i := range all {
		for k := range g.settings.Repetitions {
			requests := generate(g.site, g.random(all[i].name, k), streams[i]...)
			all[i].traces = append(all[i].traces, &trace{requests: requests})
		}
	}
	return all
}

// blocking pairs each load of short tasks beside long ones with the same short tasks alone.
func (g generator) blocking() []workload {
	to := g.settings.Duration / blockingPart
	var all []workload
	for _, load := range blockingLoads {
		long := load * longWorkShare
		name := fmt.Sprintf("short %.0f%%, long %.0f%%", (load-long)*100, long*100)
		base := stream{customer: customerOne, deadline: steadyDeadline, to: to}
		short, slow, stray := base, base, base
		short.route, short.times, short.maxTasks, short.load = routeShort, shortTasks(), maxTasksPerJob, load-long
		slow.route, slow.maxTasks, slow.load = routeLong, longJobTasks, long-strayLoad
		slow.times = withStragglers(longTasks(), stragglerShare, stragglerFactor)
		// Stragglers on the route of the short work cannot be recognised before they run.
		stray.route, stray.stray, stray.maxTasks, stray.load = routeShort, true, 1, strayLoad
		stray.times = uniform(10*shortMax, 20*shortMax)
		beside := g.one(name, fault{}, short, slow, stray)
		alone := &trace{keepWaits: true}
		for _, r := range beside.traces[0].requests {
			if r.route == routeShort && !r.stray {
				alone.requests = append(alone.requests, r)
			}
		}
		beside.traces[0].keepWaits = true
		all = append(all, beside, workload{
			name: name + ", short alone", traces: []*trace{alone},
			leftSlots: int(float64(g.site.totalSlots()) * (1 - long)),
		})
	}
	return all
}
