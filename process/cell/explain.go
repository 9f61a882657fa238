package cell

import (
	"fmt"
	"time"
)

const (
	// explainEvery is the period of the note on the step that has waited longest.
	explainEvery = 2 * time.Second
	// explainAfter is how long a step must have waited for a note.
	explainAfter = 2 * time.Second
)

// explain notes why the job that has waited longest waits.
func (c *Cell) explain(now time.Time) {
	if now.Sub(c.explainedAt) < explainEvery {
		return
	}
	c.explainedAt = now
	var oldest *step
	waiting := c.waiting(now)
	for _, u := range waiting {
		if oldest == nil || u.step.occ.due.Before(oldest.occ.due) {
			oldest = u.step
		}
	}
	if oldest == nil || now.Sub(oldest.occ.due) < explainAfter {
		return
	}
	job := oldest.occ.job
	c.note(Note{
		Kind: NoteWaits, Job: job.ID, Team: job.Team, Task: oldest.name(), Age: now.Sub(oldest.occ.due),
		Runs: len(waiting), Reason: c.whyWaits(now, oldest),
	})
}

// whyWaits counts the workers that each condition leaves.
func (c *Cell) whyWaits(now time.Time, s *step) string {
	job := s.occ.job
	count := 1
	if s.spec.Gang {
		count = len(s.tasks)
	}
	if !c.withinCap(job.Team, s.spec.charge().Times(int64(count))) {
		return fmt.Sprintf("the team's cap is reached: %+v run", c.usage[job.Team])
	}
	var usable, allowed, good, ticket, room int
	for _, w := range c.workerOrder {
		if w.usable(now) {
			usable++
		}
		if !c.acceptsWork(now, w) || w.Upstream != c.upstreamOf(job) || !s.spec.labelMatches(w) {
			continue
		}
		allowed++
		if s.advice.allows(s, w) {
			good++
		}
		if !c.hasTicket(now, s, w) {
			continue
		}
		ticket++
		room += s.slotsIn(w.free())
	}
	return fmt.Sprintf("of %d workers %d answer, %d allowed, %d advised, %d with a ticket; room for %d of %d tasks; calls for advice: %d",
		len(c.workerOrder), usable, allowed, good, ticket, room, count, s.advice.calls)
}
