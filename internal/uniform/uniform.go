// Package uniform maps strings to uniformly distributed numbers, so that all processes derive the same random choice
// without communicating.
package uniform

import "hash/fnv"

// FromString returns a number between 0 and 1, both excluded. Equal strings give equal numbers; the numbers of
// different strings are distributed as if they were independent.
func FromString(text string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text)) // a hash accepts every write
	x := h.Sum64()
	// The high bits of the FNV hashes of similar strings are similar. This is the finalizer of MurmurHash3, which mixes
	// them.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return (float64(x>>11) + 0.5) / (1 << 53)
}
