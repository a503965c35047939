package rendezvous

import (
	"github.com/cespare/xxhash/v2"
)

// Seed returns the hash seed of a candidate's name. Callers should cache the seeds of
// long-lived candidates, since Score is on the packet path.
func Seed(name string) uint64 { return xxhash.Sum64String(name) }

// Score returns the weight of a candidate for a key. The candidate with the highest score
// ranks first; ties are broken by position.
func Score(seed, key uint64) uint64 {
	// Finalizer of MurmurHash3 (public domain), which spreads every input bit.
	h := seed ^ key
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return h
}

// Top2 returns the positions of the two candidates that rank first for a key,
// or -1 where there are too few. It does not allocate.
func Top2(seeds []uint64, key uint64) (first, second int) {
	first, second = -1, -1
	var best, next uint64
	for i, seed := range seeds {
		switch s := Score(seed, key); {
		case first < 0 || s > best:
			second, next = first, best
			first, best = i, s
		case second < 0 || s > next:
			second, next = i, s
		}
	}
	return first, second
}

// Top returns the positions of the n candidates that rank first for a key, in rank order.
func Top(seeds []uint64, key uint64, n int) []int {
	ranked := make([]int, 0, n)
	for i := range seeds {
		at := len(ranked)
		for at > 0 && Score(seeds[ranked[at-1]], key) < Score(seeds[i], key) {
			at--
		}
		if at >= n {
			continue
		}
		if len(ranked) < n {
			ranked = append(ranked, 0)
		}
		copy(ranked[at+1:], ranked[at:])
		ranked[at] = i
	}
	return ranked
}
