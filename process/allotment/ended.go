package allotment

import (
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// sweepEvery is the period of looking at all rows, for ended incarnations and for what
// others want.
const sweepEvery = 10 * time.Second

// fate is what becomes of an incarnation's grant.
type fate int

const (
	// fateKeep: the incarnation may still use it.
	fateKeep fate = iota
	// fateCover: it covers the work of the ended incarnation that others adopt.
	fateCover
	// fateFree: nothing of the ended incarnation runs any more.
	fateFree
)

// noteEnded notes the incarnations in the rows that have ended, and has all rows
// read again now and then. Call it while stepping.
func (l *Ledger) noteEnded(names []string, now time.Time) {
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

// fateOf returns what becomes of another incarnation's grant.
func (l *Ledger) fateOf(incarnation string, now time.Time) fate {
	at, ended := l.endedAt[incarnation]
	switch {
	case !ended:
		return fateKeep
	case l.omit.dropEnded:
		return fateFree
	case l.SettleAfter != nil && now.Sub(at) > l.SettleAfter():
		return fateFree
	default:
		return fateCover
	}
}

// settleEnded takes out of the grants of ended incarnations what this entry uses
// beyond its own grant, since that is work that it adopted of one of them, and
// drops grants that are free. The row's shares never grow by it, so that the room
// it leaves is this entry's to take.
func settleEnded(others []entry, uncovered, limit resource.Amount, fateOf func(string) fate) (left []entry, settled bool) {
	for _, e := range others {
		switch fateOf(e.Incarnation) {
		case fateFree:
			settled = true
			continue
		case fateCover:
			moved := uncovered.Min(e.at(limit)).Max(resource.Amount{})
			if !moved.IsZero() {
				e.grant = grant{Amount: e.at(limit).Sub(moved), Limit: counted(limit)}
				e.Want = resource.Amount{}
				uncovered = uncovered.Sub(moved)
				settled = true
			}
		}
		if !e.Amount.IsZero() || !e.Want.IsZero() {
			left = append(left, e)
		}
	}
	return left, settled
}
