package cell

import (
	"cmp"
	"slices"
)

// requestGangAdvice asks about workers ahead of their having room: the answer on a worker
// doesn't change, only its ticket ages. Tickets are renewed once there is room for
// the whole step by the time of the answer.
func (c *Cell) requestGangAdvice(r *round, s *step) {
	if !c.mayAsk(r.now, s) {
		return
	}
	var known, unknown []workerSlots
	good, soon := 0, 0
	answer := r.now.Add(s.occ.job.Policy.Advice.CallTime(typicalAsk))
	for _, w := range c.candidates(r, s) {
		whole := s.slotsIn(w.Capacity)
		if whole == 0 || s.advice.refused(w) || r.holds.reservedForOther(w, s) {
			continue
		}
		slot := workerSlots{w, s.slotsIn(w.expectedFree(r.now, answer))}
		if s.advice.mayRun(s, w) {
			good += whole
			soon += slot.tasks
			if slot.tasks > 0 {
				known = append(known, slot)
			}
			continue
		}
		unknown = append(unknown, workerSlots{w, max(slot.tasks, 1)})
	}
	byRoom := func(a, b workerSlots) int {
		return cmp.Or(cmp.Compare(b.tasks, a.tasks), cmp.Compare(b.worker.free().MilliCPU, a.worker.free().MilliCPU))
	}
	slices.SortStableFunc(known, byRoom)
	slices.SortStableFunc(unknown, byRoom)
	wanted := len(s.tasks)
	switch {
	case soon >= wanted:
		c.requestAdvice(s, known, wanted, maxWorkersPerGangCall)
	case good < int(gangCapacityFactor*float64(wanted)) && len(unknown) > 0:
		c.exploreWorkers(s, append(known, unknown...))
	}
}

// exploreWorkers asks about so many workers that the whole gang may find room on those that
// are allowed, in several calls at a time if one isn't enough.
func (c *Cell) exploreWorkers(s *step, candidates []workerSlots) {
	share := c.allowedShare(s.occ.job.Queue)
	missing := adviceMargin*float64(len(s.tasks)) + 1
	n := 0
	for ; n < len(candidates) && n < maxWorkersPerGangCall*maxGangCalls && missing > 0; n++ {
		missing -= share * float64(candidates[n].tasks)
	}
	calls := (n + maxWorkersPerGangCall - 1) / maxWorkersPerGangCall
	for i := range calls {
		if i > 0 && !c.callAllowed(s.occ.job.Policy.Advice) {
			return
		}
		c.queueCall(s, candidates[i*n/calls:(i+1)*n/calls])
	}
}
