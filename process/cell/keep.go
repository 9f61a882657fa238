package cell

import (
	"slices"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// Work beyond its team's guaranteed share, and work whose result is of no use any more, leaves
// capacity to the work within guaranteed shares that waits. What is kept for a step is what it could
// start there now or soon: capacity that its tasks can't use, because of a label, a limit per worker,
// their size beside what lasts or their team's quota, is of no use to it, however long it waits.
//
// Load pattern: in most rounds all free capacity together is more than what waits, and no worker is
// looked at.

const (
	// keepTime is how soon a run must be expected to end whose capacity is kept for a step that waits.
	keepTime = 2 * time.Second
	// maxKeptFor bounds the steps of a round that capacity is kept for. They are the first ones in the
	// order of placement, and the next round begins within a few milliseconds.
	maxKeptFor = 32
)

// missedStep is a step within its team's guaranteed share of which tasks could not be placed.
type missedStep struct {
	step  *step
	tasks int
}

// kept is the capacity of a worker that is kept in a round for steps that wait.
type kept struct {
	round  uint64
	amount resource.Amount
}

// besideKept returns the workers on which a task of the step can be placed beside what is kept for
// others: all of them, for a step within its team's guaranteed share.
func (c *Cell) besideKept(r *round, u waitingStep, workers []*Worker) []*Worker {
	need := u.step.spec.Need
	if u.tier < overShare || len(workers) == 0 || r.totalFreeCPU-need.MilliCPU >= r.guaranteedCPU {
		return workers
	}
	for ; r.keptFor < min(len(r.guaranteed), maxKeptFor); r.keptFor++ {
		c.keepFor(r, r.guaranteed[r.keptFor])
	}
	return slices.DeleteFunc(workers, func(w *Worker) bool {
		free := w.freeBesideKept(r)
		return !fits(&need, &free)
	})
}

// freeBesideKept returns the free capacity of w less what is kept for steps that wait.
func (w *Worker) freeBesideKept(r *round) resource.Amount {
	if w.kept.round != r.number {
		return w.freeCapacity
	}
	return w.freeCapacity.Sub(w.kept.amount).Max(resource.Amount{})
}

// keepFor keeps capacity for the tasks of a step that could be started soon.
func (c *Cell) keepFor(r *round, missed missedStep) {
	s := missed.step
	upstream, left := c.upstreamOf(s.occ.job), c.withinQuota(s, missed.tasks)
	if s.spec.Gang && left < len(s.tasks) {
		return
	}
	var found []workerSlots
	for _, rw := range r.ready {
		w := rw.Worker
		if left <= 0 {
			break
		}
		if !s.eligible(r.now, upstream, w) || s.advice.refused(w) {
			continue
		}
		if n := min(s.slotsIn(w.soonBesideKept(r)), s.perWorkerBound()-s.runsOn(w), left); n > 0 {
			found = append(found, workerSlots{worker: w, tasks: n})
			left -= n
		}
	}
	if s.spec.Gang && left > 0 {
		return
	}
	for _, slot := range found {
		slot.worker.keep(r, s.spec.Need.Times(int64(slot.tasks)))
	}
}

// soonBesideKept returns the capacity of w that is expected to be free soon, less what is kept.
func (w *Worker) soonBesideKept(r *round) resource.Amount {
	soon := w.expectedFree(r.now.Add(keepTime))
	if w.kept.round == r.number {
		soon = soon.Sub(w.kept.amount)
	}
	return soon
}

func (w *Worker) keep(r *round, amount resource.Amount) {
	if w.kept.round != r.number {
		w.kept = kept{round: r.number}
	}
	w.kept.amount = w.kept.amount.Add(amount)
}

// withinQuota returns how many of a number of tasks of s the quota of its team allows beside what that
// has running.
func (c *Cell) withinQuota(s *step, tasks int) int {
	limit, bounded := c.capOf(s.occ.job.Team)
	if !bounded {
		return tasks
	}
	have, need := limit.Sub(c.usage[s.occ.job.Team]).Vector(), s.spec.charge().Vector()
	bounds := limit.Vector()
	for d := range have {
		if bounds[d] > 0 && need[d] > 0 {
			tasks = min(tasks, int(max(0, have[d])/need[d]))
		}
	}
	return tasks
}
