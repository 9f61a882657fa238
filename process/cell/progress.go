package cell

import (
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

// speedRecord tells how long tasks take on a worker against their estimates.
type speedRecord struct {
	ratio   float64
	samples int
	at      time.Time
}

func (r *speedRecord) add(now time.Time, ratio float64) {
	r.samples++
	r.at = now
	if r.samples == 1 {
		r.ratio = ratio
		return
	}
	r.ratio += speedWeight * (ratio - r.ratio)
}

// spanRecord is how long the tasks of a queue take against their estimates.
type spanRecord struct {
	ratio   float64
	samples int
}

// spanWeight is the weight of a new sample of a queue's ratio.
const spanWeight = 0.05

func (r *spanRecord) add(ratio float64) {
	r.samples++
	if r.samples == 1 {
		r.ratio = ratio
		return
	}
	r.ratio += max(spanWeight, 1/float64(r.samples)) * (ratio - r.ratio)
}

// observe learns from the end of a run: whether its worker fails more than its
// peers, and how fast it is.
func (c *Cell) observe(now time.Time, r *Run, kind EndKind) {
	w := r.worker
	job := r.task.step.occ.job
	failed := kind != EndDone
	if c.health.Aside(w.ID) {
		if c.health.Probed(now, w.ID, failed) {
			c.note(Note{Kind: NoteWorkerReturned, Worker: w.ID})
		}
		return
	}
	if kind != EndDone && kind != EndFailed {
		return
	}
	if c.health.Record(now, health.Outcome{Worker: w.ID, Kind: job.Queue, Failed: failed}) {
		c.note(Note{Kind: NoteWorkerAside, Worker: w.ID, Reason: "fails more than its peers"})
	}
	if !failed && !r.listedAt.IsZero() && r.task.step.spec.Estimate > 0 && !r.task.step.spec.Gang {
		c.sampleSpeed(now, r, now.Sub(r.listedAt))
	}
}

// sampleSpeed learns from a run that took, or will take, the time span.
func (c *Cell) sampleSpeed(now time.Time, r *Run, span time.Duration) {
	queue := r.task.step.occ.job.Queue
	record := c.spans[queue]
	if record == nil {
		record = &spanRecord{}
		c.spans[queue] = record
	}
	ratio := span.Seconds() / r.task.step.spec.Estimate.Seconds()
	if record.samples >= minSpeedSamples {
		r.worker.speed.add(now, ratio/max(record.ratio, 0.01))
	}
	if ratio < maxSpanRatio*max(record.ratio, 0.01) || record.samples < minSpeedSamples {
		record.add(ratio)
	}
}

// ownPartDone is the percentage from which a member of a gang only waits for the
// others.
const ownPartDone = 98

// maxSpanRatio keeps the samples of slow workers out of a queue's record.
const maxSpanRatio = 3

// slowness is how much longer tasks take on w than on the whole; 1 if unknown.
func (c *Cell) slowness(w *Worker) float64 {
	if w.speed.samples < minSpeedSamples {
		return 1
	}
	return w.speed.ratio
}

// sound reports whether w isn't set aside for failing or being slow. A worker that
// is due for a probe takes one task at a time.
func (c *Cell) sound(now time.Time, w *Worker) bool {
	if c.health.Aside(w.ID) {
		return w.probe && len(w.runs) == 0
	}
	if c.slowness(w) > slowWorker {
		return len(w.runs) == 0 && now.Sub(w.speed.at) > speedFades
	}
	return true
}

// returnProbed marks the workers that are due for a probe.
func (c *Cell) returnProbed(now time.Time) {
	for _, id := range c.health.Probes(now) {
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

// watchProgress stops a run that stands still although its worker answers, so
// that its task can go on elsewhere.
func (c *Cell) watchProgress(now time.Time, r *Run) {
	w := r.worker
	s := r.task.step
	if r.state != runListed || r.stop.wanted || !w.silentSince.IsZero() || s.spec.LongRunning || r.task.done {
		return
	}
	limit := stuckAfter + s.spec.Estimate/stuckPart
	// Members of a gang wait for the others, before they begin and when their own
	// part is done.
	if s.spec.Gang && (r.percent == 0 || r.percent >= ownPartDone) {
		return
	}
	if now.Sub(r.movedAt) < limit {
		return
	}
	c.note(Note{Kind: NoteRunStuck, Task: r.Task, Run: r.Number, Worker: w.ID, Age: now.Sub(r.movedAt)})
	r.task.avoid = w.ID
	if c.health.Record(now, health.Outcome{Worker: w.ID, Kind: s.occ.job.Queue, Failed: true}) {
		c.note(Note{Kind: NoteWorkerAside, Worker: w.ID, Reason: "tasks stand still"})
	}
	c.stopRun(now, r)
}
