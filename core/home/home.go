// Package home decides which entry dispatches to the backend server of an agent.
//
// Each agent has one entry as its home, so that an entry knows exactly what is free on its backend servers. Agents choose
// independently of each other. Every agent ranks the entries by the same function of names and weights, so that agents
// are distributed over the entries by weight, and few agents move when an entry joins or leaves. The package is called by
// batchagent.
//
// Agents stay in their data centre as far as its entries have the weight to serve them. The callers of a data centre
// use its own entries, however small these are. Entries with little processor time that also dispatched to all agents of
// their data centre would be late in both. So if the entries of a data centre have less than its share of the region's
// weight, some of its agents choose entries of data centres that have more than theirs.
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
	Weight     float64 // share of the agents relative to other entries; the fraction of a core that the entry has
}

// minWeight keeps entries without weight in the ranking.
const minWeight = 1e-3

// Rank orders entries by how well they suit an agent: first those of its data centre, if these have the weight to
// serve it, then the others of its region, then the rest, and within each of these groups by weighted rendezvous
// hashing.
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
