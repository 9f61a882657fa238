package exchange

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Fanout is the number of entries that an entry calls each period.
const Fanout = 4

// successors returns the n members after self on the ring.
func successors(self string, members []Member, n int) []Member {
	own := ringPosition(self)
	others := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Instance == self })
	slices.SortFunc(others, func(a, b Member) int {
		return cmp.Or(
			cmp.Compare(ringPosition(a.Instance)-own, ringPosition(b.Instance)-own),
			cmp.Compare(a.Instance, b.Instance),
		)
	})
	return others[:min(n, len(others))]
}

// ringPosition returns the position of a name on the ring. Differences of positions
// wrap around.
func ringPosition(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return mix(h.Sum64())
}

// mix spreads the hashes of similar names over the ring.
//
// Source: the finalizer of MurmurHash3, Austin Appleby.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
