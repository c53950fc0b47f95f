// Package bench compares the allocator with an ideal queue and with baseline policies in a discrete-event
// simulation.
//
// It defines the traces, the policies, and the target values of each measure, and is run by the subcommand
// `bench`. It drives core/allocator with small fakes of owners, agents and backend servers. The simulation
// has no external input, so that the same settings always give the same report.
package bench

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Names of the measures, as given to the flag --measure and written to reports.
const (
	Response = "response"
	Burst    = "crest"
	Blocking = "blocking"
	Faults   = "faults"
)

// Measures returns the names of all measures in the order of the report.
func Measures() []string { return []string{Response, Burst, Blocking, Faults} }

// Defaults and limits of the settings.
const (
	DefaultDuration    = 15 * time.Minute
	DefaultRepetitions = 10
	MaxDuration        = 24 * time.Hour
	MaxRepetitions     = 1000
)

// Settings select what Run measures. Every field except Workers affects the report.
type Settings struct {
	Seed        uint64
	Site        string        // Trappelop, Atlas or AllSites
	Measures    []string      // any of the names that the function Measures returns
	Duration    time.Duration // simulated time of each steady load; blocking and fault traces last a fraction of it
	Repetitions int           // number of traces of each burst
	Workers     int           // number of simulations run concurrently
}

// WithDefaults returns a copy with unset fields set to their defaults.
func (s Settings) WithDefaults() Settings {
	if s.Site == "" {
		s.Site = AllSites
	}
	if len(s.Measures) == 0 {
		s.Measures = Measures()
	}
	if s.Duration == 0 {
		s.Duration = DefaultDuration
	}
	if s.Repetitions == 0 {
		s.Repetitions = DefaultRepetitions
	}
	if s.Workers == 0 {
		s.Workers = runtime.GOMAXPROCS(0)
	}
	return s
}

// SettingError reports an invalid setting.
type SettingError struct {
	Setting string
	Value   string
	Want    string
}

// Error implements error.
func (e *SettingError) Error() string {
	return fmt.Sprintf("validate bench settings: %s is %s, want %s", e.Setting, e.Value, e.Want)
}

// Validate returns an error that joins a SettingError for each invalid setting.
func (s Settings) Validate() error {
	var errs []error
	check := func(ok bool, setting, want string, value any) {
		if !ok {
			errs = append(errs, &SettingError{Setting: setting, Value: fmt.Sprint(value), Want: want})
		}
	}
	check(len(sites(s.Site)) > 0, "Site", "trappelop, atlas or all", fmt.Sprintf("%q", s.Site))
	check(len(s.Measures) > 0, "Measures", "one or more", "empty")
	for _, m := range s.Measures {
		check(slices.Contains(Measures(), m), "Measures", strings.Join(Measures(), ", "), fmt.Sprintf("%q", m))
	}
	check(s.Duration >= time.Second && s.Duration <= MaxDuration, "Duration", "1s to 24h", s.Duration)
	check(s.Repetitions >= 1 && s.Repetitions <= MaxRepetitions, "Repetitions", "1 to 1000", s.Repetitions)
	check(s.Workers >= 1, "Workers", "1 or more", s.Workers)
	return errors.Join(errs...)
}

// Run simulates every workload of the selected measures with every policy and compares the policies.
func Run(settings Settings) (Report, error) {
	settings = settings.WithDefaults()
	if err := settings.Validate(); err != nil {
		return Report{}, errors.Wrap(err, "run bench")
	}
	return run(settings, policies()), nil
}

// run is Run for valid settings and the given policies.
func run(settings Settings, all []namedPolicy) Report {
	report := newReport(settings)
	for _, s := range sites(settings.Site) {
		for _, m := range Measures() {
			if !slices.Contains(settings.Measures, m) {
				continue
			}
			r := simulateAll(settings, s, m, all)
			switch m {
			case Response:
				report.addResponse(r)
			case Burst:
				report.addBurst(r)
			case Blocking:
				report.addBlocking(r)
			case Faults:
				report.addFaults(r)
			}
		}
	}
	return report
}

// results holds the simulation results of one measure at one site.
type results struct {
	site          site
	policies      []namedPolicy
	workloads     []workload
	idealResults  [][]traceResult   // by workload, repetition
	policyResults [][][]traceResult // by workload, policy, repetition
}

// simulateAll runs the simulations of a measure at a site concurrently. Each simulation has its own random
// source, so that its result does not depend on the order in which they run.
func simulateAll(settings Settings, s site, measure string, all []namedPolicy) results {
	r := results{site: s, policies: all, workloads: workloads(settings, s, measure)}
	r.idealResults = make([][]traceResult, len(r.workloads))
	r.policyResults = make([][][]traceResult, len(r.workloads))
	var group sync.WaitGroup
	workers := make(chan struct{}, settings.Workers)
	for i, wl := range r.workloads {
		r.idealResults[i] = make([]traceResult, len(wl.traces))
		for k, tr := range wl.traces {
			r.idealResults[i][k] = traceResult{jobOutcomes: ideal(s, tr, s.totalSlots(), unlimitedWait)}
		}
		r.policyResults[i] = make([][]traceResult, len(all))
		for p, policy := range all {
			r.policyResults[i][p] = make([]traceResult, len(wl.traces))
			group.Go(func() {
				workers <- struct{}{}
				defer func() { <-workers }()
				for k, tr := range wl.traces {
					random := newRand(settings.Seed, s.name, wl.name, policy.name, fmt.Sprint(k))
					r.policyResults[i][p][k] = simulate(s, tr, random, policy.create)
				}
			})
		}
	}
	group.Wait()
	return r
}

// newRand returns a random source that is determined by the seed and the given names.
func newRand(seed uint64, names ...string) *rand.Rand {
	h := fnv.New64a()
	_, _ = h.Write([]byte(strings.Join(names, "\x00"))) // Write of a hash never returns an error
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}
