package cell

import (
	"fmt"
	"slices"
	"time"
)

const (
	// explainEvery is the interval between notes about the longest-waiting step.
	explainEvery = 2 * time.Second
	// explainAfter is how long a step must have waited before it is noted.
	explainAfter = 2 * time.Second
)

// explain notes, every explainEvery, why the longest-waiting step can't be placed.
func (c *Cell) explain(now time.Time) {
	if c.catalog == nil || now.Sub(c.explainedAt) < explainEvery {
		return
	}
	c.explainedAt = now
	waiting := c.waiting(now)
	if len(waiting) == 0 {
		return
	}
	longest := slices.MinFunc(waiting, func(a, b waitingStep) int { return a.step.waitingSince.Compare(b.step.waitingSince) })
	s := longest.step
	waited := now.Sub(s.waitingSince)
	if waited < explainAfter {
		return
	}
	job := s.occ.job
	c.note(Note{
		Kind: NoteStepWaiting, Job: job.ID, Team: job.Team, Task: s.name(), Age: now.Sub(s.occ.due), Wait: waited,
		Runs: len(waiting), Reason: fmt.Sprintf("%s; team %s; %s", longest.tier, longest.standing, c.whyWaits(now, s)),
	})
}

// whyWaits explains why the step can't be placed: the team's quota is used up, or how
// many workers pass each placement condition in turn.
func (c *Cell) whyWaits(now time.Time, s *step) string {
	job := s.occ.job
	if !c.withinCap(job.Team, s.spec.charge().Times(int64(s.wantedAtOnce()))) {
		return fmt.Sprintf("the team's quota is used up: %+v in use", c.usage[job.Team])
	}
	isolation := ""
	if c.lastIsolation != "" {
		isolation = "; " + c.lastIsolation
	}
	return fmt.Sprintf("%s; advice requests in flight: %d; %d starts in progress, limit %.0f%s",
		c.viewPlacement(now, s), s.advice.calls, len(c.starts.inProgress), c.starts.limit, isolation)
}
