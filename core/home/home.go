// Package home decides which entry dispatches to the backend server of an agent.
//
// Each agent has one home, so that an entry knows exactly what is free on its backend servers. Agents choose
// on their own: the order of the entries is the same for everyone and follows their names, so that agents
// spread over the entries by weight, and few move when an entry comes or goes. The package is called by batchagent.
//
// Agents stay in their data centre as far as its entries can serve them. Callers of a data centre come to its own
// entries whatever their size; entries with little processor time that also dispatched to all agents of their data
// centre would be late with both. So from a data centre whose entries have less than their share of the region's
// weight a part of the agents goes to those that have more.
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
	Region     string // empty if it is not known
	DataCentre string
	Weight     float64 // share of the agents relative to other entries; the share of a core that it has
}

// minWeight keeps entries without weight in the order.
const minWeight = 1e-3

// Rank orders entries by how well they suit an agent: those of its region first, then those of its data centre if
// these have the weight for it, then by weighted rendezvous hashing.
func Rank(agent, region, dataCentre string, entries []Entry) []Entry {
	totals := map[string]float64{} // by data centre of the region
	sum := 0.0
	for _, e := range entries {
		if e.Region == region {
			totals[e.DataCentre] += e.Weight
			sum += e.Weight
		}
	}
	// The agents of a region are taken as spread evenly over its data centres.
	fair := sum / float64(max(len(totals), 1))
	stays := uniform.Of(agent) < totals[dataCentre]/fair
	group := func(e Entry) int {
		switch {
		case e.Region != region:
			return 2
		case stays && e.DataCentre == dataCentre:
			return 0
		}
		return 1
	}
	weight := func(e Entry) float64 {
		if group(e) == 1 {
			// What its data centre has beyond its share.
			return e.Weight * max(1-fair/totals[e.DataCentre], minWeight)
		}
		return e.Weight
	}
	ranked := slices.Clone(entries)
	slices.SortFunc(ranked, func(a, b Entry) int {
		return cmp.Or(
			cmp.Compare(group(a), group(b)),
			cmp.Compare(score(agent, b.Name, weight(b)), score(agent, a.Name, weight(a))),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return ranked
}

func score(agent, entry string, weight float64) float64 {
	return -max(weight, minWeight*minWeight) / math.Log(uniform.Of(agent+"\x00"+entry))
}
