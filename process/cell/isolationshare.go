package cell

import (
	"slices"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// Isolated tasks may occupy all workers that a step may run on: those of its upstream, with its label,
// or all that are in order in a small fleet. Tasks that last would then hold its accepted work up for
// isolationEndsAfter. So once a step has waited for isolationPatience and no other worker could take
// it, even if empty, it may share the workers whose isolated tasks have run well for as long.

// maxShareChecks bounds the steps of a round for which all workers are looked at.
const maxShareChecks = 8

// noteIsolated lets isolated workers be shared for a while if only these could take the step, which
// has waited for long.
func (c *Cell) noteIsolated(r *round, s *step) {
	if len(r.isolatedReady) == 0 || r.shareChecks >= maxShareChecks || r.now.Sub(s.waitingSince) < isolationPatience {
		return
	}
	r.shareChecks++
	if c.fitsIsolated(r, s) && !c.fitsReady(r, s) {
		c.sharedUntil = r.now.Add(isolationPatience)
	}
}

// fitsIsolated reports whether a task of the step could be placed now on a worker with isolated tasks
// that run well.
func (c *Cell) fitsIsolated(r *round, s *step) bool {
	upstream := c.upstreamOf(s.occ.job)
	return slices.ContainsFunc(r.isolatedReady, func(w *Worker) bool {
		return s.eligible(r.now, upstream, w) && !s.advice.refused(w) && fits(&s.spec.Need, &w.freeCapacity) && w.isolatedRunWell(r.now)
	})
}

// fitsReady reports whether the step could be placed on the workers that run no isolated tasks once
// those of their tasks that don't last have ended.
func (c *Cell) fitsReady(r *round, s *step) bool {
	upstream := c.upstreamOf(s.occ.job)
	wanted := s.wantedAtOnce()
	for _, w := range r.ready {
		if s.eligible(r.now, upstream, w.Worker) && !s.advice.refused(w.Worker) {
			wanted -= min(s.slotsIn(w.freeBesideLasting()), s.perWorkerBound())
		}
		if wanted <= 0 {
			return true
		}
	}
	return false
}

// freeBesideLasting returns the capacity that long-running tasks leave on w.
func (w *Worker) freeBesideLasting() resource.Amount {
	free := w.freeCapacity
	for _, r := range w.runList {
		if !r.task.step.spec.LongRunning {
			free = free.Add(r.task.step.spec.Need)
		}
	}
	return free
}

// takesOthers reports whether w is to take other work although it runs isolated tasks.
func (c *Cell) takesOthers(now time.Time, w *Worker) bool {
	return c.sharedUntil.After(now) && w.isolatedRunWell(now)
}

// isolatedRunWell reports whether all runs on w have gone on for isolationPatience, and none of a task
// that certainly crashes its workers is among them.
func (w *Worker) isolatedRunWell(now time.Time) bool {
	return len(w.runList) > 0 && !slices.ContainsFunc(w.runList, func(r *Run) bool {
		return !r.startedWell(now) || now.Sub(r.sentAt) < isolationPatience || crashesAlone(r.task.crashes)
	})
}
