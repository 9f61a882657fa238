package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/kingcuplatch/kingcuplatch/version/catalog"
)

const (
	// typicalAdviceWorkers is the number of workers assumed when the time of an advice
	// call is estimated.
	typicalAdviceWorkers = 12
	// maxWorkersPerCall bounds the workers in one call for individual tasks,
	// maxWorkersPerGangCall those in a call for a gang, which needs many workers at once.
	// maxGangCalls bounds the simultaneous calls for one gang.
	maxWorkersPerCall     = 40
	maxWorkersPerGangCall = 60
	maxGangCalls          = 3
	// adviceMargin is the capacity requested in advice calls, as a multiple of the
	// capacity needed.
	adviceMargin = 1.4
	// initialAllowedShare is the assumed share of allowed workers until the first reply.
	initialAllowedShare = 0.5
	// allowedShareWeight is the weight of a new reply in the moving average of the share.
	allowedShareWeight = 0.2
	// adviceRetryDelay is the delay after a failed call.
	adviceRetryDelay = 150 * time.Millisecond
	// gangCapacityFactor limits the exploration of workers for a gang: it ends once the
	// workers known to be allowed could, when empty, run this many times the gang's tasks.
	gangCapacityFactor = 2.5
	// exploreInterval is the minimum time between two searches of a gang for workers on
	// which no advice is known, since each one goes over the whole fleet.
	exploreInterval = 100 * time.Millisecond
	// SlowAdvice is the base duration of a call from which it counts as slow.
	SlowAdvice = 40 * time.Millisecond
)

// requestTaskAdvice requests advice on workers for the step's waiting tasks: first on
// those with free capacity, then on those expected to have some while the tickets are
// valid. The fixed cost of a call is far higher than the cost per worker, so each call
// covers many workers.
func (c *Cell) requestTaskAdvice(r *round, s *step, missing int) {
	if !c.canRequestAdvice(r.now, s) {
		return
	}
	wanted := max(missing, c.minCallCapacity(s))
	slots := c.untriedWithFree(r, s)
	if len(slots) == 0 {
		return
	}
	if len(slots) < maxWorkersPerCall {
		slots = append(slots, c.untriedWithFreeLater(r, s)...)
	}
	c.requestAdvice(s, slots, wanted)
}

// untriedWithFree lists the workers with free capacity for s and neither a ticket nor a
// refusal, those first that are known to be allowed, then those with least left over.
func (c *Cell) untriedWithFree(r *round, s *step) []workerSlots {
	upstream := c.upstreamOf(s.occ.job)
	var slots []workerSlots
	for _, rw := range r.withFreeCPU(s.spec.Need) {
		w := rw.Worker
		if !fits(&s.spec.Need, &w.freeCapacity) || !c.lacksTicket(r, s, w, upstream) {
			continue
		}
		if n := min(s.slotsIn(w.free()), s.perWorkerBound()-s.runsOn(w)); n > 0 {
			left := leftover(w, s.spec.Need)
			if w.startFailed(r.now) {
				left += failedPenalty
			}
			if c.reservedLately(w, s) {
				left += reservedPenalty
			}
			slots = append(slots, workerSlots{worker: w, tasks: n, allowed: s.advice.allows(s, w), leftover: left})
		}
	}
	slices.SortStableFunc(slots, func(a, b workerSlots) int {
		return cmp.Or(compareBool(b.allowed, a.allowed), cmp.Compare(a.leftover, b.leftover))
	})
	return slots
}

// untriedWithFreeLater lists the workers without free capacity for s that are expected to
// have some while the tickets are valid, in the order in which they are expected to be
// empty.
func (c *Cell) untriedWithFreeLater(r *round, s *step) []workerSlots {
	upstream := c.upstreamOf(s.occ.job)
	horizon := r.now.Add(s.occ.job.Policy.Advice.Valid / 2)
	var slots []workerSlots
	for _, w := range r.byLastEnd() {
		if len(slots) == maxWorkersPerCall {
			break
		}
		if fits(&s.spec.Need, &w.freeCapacity) || !c.lacksTicket(r, s, w, upstream) {
			continue
		}
		if min(s.slotsIn(w.expectedFree(horizon)), s.perWorkerBound()-s.runsOn(w)) > 0 {
			slots = append(slots, workerSlots{worker: w})
		}
	}
	return slots
}

