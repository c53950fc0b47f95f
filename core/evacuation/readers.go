package evacuation

import (
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
// store while they are not. One that succeeded is asked again first; otherwise they take turns.
type Readers struct {
	askedAt  time.Time
	interval time.Duration // until the next round
	last     string        // the latest one whose turn it was
	reader   string        // the latest one that succeeded; empty if it has been asked again since
}

// Succeeded records that an agent has read the store.
func (r *Readers) Succeeded(agent string) { r.reader, r.interval = agent, 0 }

// Next returns the agents to ask now, given the age of the entry's knowledge and the names of its agents.
func (r *Readers) Next(now time.Time, age time.Duration, agents []string) []string {
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
		if slices.Contains(agents, reader) {
			return []string{reader}
		}
	}
	agents = slices.Sorted(slices.Values(agents))
	next, found := slices.BinarySearch(agents, r.last)
	if found {
		next++
	}
	var asked []string
	for i := range min(readersPerRound, len(agents)) {
		asked = append(asked, agents[(next+i)%len(agents)])
	}
	r.last = asked[len(asked)-1]
	return asked
}
