package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// reservations are the workers kept free for gang steps that found too little capacity.
type reservations struct {
	byWorker map[*Worker]*step
	steps    int
}

// Bounds of reservations.
const (
	// maxReservedDivisor bounds the workers reserved at a time to one in this many.
	maxReservedDivisor = 2
	// minReservingSteps is the bound on the steps with reservations in a small fleet.
	// Large fleets may have one such step per workersPerReservingStep workers.
	minReservingSteps       = 3
	workersPerReservingStep = 16
)

// full reports whether no more steps may reserve workers.
func (rs *reservations) full(r *round) bool {
	return rs.steps >= max(minReservingSteps, len(r.ready)/workersPerReservingStep)
}

// reservedForOther reports whether w is reserved for a step other than s.
func (rs *reservations) reservedForOther(w *Worker, s *step) bool {
	owner := rs.byWorker[w]
	return owner != nil && owner != s
}

// blocks reports whether a reservation of w for another step keeps s from it. A task that
// ends before the last of the worker's runs may still be placed there, since the
// reserving step has to wait for that run anyway.
func (rs *reservations) blocks(now time.Time, w *Worker, s *step) bool {
	if !rs.reservedForOther(w, s) {
		return false
	}
	return !s.endsWithin(w.lastEndEstimate(now).Sub(now))
}

// endsWithin reports whether a task of s is expected to end within d.
func (s *step) endsWithin(d time.Duration) bool { return s.spec.Estimate <= d }

// lastEndEstimate returns when the last run on w is expected to end.
func (w *Worker) lastEndEstimate(now time.Time) time.Time {
	last := now
	for _, r := range w.runs {
		if end := r.endEstimate(now); end.After(last) {
			last = end
		}
	}
	return last
}

// minRateSample is the progress of a run, in percent, from which its rate is used.
const minRateSample = 10

// endEstimate returns when the run is expected to end: by its own rate once it is known,
// otherwise by its step's estimate.
func (r *Run) endEstimate(now time.Time) time.Time {
	if r.percent < minRateSample || r.listedAt.IsZero() {
		return r.plannedAt.Add(r.task.step.spec.Estimate)
	}
	passed := r.progressAt.Sub(r.listedAt)
	return r.progressAt.Add(passed * time.Duration(100-r.percent) / time.Duration(r.percent))
}

// planGang places all tasks of a step or none. Without enough free capacity it reserves
// workers and requests advice ahead of time.
func (c *Cell) planGang(r *round, u waitingStep) {
	s := u.step
	job := s.occ.job
	total := s.spec.charge().Times(int64(len(s.tasks)))
	if s.deferred(r.now) || !c.withinCap(job.Team, total) {
		return
	}
	if c.cannotGetTicket(r, s) && (u.tier != guaranteed || r.reservations.full(r)) {
		return
	}
	if chosen := chooseSlots(c.gangSlots(r, s), len(s.tasks), s.spec.SameRack); chosen != nil {
		c.placeGang(r.now, s, chosen)
		r.totalFreeCPU -= total.MilliCPU
		return
	}
	r.recordMiss(u, len(s.tasks))
	if u.tier <= late {
		r.reservations.reserve(c, r, s)
	}
	c.requestGangAdvice(r, s)
}

func (s *step) deferred(now time.Time) bool {
	return slices.ContainsFunc(s.tasks, func(t *task) bool { return t.retryAt.After(now) })
}

// workerSlots is a worker with the number of a step's tasks that fit on it.
type workerSlots struct {
	worker *Worker
	tasks  int
}

// gangSlots lists the workers that can take tasks of s now, those with most slots first.
func (c *Cell) gangSlots(r *round, s *step) []workerSlots {
	var slots []workerSlots
	for _, w := range c.startableWorkers(r, s) {
		if r.reservations.reservedForOther(w, s) {
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

// gangPenalty returns 1 for workers that are slow or on which the gang failed, else 0:
// the slowest member determines the duration of the gang.
func (c *Cell) gangPenalty(w *Worker, s *step) int {
	if c.slowness(w) > slowThreshold || slices.ContainsFunc(s.tasks, func(t *task) bool { return t.avoidWorker == w.ID }) {
		return 1
	}
	return 0
}

// slotsIn returns how many tasks of s fit into free.
func (s *step) slotsIn(free resource.Amount) int {
	n := s.perWorkerBound()
	have, need := free.Vector(), s.spec.Need.Vector()
	for d := range have {
		if need[d] > 0 {
			n = min(n, int(max(0, have[d]/need[d])))
		}
	}
	return min(n, len(s.tasks))
}

// chooseSlots returns the first workers that together have capacity for count tasks. If
// sameRack is set, it prefers a rack that has it alone. It returns nil if the slots don't
// suffice.
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

// reserve reserves as many workers as the tasks of s need: those that are known to be
// allowed, in the order in which they are expected to be empty.
func (rs *reservations) reserve(c *Cell, r *round, s *step) {
	if rs.full(r) {
		return
	}
	upstream := c.upstreamOf(s.occ.job)
	left := len(s.tasks)
	for _, w := range r.byLastEnd() {
		if left <= 0 || (len(rs.byWorker)+1)*maxReservedDivisor > len(r.ready) {
			break
		}
		if rs.byWorker[w] != nil || !s.eligible(upstream, w) || !s.advice.allows(s, w) {
			continue
		}
		if n := s.slotsIn(w.Capacity); n > 0 {
			rs.byWorker[w] = s
			left -= n
		}
	}
	if left < len(s.tasks) {
		rs.steps++
	}
}
