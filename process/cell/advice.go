package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/version/catalog"
)

const (
	// typicalAsk is how many workers a call for advice is about on the whole.
	typicalAsk = 12
	// maxWorkersPerCall bounds the workers in one call for tasks, maxGangAsk in one for a gang, which
	// needs many at once; maxGangCalls bounds the calls that ask for one at a time.
	maxWorkersPerCall       = 40
	maxWorkersPerGangCall   = 60
	maxGangCalls = 3
	// adviceMargin is how much more room than needed is asked about.
	adviceMargin = 1.4
	// initialAllowedShare is taken for the part of workers allowed until it is known.
	initialAllowedShare = 0.5
	// allowedShareWeight is the weight of a new answer in the learned part.
	allowedShareWeight = 0.2
	// adviceRetryDelay is kept after a call that failed.
	adviceRetryDelay = 150 * time.Millisecond
	// gangCapacityFactor is how much room, of whole workers, is to be known as allowed for
	// each task of a gang before no more workers are asked about.
	gangCapacityFactor = 2.5
	// SlowAdvice is the time of a call from which advice counts as slow.
	SlowAdvice = 40 * time.Millisecond
)

// adviceState is what is known of the workers that may run a step.
type adviceState struct {
	// asking counts the calls under way.
	asking int
	// byWorker holds the answer on each worker asked about.
	byWorker map[string]workerAdvice
	// freshUntil is when the last ticket ends.
	freshUntil time.Time
	retryAt      time.Time
}

// workerAdvice is the advisory service's answer on one life of a worker.
type workerAdvice struct {
	allowed   bool
	incarnation   int64
	ticket string
	until  time.Time
}

// Ticket is the permission to run a step on a worker.
type Ticket struct {
	Worker string
	Text   string
}

// hasTicket reports whether the step may be started on w now.
func (c *Cell) hasTicket(now time.Time, s *step, w *Worker) bool {
	if s.occ.job.Policy.Advice == nil {
		return true
	}
	v, ok := s.advice.byWorker[w.ID]
	return ok && v.allowed && v.incarnation == w.incarnation && v.until.After(now.Add(2*ticketMargin))
}

// mayRun reports whether the step isn't known to be kept from w.
func (a *adviceState) mayRun(s *step, w *Worker) bool {
	if s.occ.job.Policy.Advice == nil {
		return true
	}
	v, ok := a.byWorker[w.ID]
	return ok && v.allowed && v.incarnation == w.incarnation
}

// refused reports whether the service refused w for the step.
func (a *adviceState) refused(w *Worker) bool {
	v, ok := a.byWorker[w.ID]
	return ok && !v.allowed && v.incarnation == w.incarnation
}

// requestTaskAdvice asks about workers for the step's waiting tasks: first those with
// room, then those that will have some while the tickets are good. A call costs far
// more than a worker in it, so it is about many.
func (c *Cell) requestTaskAdvice(r *round, s *step, short int) {
	if !c.mayAsk(r.now, s) {
		return
	}
	soon := r.now.Add(s.occ.job.Policy.Advice.Valid / 2)
	var slots []workerSlots
	ready := false
	for _, w := range c.candidates(r, s) {
		if s.advice.refused(w) || c.hasTicket(r.now, s, w) || r.holds.blocks(r.now, w, s) {
			continue
		}
		bound := s.perWorkerBound() - s.onWorker(w)
		if n := min(s.slotsIn(w.free()), bound); n > 0 {
			ready = true
			slots = append(slots, workerSlots{w, n})
		} else if min(s.slotsIn(w.expectedFree(r.now, soon)), bound) > 0 {
			slots = append(slots, workerSlots{w, 0})
		}
	}
	if !ready {
		return
	}
	need := s.spec.Need
	slices.SortStableFunc(slots, func(a, b workerSlots) int {
		return cmp.Or(
			cmp.Compare(min(b.tasks, 1), min(a.tasks, 1)), s.compareAllowed(a.worker, b.worker),
			cmp.Compare(leftover(a.worker, need), leftover(b.worker, need)))
	})
	c.requestAdvice(s, slots, max(short, c.minCallCapacity(s)), maxWorkersPerCall)
}

// minCallCapacity is the room to ask about at the least: as many workers as add half of
// what the call itself takes.
func (c *Cell) minCallCapacity(s *step) int {
	advice := s.occ.job.Policy.Advice
	if advice.Each <= 0 {
		return maxWorkersPerCall
	}
	return min(int(advice.Decide/(2*advice.Each)), maxWorkersPerCall/3)
}

