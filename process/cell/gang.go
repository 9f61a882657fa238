package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// holds are the workers kept free for all-at-once steps that found no room.
type holds struct {
	by      map[*Worker]*step
	steps int
}

// Bounds of holds.
const (
	// reservableFraction bounds the workers held at a time, as one in so many.
	reservableFraction = 2
	// minReservingSteps bounds the steps that workers are held for; fleets of more than
	// workersPerHolder for each have one for so many.
	minReservingSteps     = 3
	workersPerReservingStep = 16
)

// full reports whether no more steps may hold workers.
func (h *holds) full(r *round) bool {
	return h.steps >= max(minReservingSteps, len(r.ready)/workersPerReservingStep)
}

// reservedForOther reports whether w is held for a step other than s.
func (h *holds) reservedForOther(w *Worker, s *step) bool {
	holder := h.by[w]
	return holder != nil && holder != s
}

// blocks reports whether w is held for a step other than s. A held worker may
// still take what ends before the last of its runs: the holder waits for that
// one anyway.
func (h *holds) blocks(now time.Time, w *Worker, s *step) bool {
	if !h.reservedForOther(w, s) {
		return false
	}
	return !s.endsWithin(w.lastEndEstimate(now).Sub(now))
}

// endsWithin reports whether a task of s is expected to end within d.
func (s *step) endsWithin(d time.Duration) bool { return s.spec.Estimate <= d }

// lastEndEstimate is when the last run on w is expected to end.
func (w *Worker) lastEndEstimate(now time.Time) time.Time {
	last := now
	for _, r := range w.runs {
		if end := r.endEstimate(now); end.After(last) {
			last = end
		}
	}
	return last
}

// minRateSample is how many percent of a run must be done to judge its rate.
const minRateSample = 10

// endEstimate is when the run is expected to end: by its own rate once that is
// known, else by its step's estimate.
func (r *Run) endEstimate(now time.Time) time.Time {
	if r.percent < minRateSample || r.listedAt.IsZero() {
		return r.plannedAt.Add(r.task.step.spec.Estimate)
	}
	passed := r.progressAt.Sub(r.listedAt)
	return r.progressAt.Add(passed * time.Duration(100-r.percent) / time.Duration(r.percent))
}

// planGang places all tasks of a step or none. Without room it holds workers and
// asks for advice ahead.
func (c *Cell) planGang(r *round, u unit) {
	s := u.step
	job := s.occ.job
	total := s.spec.charge().Times(int64(len(s.tasks)))
	if s.deferred(r.now) || !c.withinCap(job.Team, total) {
		return
	}
	if c.hopelessNow(r, s) && (u.tier != owed || r.holds.full(r)) {
		return
	}
	if chosen := chooseSlots(c.gangSlots(r, s), len(s.tasks), s.spec.SameRack); chosen != nil {
		c.placeGang(r.now, s, chosen)
		r.free -= total.MilliCPU
		return
	}
	r.miss(u, len(s.tasks))
	if u.tier <= late {
		r.holds.reserve(c, r, s)
	}
	c.requestGangAdvice(r, s)
}

func (s *step) deferred(now time.Time) bool {
	return slices.ContainsFunc(s.tasks, func(t *task) bool { return t.deferred.After(now) })
}

// workerSlots is how many tasks of a gang a worker can take now.
type workerSlots struct {
	worker *Worker
	tasks  int
}

// gangSlots lists the workers that can take tasks of s now, most first.
func (c *Cell) gangSlots(r *round, s *step) []workerSlots {
	var slots []workerSlots
	for _, w := range c.startable(r, s) {
		if r.holds.reservedForOther(w, s) {
			continue
		}
		if n := s.slotsIn(w.free()); n > 0 {
			slots = append(slots, workerSlots{w, n})
		}
	}
	slices.SortStableFunc(slots, func(a, b workerSlots) int {
		return cmp.Or(cmp.Compare(c.gangPenalty(a.worker, s), c.gangPenalty(b.worker, s)), cmp.Compare(b.tasks, a.tasks))
	})
	return slots
}

// gangPenalty is 1 for workers on which the gang failed or that are slow: the
// slowest member makes the gang's time.
func (c *Cell) gangPenalty(w *Worker, s *step) int {
	if c.slowness(w) > slowThreshold || slices.ContainsFunc(s.tasks, func(t *task) bool { return t.avoid == w.ID }) {
		return 1
	}
	return 0
}

// slotsIn returns how many tasks of s fit into room.
func (s *step) slotsIn(room resource.Amount) int {
	n := s.perWorkerBound()
	have, need := room.Vector(), s.spec.Need.Vector()
	for d := range have {
		if need[d] > 0 {
			n = min(n, int(max(0, have[d]/need[d])))
		}
	}
	return min(n, len(s.tasks))
}

// chooseSlots takes as few workers as hold count tasks, of one rack if there is
// one that does and sameRack asks for it. It returns nil if there is no room.
func chooseSlots(slots []workerSlots, count int, sameRack bool) []workerSlots {
	if sameRack {
		for _, rack := range racksOf(slots) {
			inRack := slices.DeleteFunc(slices.Clone(slots), func(s workerSlots) bool { return s.worker.Rack != rack })
			if chosen := chooseSlots(inRack, count, false); chosen != nil {
				return chosen
			}
		}
	}
	left := count
	var chosen []workerSlots
	for _, s := range slots {
		n := min(s.tasks, left)
		chosen = append(chosen, workerSlots{s.worker, n})
		left -= n
		if left == 0 {
			return chosen
		}
	}
	return nil
}

func racksOf(slots []workerSlots) []string {
	var racks []string
	for _, s := range slots {
		if !slices.Contains(racks, s.worker.Rack) {
			racks = append(racks, s.worker.Rack)
		}
	}
	return racks
}

// placeGang plans all tasks of s with one run number.
func (c *Cell) placeGang(now time.Time, s *step, chosen []workerSlots) {
	last := 0
	for _, t := range s.tasks {
		last = max(last, t.lastRun)
	}
	var placed []*Run
	for _, slot := range chosen {
		for range slot.tasks {
			t := s.tasks[len(placed)]
			t.lastRun = last
			placed = append(placed, c.place(now, t, slot.worker))
		}
	}
	c.notePlaced(now, s, placed)
}

// reserve keeps workers free for s: those known to be allowed that will have room
// soonest, just enough of them.
func (h *holds) reserve(c *Cell, r *round, s *step) {
	if h.full(r) {
		return
	}
	upstream := c.upstreamOf(s.occ.job)
	left := len(s.tasks)
	for _, w := range r.soonestEmpty() {
		if left <= 0 || (len(h.by)+1)*reservableFraction > len(r.ready) {
			break
		}
		if h.by[w] != nil || !s.carries(upstream, w) || !s.advice.mayRun(s, w) {
			continue
		}
		if n := s.slotsIn(w.Capacity); n > 0 {
			h.by[w] = s
			left -= n
		}
	}
	if left < len(s.tasks) {
		h.steps++
	}
}
