package cell

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/health"
)

// Limits of progress.
const (
	// stuckAfter, plus a part of the estimate, is how long a run may stand still.
	stuckAfter = 1300 * time.Millisecond
	// stuckPart is the part of the estimate that is added.
	stuckPart = 12
	// slowWorker is the slowness from which a worker gets no new work.
	slowWorker = 2.2
	// speedWeight is the weight of a new sample of a worker's speed.
	speedWeight = 0.35
	// minSpeedSamples is how many samples a worker needs to be judged.
	minSpeedSamples = 3
	// speedFades is how long a slow worker's record holds without new samples;
	// then one task may show whether it still is slow.
	speedFades = 2500 * time.Millisecond
)

// speedRecord tells how long tasks take on a worker against other tasks of their
// steps elsewhere, as the logarithm of the ratio.
type speedRecord struct {
	log     float64
	samples int
	at      time.Time
}

func (r *speedRecord) add(now time.Time, ratio float64) {
	r.samples++
	r.at = now
	r.log += max(speedWeight, 1/float64(r.samples)) * (math.Log(ratio) - r.log)
}

// observe learns from the end of a run: whether its worker fails more than its
// peers, and how fast it is.
func (c *Cell) observe(now time.Time, r *Run, kind EndKind) {
	w := r.worker
	job := r.task.step.occ.job
	switch {
	case kind == EndFailed:
		c.blame(now, r, "fails more than its peers")
		return
	case kind != EndDone:
		c.health.AbortProbe(w.ID)
		return
	case c.health.Quarantined(w.ID):
		if c.health.RecordProbe(now, w.ID, false) {
			c.note(Note{Kind: NoteWorkerReturned, Worker: w.ID})
		}
		return
	}
	c.health.Record(now, health.Outcome{Worker: w.ID, Kind: job.Queue})
	if !r.task.step.spec.Gang {
		r.span = now.Sub(r.listedAt)
		r.task.step.spans = append(r.task.step.spans, taskSpan{r.worker, r.span})
		c.sampleSpeed(now, r, r.span)
	}
}

// taskSpan is how long a task took, or will take, on a worker.
type taskSpan struct {
	worker *Worker
	span   time.Duration
}

// sampleSpeed compares the time of a run with those of the step's other tasks on
// other workers.
func (c *Cell) sampleSpeed(now time.Time, r *Run, span time.Duration) {
	if r.sampled || r.listedAt.IsZero() || span <= 0 {
		return
	}
	s := r.task.step
	var sum float64
	n := 0
	for _, other := range s.spans {
		if other.worker != r.worker {
			sum += math.Log(other.span.Seconds())
			n++
		}
	}
	for _, t := range s.tasks {
		if o := t.current; o != nil && o != r && o.worker != r.worker {
			if predicted, ok := o.predicted(now); ok {
				sum += math.Log(predicted.Seconds())
				n++
			}
		}
	}
	if n == 0 {
		return
	}
	r.sampled = true
	r.worker.speed.add(now, span.Seconds()/math.Exp(sum/float64(n)))
}

const (
	// sampleAfter is how long a run must have been listed to predict its time.
	sampleAfter = 450 * time.Millisecond
)

// predicted is how long the run will take at its rate so far.
func (r *Run) predicted(now time.Time) (time.Duration, bool) {
	passed := r.seenAt.Sub(r.listedAt)
	if r.state != runListed || passed < sampleAfter {
		return 0, false
	}
	return passed * 100 / time.Duration(max(r.percent, 1)), true
}

// slowness is how much longer tasks take on w than elsewhere; 1 if unknown.
func (c *Cell) slowness(w *Worker) float64 {
	if w.speed.samples < minSpeedSamples {
		return 1
	}
	return math.Exp(w.speed.log)
}

// sound reports whether w isn't set aside for failing or being slow. A worker that
// is due for a probe takes one task at a time.
func (c *Cell) sound(now time.Time, w *Worker) bool {
	if c.health.Quarantined(w.ID) {
		return w.probe && len(w.runs) == 0
	}
	if c.slowness(w) > slowWorker {
		return len(w.runs) == 0 && now.Sub(w.speed.at) > speedFades
	}
	return true
}

