package cell

import "time"

// Limits of sharing. Tasks that fill are slowed down at once and sped up by small
// steps, since what they do to a tail is seen half a second later.
const (
	// fullPace is the pace at which tasks start, unknownPace that of runs which an
	// earlier scheduler may have paced.
	fullPace    = 100
	unknownPace = -1
	// strainDown is the part of a target from which tasks that fill are slowed down,
	// strainUp that below which they are sped up.
	strainDown = 0.85
	strainUp   = 0.65
	// leastPace is the pace below which a task is halted; paceStep is added at a time.
	leastPace = 12
	paceStep  = 8
	// paceEvery is the pause between two orders for a run.
	paceEvery = 500 * time.Millisecond
)

// strain is the largest tail on w, as a part of its target.
func (w *Worker) strain() float64 {
	worst := 0.0
	for _, r := range w.runs {
		if target := r.task.step.spec.Target; target > 0 && r.state == runListed {
			worst = max(worst, float64(r.tailLatency)/float64(target))
		}
	}
	return worst
}

// paceFilling slows down the tasks that fill on w while the tails of the others
// come near their targets, and speeds them up again.
func (c *Cell) paceFilling(now time.Time, w *Worker) {
	strain := -1.0
	for _, r := range w.runs {
		if !r.task.step.spec.Fills || r.state != runListed || r.stop.wanted || now.Sub(r.pacedAt) < paceEvery || !r.lastListedAt.After(r.pacedAt) {
			continue
		}
		if strain < 0 {
			strain = w.strain()
		}
		if pace := nextPace(r.pace, strain); pace != r.pace {
			r.pacedAt = now
			c.actions.Paces = append(c.actions.Paces, PaceOrder{Worker: w.ID, RunKey: r.RunKey, Percent: pace})
		}
	}
}

// nextPace is the pace to order for a run that works at pace.
func nextPace(pace int, strain float64) int {
	if pace == unknownPace {
		pace = fullPace / 2
	}
	switch {
	case strain > strainDown && pace/2 < leastPace:
		return 0
	case strain > strainDown:
		return pace / 2
	case strain < strainUp:
		return min(fullPace, pace+paceStep)
	}
	return pace
}

// Paced takes in that a worker took an order for a pace.
func (c *Cell) Paced(id string, key RunKey, percent int) {
	if w := c.workers[id]; w != nil {
		if r := w.runs[key]; r != nil {
			r.pace = percent
		}
	}
}
