package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// round is the state of one planning pass: the workers that accept new work and the
// decisions made so far.
type round struct {
	now    time.Time
	number uint64
	// ready holds the workers that accept new work, sorted by free processors at the
	// start of the round, most first. Placing only reduces free capacity, so freeCPU
	// stays an upper bound.
	ready []readyWorker
	// workersByEnd holds the same workers sorted by the expected end of their last run,
	// earliest first; nil until first used.
	workersByEnd []*Worker
	// isolatedReady holds the workers that accept new work and have isolated runs or are kept
	// free for such. ready holds all others.
	isolatedReady []*Worker
	isolation     isolation
	// shareChecks counts the steps that were checked for sharing isolated workers.
	shareChecks  int
	reservations reservations
	// misses counts the steps that found no free capacity or no ticket.
	misses int
	// totalFreeCPU is the free CPU of all ready workers, guaranteedCPU the CPU that steps
	// within their teams' guaranteed shares wait for, both in thousandths of a core.
	totalFreeCPU  int64
	guaranteedCPU int64
	// guaranteed holds these steps, keptFor how many of them capacity is kept for by now.
	guaranteed []missedStep
	keptFor    int
}

// readyWorker is a worker with its free CPU at the start of a round, in thousandths of
// a core.
type readyWorker struct {
	*Worker
	freeCPU int64
}

// maxMisses bounds the steps of a round that can't be placed. Later steps have lower
// precedence, and the next round starts within a few milliseconds.
const maxMisses = 120

// roundCut is why a round ends before it has tried to place all waiting steps.
type roundCut int

const (
	notCut roundCut = iota
	// cutByMisses: maxMisses steps couldn't be placed.
	cutByMisses
	// cutByStarts: no further run may be planned.
	cutByStarts
)

// cutOf returns why the round ends now, if it does.
func (c *Cell) cutOf(r *round) roundCut {
	switch {
	case r.misses >= maxMisses:
		return cutByMisses
	case c.starts.full(r.now), c.runsFull():
		return cutByStarts
	default:
		return notCut
	}
}

// fits reports whether need fits into the free capacity. It takes pointers because it
// is the most frequent comparison of a round.
func fits(need, free *resource.Amount) bool {
	return need.MilliCPU <= free.MilliCPU && need.MemoryMB <= free.MemoryMB && need.Accelerators <= free.Accelerators
}

// newRound starts a round with the workers that accept new work.
func (c *Cell) newRound(now time.Time) *round {
	c.rounds++
	r := &round{now: now, number: c.rounds, ready: make([]readyWorker, 0, len(c.workerOrder))}
	c.sortByFree()
	for _, w := range c.byFree {
		if !c.acceptsWork(now, w) {
			continue
		}
		if w.isolated(now) && !c.takesOthers(now, w) {
			r.isolatedReady = append(r.isolatedReady, w)
			continue
		}
		w.readyIn = r.number
		r.ready = append(r.ready, readyWorker{w, w.freeCapacity.MilliCPU})
		r.totalFreeCPU += w.freeCapacity.MilliCPU
	}
	return r
}

// maxMoves is the number of workers out of order up to which the order by free processors
// is mended instead of computed anew.
const maxMoves = 64

// sortByFree sorts byFree by free processors, most first, then by id. Few workers change
// between two rounds.
func (c *Cell) sortByFree() {
	if c.byFree == nil {
		c.byFree = slices.Clone(c.workerOrder)
	}
	moves := 0
	for i := 1; i < len(c.byFree); i++ {
		if compareFreeCPU(c.byFree[i-1], c.byFree[i]) > 0 {
			moves++
		}
	}
	if moves > maxMoves {
		slices.SortFunc(c.byFree, compareFreeCPU)
		return
	}
	for i := 1; i < len(c.byFree); i++ {
		w := c.byFree[i]
		j := i
		for ; j > 0 && compareFreeCPU(c.byFree[j-1], w) > 0; j-- {
			c.byFree[j] = c.byFree[j-1]
		}
		c.byFree[j] = w
	}
}

// compareFreeCPU orders workers by free processors, most first, then by id.
func compareFreeCPU(a, b *Worker) int {
	if a.freeCapacity.MilliCPU != b.freeCapacity.MilliCPU {
		return cmp.Compare(b.freeCapacity.MilliCPU, a.freeCapacity.MilliCPU)
	}
	return compareStrings(a.ID, b.ID)
}