// mayAsk reports whether the step needs advice and a call can be made now. The
// advisory service answers an entry's calls one after the other, so no more are
// made than it answers soon; steps ask in the order in which they are planned.
func (c *Cell) mayAsk(now time.Time, s *step) bool {
	advice := s.occ.job.Policy.Advice
	if advice == nil || s.advice.asking > 0 || s.advice.retryAt.After(now) {
		return false
	}
	return c.callAllowed(advice)
}

// callAllowed reports whether one more call of this kind may be under way.
func (c *Cell) callAllowed(advice *catalog.Advice) bool {
	if advice.Decide >= SlowAdvice {
		return c.slowAsks < c.lanes.Slow
	}
	return c.quickAsks < c.lanes.Quick
}

// Lanes bounds the calls for advice that are under way.
type Lanes struct {
	Slow  int
	Quick int
}

// SetLanes sets how many calls for advice may be under way.
func (c *Cell) SetLanes(l Lanes) { c.lanes = l }

// expectedFree is the room that w is expected to have at the time by.
func (w *Worker) expectedFree(now, by time.Time) resource.Amount {
	free := w.free()
	for _, r := range w.runs {
		if !r.endEstimate(now).After(by) {
			free = free.Add(r.need)
		}
	}
	return free
}

// compareAllowed sorts workers whose answer is known to be good before others.
func (s *step) compareAllowed(a, b *Worker) int {
	ka, kb := s.advice.mayRun(s, a), s.advice.mayRun(s, b)
	switch {
	case ka == kb:
		return 0
	case ka:
		return -1
	}
	return 1
}

// requestAdvice puts a question about as many of the candidates as are expected to yield
// room for want tasks, at most most.
func (c *Cell) requestAdvice(s *step, candidates []workerSlots, want, most int) {
	share := c.allowedShare(s.occ.job.Queue)
	expected := 0.0
	n := 0
	for ; n < len(candidates) && n < most && expected < adviceMargin*float64(want)+1; n++ {
		if s.advice.mayRun(s, candidates[n].worker) {
			expected += float64(candidates[n].tasks)
		} else {
			expected += share * float64(candidates[n].tasks)
		}
	}
	c.queueCall(s, candidates[:n])
}

// queueCall asks about all of the candidates at once.
func (c *Cell) queueCall(s *step, candidates []workerSlots) {
	if len(candidates) == 0 {
		return
	}
	job := s.occ.job
	ids := make([]string, len(candidates))
	for i, slot := range candidates {
		ids[i] = slot.worker.ID
	}
	s.advice.asking++
	c.countCall(job.Policy.Advice.Decide, 1)
	c.actions.Asks = append(c.actions.Asks, Ask{
		Step: s.name(), Queue: job.Queue, Workers: ids, Takes: job.Policy.Advice.CallTime(len(ids)), Decide: job.Policy.Advice.Decide,
	})
}

// countCall counts calls for advice that are under way.
func (c *Cell) countCall(decide time.Duration, by int) {
	if decide >= SlowAdvice {
		c.slowAsks += by
		return
	}
	c.quickAsks += by
}

// allowedShare is the learned part of workers that may run a queue's steps.
func (c *Cell) allowedShare(queue string) float64 {
	if share, ok := c.shares[queue]; ok {
		return max(share, 0.05)
	}
	return initialAllowedShare
}

// Advised takes in the answer to an Ask; failed says that there was none. answered
// is when the service answered at the earliest.
func (c *Cell) Advised(now, answered time.Time, ask Ask, good []Ticket, failed bool) {
	c.countCall(ask.Decide, -1)
	ref, err := parseTask(ask.Step + ".0")
	if err != nil {
		c.note(Note{Kind: NoteUnknownRun, Task: ask.Step, Error: err})
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
	s.advice.asking--
	if failed {
		s.advice.retryAt = now.Add(adviceRetryDelay)
		return
	}
	c.updateAllowedShare(ask.Queue, len(good), len(ask.Workers))
	if s.advice.byWorker == nil {
		s.advice.byWorker = make(map[string]workerAdvice)
	}
	for _, id := range ask.Workers {
		if w := c.workers[id]; w != nil {
			s.advice.byWorker[id] = workerAdvice{incarnation: w.incarnation}
		}
	}
	until := answered.Add(job.Policy.Advice.Valid)
	if len(good) > 0 {
		s.advice.freshUntil = until
	}
	for _, ticket := range good {
		if w := c.workers[ticket.Worker]; w != nil {
			s.advice.byWorker[ticket.Worker] = workerAdvice{allowed: true, incarnation: w.incarnation, ticket: ticket.Text, until: until}
		}
	}
}

func (c *Cell) updateAllowedShare(queue string, good, asked int) {
	if asked == 0 {
		return
	}
	now := float64(good) / float64(asked)
	old, ok := c.shares[queue]
	if !ok {
		old = initialAllowedShare
	}
	c.shares[queue] = old + allowedShareWeight*(now-old)
}
