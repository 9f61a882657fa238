package cell

import "time"

// SetCordon keeps new work from these workers, and from no others.
func (c *Cell) SetCordon(workers map[string]bool) { c.cordon = workers }

// WorkerLoad is what a worker runs, as far as taking its machine away goes.
type WorkerLoad struct {
	// Runs counts the runs that end by themselves.
	Runs int
	// Needed is set if ending a task there would leave a step with more tasks away
	// than it may miss.
	Needed bool
}

// LoadOf returns what the worker runs.
func (c *Cell) LoadOf(id string) WorkerLoad {
	var load WorkerLoad
	w := c.workers[id]
	if w == nil {
		return load
	}
	here := make(map[*step]int)
	for _, r := range w.runs {
		s := r.task.step
		if !s.spec.LongRunning {
			load.Runs++
			continue
		}
		here[s]++
	}
	for s, n := range here {
		if s.spec.MayMiss > 0 && s.notServing(w)+n > s.spec.MayMiss {
			load.Needed = true
		}
	}
	return load
}

// servingPercent is the percentage at which a task that lasts is at work.
const servingPercent = 100

// notServing counts the step's tasks that aren't at work on workers other than w.
func (s *step) notServing(w *Worker) int {
	n := 0
	for _, t := range s.tasks {
		r := t.current
		switch {
		case r != nil && r.worker == w:
		case r == nil || r.state != runListed || r.percent < servingPercent || !r.worker.silentSince.IsZero():
			n++
		}
	}
	return n
}

// lasting reports whether the occurrence has steps that run until the job is
// cancelled.
func (o *occurrence) lasting() bool {
	for _, s := range o.steps {
		if s.spec.LongRunning {
			return true
		}
	}
	return false
}

// isCordoned reports whether new work is kept from w.
func (c *Cell) isCordoned(w *Worker) bool { return c.cordon[w.ID] }

// takes reports whether new work may go to w now.
func (c *Cell) takes(now time.Time, w *Worker) bool {
	return w.usable(now) && c.sound(now, w) && !c.isCordoned(w)
}
