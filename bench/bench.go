// Package bench measures the decision code on simulated time, against an ideal queue and baselines.
//
// It owns the traces, the policies and the targets of the measures. The subcommand `bench` calls it. It
// drives core/allocator with small fakes of owners, agents and backend servers; nothing outside the process
// takes part, so that the same settings always give the same report.
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

// Names of the measures.
const (
	Response = "response"
	Crest    = "crest"
	Blocking = "blocking"
	Faults   = "faults"
)

// Measures returns the names of all measures in the order of the report.
func Measures() []string { return []string{Response, Crest, Blocking, Faults} }

// Defaults and bounds of the settings.
const (
	DefaultDuration    = 15 * time.Minute
	DefaultRepetitions = 10
	LimitDuration      = 24 * time.Hour
	LimitRepetitions   = 1000
)

// Settings choose what Run measures. The report depends on all of them but Workers.
type Settings struct {
	Seed        uint64
	Site        string        // Trappelop, Atlas or AllSites
	Measures    []string      // of Measures
	Duration    time.Duration // simulated time of a steady load; other traces are shorter in proportion
	Repetitions int           // of each burst
	Workers     int           // simulations at once
}

// Defaults returns a copy whose unset fields have their defaults.
func (s Settings) Defaults() Settings {
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

// Validate reports all invalid settings, joined into one error.
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
	check(s.Duration >= time.Second && s.Duration <= LimitDuration, "Duration", "1s to 24h", s.Duration)
	check(s.Repetitions >= 1 && s.Repetitions <= LimitRepetitions, "Repetitions", "1 to 1000", s.Repetitions)
	check(s.Workers >= 1, "Workers", "1 or more", s.Workers)
	return errors.Join(errs...)
}

// Run simulates every workload of the chosen measures with every policy and compares them.
func Run(settings Settings) (Report, error) {
	settings = settings.Defaults()
	if err := settings.Validate(); err != nil {
		return Report{}, errors.Wrap(err, "run bench")
	}
	return run(settings, policies()), nil
}

// run measures the given policies.
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
			case Crest:
				report.addCrest(r)
			case Blocking:
				report.addBlocking(r)
			case Faults:
				report.addFaults(r)
			}
		}
	}
	return report
}

// results holds the outcomes of one measure at one site.
type results struct {
	site      site
	policies  []namedPolicy
	workloads []workload
	ideal     [][]outcome   // by workload, repetition
	outcomes  [][][]outcome // by workload, policy, repetition
}

// simulateAll runs the simulations of a measure at a site, several at once. Each has its own random source,
// so that its outcome does not depend on the others.
func simulateAll(settings Settings, s site, measure string, all []namedPolicy) results {
	r := results{site: s, policies: all, workloads: workloads(settings, s, measure)}
	r.ideal = make([][]outcome, len(r.workloads))
	r.outcomes = make([][][]outcome, len(r.workloads))
	var group sync.WaitGroup
	workers := make(chan struct{}, settings.Workers)
	for i, wl := range r.workloads {
		r.ideal[i] = make([]outcome, len(wl.traces))
		for k, tr := range wl.traces {
			r.ideal[i][k] = outcome{answers: ideal(s, tr, s.totalSlots(), noWaitLimit)}
		}
		r.outcomes[i] = make([][]outcome, len(all))
		for p, policy := range all {
			r.outcomes[i][p] = make([]outcome, len(wl.traces))
			group.Go(func() {
				workers <- struct{}{}
				defer func() { <-workers }()
				for k, tr := range wl.traces {
					random := source(settings.Seed, s.name, wl.name, policy.name, fmt.Sprint(k))
					r.outcomes[i][p][k] = simulate(s, tr, random, policy.create)
				}
			})
		}
	}
	group.Wait()
	return r
}

// source returns a random source that depends on the seed and the given names.
func source(seed uint64, names ...string) *rand.Rand {
	h := fnv.New64a()
	_, _ = h.Write([]byte(strings.Join(names, "\x00"))) // a hash never fails
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}