// returnProbed marks the workers that are due for a probe.
func (c *Cell) returnProbed(now time.Time) {
	for _, id := range c.health.DueProbes(now) {
		if w := c.workers[id]; w != nil {
			w.probe = true
		}
	}
}

// refreshMonitor tells the monitor which workers there are.
func (c *Cell) refreshMonitor(now time.Time) {
	var names []string
	for _, w := range c.workerOrder {
		if w.listed {
			names = append(names, w.ID)
		}
	}
	c.health.SetWorkers(now, names)
}

// maxStuck bounds how often the patience with a task that stands still doubles. It
// doubles each time that the task was stopped for it: some tasks show no progress.
const maxStuck = 5

// nearDone is the percentage from which progress tells little: it is worked out from
// what is usual, so slower workers stay there for a while, and members of a gang that
// have done their part wait there for the others.
const nearDone = 98

// patience is how long the run may stand still. Near its end that is as long as it
// took to come there, or was expected to.
func (r *Run) patience() time.Duration {
	estimate := r.task.step.spec.Estimate
	limit := (stuckAfter + estimate/stuckPart) << r.task.stuck
	if r.percent >= nearDone {
		limit = max(limit, estimate, r.movedAt.Sub(r.listedAt))
	}
	return limit
}

// waitsForOthers reports whether a member of a gang has done its own part and others
// have not.
func (r *Run) waitsForOthers() bool {
	if r.percent < nearDone {
		return false
	}
	return slices.ContainsFunc(r.task.step.tasks, func(t *task) bool { return t.current.percent < nearDone })
}

// gangBegan returns when the last member of the gang was first listed, which is when
// its tasks can begin; ok is false while members are missing.
func (s *step) gangBegan() (began time.Time, ok bool) {
	for _, t := range s.tasks {
		if t.current == nil || t.current.state != runListed {
			return time.Time{}, false
		}
		began = maxTime(began, t.current.listedAt)
	}
	return began, true
}

// progress tells how far the step's runs are, in percent.
func (s *step) progress() string {
	var percents []string
	for _, t := range s.tasks {
		if t.current != nil {
			percents = append(percents, strconv.Itoa(t.current.percent))
		}
	}
	return strings.Join(percents, " ")
}

// holdsUp reports whether it is r's worker that keeps r from going on, and not
// another one that a gang waits for.
func (r *Run) holdsUp() bool {
	s := r.task.step
	if !s.spec.Gang {
		return true
	}
	alone := true
	for _, t := range s.tasks {
		if t.current == nil || t.current.worker == r.worker {
			continue
		}
		alone = false
		if t.current.percent > r.percent {
			return true
		}
	}
	return alone
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// watchProgress stops a run that stands still although its worker answers, so
// that its task can go on elsewhere.
func (c *Cell) watchProgress(now time.Time, r *Run) {
	w := r.worker
	s := r.task.step
	if r.state != runListed || r.stop.wanted || !w.silentSince.IsZero() || s.spec.LongRunning || r.task.done {
		return
	}
	if span, ok := r.predicted(now); ok && !s.spec.Gang {
		c.sampleSpeed(now, r, span)
	}
	since := r.movedAt
	if s.spec.Gang {
		began, ok := s.gangBegan()
		if !ok || r.waitsForOthers() {
			return
		}
		since = maxTime(since, began)
	}
	if now.Sub(since) < r.patience() {
		return
	}
	c.note(Note{Kind: NoteRunStuck, Task: r.Task, Run: r.Number, Worker: w.ID, Age: now.Sub(since), Reason: s.progress()})
	r.task.avoid = w.ID
	r.task.stuck = min(r.task.stuck+1, maxStuck)
	if r.holdsUp() {
		c.blame(now, r, "tasks stand still")
	}
	c.stopRun(now, r)
}

// blame takes in that a run's worker failed it.
func (c *Cell) blame(now time.Time, r *Run, reason string) {
	id := r.worker.ID
	if c.health.Quarantined(id) {
		c.health.RecordProbe(now, id, true)
		return
	}
	if c.health.Record(now, health.Outcome{Worker: id, Kind: r.task.step.occ.job.Queue, Failed: true}) {
		c.note(Note{Kind: NoteWorkerAside, Worker: id, Reason: reason})
	}
}
