package cell

import (
	"slices"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// gangForecast is what a gang that found too little capacity can expect of the workers
// that advice is known to allow and that aren't reserved for other steps.
type gangForecast struct {
	// soon holds the workers with capacity expected at the time of the next advice, those
	// without penalty and with most slots first. expected is the sum of their slots,
	// sound the part of it on workers without penalty.
	soon     []workerSlots
	expected int
	sound    int
	// empty holds all of the workers with their slots when empty; whenEmpty is the sum over
	// those without penalty.
	empty     []workerSlots
	whenEmpty int
}

// forecastGang returns the forecast for s.
func (c *Cell) forecastGang(r *round, s *step) gangForecast {
	workers := c.allowedWorkers(r, s)
	f := gangForecast{soon: make([]workerSlots, 0, len(workers)), empty: make([]workerSlots, 0, len(workers))}
	soon := s.adviceExpectedAt(r.now)
	apart := s.gangApart(r.now)
	for _, w := range workers {
		capacity := s.slotsIn(w.Capacity)
		if capacity == 0 || r.reservedForOther(w, s) {
			continue
		}
		penalty := c.gangPenalty(r.now, w, s)
		f.empty = append(f.empty, workerSlots{worker: w, tasks: capacity})
		if penalty == 0 {
			f.whenEmpty += capacity
		}
		if apart && w.lastEndEstimate(r.now).After(soon) {
			continue
		}
		if n := s.slotsIn(w.expectedFree(soon)); n > 0 {
			f.soon = append(f.soon, workerSlots{worker: w, tasks: n, allowed: true, penalty: penalty})
			f.expected += n
			if penalty == 0 {
				f.sound += n
			}
		}
	}
	slices.SortStableFunc(f.soon, compareSound)
	return f
}

// adviceExpectedAt returns when the reply to advice requested now is expected.
func (s *step) adviceExpectedAt(now time.Time) time.Time {
	advice := s.occ.job.Policy.Advice
	if advice == nil {
		return now
	}
	return now.Add(advice.CallTime(typicalAdviceWorkers))
}

// requestGangAdvice requests advice on workers before they have free capacity: the reply
// for a worker doesn't change, only its ticket expires. Tickets are renewed once the
// whole step is expected to fit by the time of the reply.
func (c *Cell) requestGangAdvice(r *round, s *step, f gangForecast) {
	if !c.canRequestAdvice(r.now, s) {
		return
	}
	wanted := len(s.tasks)
	if f.sound >= wanted {
		c.requestTickets(r.now, s, f.soon, 1)
		return
	}
	if s.advice.exploreAt.After(r.now) {
		return
	}
	s.advice.exploreAt = r.now.Add(exploreInterval)
	unknown, free := c.unknownWorkers(r, s)
	// Known workers may stay busy for long. Others are worth a call while too few are known,
	// or if enough of those with free capacity can be expected to be allowed.
	fewKnown := f.whenEmpty < int(gangCapacityFactor*float64(wanted))
	missing := float64(wanted - f.sound)
	switch {
	case len(unknown) > 0 && (fewKnown || c.allowedShare(s.occ.job.Queue)*float64(free) >= missing):
		c.requestTickets(r.now, s, append(f.forExploration(), unknown...), s.nextSearchWidth())
	case f.expected >= wanted:
		c.requestTickets(r.now, s, f.soon, 1)
	}
}

// unknownWorkers lists the workers that can run tasks of s but on which no advice is known,
// those on which no start failed and with most slots at the time of the next advice first, and the sum
// of these slots.
func (c *Cell) unknownWorkers(r *round, s *step) (unknown []workerSlots, free int) {
	upstream := c.upstreamOf(s.occ.job)
	soon := s.adviceExpectedAt(r.now)
	for _, rw := range r.ready {
		w := rw.Worker
		if !s.eligible(r.now, upstream, w) || s.advice.known(w) || r.reservedForOther(w, s) || s.slotsIn(w.Capacity) == 0 {
			continue
		}
		n := s.slotsIn(w.expectedFree(soon).Sub(w.claimed))
		free += n
		unknown = append(unknown, workerSlots{worker: w, tasks: max(n, 1), penalty: boolToInt(w.startFailed(r.now))})
	}
	slices.SortStableFunc(unknown, compareSound)
	return unknown, free
}

// forExploration returns the workers with capacity expected soon, of which those with a penalty count
// as if nothing were known of them: they don't end the search for others.
func (f *gangForecast) forExploration() []workerSlots {
	slots := slices.Clone(f.soon)
	for i := range slots {
		slots[i].allowed = slots[i].allowed && slots[i].penalty == 0
	}
	return slots
}

// searchGrowth is how many times wider than the one before each further search of a gang for workers is.
const searchGrowth = 3

// nextSearchWidth returns how many times wider than the first one the next search of the gang is. Each
// search takes a call, most of whose time doesn't depend on the number of workers.
func (s *step) nextSearchWidth() float64 {
	width := max(s.advice.searchWidth, 1)
	s.advice.searchWidth = min(width*searchGrowth, maxWorkersPerGangCall*maxGangCalls)
	return width
}

// requestTickets requests advice on as many of the candidates as are expected to include enough
// allowed ones for the whole gang, width times over, in several simultaneous calls if one isn't enough. It passes over
// those whose tickets outlast the calls. If fewer calls may be in progress than are needed, the next
// ones thus ask about the others.
func (c *Cell) requestTickets(now time.Time, s *step, candidates []workerSlots, width float64) {
	share := c.allowedShare(s.occ.job.Queue)
	missing := width * (adviceMargin*float64(len(s.tasks)) + 1)
	lasting := s.ticketNeededUntil(now)
	var asked []workerSlots
	for _, slot := range candidates {
		if missing <= 0 || len(asked) == maxWorkersPerGangCall*maxGangCalls {
			break
		}
		if slot.allowed || s.advice.validUntil(slot.worker).After(lasting) {
			missing -= float64(slot.tasks)
		} else {
			missing -= share * float64(slot.tasks)
		}
		if !s.advice.validUntil(slot.worker).After(lasting) {
			asked = append(asked, slot)
		}
	}
	n := len(asked)
	calls := (n + maxWorkersPerGangCall - 1) / maxWorkersPerGangCall
	for i := range calls {
		if i > 0 && !c.callAllowed(s.occ.job.Policy.Advice) {
			return
		}
		c.queueCall(s, asked[i*n/calls:(i+1)*n/calls])
	}
}

// ticketReserveDivisor divides the time for which tickets are valid to give what is left of it, once a
// call is answered, for the placement with tickets from before the call.
const ticketReserveDivisor = 4

// ticketNeededUntil returns until when a ticket has to be valid that is to be used with those from the
// largest call requested now.
func (s *step) ticketNeededUntil(now time.Time) time.Time {
	advice := s.occ.job.Policy.Advice
	return now.Add(advice.CallTime(maxWorkersPerGangCall) + advice.Valid/ticketReserveDivisor)
}

// claim is the capacity of a worker that a gang may take once a call for advice is answered.
type claim struct {
	worker *Worker
	amount resource.Amount
}

// claimFor claims the capacity that s would take on each of the candidates of a call, until
// the reply. Gangs that explore meanwhile then ask about other workers; otherwise all of them
// would ask about those with most slots, and find them taken by the first that is answered.
func claimFor(s *step, candidates []workerSlots) []claim {
	claims := make([]claim, 0, len(candidates))
	for _, slot := range candidates {
		one := claim{slot.worker, s.spec.Need.Times(int64(s.slotsIn(slot.worker.Capacity)))}
		one.worker.claimed = one.worker.claimed.Add(one.amount)
		claims = append(claims, one)
	}
	return claims
}

// releaseClaims ends the claims of a call that is over.
func (r AdviceRequest) releaseClaims() {
	for _, one := range r.claims {
		one.worker.claimed = one.worker.claimed.Sub(one.amount)
	}
}
