package bench

import (
	"encoding/json"
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Report holds the results of one run. Times are in milliseconds unless stated otherwise. A ratio is 0 if its
// denominator is 0.
type Report struct {
	Seed            uint64
	DurationSeconds float64 // simulated time of each steady load
	Repetitions     int     // number of traces of each burst
	Notes           []string
	Targets         []Target
	Response        []ResponseRow `json:",omitempty"`
	Burst           []BurstRow    `json:"Crest,omitempty"`
	Blocking        []BlockingRow `json:",omitempty"`
	Faults          []FaultRow    `json:",omitempty"`
}

// Target is a required value (docs/design.md, section 1) and the value measured for the chosen policy.
type Target struct {
	Measure  string
	Site     string
	Workload string
	Name     string
	Value    float64
	Limit    float64
	AtLeast  bool `json:"Least"` // Limit is a lower bound, otherwise an upper bound
	Met      bool
}

// Limits of the targets (docs/design.md, section 1).
const (
	targetMeanRatio    = 1.15
	targetP99Ratio     = 1.1
	targetWasted       = 0.1
	targetInTime       = 0.95
	targetRecovery     = 2.0  // seconds
	targetRefusal      = 50.0 // milliseconds
	targetBlocking     = 1.5
	targetLongWait     = 10_000.0 // milliseconds: twice the default LongMaxWait of a pool
	fairShareTolerance = 0.01     // allows for jobs that only the network delay makes late
	targetFairShare    = 1 - fairShareTolerance
)

func (r *Report) addTarget(measure string, s site, workload, name string, value, limit float64, atLeast bool) {
	met := value <= limit
	if atLeast {
		met = value >= limit
	}
	r.Targets = append(r.Targets, Target{
		Measure: measure, Site: s.name, Workload: workload, Name: name,
		Value: value, Limit: limit, AtLeast: atLeast, Met: met,
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
			"Delay is the time from the arrival of a job at its owner to the end of its last task at the agent, minus " +
				"the run time of its longest task. The network delays of the submission and of the results are the same " +
				"for every policy and are not included.",
			"The ideal queue has no network delay. Ratios 'with hop' use the whole delay; for ratios 'less hop' the " +
				"network delay of the one message from owner to agent, which no policy can avoid, is subtracted first.",
			"Every message between two hosts takes the one-way delay between data centres of the site.",
			"Wasted messages are refused, unused or withdrawn grants, probes and reservations, cancelled starts, and " +
				"late outcomes, each with the message that ends it.",
			"In the response measure, the deadline is taken as the delay of a job that did not complete. In the crest " +
				"(burst) measure, a job counts as refused at its deadline if none of its tasks was sent to an agent by " +
				"then, and is included in the time to refusal.",
			"In the faults measure, the ideal queue refuses jobs whose pool is empty and jobs with stragglers longer " +
				"than the deadline of 30 s. The mean covers complete jobs only, so compare it together with their number.",
			"An entry whose allocator fails continues as an owner.",
			"Plain FIFO is the allocator without fairness, classes, admission by predicted wait and ejection.",
		},
	}
}

// JSON returns the report as indented JSON.
func (r Report) JSON() ([]byte, error) {
	data, err := json.MarshalIndent(r, "", "  ")
	return data, errors.Wrap(err, "encode bench report")
}

// milliseconds converts to milliseconds, rounded to a microsecond to keep reports readable.
func milliseconds(d time.Duration) float64 {
	return math.Round(float64(d)/float64(time.Microsecond)) / 1000
}

// ratio returns value/base rounded to four decimals, or 0 if the base is 0.
func ratio(value, base float64) float64 {
	if base == 0 {
		return 0
	}
	return math.Round(value/base*10_000) / 10_000
}

// percentile returns a percentile of sorted samples by the nearest-rank method, or 0 without samples.
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

// sorted sorts the samples in place and returns them.
func sorted(samples []time.Duration) []time.Duration {
	slices.Sort(samples)
	return samples
}
