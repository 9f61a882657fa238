package cell

import "time"

// Limits of the pace of best-effort tasks. The tasks are slowed down at once and sped up
// in small steps, since their effect on tail latency shows only half a second later.
const (
	// fullPace is the pace at which tasks start, in percent; unknownPace is the pace of
	// adopted runs, which an earlier scheduler may have slowed down.
	fullPace    = 100
	unknownPace = -1
	// slowDownRatio is the ratio of tail latency to target above which best-effort tasks
	// are slowed down; below speedUpRatio they are sped up.
	slowDownRatio = 0.85
	speedUpRatio  = 0.65
	// minPace is the pace below which a task is halted, paceStep the increment when
	// speeding up, both in percent.
	minPace  = 12
	paceStep = 8
	// paceInterval is the minimum time between two pace commands for a run.
	paceInterval = 500 * time.Millisecond
)

// tailRatio returns the largest ratio of tail latency to target among the runs on w, or 0
// if no run has a target.
func (w *Worker) tailRatio() float64 {
	worst := 0.0
	for _, r := range w.runList {
		if target := r.task.step.spec.Target; target > 0 && r.state == runListed {
			worst = max(worst, float64(r.tailLatency)/float64(target))
		}
	}
	return worst
}

// adjustBestEffortPace slows down the best-effort tasks on w while tail latencies of the
// other tasks are close to their targets, and speeds them up again afterwards.
func (c *Cell) adjustBestEffortPace(now time.Time, w *Worker) {
	tailRatio := -1.0
	for _, r := range w.runList {
		if !r.task.step.spec.BestEffort || r.state != runListed || r.stop.wanted || now.Sub(r.pacedAt) < paceInterval || !r.lastListedAt.After(r.pacedAt) {
			continue
		}
		if tailRatio < 0 {
			tailRatio = w.tailRatio()
		}
		if pace := nextPace(r.pace, tailRatio); pace != r.pace {
			r.pacedAt = now
			c.actions.Paces = append(c.actions.Paces, PaceCommand{Worker: w.ID, RunKey: r.RunKey, Percent: pace})
		}
	}
}

// nextPace returns the next pace, in percent, of a run that works at pace, for the
// given ratio of tail latency to target.
func nextPace(pace int, ratio float64) int {
	if pace == unknownPace {
		pace = fullPace / 2
	}
	switch {
	case ratio > slowDownRatio && pace/2 < minPace:
		return 0
	case ratio > slowDownRatio:
		return pace / 2
	case ratio < speedUpRatio:
		return min(fullPace, pace+paceStep)
	}
	return pace
}

// Paced handles a worker's acknowledgement of a pace command.
func (c *Cell) Paced(id string, key RunKey, percent int) {
	if w := c.workers[id]; w != nil {
		if r := w.runs[key]; r != nil {
			r.pace = percent
		}
	}
}