// lacksTicket reports whether s may run on w as far as is known but has no ticket for it.
func (c *Cell) lacksTicket(r *round, s *step, w *Worker, upstream string) bool {
	return s.eligible(r.now, upstream, w) && !s.advice.refused(w) && !c.hasTicket(r.now, s, w) && !r.reservedFromStep(w, s)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// minCallCapacity returns the smallest capacity, in tasks, to request in one call: the
// number of workers whose time in the call adds up to half of the call's fixed time.
func (c *Cell) minCallCapacity(s *step) int {
	advice := s.occ.job.Policy.Advice
	if advice.Each <= 0 {
		return maxWorkersPerCall
	}
	return min(int(advice.Decide/(2*advice.Each)), maxWorkersPerCall/3)
}

// canRequestAdvice reports whether the step needs advice and a call can be made now. The
// advisory service handles the calls of an entry one after the other, so the number of
// calls in progress is bounded to what it can answer soon. Steps request advice in
// planning order.
func (c *Cell) canRequestAdvice(now time.Time, s *step) bool {
	advice := s.occ.job.Policy.Advice
	if advice == nil || s.advice.calls > 0 || s.advice.retryAt.After(now) {
		return false
	}
	return c.callAllowed(advice)
}

// callAllowed reports whether one more call of this kind may be in progress.
func (c *Cell) callAllowed(advice *catalog.Advice) bool {
	if advice.Decide >= SlowAdvice {
		return c.slowAdviceCalls < c.adviceLimits.Slow
	}
	return c.quickAdviceCalls < c.adviceLimits.Quick
}

// AdviceLimits bounds the slow and the quick advice calls in progress. A call is slow
// if its base duration is at least SlowAdvice.
type AdviceLimits struct {
	Slow  int
	Quick int
}

// SetAdviceLimits sets how many advice calls may be in progress.
func (c *Cell) SetAdviceLimits(l AdviceLimits) { c.adviceLimits = l }

// requestAdvice requests advice on as many of the candidates as are expected to yield
// capacity for wanted tasks, but on at most maxWorkersPerCall.
func (c *Cell) requestAdvice(s *step, candidates []workerSlots, wanted int) {
	share := c.allowedShare(s.occ.job.Queue)
	expected := 0.0
	n := 0
	for ; n < len(candidates) && n < maxWorkersPerCall && expected < adviceMargin*float64(wanted)+1; n++ {
		if candidates[n].allowed {
			expected += float64(candidates[n].tasks)
		} else {
			expected += share * float64(candidates[n].tasks)
		}
	}
	c.queueCall(s, candidates[:n])
}

// queueCall queues one advice request for all of the candidates.
func (c *Cell) queueCall(s *step, candidates []workerSlots) {
	if len(candidates) == 0 {
		return
	}
	job := s.occ.job
	ids := make([]string, len(candidates))
	for i, slot := range candidates {
		ids[i] = slot.worker.ID
	}
	s.advice.calls++
	c.countCall(job.Policy.Advice.Decide, 1)
	request := AdviceRequest{
		Step: s.name(), Queue: job.Queue, Workers: ids, Estimate: job.Policy.Advice.CallTime(len(ids)), Decide: job.Policy.Advice.Decide,
	}
	if s.spec.Gang {
		request.claims = claimFor(s, candidates)
	}
	c.actions.AdviceRequests = append(c.actions.AdviceRequests, request)
}

// countCall adds delta to the number of slow or quick calls in progress.
func (c *Cell) countCall(decide time.Duration, delta int) {
	if decide >= SlowAdvice {
		c.slowAdviceCalls += delta
		return
	}
	c.quickAdviceCalls += delta
}

// allowedShare returns the estimated share of workers that may run a queue's steps.
func (c *Cell) allowedShare(queue string) float64 {
	if share, ok := c.allowedShares[queue]; ok {
		return max(share, 0.05)
	}
	return initialAllowedShare
}

// Advised handles the reply to an AdviceRequest; failed is set if there was none.
// answered is the earliest time at which the service can have replied.
func (c *Cell) Advised(now, answered time.Time, request AdviceRequest, tickets []Ticket, failed bool) {
	c.countCall(request.Decide, -1)
	request.releaseClaims()
	ref, err := parseTask(request.Step + ".0")
	if err != nil {
		c.note(Note{Kind: NoteRunUnknown, Task: request.Step, Error: err})
		return
	}
	job := c.jobs[ref.job]
	if job == nil {
		return
	}
	t := job.find(ref)
	if t == nil {
		return
	}
	s := t.step
	s.advice.calls--
	if failed {
		s.advice.retryAt = now.Add(adviceRetryDelay)
		return
	}
	c.learnAllowedShare(s, request, tickets)
	for _, id := range request.Workers {
		if w := c.workers[id]; w != nil {
			s.advice.setRefused(w)
		}
	}
	until := answered.Add(job.Policy.Advice.Valid)
	for _, ticket := range tickets {
		if w := c.workers[ticket.Worker]; w != nil {
			s.advice.setAllowed(w, ticket.Text, until)
		}
	}
}

// learnAllowedShare updates the estimated share of allowed workers of a queue from a reply. Only
// workers on which nothing was known count: calls that renew tickets name workers that are
// known to be allowed.
func (c *Cell) learnAllowedShare(s *step, request AdviceRequest, tickets []Ticket) {
	asked := make(map[string]bool, len(request.Workers))
	for _, id := range request.Workers {
		if w := c.workers[id]; w != nil && !s.advice.known(w) {
			asked[id] = true
		}
	}
	allowed := 0
	for _, ticket := range tickets {
		if asked[ticket.Worker] {
			allowed++
		}
	}
	c.updateAllowedShare(request.Queue, allowed, len(asked))
}

func (c *Cell) updateAllowedShare(queue string, allowed, total int) {
	if total == 0 {
		return
	}
	share := float64(allowed) / float64(total)
	old, ok := c.allowedShares[queue]
	if !ok {
		old = initialAllowedShare
	}
	c.allowedShares[queue] = old + allowedShareWeight*(share-old)
}
