package cell

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/health"
)

// Limits on progress and speed.
const (
	// baseStallTimeout, plus a part of the step's estimate, is how long a run may go
	// without progress.
	baseStallTimeout = 1300 * time.Millisecond
	// stallEstimateDivisor is what the estimate is divided by to get that part.
	stallEstimateDivisor = 12
	// slowThreshold is the slowness from which a worker gets no new work.
	slowThreshold = 2.2
	// speedWeight is the weight of a new sample of a worker's speed.
	speedWeight = 0.35
	// minSpeedSamples is the number of samples needed before a worker's speed is used.
	minSpeedSamples = 3
	// speedRecordExpiry is how long a slow worker is excluded without new samples. After
	// that it gets one task at a time to show whether it is still slow.
	speedRecordExpiry = 2500 * time.Millisecond
)

// speedRecord is the duration of tasks on a worker relative to other tasks of the same
// steps on other workers, as the logarithm of the ratio.
type speedRecord struct {
	log     float64
	samples int
	at      time.Time
	// ratio is the exponential of log.
	ratio float64
}

func (r *speedRecord) add(now time.Time, ratio float64) {
	r.samples++
	r.at = now
	r.log += max(speedWeight, 1/float64(r.samples)) * (math.Log(ratio) - r.log)
	r.ratio = math.Exp(r.log)
}

// recordOutcome updates a worker's failure rate and speed from the end of a run.
func (c *Cell) recordOutcome(now time.Time, r *Run, kind EndKind) {
	w := r.worker
	job := r.task.step.occ.job
	switch {
	case kind == EndFailed:
		c.attributeFailure(now, r, "failure rate above that of its peers")
		return
	case kind != EndDone:
		c.health.AbortProbe(w.ID)
		return
	case c.health.Quarantined(w.ID):
		if c.health.RecordProbe(now, w.ID, false) {
			c.note(Note{Kind: NoteWorkerReleased, Worker: w.ID})
		}
		return
	}
	c.health.Record(now, health.Outcome{Worker: w.ID, Kind: job.Queue})
	if !r.task.step.spec.Gang {
		r.duration = now.Sub(r.listedAt)
		r.task.step.durations = append(r.task.step.durations, taskDuration{r.worker, r.duration})
		c.sampleSpeed(now, r, r.duration)
	}
}

// taskDuration is the actual or predicted duration of a task on a worker.
type taskDuration struct {
	worker   *Worker
	duration time.Duration
}

// sampleSpeed compares the duration of a run with those of the step's other tasks on
// other workers.
func (c *Cell) sampleSpeed(now time.Time, r *Run, duration time.Duration) {
	if r.speedSampled || r.listedAt.IsZero() || duration <= 0 || r.listedAt.Before(r.worker.ColdUntil) {
		return
	}
	s := r.task.step
	var sum float64
	n := 0
	for _, other := range s.durations {
		if other.worker != r.worker {
			sum += math.Log(other.duration.Seconds())
			n++
		}
	}
	for _, t := range s.tasks {
		if o := t.current; o != nil && o != r && o.worker != r.worker {
			if predicted, ok := o.predictedDuration(now); ok {
				sum += math.Log(predicted.Seconds())
				n++
			}
		}
	}
	if n == 0 {
		return
	}
	r.speedSampled = true
	r.worker.speed.add(now, duration.Seconds()/math.Exp(sum/float64(n)))
}

const (
	// minPredictionTime is how long a run must have been listed before its duration is
	// predicted.
	minPredictionTime = 450 * time.Millisecond
)

// predictedDuration returns the duration of the run at its rate so far.
func (r *Run) predictedDuration(now time.Time) (time.Duration, bool) {
	passed := r.lastListedAt.Sub(r.listedAt)
	if r.state != runListed || passed < minPredictionTime {
		return 0, false
	}
	return passed * 100 / time.Duration(max(r.percent, 1)), true
}

// slowness returns how much longer tasks take on w than elsewhere, as a ratio; 1 if
// unknown.
func (c *Cell) slowness(w *Worker) float64 {
	if w.speed.samples < minSpeedSamples {
		return 1
	}
	return w.speed.ratio
}

// healthy reports whether w is neither quarantined nor slow. A worker that is due for a
// probe, or whose record of being slow has expired, takes one task at a time, beside those that
// last.
func (c *Cell) healthy(now time.Time, w *Worker) bool {
	if c.health.Quarantined(w.ID) {
		return w.probeDue && !w.runsFinite()
	}
	if c.slowness(w) > slowThreshold {
		return !w.runsFinite() && now.Sub(w.speed.at) > speedRecordExpiry
	}
	return true
}

// keepsProbeAlone reports whether s may not be placed beside what runs on w: it would be a second task
// that shows how a worker does that is quarantined, or one more of a service on a bad worker.
func (c *Cell) keepsProbeAlone(s *step, w *Worker) bool {
	quarantined := c.health.Quarantined(w.ID)
	if s.spec.LongRunning && (quarantined || c.slowness(w) > slowThreshold) {
		return len(w.runs) > 0
	}
	return quarantined && w.runsFinite()
}

