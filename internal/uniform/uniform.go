// Package uniform draws numbers from texts, so that every process draws the same without asking another one.
package uniform

import "hash/fnv"

// Of returns a number between 0 and 1, both excluded, that is the same for equal texts and independent for others.
func Of(text string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text)) // a hash accepts every write
	x := h.Sum64()
	// FNV leaves the high bits of similar texts similar.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return (float64(x>>11) + 0.5) / (1 << 53)
}
