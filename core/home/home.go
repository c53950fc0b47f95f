// Package home decides which entry dispatches to the backend server of an agent. That entry is the agent's home.
//
// Each agent has only one home, so that an entry knows exactly what is free on its backend servers. Agents choose
// independently of each other. Every agent ranks the entries by the same function of names and weights, so that agents
// are distributed over the entries by weight, and few agents move when an entry joins or leaves. The package is called
// by batchagent.
//
// Agents choose entries of their own data centre as long as the weight of these is sufficient. The callers of a data
// centre use its own entries, however small these are. If entries with little processor time also dispatched to all
// agents of their data centre, they would be late with both. So if the entries of a data centre have less than its
// share of the region's weight, some of its agents choose entries of data centres that have more than theirs.
package home

import (
	"cmp"
	"math"
	"slices"

	"dogwoodglade/internal/uniform"
)

// Entry is an entry that an agent may choose.
type Entry struct {
	Name       string
	Address    string // of its inner protocol
	Region     string // empty if unknown
	DataCentre string
	Weight     float64 // agents are distributed in proportion to it; the cores that the entry may use, often a fraction
}

// minWeight is the least factor on the weight of an entry, and its square is the least weight, so that an entry with
// little or no weight stays in the ranking.
const minWeight = 1e-3

// Rank orders the entries by preference of an agent: first those of its data centre, unless their weight is too small
// to serve this agent as well, then the others of its region, then the rest. Each of these groups is ordered by
// weighted rendezvous hashing.
func Rank(agent, region, dataCentre string, entries []Entry) []Entry {
	weights := map[string]float64{} // weight by data centre of the region
	regionWeight := 0.0
	for _, e := range entries {
		if e.Region == region {
			weights[e.DataCentre] += e.Weight
			regionWeight += e.Weight
		}
	}
	// The agents of a region are assumed to be spread evenly over its data centres.
	fairWeight := regionWeight / float64(max(len(weights), 1))
	stays := uniform.FromString(agent) < weights[dataCentre]/fairWeight
	tier := func(e Entry) int {
		switch {
		case e.Region != region:
			return 2
		case stays && e.DataCentre == dataCentre:
			return 0
		}
		return 1
	}
	weight := func(e Entry) float64 {
		if tier(e) == 1 {
			// Only the weight above the data centre's share counts for agents from elsewhere.
			return e.Weight * max(1-fairWeight/weights[e.DataCentre], minWeight)
		}
		return e.Weight
	}
	ranked := slices.Clone(entries)
	slices.SortFunc(ranked, func(a, b Entry) int {
		return cmp.Or(
			cmp.Compare(tier(a), tier(b)),
			cmp.Compare(score(agent, b.Name, weight(b)), score(agent, a.Name, weight(a))),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return ranked
}

func score(agent, entry string, weight float64) float64 {
	return -max(weight, minWeight*minWeight) / math.Log(uniform.FromString(agent+"\x00"+entry))
}
