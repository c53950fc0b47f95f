package evacuation

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// MaxAge is the age of the knowledge about evacuations from which it has to be read through other processes. An entry
	// that reads the store, or is connected to one that does, keeps it below 1.6 s: 1 s is the poll of a watcher, the rest
	// are the intervals of the messages. A slow store adds 0.4 s for each of two responses.
	MaxAge = 2500 * time.Millisecond
	// readersPerRound is how many agents are asked at a time. minRound and maxRound bound the exponential backoff between
	// the rounds, so that an entry asks for one read a second in a long outage, however many agents it has.
	readersPerRound = 2
	minRound        = 250 * time.Millisecond
	maxRound        = 2 * time.Second
)

// Readers chooses the agents that read the store for an entry whose knowledge is old: the entry may be cut off from the
// store while they are not. One that succeeded is asked again first; otherwise they take turns, in rounds that go through
// the data centres, because the agents of one may be cut off together.
type Readers struct {
	askedAt  time.Time
	interval time.Duration   // until the next round
	asked    map[string]bool // the agents that have had their turn
	reader   string          // the latest one that succeeded; empty if it has been asked again since
}

// Succeeded records that an agent has read the store.
func (r *Readers) Succeeded(agent string) { r.reader, r.interval = agent, 0 }

// Next returns the agents to ask now, given the age of the entry's knowledge and the data centres of its agents by name.
func (r *Readers) Next(now time.Time, age time.Duration, agents map[string]string) []string {
	if age <= MaxAge {
		r.interval = 0
		return nil
	}
	if len(agents) == 0 || now.Sub(r.askedAt) < r.interval {
		return nil
	}
	r.askedAt, r.interval = now, min(max(2*r.interval, minRound), maxRound)
	if reader := r.reader; reader != "" {
		r.reader = ""
		if _, ok := agents[reader]; ok {
			return []string{reader}
		}
	}
	asked := map[string]bool{}
	var waiting, others []string
	for _, name := range alternate(agents) {
		if r.asked[name] {
			asked[name] = true
			others = append(others, name)
		} else {
			waiting = append(waiting, name)
		}
	}
	if len(waiting) < readersPerRound {
		asked = map[string]bool{} // those that are added begin the next turns
	}
	chosen := slices.Concat(waiting, others)
	chosen = chosen[:min(readersPerRound, len(chosen))]
	for _, name := range chosen {
		asked[name] = true
	}
	r.asked = asked
	return chosen
}

// alternate returns the agents ordered so that the data centres take turns.
func alternate(agents map[string]string) []string {
	names := slices.Sorted(maps.Keys(agents))
	turns, next := map[string]int{}, map[string]int{}
	for _, name := range names {
		turns[name] = next[agents[name]]
		next[agents[name]]++
	}
	slices.SortStableFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(turns[a], turns[b]), cmp.Compare(agents[a], agents[b]))
	})
	return names
}
