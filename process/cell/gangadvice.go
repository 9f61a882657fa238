package cell

import (
	"cmp"
	"slices"
)

// requestGangAdvice requests advice on workers before they have free capacity: the reply
// for a worker doesn't change, only its ticket expires. Tickets are renewed once the
// whole step is expected to fit by the time of the reply.
func (c *Cell) requestGangAdvice(r *round, s *step) {
	if !c.canRequestAdvice(r.now, s) {
		return
	}
	var known, unknown []workerSlots
	allowed, expected := 0, 0
	replyAt := r.now.Add(s.occ.job.Policy.Advice.CallTime(typicalAdviceWorkers))
	for _, w := range c.eligibleWorkers(r, s) {
		capacity := s.slotsIn(w.Capacity)
		if capacity == 0 || s.advice.refused(w) || r.reservations.reservedForOther(w, s) {
			continue
		}
		slot := workerSlots{w, s.slotsIn(w.expectedFree(r.now, replyAt))}
		if s.advice.allows(s, w) {
			allowed += capacity
			expected += slot.tasks
			if slot.tasks > 0 {
				known = append(known, slot)
			}
			continue
		}
		unknown = append(unknown, workerSlots{w, max(slot.tasks, 1)})
	}
	byFree := func(a, b workerSlots) int {
		return cmp.Or(cmp.Compare(b.tasks, a.tasks), cmp.Compare(b.worker.free().MilliCPU, a.worker.free().MilliCPU))
	}
	slices.SortStableFunc(known, byFree)
	slices.SortStableFunc(unknown, byFree)
	wanted := len(s.tasks)
	switch {
	case expected >= wanted:
		c.requestAdvice(s, known, wanted, maxWorkersPerGangCall)
	case allowed < int(gangCapacityFactor*float64(wanted)) && len(unknown) > 0:
		c.exploreWorkers(s, append(known, unknown...))
	}
}

// exploreWorkers requests advice on as many workers as are expected to include enough
// allowed ones for the whole gang, in several simultaneous calls if one isn't enough.
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
