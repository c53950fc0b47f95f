package bench

import (
	"encoding/json"
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Report holds the figures of one run. Times are in milliseconds. A ratio is 0 if its base is 0.
type Report struct {
	Seed            uint64
	DurationSeconds float64 // simulated time of each steady load
	Repetitions     int     // of each burst
	Notes           []string
	Targets         []Target
	Response        []ResponseRow `json:",omitempty"`
	Crest           []CrestRow    `json:",omitempty"`
	Blocking        []BlockingRow `json:",omitempty"`
	Faults          []FaultRow    `json:",omitempty"`
}

// Target is a required figure (docs/design.md, section 1) and what was measured of the chosen policy.
type Target struct {
	Measure  string
	Site     string
	Workload string
	Name     string
	Value    float64
	Limit    float64
	Least    bool // the limit is a lower bound
	Met      bool
}

// Values of the targets (docs/design.md, section 1).
const (
	targetMeanRatio    = 1.15
	targetP99Ratio     = 1.1
	targetWasted       = 0.1
	targetInTime       = 0.95
	targetRecovery     = 2.0  // seconds
	targetRefusal      = 50.0 // milliseconds
	targetBlocking     = 1.5
	targetLongWait     = 10_000.0 // milliseconds: twice the default LongMaxWait of a pool
	fairShareTolerance = 0.01     // jobs that network delay alone makes late
	targetFairShare    = 1 - fairShareTolerance
)

func (r *Report) target(measure string, s site, workload, name string, value, limit float64, least bool) {
	met := value <= limit
	if least {
		met = value >= limit
	}
	r.Targets = append(r.Targets, Target{
		Measure: measure, Site: s.name, Workload: workload, Name: name,
		Value: value, Limit: limit, Least: least, Met: met,
	})
}

// Missed returns the targets that the chosen policy missed.
func (r Report) Missed() []Target {
	return slices.DeleteFunc(slices.Clone(r.Targets), func(t Target) bool { return t.Met })
}

func newReport(s Settings) Report {
	return Report{
		Seed: s.Seed, DurationSeconds: s.Duration.Seconds(), Repetitions: s.Repetitions,
		Notes: []string{
			"Delay is the time from a job's arrival at its owner to the end of its last task at the agent, less its " +
				"longest task. The hops of the caller and of the outcome are the same for every policy and left out.",
			"The ideal queue has no network. 'with hop' compares the whole delay with it; 'less hop' first takes off " +
				"the one message from owner to agent that no policy can avoid, and so compares like with like.",
			"Every message between two hosts takes the one-way delay between data centres of the site.",
			"Wasted messages are refused, unused or withdrawn grants, probes and reservations, cancelled starts, and " +
				"late outcomes, with the message that ends each.",
			"In the response measure, a job without an answer counts with its deadline. In the crest measure, a job of " +
				"which nothing was sent to an agent before its deadline is refused then, and its time to refusal counts.",
			"Jobs whose pool is empty, and stragglers longer than the deadline of 30 s, are refused by the ideal queue " +
				"in the faults measure. The mean there covers complete jobs only: compare it together with their number.",
			"When the allocator is lost, its entry goes on as an owner.",
			"Plain FIFO is the allocator without fairness, classes, admission by predicted wait and ejection.",
		},
	}
}

// JSON returns the report as indented JSON.
func (r Report) JSON() ([]byte, error) {
	data, err := json.MarshalIndent(r, "", "  ")
	return data, errors.Wrap(err, "encode bench report")
}

// milliseconds rounds to a microsecond, so that reports stay readable.
func milliseconds(d time.Duration) float64 {
	return math.Round(float64(d)/float64(time.Microsecond)) / 1000
}

// ratio is 0 if the base is 0.
func ratio(value, base float64) float64 {
	if base == 0 {
		return 0
	}
	return math.Round(value/base*10_000) / 10_000
}

// percentile returns a value of sorted samples, by the nearest-rank method.
func percentile(sorted []time.Duration, p float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	const roundingError = 1e-9 // 99.9% of 1000 is slightly above 999 in floating point
	rank := int(math.Ceil(p*float64(len(sorted))/100 - roundingError))
	return sorted[min(max(rank, 1), len(sorted))-1]
}

func mean(samples []time.Duration) time.Duration {
	if len(samples) == 0 {
		return 0
	}
	var sum time.Duration
	for _, s := range samples {
		sum += s
	}
	return sum / time.Duration(len(samples))
}

func sorted(samples []time.Duration) []time.Duration {
	slices.Sort(samples)
	return samples
}
