// Package home decides which entry dispatches to the backend server of an agent. That entry is the agent's home.
//
// Each agent has only one home, so that an entry knows exactly what is free on its backend servers. Agents choose
// independently of each other. Every agent ranks the entries by the same function of names and weights, so that few
// agents move when an entry joins or leaves. The package is called by batchagent.
//
// Only some of the entries are homes: the dispatchers, which are the largest entries of the region (see dispatchers).
// The others accept callers and forward their jobs. A job whose tasks need several backend servers at once finds them
// sooner at an entry with many of them, and the load of a few large partitions is more even than that of many small
// ones. Agents are distributed over the dispatchers by weight, and prefer those of their own data centre as long as
// these have their share of the region's weight.
package home

import (
	"cmp"
	"math"
	"slices"

	"dogwoodglade/core/evacuation"
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

// WeightPlausible reports whether the weight can be that of an entry. Any other weight counts as 0.
func (e Entry) WeightPlausible() bool { return e.Weight >= 0 && e.Weight <= maxWeight }

const (
	// maxWeight is more cores than any host has.
	maxWeight = 4096
	// minWeight is the least factor on the weight of an entry, and its square is the least weight, so that an entry with
	// little or no weight stays in the ranking.
	minWeight = 1e-3
	// dispatcherShare is the least share of the region's weight that the dispatchers have. All entries accept callers;
	// dispatching takes about a quarter of the processor time of a region's entries.
	dispatcherShare = 0.25
)

// Rank orders the entries by preference of an agent: first the dispatchers of its data centre, unless their weight is
// too small to serve this agent as well, then the other dispatchers of its region, then the other entries of its region,
// then the rest. Each of these groups is ordered by weighted rendezvous hashing.
//
// The agents of evacuated data centres offer no capacity, so that the dispatchers there share those of the other data
// centres. Only as many agents change their home as these need; those of evacuated data centres keep theirs.
//
// An entry without a data centre serves the agents of all of them.
func Rank(agent, region, dataCentre string, evacuations evacuation.State, entries []Entry) []Entry {
	if evacuations.Has(dataCentre) {
		evacuations = evacuation.State{}
	}
	entries = slices.Clone(entries)
	for i, e := range entries {
		if !e.WeightPlausible() {
			entries[i].Weight = 0
		}
	}
	isDispatcher := dispatchers(region, entries)
	weights := map[string]float64{} // weight of the dispatchers by data centre of the region
	regionWeight := 0.0
	for _, e := range entries {
		if e.Region == region && e.DataCentre != "" {
			weights[e.DataCentre] += 0 // counts the data centre even if it has no dispatcher
		}
		if isDispatcher[e.Name] {
			weights[e.DataCentre] += e.Weight
			regionWeight += e.Weight
		}
	}
	// The agents of a region are assumed to be spread evenly over its data centres that are not evacuated.
	serving := 0
	for dataCentre := range weights {
		if dataCentre != "" && !evacuations.Has(dataCentre) {
			serving++
		}
	}
	fairWeight := regionWeight / float64(max(serving, 1))
	stays := dataCentre != "" && uniform.FromString(agent) < weights[dataCentre]/fairWeight
	tier := func(e Entry) int {
		switch {
		case e.Region != region:
			return 3
		case !isDispatcher[e.Name]:
			return 2
		case stays && e.DataCentre == dataCentre:
			return 0
		}
		return 1
	}
	weight := func(e Entry) float64 {
		if tier(e) == 1 && e.DataCentre != "" && !evacuations.Has(e.DataCentre) {
			// Only the weight above the data centre's share counts for agents from elsewhere.
			return e.Weight * max(1-fairWeight/weights[e.DataCentre], minWeight)
		}
		return e.Weight
	}
	slices.SortFunc(entries, func(a, b Entry) int {
		return cmp.Or(
			cmp.Compare(tier(a), tier(b)),
			cmp.Compare(score(agent, b.Name, weight(b)), score(agent, a.Name, weight(a))),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return entries
}

// dispatchers returns the names of the entries of a region that agents choose as their homes: the fewest, largest
// first, that have dispatcherShare of the region's weight. Of entries with the same weight, each data centre has one
// before any has two.
func dispatchers(region string, entries []Entry) map[string]bool {
	var candidates []Entry
	total := 0.0
	for _, e := range entries {
		if e.Region == region {
			candidates = append(candidates, e)
			total += e.Weight
		}
	}
	slices.SortFunc(candidates, func(a, b Entry) int {
		return cmp.Or(
			cmp.Compare(b.Weight, a.Weight),
			cmp.Compare(uniform.FromString(a.Name), uniform.FromString(b.Name)),
			cmp.Compare(a.Name, b.Name),
		)
	})
	type group struct {
		dataCentre string
		weight     float64
	}
	position := map[string]int{} // by name, among the entries of the same weight in the same data centre
	size := map[group]int{}
	for _, e := range candidates {
		g := group{e.DataCentre, e.Weight}
		position[e.Name] = size[g]
		size[g]++
	}
	slices.SortStableFunc(candidates, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(position[a.Name], position[b.Name]))
	})
	chosen := map[string]bool{}
	sum := 0.0
	for _, e := range candidates {
		if sum >= dispatcherShare*total && len(chosen) > 0 {
			break
		}
		chosen[e.Name] = true
		sum += e.Weight
	}
	return chosen
}

func score(agent, entry string, weight float64) float64 {
	return -max(weight, minWeight*minWeight) / math.Log(uniform.FromString(agent+"\x00"+entry))
}
