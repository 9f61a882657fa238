package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/shares"
)

// tier is the first sort key of waiting steps; lower tiers come first.
type tier int

const (
	// guaranteed work is within its team's guaranteed share and can still meet its objective.
	guaranteed tier = iota
	// late work has missed its objective but is still of some use. It comes after work
	// that can be in time; otherwise all work would be late as soon as the load exceeds
	// the capacity.
	late
	// overShare work is beyond its team's guaranteed share.
	overShare
	// expired work can't finish before its result is of no use.
	expired
)

// String returns the tier as it appears in logs.
func (t tier) String() string {
	switch t {
	case guaranteed:
		return "within the guaranteed share"
	case late:
		return "late"
	case overShare:
		return "over the guaranteed share"
	default:
		return "expired"
	}
}

// waitingStep is a step that waits for placement, with its sort keys.
type waitingStep struct {
	step *step
	tier tier
	// priority is the priority of the job's queue; 0 comes first.
	priority int
	// standing is how the team stands to its share of contended capacity.
	standing shares.Standing
	// latest is the latest start time that meets the objective.
	latest time.Time
}

// waiting returns the steps with tasks to place, in placement order.
func (c *Cell) waiting(now time.Time) []waitingStep {
	var pending []waitingStep
	for _, job := range c.live {
		if job.outcome.Ended() {
			continue
		}
		for _, o := range job.occurrences {
			known := len(pending)
			pending = o.appendWaiting(now, pending)
			c.markStanding(now, job, pending[known:])
		}
	}
	slices.SortStableFunc(pending, compareWaiting)
	return pending
}

// markStanding sets the standing of a job's team on its steps.
func (c *Cell) markStanding(now time.Time, job *Job, steps []waitingStep) {
	for i := range steps {
		steps[i].standing = c.standing(now, job.Team)
	}
}

func (o *occurrence) appendWaiting(now time.Time, pending []waitingStep) []waitingStep {
	var u waitingStep
	for _, s := range o.steps {
		if !s.awaitsPlacement(now) || !s.ready() {
			continue
		}
		if u.latest.IsZero() {
			u = o.queuePosition(now)
		}
		if s.waitingSince.IsZero() {
			s.waitingSince = now
		}
		s.noteTurn(now)
		u.step = s
		pending = append(pending, u)
	}
	return pending
}

// awaitsPlacement reports whether a task of the step can be placed. For a gang, no
// task may have a run.
func (s *step) awaitsPlacement(now time.Time) bool {
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

// queuePosition returns the sort keys that the steps of an occurrence share.
func (o *occurrence) queuePosition(now time.Time) waitingStep {
	job := o.job
	u := waitingStep{tier: guaranteed, priority: job.Policy.Priority, latest: o.due.Add(job.objective() - o.criticalPath())}
	switch {
	case o.hasLongRunning():
		// Long-running tasks serve users all the time, so they are due at once.
		u.latest = o.due
	case o.tooLate(now):
		u.tier = expired
	case job.OverShare:
		u.tier = overShare
	case u.latest.Before(now):
		u.tier = late
	}
	return u
}

// tooLate reports whether the occurrence can no longer finish within deadlineFactor
// times its job's objective.
func (o *occurrence) tooLate(now time.Time) bool {
	return !o.hasLongRunning() && now.Add(o.criticalPath()).After(o.due.Add(deadlineFactor*o.job.objective()))
}

// compareWaiting orders waiting steps. The standing comes after the priority: urgent work of a team
// above its share is still more urgent than batch work of another. It comes before the latest start: a
// team with much work would else have the earliest ones.
func compareWaiting(a, b waitingStep) int {
	return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(a.priority, b.priority), cmp.Compare(a.standing, b.standing), a.latest.Compare(b.latest))
}
