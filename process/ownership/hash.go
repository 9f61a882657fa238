package ownership

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"

	"github.com/kingcuplatch/kingcuplatch/process/platform"
)

// shardCount is the number of shards for the keys of jobs and requests.
const shardCount = 64

// shardNames holds the block IDs of all shards.
var shardNames = func() (names [shardCount]string) {
	for i := range names {
		names[i] = fmt.Sprintf("s/%02x", i)
	}
	return names
}()

// Shards returns the block IDs of all shards, sorted.
func Shards() []string { return slices.Clone(shardNames[:]) }

// ShardOf returns the block ID of the shard of a key.
func ShardOf(key string) string {
	return shardNames[score(key, "")%shardCount]
}

// WorkerBlock returns the ID of a worker's block, which is the worker itself or its rack.
func WorkerBlock(worker platform.Instance, perRack bool) string {
	if perRack {
		return "w/" + worker.FailureDomain + "/" + worker.Rack
	}
	return "w/" + worker.Name
}

// score returns the score of a pair in rendezvous hashing: FNV-1a with the
// finalizer of MurmurHash3, which distributes similar names evenly.
//
// Source: Thaler and Ravishankar, "A Name-Based Mapping Scheme for
// Rendezvous", 1996.
func score(key, candidate string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(candidate))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// ranked returns the members by descending score for key.
func ranked(key string, members []Member) []Member {
	all := slices.Clone(members)
	slices.SortFunc(all, func(a, b Member) int {
		return cmp.Or(
			cmp.Compare(score(key, b.Instance), score(key, a.Instance)),
			cmp.Compare(a.Instance, b.Instance),
		)
	})
	return all
}

// desiredOwner returns the live entry that should own the block: the one with the
// highest score, among those in the block's failure domain if there are any.
func desiredOwner(b Block, live []Member) (Member, bool) {
	var best Member
	var bestScore uint64
	var bestNear, found bool
	for _, m := range live {
		near := b.FailureDomain != "" && m.FailureDomain == b.FailureDomain
		s := score(b.ID, m.Instance)
		if found && (bestNear && !near || bestNear == near && bestScore >= s) {
			continue
		}
		best, bestScore, bestNear, found = m, s, near, true
	}
	return best, found
}

// witnessCount is the number of witnesses of an entry, if there are that many other
// entries.
const witnessCount = 2

// chooseWitnesses returns the witnesses that self should have: entries of its region
// by rendezvous hash, preferring failure domains that neither self nor an already
// chosen witness is in. Instances in excluded are not chosen.
func chooseWitnesses(self Member, others []Member, excluded map[string]bool) []Member {
	candidates := slices.DeleteFunc(ranked(self.Instance, others), func(m Member) bool {
		return m.Instance == self.Instance || m.Region != self.Region || excluded[m.Instance]
	})
	chosen := make([]Member, 0, witnessCount)
	used := map[string]bool{self.FailureDomain: true}
	for _, newDomain := range []bool{true, false} {
		for _, m := range candidates {
			if len(chosen) == witnessCount {
				return chosen
			}
			taken := slices.ContainsFunc(chosen, func(c Member) bool { return c.Instance == m.Instance })
			if taken || newDomain && used[m.FailureDomain] {
				continue
			}
			used[m.FailureDomain] = true
			chosen = append(chosen, m)
		}
	}
	return chosen
}

// watcherCount is the number of entries that watch an entry's row besides its
// witnesses.
const watcherCount = 2

// watches reports whether self watches row: it is a witness of the row's entry or
// one of the entry's watcherCount other watchers.
func watches(self Member, row entryRow, live []Member) bool {
	if row.Region != self.Region || row.Instance == self.Instance {
		return false
	}
	if slices.ContainsFunc(row.Witnesses, func(m Member) bool { return m.Instance == self.Instance }) {
		return true
	}
	n := 0
	for _, m := range ranked("watch/"+row.Instance, live) {
		if m.Instance == row.Instance {
			continue
		}
		if m.Instance == self.Instance {
			return true
		}
		if n++; n == watcherCount {
			return false
		}
	}
	return false
}
