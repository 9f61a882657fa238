package cell

import (
	"slices"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// runForecast caches what is derived from the expected ends of a worker's runs, since many
// steps ask for it in each round.
type runForecast struct {
	// lastEnd is the latest expected end, if lastEndKnown is set.
	lastEnd      time.Time
	lastEndKnown bool
	// free is the capacity expected to be free from freeFrom until freeUntil, between which
	// no run is expected to end, if freeKnown is set. Zero times mean no bound.
	free                resource.Amount
	freeKnown           bool
	freeFrom, freeUntil time.Time
}

// covers reports whether free holds for the given time.
func (f *runForecast) covers(at time.Time) bool {
	return f.freeKnown && !at.Before(f.freeFrom) && (f.freeUntil.IsZero() || at.Before(f.freeUntil))
}

// HasRuns reports whether runs are recorded on a worker.
func (c *Cell) HasRuns(id string) bool {
	w := c.workers[id]
	return w != nil && len(w.runs) > 0
}

// attach adds a run to the worker and allocates its capacity.
func (w *Worker) attach(r *Run) {
	w.runs[r.RunKey] = r
	w.runList = append(w.runList, r)
	if r.isolated {
		w.isolatedRuns++
	}
	w.addUsed(r.need)
}

// detach removes a run from the worker and releases its capacity.
func (w *Worker) detach(r *Run) {
	delete(w.runs, r.RunKey)
	if i := slices.Index(w.runList, r); i >= 0 {
		last := len(w.runList) - 1
		w.runList[i], w.runList[last] = w.runList[last], nil
		w.runList = w.runList[:last]
		if r.isolated {
			w.isolatedRuns--
		}
	}
	w.addUsed(r.need.Times(-1))
}

// lastEndEstimate returns when the last run on w is expected to end, but not before now.
func (w *Worker) lastEndEstimate(now time.Time) time.Time {
	if !w.forecast.lastEndKnown {
		w.forecast.lastEnd, w.forecast.lastEndKnown = w.computeLastEnd(), true
	}
	return maxTime(w.forecast.lastEnd, now)
}

func (w *Worker) computeLastEnd() time.Time {
	var last time.Time
	for _, r := range w.runList {
		last = maxTime(last, r.endEstimate())
	}
	return last
}

// expectedFree returns the capacity of w that is expected to be free at the given time.
func (w *Worker) expectedFree(at time.Time) resource.Amount {
	f := &w.forecast
	if f.covers(at) {
		return f.free
	}
	f.free, f.freeKnown = w.free(), true
	f.freeFrom, f.freeUntil = time.Time{}, time.Time{}
	for _, r := range w.runList {
		end := r.endEstimate()
		switch {
		case !end.After(at):
			f.free = f.free.Add(r.need)
			f.freeFrom = maxTime(f.freeFrom, end)
		case f.freeUntil.IsZero() || end.Before(f.freeUntil):
			f.freeUntil = end
		}
	}
	return f.free
}

// minRateSample is the progress of a run since it was first listed, in percent, from which
// its rate is used.
const minRateSample = 10

// longRunningEnd is the assumed end of all long-running tasks, far beyond that of others. It doesn't
// depend on when they began, which isn't known after a takeover and may be long ago.
var longRunningEnd = time.Date(9999, 1, 1, 0, 0, 0, 0, time.UTC)

// endEstimate returns when the run is expected to end. The members of a gang end together,
// with the slowest of them.
func (r *Run) endEstimate() time.Time {
	end := r.workEndEstimate()
	if s := r.task.step; s.spec.Gang {
		return maxTime(end, s.gangEnd)
	}
	return end
}

// workEndEstimate returns when the run's own work is expected to be done: by its rate since
// it was first listed once that is known, otherwise by its step's estimate. A run may have
// done much of its work, or have resumed from a checkpoint, when it is first listed.
func (r *Run) workEndEstimate() time.Time {
	estimate := r.task.step.spec.Estimate
	if r.task.step.spec.LongRunning {
		return longRunningEnd
	}
	if r.listedAt.IsZero() {
		return r.plannedAt.Add(estimate)
	}
	left, gained := time.Duration(100-r.percent), time.Duration(r.percent-r.firstPercent)
	if gained < minRateSample {
		return r.progressAt.Add(estimate * left / 100)
	}
	return r.progressAt.Add(r.progressAt.Sub(r.listedAt) * left / gained)
}

// gangEndInterval is the minimum time between two estimates of the end of a gang, which go
// over all its members.
const gangEndInterval = 100 * time.Millisecond

// updateGangEnds estimates anew when the gangs with members on w are expected to end.
func (w *Worker) updateGangEnds(now time.Time) {
	for _, r := range w.runList {
		if s := r.task.step; s.spec.Gang {
			s.updateGangEnd(now)
		}
	}
}

// updateGangEnd estimates anew when the gang is expected to end.
func (s *step) updateGangEnd(now time.Time) {
	if now.Sub(s.gangEndAt) < gangEndInterval {
		return
	}
	s.gangEnd, s.gangEndAt = time.Time{}, now
	for _, t := range s.tasks {
		if t.current != nil {
			s.gangEnd = maxTime(s.gangEnd, t.current.workEndEstimate())
		}
	}
}

// sortedRuns returns the runs of w in a fixed order.
func sortedRuns(w *Worker) []*Run {
	runs := slices.Clone(w.runList)
	slices.SortFunc(runs, func(a, b *Run) int {
		if a.Task != b.Task {
			return compareStrings(a.Task, b.Task)
		}
		return a.Number - b.Number
	})
	return runs
}
