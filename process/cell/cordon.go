package cell

import "time"

// SetCordon replaces the set of cordoned workers, which get no new work.
func (c *Cell) SetCordon(workers map[string]bool) { c.cordoned = workers }

// WorkerLoad summarizes what a worker runs, for the decision to take its machine down.
type WorkerLoad struct {
	// Runs counts the runs that end by themselves.
	Runs int
	// Needed is set if stopping the tasks there would leave a step with more unavailable
	// tasks than its MaxUnavailable.
	Needed bool
}

// SetInterrupted records that an upkeep may end what runs on a worker until the given time, and
// returns the time that held before. Until a list that was requested later shows the outcome, the
// tasks there count as unavailable.
func (c *Cell) SetInterrupted(id string, until time.Time) (before time.Time) {
	if w := c.workers[id]; w != nil {
		before, w.interruptedUntil = w.interruptedUntil, until
	}
	return before
}

// LoadOf returns the load of a worker.
func (c *Cell) LoadOf(id string) WorkerLoad {
	var load WorkerLoad
	w := c.workers[id]
	if w == nil {
		return load
	}
	here := make(map[*step]int)
	for _, r := range w.runList {
		s := r.task.step
		if !s.spec.LongRunning {
			load.Runs++
			continue
		}
		here[s]++
	}
	for s, n := range here {
		if s.spec.MaxUnavailable > 0 && s.notServing(w)+n > s.spec.MaxUnavailable {
			load.Needed = true
		}
	}
	return load
}

// servingPercent is the progress at which a long-running task is serving.
const servingPercent = 100

// notServing counts the step's tasks that are not serving, except those on w.
func (s *step) notServing(w *Worker) int {
	n := 0
	for _, t := range s.tasks {
		r := t.current
		switch {
		case r != nil && r.worker == w:
		case r == nil || r.state != runListed || r.percent < servingPercent || !r.worker.unreachableSince.IsZero() || !r.worker.interruptedUntil.IsZero():
			n++
		}
	}
	return n
}

// hasLongRunning reports whether the occurrence, one execution of the job, has steps that
// run until the job is cancelled.
func (o *occurrence) hasLongRunning() bool {
	for _, s := range o.steps {
		if s.spec.LongRunning {
			return true
		}
	}
	return false
}

// isCordoned reports whether w is cordoned.
func (c *Cell) isCordoned(w *Worker) bool { return c.cordoned[w.ID] }

// acceptsWork reports whether new work may be placed on w now.
func (c *Cell) acceptsWork(now time.Time, w *Worker) bool {
	return w.usable(now) && c.healthy(now, w) && !c.isCordoned(w) && !c.evacuated(w)
}