// markProbesDue marks the quarantined workers that are due for a probe.
func (c *Cell) markProbesDue(now time.Time) {
	for _, id := range c.health.DueProbes(now) {
		if w := c.workers[id]; w != nil {
			w.probeDue = true
		}
	}
}

// updateHealthMonitor sets the workers that the monitor compares.
func (c *Cell) updateHealthMonitor(now time.Time) {
	var names []string
	for _, w := range c.workerOrder {
		if w.listed {
			names = append(names, w.ID)
		}
	}
	c.health.SetWorkers(now, names)
}

// maxStallDoublings bounds how often a task's stall timeout doubles. It doubles each time
// the task is stopped for lack of progress, since some tasks report none.
const maxStallDoublings = 5

// nearDonePercent is the progress from which stalls can't be detected by the percentage:
// progress is computed from the usual duration, so runs on slower workers stay there for
// a while, and members of a gang that have done their part wait there for the others.
const nearDonePercent = 98

// stallTimeout returns how long the run may go without progress. From nearDonePercent on
// it is at least the run's estimate and at least the time that the run took to get there.
func (r *Run) stallTimeout() time.Duration {
	estimate := r.task.step.spec.Estimate
	limit := (baseStallTimeout + estimate/stallEstimateDivisor) << r.task.stalledRuns
	if r.percent >= nearDonePercent {
		limit = max(limit, estimate, r.progressAt.Sub(r.listedAt))
	}
	return limit
}

// waitsForOthers reports whether r, a member of a gang, has done its own part while other
// members have not.
func (r *Run) waitsForOthers() bool {
	if r.percent < nearDonePercent {
		return false
	}
	return slices.ContainsFunc(r.task.step.tasks, func(t *task) bool { return t.current.percent < nearDonePercent })
}

// gangStartedAt returns when the last member of the gang was first listed, which is when
// its tasks can begin. ok is false while members are missing.
func (s *step) gangStartedAt() (startedAt time.Time, ok bool) {
	for _, t := range s.tasks {
		if t.current == nil || t.current.state != runListed {
			return time.Time{}, false
		}
		startedAt = maxTime(startedAt, t.current.listedAt)
	}
	return startedAt, true
}

// lastProgressAt returns when a run of the step made progress last.
func (s *step) lastProgressAt() time.Time {
	var last time.Time
	for _, t := range s.tasks {
		if t.current != nil {
			last = maxTime(last, t.current.progressAt)
		}
	}
	return last
}

// progress lists the progress of the step's runs, in percent.
func (s *step) progress() string {
	var percents []string
	for _, t := range s.tasks {
		if t.current != nil {
			percents = append(percents, strconv.Itoa(t.current.percent))
		}
	}
	return strings.Join(percents, " ")
}

// causesStall reports whether r's own worker causes the stall, rather than that of
// another member of the gang.
func (r *Run) causesStall() bool {
	s := r.task.step
	if !s.spec.Gang {
		return true
	}
	oneWorker := true
	for _, t := range s.tasks {
		if t.current == nil || t.current.worker == r.worker {
			continue
		}
		oneWorker = false
		if t.current.percent > r.percent {
			return true
		}
	}
	return oneWorker
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// checkProgress stops a run without progress on a worker that responds, so that its task
// can continue elsewhere.
func (c *Cell) checkProgress(now time.Time, r *Run) {
	w := r.worker
	s := r.task.step
	if r.state != runListed || r.stop.wanted || !w.unreachableSince.IsZero() || s.spec.LongRunning || r.task.done {
		return
	}
	if duration, ok := r.predictedDuration(now); ok && !s.spec.Gang {
		c.sampleSpeed(now, r, duration)
	}
	since := r.progressAt
	if s.spec.Gang {
		startedAt, ok := s.gangStartedAt()
		if !ok || r.waitsForOthers() {
			return
		}
		since = maxTime(since, startedAt)
		if r.percent >= nearDonePercent {
			// Until now it has waited for the others.
			since = maxTime(since, s.lastProgressAt())
		}
	}
	// Only a listing shows that there is no progress. While the worker's replies are late,
	// nothing is known.
	if r.lastListedAt.Sub(since) < r.stallTimeout() {
		return
	}
	c.note(Note{Kind: NoteRunStalled, Task: r.Task, Run: r.Number, Worker: w.ID, Age: now.Sub(since), Reason: s.progress()})
	r.task.avoidWorker = w.ID
	r.task.stalledRuns = min(r.task.stalledRuns+1, maxStallDoublings)
	if r.causesStall() && !w.cold(now) {
		c.attributeFailure(now, r, "tasks without progress")
	}
	c.stopRun(now, r)
}

// attributeFailure records that a run failed because of its worker.
func (c *Cell) attributeFailure(now time.Time, r *Run, reason string) {
	id := r.worker.ID
	if c.health.Quarantined(id) {
		c.health.RecordProbe(now, id, true)
		return
	}
	if c.health.Record(now, health.Outcome{Worker: id, Kind: r.task.step.occ.job.Queue, Failed: true}) {
		c.note(Note{Kind: NoteWorkerQuarantined, Worker: id, Reason: reason})
	}
}
