package cell

import (
	"maps"
	"time"
)

// While some of a queue's tasks crash their workers, its tasks and those of other queues are
// placed on different workers as far as there are enough: a crash then costs hardly any but
// tasks of the same queue.

const (
	// riskWindow is how long a queue counts as risky after the last crash under one of its tasks
	// that nothing else can have caused.
	riskWindow = 20 * time.Second
	// mixPenalty is for a worker that has tasks of queues with another risk. Free capacity
	// elsewhere is preferred, but not an empty worker to a full one.
	mixPenalty = 1.5
)

// noteRisk records a crash under a task that nothing else can have caused.
func (c *Cell) noteRisk(now time.Time, t *task) {
	c.riskyUntil[t.step.occ.job.Queue] = now.Add(riskWindow)
}

// forgetRisks drops the queues that are no longer risky.
func (c *Cell) forgetRisks(now time.Time) {
	maps.DeleteFunc(c.riskyUntil, func(_ string, until time.Time) bool { return !until.After(now) })
}

// mixes reports whether a task of s on w would share it with a task of another risk.
func (c *Cell) mixes(s *step, w *Worker) bool {
	_, risky := c.riskyUntil[s.occ.job.Queue]
	for _, r := range w.runList {
		if _, other := c.riskyUntil[r.task.step.occ.job.Queue]; other != risky {
			return true
		}
	}
	return false
}
