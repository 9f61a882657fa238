package cell

import (
	"fmt"
	"time"
)

// placementView counts the workers that pass each condition of placing a step, in turn, and the
// tasks of the step that fit there.
type placementView struct {
	// wanted is how many tasks have to fit at once.
	wanted                                                int
	workers, usable, avoided, eligible, advised, ticketed int
	// refused counts the eligible workers that advice doesn't allow, unknown those on which none is
	// known.
	refused, unknown int
	// whenEmpty counts the tasks that fit on the eligible workers if they are empty, free those that
	// fit now, freeAllowed those of them on workers that advice allows, and slots those of them on
	// workers with a valid ticket.
	whenEmpty, free, freeAllowed, slots int
	// reserved counts the slots on workers that are reserved for other steps, kept those of them that
	// the step can't take, and isolated the slots on workers that run tasks apart from others.
	reserved, kept, isolated int
}

// viewPlacement counts the workers on which the step could be placed.
func (c *Cell) viewPlacement(now time.Time, s *step) placementView {
	v := placementView{wanted: s.wantedAtOnce(), workers: len(c.workerOrder)}
	upstream := c.upstreamOf(s.occ.job)
	for _, w := range c.workerOrder {
		if w.usable(now) {
			v.usable++
		}
		switch {
		case !c.acceptsWork(now, w) || !s.matches(upstream, w):
		case s.avoids(now, w):
			v.avoided++
			v.whenEmpty += s.slotsIn(w.Capacity)
		default:
			c.viewWorker(now, s, w, &v)
		}
	}
	return v
}

// viewWorker adds an eligible worker to the view.
func (c *Cell) viewWorker(now time.Time, s *step, w *Worker, v *placementView) {
	free := max(0, min(s.slotsIn(w.free()), s.perWorkerBound()-s.runsOn(w)))
	v.eligible++
	v.whenEmpty += s.slotsIn(w.Capacity)
	v.free += free
	if !s.advice.allows(s, w) {
		if s.advice.refused(w) {
			v.refused++
		} else {
			v.unknown++
		}
		return
	}
	v.advised++
	v.freeAllowed += free
	if !c.hasTicket(now, s, w) {
		return
	}
	v.ticketed++
	v.slots += free
	reserved := w.reserved.round == c.rounds && w.reserved.step != s
	if reserved {
		v.reserved += free
	}
	switch {
	case w.isolated(now):
		v.isolated += free
	case reserved && (s.spec.Gang || !s.endsWithin(maxTime(w.lastEndEstimate(now), w.reserved.from).Sub(now))):
		v.kept += free
	}
}

// wantedAtOnce returns how many tasks of the step have to be placed together.
func (s *step) wantedAtOnce() int {
	if s.spec.Gang {
		return len(s.tasks)
	}
	return 1
}

// String returns the view as it appears in logs.
func (v placementView) String() string {
	return fmt.Sprintf("of %d workers %d usable, %d avoided after failed starts, %d eligible, %d advised, %d with a ticket; capacity for %d of %d tasks, %d of it reserved for other steps; "+
		"free for %d without regard to tickets, for %d without regard to advice, which is unknown on %d",
		v.workers, v.usable, v.avoided, v.eligible, v.advised, v.ticketed, v.slots, v.wanted, v.reserved, v.freeAllowed, v.free, v.unknown)
}
