package allotment

import (
	"math/big"
	"math/bits"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/version"
)

// grant is an amount under the limit at which it was written. Both are zero in
// dimensions that weren't limited then.
type grant struct {
	Amount resource.Amount `json:"amount"`
	Limit  resource.Amount `json:"limit"`
}

// entry is one incarnation's part of a team's row.
type entry struct {
	Incarnation string `json:"incarnation"`
	grant
	// Want is what the incarnation was refused in the period between two steps that
	// ended with its last write.
	Want resource.Amount `json:"want,omitzero"`
}

// row is the value of allotment/<team>.
type row struct {
	Entries []entry `json:"entries"`
}

// own returns the incarnation's entry and the entries of the others.
func (r row) own(incarnation string) (entry, []entry) {
	mine := entry{Incarnation: incarnation}
	others := make([]entry, 0, len(r.Entries))
	for _, e := range r.Entries {
		if e.Incarnation == incarnation {
			mine = e
			continue
		}
		others = append(others, e)
	}
	return mine, others
}

// at returns what the grant allows under a limit.
func (g grant) at(limit resource.Amount) resource.Amount {
	amount, oldLimit, newLimit := g.Amount.Vector(), g.Limit.Vector(), limit.Vector()
	for d := range amount {
		amount[d] = scale(amount[d], oldLimit[d], newLimit[d])
	}
	return resource.FromVector(amount)
}

// scale returns floor(amount*newLimit/oldLimit) if newLimit is the lower one, otherwise
// amount. It returns NoLimit if the new limit is NoLimit.
func scale(amount, oldLimit, newLimit int64) int64 {
	switch {
	case newLimit >= version.NoLimit:
		return version.NoLimit
	case amount <= 0 || newLimit <= 0:
		return 0
	case newLimit >= oldLimit:
		return amount
	}
	hi, lo := bits.Mul64(uint64(amount), uint64(newLimit))
	quotient, _ := bits.Div64(hi, lo, uint64(oldLimit))
	return int64(quotient)
}

// available returns the largest amount under limit with which the shares of the row
// add up to at most one.
func available(others []entry, limit resource.Amount) resource.Amount {
	free := limit.Vector()
	for d := range free {
		if free[d] < version.NoLimit {
			free[d] = availableIn(others, resource.Dimension(d), free[d])
		}
	}
	return resource.FromVector(free)
}

func availableIn(others []entry, d resource.Dimension, limit int64) int64 {
	free := limit
	for _, o := range others {
		amount, old := o.Amount.Vector()[d], o.Limit.Vector()[d]
		if amount > 0 && old != limit {
			return availableAcrossLimits(others, d, limit)
		}
		free -= amount
	}
	return max(free, 0)
}

// availableAcrossLimits is availableIn for grants that were written under different
// limits.
func availableAcrossLimits(others []entry, d resource.Dimension, limit int64) int64 {
	free := big.NewRat(1, 1)
	for _, o := range others {
		amount, old := o.Amount.Vector()[d], o.Limit.Vector()[d]
		if amount > 0 && old > 0 {
			free.Sub(free, big.NewRat(amount, old))
		}
	}
	if free.Sign() <= 0 {
		return 0
	}
	free.Mul(free, big.NewRat(limit, 1))
	return new(big.Int).Quo(free.Num(), free.Denom()).Int64()
}

// demand is a team's demand at this entry.
type demand struct {
	used resource.Amount
	// peak is the largest use since the last plan.
	peak resource.Amount
	// want is what was refused since the last plan.
	want resource.Amount
	// base is the base share, which is granted without demand while no other entry
	// has unmet demand.
	base resource.Amount
	// idle is set if nothing was refused for idleAfter; no headroom is kept then.
	idle bool
}

// headroomDivisor sets the headroom: the use divided by it is granted on top of the
// use.
const headroomDivisor = 4

// plan returns the grant that this entry should have, and the ceiling above which it
// accepts no new work even within its grant.
//
// In a dimension in which other entries have unmet demand, each entry with unmet demand
// gets at most an equal part of what the rest leave.
func plan(dm demand, others []entry, limit resource.Amount) (grant, resource.Amount) {
	used, peak, want := dm.used.Vector(), dm.peak.Vector(), dm.want.Vector()
	base := dm.base.Vector()
	limits, free := limit.Vector(), available(others, limit).Vector()
	var next, ceiling [resource.Dimensions]int64
	for d := range limits {
		if limits[d] >= version.NoLimit {
			ceiling[d] = version.NoLimit
			continue
		}
		target := peak[d] + want[d]
		if !dm.idle {
			target += (peak[d] + headroomDivisor - 1) / headroomDivisor
		}
		ceiling[d] = limits[d]
		if part, contested := fairShare(others, resource.Dimension(d), limit); contested {
			target = min(target, part)
			ceiling[d] = part
		} else {
			target = max(target, base[d])
		}
		next[d] = min(max(target, used[d]), free[d])
	}
	return grant{Amount: resource.FromVector(next), Limit: limitedOnly(limit)}, resource.FromVector(ceiling)
}

// baseOf returns the base share that one of n entries has of a limit.
func baseOf(limit resource.Amount, n int) resource.Amount {
	if n <= 0 {
		return resource.Amount{}
	}
	v := limitedOnly(limit).Vector()
	for d := range v {
		v[d] /= int64(n) * baseDivisor
	}
	return resource.FromVector(v)
}

// limitedOnly returns the limit with zero in the dimensions that aren't limited.
func limitedOnly(limit resource.Amount) resource.Amount {
	v := limit.Vector()
	for d := range v {
		if v[d] >= version.NoLimit {
			v[d] = 0
		}
	}
	return resource.FromVector(v)
}

// fairShare divides the limit, less the grants of entries without unmet demand, equally
// among this entry and those with unmet demand, and returns one part. It returns false
// if no other entry has unmet demand.
func fairShare(others []entry, d resource.Dimension, limit resource.Amount) (int64, bool) {
	left := limit.Vector()[d]
	parts := int64(1)
	for _, o := range others {
		if o.Want.Vector()[d] > 0 {
			parts++
			continue
		}
		left -= o.at(limit).Vector()[d]
	}
	return max(left/parts, 1), parts > 1
}

// needsWrite reports whether the row should be written: the grant grows, the limit
// changed, the unmet demand changed from zero or to zero, or the grant shrinks by more
// than the headroom or while other entries have unmet demand.
func needsWrite(old entry, next grant, want resource.Amount, others []entry) bool {
	if old.Limit != next.Limit && !old.Amount.IsZero() || old.Want.IsZero() != want.IsZero() {
		return true
	}
	oldAmount, nextAmount := old.Amount.Vector(), next.Amount.Vector()
	for d := range oldAmount {
		shrink := oldAmount[d] - nextAmount[d]
		contested := false
		for _, o := range others {
			contested = contested || o.Want.Vector()[d] > 0
		}
		if shrink < 0 || shrink > oldAmount[d]/headroomDivisor || shrink > 0 && contested {
			return true
		}
	}
	return false
}
