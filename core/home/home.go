// Package home decides which entry dispatches to the backend server of an agent.
//
// Each agent has one home, so that an entry knows exactly what is free on its backend servers. Agents choose
// on their own: the order of the entries is the same for everyone and follows their names, so that agents
// spread over the entries of their region by weight, and few move when an entry comes or goes. Data centres do not
// count: the callers of each come to its own entries, which may be small, and a message between two data centres of a
// region takes less time than a small entry that also dispatches. The package is called by batchagent.
package home

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
)

// Entry is an entry that an agent may choose.
type Entry struct {
	Name    string
	Address string // of its inner protocol
	Region  string
	Weight  float64 // share of the agents relative to other entries; the share of a core that it has
}

// Rank orders entries by how well they suit an agent: those of its region first, within a region by weighted
// rendezvous hashing.
func Rank(agent, region string, entries []Entry) []Entry {
	ranked := slices.Clone(entries)
	slices.SortFunc(ranked, func(a, b Entry) int {
		return cmp.Or(
			cmp.Compare(distance(a, region), distance(b, region)),
			cmp.Compare(score(agent, b), score(agent, a)),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return ranked
}

func distance(e Entry, region string) int {
	if e.Region == region {
		return 0
	}
	return 1
}

func score(agent string, e Entry) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(agent + "\x00" + e.Name)) // a hash accepts every write
	x := h.Sum64()
	// FNV leaves the high bits of similar texts similar.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	uniform := (float64(x>>11) + 0.5) / (1 << 53)
	return -max(e.Weight, 1e-3) / math.Log(uniform)
}
