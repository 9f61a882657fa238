package cell

import (
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// expectedWait estimates the queueing time of the job: the remaining work of live jobs that
// are placed before it, divided by the processors of all workers. startWait is the part of
// it that this scheduler takes to start their tasks; it may be longer.
func (c *Cell) expectedWait(now time.Time, job *Job) (wait, startWait time.Duration) {
	capacity := c.capacity(now, c.upstreamOf(job))
	if capacity <= 0 {
		return 0, 0
	}
	due := job.FirstSeen.Add(job.objective())
	var ahead float64
	starts := 0
	for _, other := range c.live {
		if !other.outcome.Ended() && other.comesBefore(now, job, due) {
			left := other.workLeft()
			ahead += left.work
			starts += left.starts
		}
	}
	return time.Duration(ahead / capacity * float64(time.Second)), c.starts.wait(now, starts)
}

// remaining is what is left of a job. It is the most frequent question about jobs that wait, and
// changes only with the job.
type remaining struct {
	known bool
	// work is in thousandths of a core times seconds.
	work float64
	// starts is the number of tasks that are neither done nor have a run, waiting what those of them
	// charge to their team whose steps may begin.
	starts  int
	waiting resource.Amount
}

// workLeft returns what is left of the job.
func (j *Job) workLeft() remaining {
	if !j.remaining.known {
		j.remaining = remaining{known: true, work: j.remainingWork()}
		j.countWaiting(&j.remaining)
	}
	return j.remaining
}

// countWaiting counts the tasks that are neither done nor have a run.
func (j *Job) countWaiting(left *remaining) {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			n := 0
			for _, t := range s.tasks {
				if !t.done && t.current == nil {
					n++
				}
			}
			left.starts += n
			if s.ready() {
				left.waiting = left.waiting.Add(s.spec.charge().Times(int64(n)))
			}
		}
	}
}

// comesBefore reports whether j's work is placed before that of a new job with the
// given due time.
func (j *Job) comesBefore(now time.Time, job *Job, due time.Time) bool {
	switch {
	case j.tooLate(now) || (j.OverShare && !job.OverShare):
		return false
	case j.OverShare != job.OverShare:
		return true
	case j.Policy.Priority != job.Policy.Priority:
		return j.Policy.Priority < job.Policy.Priority
	default:
		return j.Repeat > 0 || !j.FirstSeen.Add(j.objective()).After(due)
	}
}

// capacity returns the processors, in thousandths of a core, of the upstream's workers
// that are usable and not quarantined.
func (c *Cell) capacity(now time.Time, upstream string) float64 {
	var sum int64
	for _, w := range c.workerOrder {
		if w.Upstream == upstream && w.usable(now) && !c.health.Quarantined(w.ID) && !c.evacuated(w) {
			sum += w.Capacity.MilliCPU
		}
	}
	return float64(sum)
}

// remainingWork returns the estimated work that isn't done, in thousandths of a core
// times seconds. Long-running tasks are not counted.
func (j *Job) remainingWork() float64 {
	var sum float64
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if s.spec.LongRunning {
				continue
			}
			sum += s.tasksLeft() * float64(s.spec.Need.MilliCPU) * s.spec.Estimate.Seconds()
		}
	}
	return sum
}

// tasksLeft returns the number of tasks that aren't done; a running task counts half.
func (s *step) tasksLeft() float64 {
	left := float64(len(s.tasks) - s.done)
	for _, t := range s.tasks {
		if !t.done && t.current != nil {
			left -= 0.5
		}
	}
	return left
}

// tooLate reports whether the job can no longer finish before its result is of no use.
func (j *Job) tooLate(now time.Time) bool {
	return j.Repeat == 0 && len(j.occurrences) > 0 && j.occurrences[0].tooLate(now)
}
