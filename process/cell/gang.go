package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// reservations are the workers of a round kept free for gang steps that found too little
// capacity.
type reservations struct {
	workers int
	steps   int
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

// reservation is the step for which a worker is reserved in a round.
type reservation struct {
	round uint64
	step  *step
	// from is when the last of the workers that the step needs is expected to be empty; zero if all
	// have enough free capacity soon.
	from time.Time
}

// reservationsFull reports whether no more steps may reserve workers.
func (r *round) reservationsFull() bool {
	return r.reservations.steps >= max(minReservingSteps, len(r.ready)/workersPerReservingStep)
}

// reservedForOther reports whether w is reserved for a step other than s.
func (r *round) reservedForOther(w *Worker, s *step) bool {
	return w.reserved.round == r.number && w.reserved.step != s
}

// reservedLately reports whether w is reserved for a step other than s in this round or was in
// the one before. Steps that come before a gang are placed before it reserves workers.
func (c *Cell) reservedLately(w *Worker, s *step) bool {
	return w.reserved.step != nil && w.reserved.step != s && w.reserved.round+1 >= c.rounds
}

// reservedFromStep reports whether a reservation of w for another step keeps s from it. A
// task that ends before the last of the worker's runs, or before the other workers that the
// reserving step needs are empty, may still be placed there, since that step has to wait anyway.
func (r *round) reservedFromStep(w *Worker, s *step) bool {
	return r.reservedForOther(w, s) && !s.endsWithin(maxTime(w.lastEndEstimate(r.now), w.reserved.from).Sub(r.now))
}

// endsWithin reports whether a task of s is expected to end within d.
func (s *step) endsWithin(d time.Duration) bool { return s.spec.Estimate <= d }

// planGang places all tasks of a step or none. Without enough free capacity it reserves
// workers and requests advice ahead of time.
func (c *Cell) planGang(r *round, u waitingStep) {
	s := u.step
	job := s.occ.job
	total := s.spec.charge().Times(int64(len(s.tasks)))
	if s.deferred(r.now) || !c.withinCap(job.Team, total) || s.tasks[0].awaitsConfirmation(r.now) {
		return
	}
	s.besideOthers = s.tasks[0].suspect() && c.waitsInVain(r, s.tasks[0], s.waitingSince)
	// Work beyond its team's share must not keep capacity idle.
	mayReserve := u.tier != overShare && !r.reservationsFull()
	if c.cannotGetTicket(r, s) && !mayReserve {
		return
	}
	if chosen := chooseSlots(c.gangSlots(r, s), len(s.tasks), s.spec.SameRack); chosen != nil {
		c.placeGang(r.now, s, chosen)
		r.totalFreeCPU -= total.MilliCPU
		return
	}
	r.recordMiss(u, len(s.tasks))
	if !mayReserve && !c.canRequestAdvice(r.now, s) {
		return
	}
	f := c.forecastGang(r, s)
	if mayReserve {
		r.reserve(s, f)
	}
	c.requestGangAdvice(r, s, f)
}

func (s *step) deferred(now time.Time) bool {
	return slices.ContainsFunc(s.tasks, func(t *task) bool { return t.retryAt.After(now) })
}

// workerSlots is a worker with the number of a step's tasks that fit on it.
type workerSlots struct {
	worker *Worker
	tasks  int
	// allowed is set if advice is known to allow the step there.
	allowed bool
	// leftover is the part of the worker's capacity that one task would leave free.
	leftover float64
	// penalty is that of gangPenalty.
	penalty int
}

// gangSlots lists the workers that can take tasks of s now, those with most slots first. It
// returns nil if together they can't take all. A gang that may have crashed a worker takes empty
// ones only.
func (c *Cell) gangSlots(r *round, s *step) []workerSlots {
	workers := c.startableWorkers(r, s)
	slots := make([]workerSlots, 0, len(workers))
	total := 0
	apart := s.gangApart(r.now)
	for _, w := range workers {
		if r.reservedForOther(w, s) || (apart && len(w.runList) > 0) {
			continue
		}
		if n := s.slotsIn(w.free()); n > 0 {
			slots = append(slots, workerSlots{worker: w, tasks: n, penalty: c.gangPenalty(r.now, w, s)})
			total += n
		}
	}
	if total < len(s.tasks) {
		return nil
	}
	slices.SortStableFunc(slots, compareSound)
	return slots
}

// compareSound orders workers without penalty before others, then as compareFree does.
func compareSound(a, b workerSlots) int {
	return cmp.Or(cmp.Compare(a.penalty, b.penalty), compareFree(a, b))
}

// compareFree orders workers by slots, then by free processors, most first.
func compareFree(a, b workerSlots) int {
	return cmp.Or(cmp.Compare(b.tasks, a.tasks), cmp.Compare(b.worker.freeCapacity.MilliCPU, a.worker.freeCapacity.MilliCPU))
}

// gangPenalty returns 1 for workers that are slow or cold, on which the gang or a start failed or that are
// likelier to crash than others, else 0: the slowest member determines the duration of the gang.
func (c *Cell) gangPenalty(now time.Time, w *Worker, s *step) int {
	if w.startFailed(now) || w.cold(now) || c.slowness(w) > slowThreshold || (len(c.riskyUntil) > 0 && c.mixes(s, w)) || slices.ContainsFunc(s.tasks, func(t *task) bool { return t.avoidWorker == w.ID }) {
		return 1
	}
	return 0
}

// slotsIn returns how many tasks of s fit into free: none, whatever they need, if it is negative
// in some dimension.
func (s *step) slotsIn(free resource.Amount) int {
	n := s.perWorkerBound()
	have, need := free.Vector(), s.spec.Need.Vector()
	n = min(n, len(s.tasks))
	for d := range have {
		if have[d] < 0 || need[d] > have[d] {
			return 0
		}
		// Most workers hold as many tasks as are wanted, and a division takes longest here.
		if need[d] > 0 && need[d]*int64(n) > have[d] {
			n = int(have[d] / need[d])
		}
	}
	return n
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
		chosen = append(chosen, workerSlots{worker: s.worker, tasks: n})
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
	s.gangEnd = time.Time{}
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

// reserve reserves workers for s. If the whole step is expected to fit by the time of the
// next advice, it reserves the workers with most slots by then, for which tickets are
// requested. Otherwise it reserves as many as the tasks need when the workers are empty, in
// the order in which that is expected.
func (r *round) reserve(s *step, f gangForecast) {
	slots := f.soon
	var from time.Time
	if f.expected < len(s.tasks) {
		slots = slices.Clone(f.empty)
		slices.SortStableFunc(slots, func(a, b workerSlots) int {
			return a.worker.lastEndEstimate(r.now).Compare(b.worker.lastEndEstimate(r.now))
		})
		from = r.emptyBy(slots, len(s.tasks))
	}
	left := len(s.tasks)
	for _, slot := range slots {
		if left <= 0 || (r.reservations.workers+1)*maxReservedDivisor > len(r.ready) {
			break
		}
		if slot.worker.reserved.round == r.number {
			continue
		}
		slot.worker.reserved = reservation{round: r.number, step: s, from: from}
		r.reservations.workers++
		left -= slot.tasks
	}
	if left < len(s.tasks) {
		r.reservations.steps++
	}
}

// emptyBy returns when enough of the workers, in the order of their last ends, are expected to be empty
// for the given number of tasks: that of the last one if all together are too few.
func (r *round) emptyBy(slots []workerSlots, tasks int) time.Time {
	var by time.Time
	for _, slot := range slots {
		if tasks <= 0 {
			break
		}
		by = slot.worker.lastEndEstimate(r.now)
		tasks -= slot.tasks
	}
	return by
}
