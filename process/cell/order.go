package cell

import (
	"cmp"
	"slices"
	"time"
)

// tier groups what waits; lower ones come first.
type tier int

const (
	// owed work can still meet its objective.
	owed tier = iota
	// late work has missed its objective and is of some use still. It yields to what
	// can be in time: else, once load is above the room, all work would be late.
	late
	// surplus work is beyond its team's weight.
	surplus
	// expired work comes too late to be of use.
	expired
)

// unit is a step that waits, with its place in the order.
type unit struct {
	step *step
	tier tier
	// priority is that of the job's queue; 0 comes first.
	priority int
	// latest is the last moment at which starting meets the objective.
	latest time.Time
}

// waiting returns the steps with tasks to place, in the order in which they are
// to be placed.
func (c *Cell) waiting(now time.Time) []unit {
	var units []unit
	for _, job := range c.live {
		if job.outcome.Ended() {
			continue
		}
		for _, o := range job.occs {
			units = o.appendWaiting(now, units)
		}
	}
	slices.SortStableFunc(units, compareUnits)
	return units
}

func (o *occurrence) appendWaiting(now time.Time, units []unit) []unit {
	var u unit
	for _, s := range o.steps {
		if !s.waits(now) || !s.ready() {
			continue
		}
		if u.latest.IsZero() {
			u = o.turn(now)
		}
		u.step = s
		units = append(units, u)
	}
	return units
}

// waits reports whether a task of the step can be placed. All tasks of a gang
// must wait.
func (s *step) waits(now time.Time) bool {
	if s.done == len(s.tasks) {
		return false
	}
	for _, t := range s.tasks {
		if s.spec.Gang && t.current != nil {
			return false
		}
		if !s.spec.Gang && t.placeable(now) {
			return true
		}
	}
	return s.spec.Gang
}

// turn works out the place of an occurrence's steps.
func (o *occurrence) turn(now time.Time) unit {
	job := o.job
	u := unit{priority: job.Policy.Priority, latest: o.due.Add(job.objective() - o.chain())}
	switch {
	case o.hasLongRunning():
		// Its users wait for it at any time.
		u.latest = o.due
	case o.tooLate(now):
		u.tier = expired
	case job.Surplus:
		u.tier = surplus
	case u.latest.Before(now):
		u.tier = late
	}
	return u
}

// tooLate reports whether the occurrence can't be of use any more.
func (o *occurrence) tooLate(now time.Time) bool {
	return !o.hasLongRunning() && now.Add(o.chain()).After(o.due.Add(lateFactor*o.job.objective()))
}

func compareUnits(a, b unit) int {
	return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(a.priority, b.priority), a.latest.Compare(b.latest))
}