// accepts reports whether w accepts new work in this round.
func (r *round) accepts(w *Worker) bool { return w.readyIn == r.number }

// byLastEnd returns the workers that accept new work, sorted by the expected end of
// their last run.
func (r *round) byLastEnd() []*Worker {
	if r.workersByEnd != nil {
		return r.workersByEnd
	}
	r.workersByEnd = make([]*Worker, 0, len(r.ready))
	for _, w := range r.ready {
		r.workersByEnd = append(r.workersByEnd, w.Worker)
	}
	slices.SortStableFunc(r.workersByEnd, func(a, b *Worker) int {
		return a.lastEndEstimate(r.now).Compare(b.lastEndEstimate(r.now))
	})
	return r.workersByEnd
}

// recordMiss records that a step found no free capacity or no ticket for the given
// number of its tasks.
func (r *round) recordMiss(u waitingStep, tasks int) {
	r.misses++
	if u.tier < overShare {
		r.guaranteedCPU += int64(tasks) * u.step.spec.Need.MilliCPU
		r.guaranteed = append(r.guaranteed, missedStep{u.step, tasks})
	}
}

// withFreeCPU returns the workers that may have enough free CPU for need.
func (r *round) withFreeCPU(need resource.Amount) []readyWorker {
	n, _ := slices.BinarySearchFunc(r.ready, need.MilliCPU, func(w readyWorker, cpu int64) int {
		if w.freeCPU >= cpu {
			return -1
		}
		return 1
	})
	return r.ready[:n]
}

// eligible reports whether w serves the given upstream, that of the job of s, has the label that
// s requires and hasn't just failed to start a task of it.
func (s *step) eligible(now time.Time, upstream string, w *Worker) bool {
	return s.matches(upstream, w) && !s.avoids(now, w)
}

// matches reports whether w serves the given upstream and has the label that s requires.
func (s *step) matches(upstream string, w *Worker) bool {
	return w.Upstream == upstream && s.spec.labelMatches(w)
}

// startableWorkers returns the workers on which a task of s can be started now: they have
// free capacity and a valid ticket and aren't reserved for another step.
func (c *Cell) startableWorkers(r *round, s *step) []*Worker {
	upstream := c.upstreamOf(s.occ.job)
	var list []*Worker
	add := func(w *Worker) {
		if fits(&s.spec.Need, &w.freeCapacity) && s.eligible(r.now, upstream, w) && c.hasTicket(r.now, s, w) && !r.reservedFromStep(w, s) {
			list = append(list, w)
		}
	}
	if s.occ.job.Policy.Advice == nil {
		for _, rw := range r.withFreeCPU(s.spec.Need) {
			add(rw.Worker)
		}
		return list
	}
	if !s.holdsTickets(r.now) {
		return nil
	}
	for _, w := range s.advice.allowed {
		if r.accepts(w) {
			add(w)
		}
	}
	return list
}

// allowedWorkers returns the workers that accept new work on which tasks of s may run as
// far as is known, with or without free capacity and tickets.
func (c *Cell) allowedWorkers(r *round, s *step) []*Worker {
	upstream := c.upstreamOf(s.occ.job)
	list := make([]*Worker, 0, len(s.advice.allowed))
	if s.occ.job.Policy.Advice == nil {
		for _, rw := range r.ready {
			if s.eligible(r.now, upstream, rw.Worker) {
				list = append(list, rw.Worker)
			}
		}
		return list
	}
	for _, w := range s.advice.allowed {
		if r.accepts(w) && s.eligible(r.now, upstream, w) && s.advice.allows(s, w) {
			list = append(list, w)
		}
	}
	return list
}

// holdsTickets reports whether some ticket of s may still be valid for a start.
func (s *step) holdsTickets(now time.Time) bool {
	return s.advice.ticketsExpireAt.After(now.Add(2 * ticketMargin))
}

// cannotGetTicket reports whether the step can't be started in this round because it has
// no ticket and can't request one.
func (c *Cell) cannotGetTicket(r *round, s *step) bool {
	return s.occ.job.Policy.Advice != nil && !s.holdsTickets(r.now) && !c.canRequestAdvice(r.now, s)
}
