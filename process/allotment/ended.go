package allotment

import (
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// sweepEvery is the period of reading all rows, to find ended incarnations and the
// demand of other entries.
const sweepEvery = 10 * time.Second

// disposition is what happens to another incarnation's grant.
type disposition int

const (
	// dispositionKeep: the incarnation may still use it.
	dispositionKeep disposition = iota
	// dispositionCover: it covers work of the ended incarnation that other entries
	// adopt.
	dispositionCover
	// dispositionFree: no work of the ended incarnation runs any more.
	dispositionFree
)

// recordEnded records when incarnations in the rows are first seen to have ended, and
// marks all rows stale once per sweepEvery. The caller holds l.stepping.
func (l *Ledger) recordEnded(names []string, now time.Time) {
	sweep := now.Sub(l.sweptAt) >= sweepEvery
	if sweep {
		l.sweptAt = now
	}
	var found []string
	for _, name := range names {
		l.with(name, func(t *team) {
			t.stale = t.stale || sweep
			for _, e := range t.row.Entries {
				if e.Incarnation != l.Incarnation {
					found = append(found, e.Incarnation)
				}
			}
		})
	}
	for _, incarnation := range found {
		if _, known := l.endedAt[incarnation]; !known && l.Ended(incarnation) {
			l.endedAt[incarnation] = now
		}
	}
}

// dispositionOf returns the disposition of another incarnation's grant.
func (l *Ledger) dispositionOf(incarnation string, now time.Time) disposition {
	at, ended := l.endedAt[incarnation]
	switch {
	case !ended:
		return dispositionKeep
	case l.omit.dropEnded:
		return dispositionFree
	case l.FreeEndedAfter != nil && now.Sub(at) > l.FreeEndedAfter():
		return dispositionFree
	default:
		return dispositionCover
	}
}

// reclaimEnded subtracts uncovered, which is what this entry uses beyond its own grant,
// from the grants of ended incarnations, since it is work adopted from one of them. It
// drops grants that are free. The shares of the row add up to no more than before when
// this entry's grant grows by the same amount. It reports whether any grant changed.
func reclaimEnded(others []entry, uncovered, limit resource.Amount, dispositionOf func(string) disposition) (remaining []entry, changed bool) {
	for _, e := range others {
		switch dispositionOf(e.Incarnation) {
		case dispositionFree:
			changed = true
			continue
		case dispositionCover:
			moved := uncovered.Min(e.at(limit)).Max(resource.Amount{})
			if !moved.IsZero() {
				e.grant = grant{Amount: e.at(limit).Sub(moved), Limit: limitedOnly(limit)}
				e.Want = resource.Amount{}
				uncovered = uncovered.Sub(moved)
				changed = true
			}
		}
		if !e.Amount.IsZero() || !e.Want.IsZero() {
			remaining = append(remaining, e)
		}
	}
	return remaining, changed
}
