package cell

import (
	"slices"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// A capacityView is what a worker counts for in a check of whether a job fits; ok is false if
// the worker doesn't count.
type capacityView func(w *Worker) (capacity resource.Amount, ok bool)

// openCapacity counts the present capacity of the workers outside evacuated failure domains,
// presentCapacity that of all workers, and largestCapacity the largest one that each has had.
func (c *Cell) openCapacity(w *Worker) (resource.Amount, bool) { return w.Capacity, !c.evacuated(w) }
func presentCapacity(w *Worker) (resource.Amount, bool)        { return w.Capacity, true }
func largestCapacity(w *Worker) (resource.Amount, bool)        { return w.largest, true }

// unplaceableStep returns false and the index of the first step that would not fit workers of
// the given capacity even if nothing else ran, or true if every step would fit.
func (c *Cell) unplaceableStep(job *Job, capacity capacityView) (int, bool) {
	if !slices.ContainsFunc(c.workerOrder, func(w *Worker) bool { return w.listed }) {
		// The directory hasn't been read yet, so capacities are unknown.
		return 0, true
	}
	for i := range job.Steps {
		if !c.withinCapWhenIdle(job.Team, &job.Steps[i]) || !c.fitsWorkers(job, &job.Steps[i], capacity) {
			return i, false
		}
	}
	return 0, true
}

// withinCapWhenIdle reports whether one task of the step, or the whole step if it is a
// gang, fits the team's quota while the team runs nothing else.
func (c *Cell) withinCapWhenIdle(team string, s *StepSpec) bool {
	limit, bounded := c.capOf(team)
	if !bounded {
		return true
	}
	charge := s.charge()
	if s.Gang {
		charge = charge.Times(int64(s.Count))
	}
	return withinBound(charge.MilliCPU, limit.MilliCPU) && withinBound(charge.MemoryMB, limit.MemoryMB) &&
		withinBound(charge.Accelerators, limit.Accelerators)
}

// fitsWorkers reports whether the known workers, when idle, have capacity for one task
// of the step, or for all of them at once if it is a gang.
func (c *Cell) fitsWorkers(job *Job, s *StepSpec, capacity capacityView) bool {
	upstream := c.upstreamOf(job)
	wanted := 1
	if s.Gang {
		wanted = s.Count
	}
	shape := &step{spec: s, tasks: make([]*task, s.Count)}
	for _, w := range c.workerOrder {
		amount, ok := capacity(w)
		if ok && w.Upstream == upstream && s.labelMatches(w) {
			wanted -= shape.slotsIn(amount)
		}
		if wanted <= 0 {
			return true
		}
	}
	return false
}
