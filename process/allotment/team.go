package allotment

import (
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// maxCandidates is the largest number of candidate grants of a team: the confirmed one and
// those of writes whose outcome is unknown.
const maxCandidates = 8

// team is the state of one team. It is protected by the lock of its shard.
type team struct {
	// limit is the team's upper limit in the version in force.
	limit resource.Amount
	demand
	// refusedAt is when TryAcquire last refused an amount.
	refusedAt time.Time
	// ceiling is the amount above which nothing new is acquired, as of the last plan.
	ceiling resource.Amount
	// allotted is the least of what the candidates allow.
	allotted resource.Amount
	// bound is the limit that TryAcquire checks: the lesser of allotted and ceiling.
	bound resource.Amount
	// candidates are the confirmed grant and those of writes with unknown
	// outcome.
	candidates []grant
	// row is the row as last read or written; stale is set if it has to be read
	// before the next write.
	row     row
	version uint64
	stale   bool
	// closed is set once nothing may be acquired any more.
	closed bool
}

func (t *team) tryAcquire(a resource.Amount) bool {
	used := t.used.Add(a)
	if exceeds(used, t.bound, a) {
		t.want = t.want.Add(a).Min(t.limit)
		t.refusedAt = time.Now()
		return false
	}
	t.used = used
	t.peak = t.peak.Max(used)
	return true
}

// exceeds reports whether used is over bound in a dimension in which a is positive.
func exceeds(used, bound, a resource.Amount) bool {
	u, b, add := used.Vector(), bound.Vector(), a.Vector()
	for d := range u {
		if add[d] > 0 && u[d] > b[d] {
			return true
		}
	}
	return false
}

// recompute derives what the team may use from the candidates and the limit.
func (t *team) recompute(omit omissions) {
	from := t.candidates
	if omit.growFirst {
		from = from[len(from)-1:]
	}
	if omit.shrinkLate {
		from = from[:1]
	}
	t.allotted = grantAt(from[0], t.limit, omit)
	for _, g := range from[1:] {
		t.allotted = t.allotted.Min(grantAt(g, t.limit, omit))
	}
	t.bound = t.allotted.Min(t.ceiling)
}

// grantAt returns what the grant allows under the limit.
func grantAt(g grant, limit resource.Amount, omit omissions) resource.Amount {
	if omit.scale {
		return g.Amount
	}
	return g.at(limit)
}

// readBack applies the row. If its version has changed, no earlier write with an
// unknown outcome can still take effect, and the row shows which one did.
func (t *team) readBack(r row, version uint64, self string, omit omissions) {
	t.stale = false
	if version == t.version {
		return
	}
	mine, _ := r.own(self)
	t.row = r
	t.version = version
	t.candidates = []grant{mine.grant}
	t.recompute(omit)
}

// change plans one team's row. It returns false if there is nothing to write or
// if too many earlier writes have an unknown outcome.
func (t *team) change(self string, now time.Time, dispositionOf func(string, time.Time) disposition, omit omissions) (row, bool) {
	if len(t.candidates) >= maxCandidates {
		return row{}, false
	}
	t.idle = now.Sub(t.refusedAt) > idleAfter
	mine, others := t.row.own(self)
	uncovered := t.used.Sub(mine.at(t.limit)).Max(resource.Amount{})
	others, reclaimed := reclaimEnded(others, uncovered, t.limit, func(incarnation string) disposition { return dispositionOf(incarnation, now) })
	if t.closed {
		t.demand = demand{used: t.used, idle: true}
	}
	next, ceiling := plan(t.demand, others, t.limit)
	if t.closed {
		ceiling = resource.Amount{}
	}
	t.ceiling = ceiling
	write := reclaimed || len(t.candidates) > 1 || needsWrite(mine, next, t.want, others)
	if write {
		t.candidates = append(t.candidates, next)
	}
	t.recompute(omit)
	if !write {
		return row{}, false
	}
	return rowOf(others, entry{Incarnation: self, grant: next, Want: t.want}), true
}

// rowOf returns the row with this entry's part. The part is left out if it says nothing.
func rowOf(others []entry, mine entry) row {
	r := row{Entries: others}
	if !mine.Amount.IsZero() || !mine.Want.IsZero() {
		r.Entries = append(r.Entries, mine)
	}
	return r
}
