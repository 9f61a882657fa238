package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// round is what one plan works on: the workers that take new work, and what it
// has decided so far.
type round struct {
	now time.Time
	// ready are the workers that take new work, those with most free processors at
	// the start of the round first. Placing only makes room smaller, so the order
	// bounds from above.
	ready []readyWorker
	// byEnd are the same workers, those whose last run ends first, first; nil until they
	// are asked for.
	byEnd []*Worker
	holds reservations
	// misses counts the steps that were looked at and found no room or no ticket.
	misses int
	// free are the processors that are free on all of ready, kept those that steps owed
	// to their teams wait for.
	free int64
	kept int64
}

// readyWorker is a worker with its free processors at the start of a round.
type readyWorker struct {
	*Worker
	freeCPU int64
}

// maxMisses bounds the steps of a round that find nothing; those after them have
// less of a claim, and the next round is a few milliseconds away.
const maxMisses = 120

// fits reports whether room holds need. It is the hottest comparison of a plan.
func fits(need, room *resource.Amount) bool {
	return need.MilliCPU <= room.MilliCPU && need.MemoryMB <= room.MemoryMB && need.Accelerators <= room.Accelerators
}

func (c *Cell) newRound(now time.Time) *round {
	r := &round{now: now, holds: reservations{byWorker: make(map[*Worker]*step)}}
	for _, w := range c.workerOrder {
		if c.acceptsWork(now, w) {
			r.ready = append(r.ready, readyWorker{w, w.freeCapacity.MilliCPU})
			r.free += w.freeCapacity.MilliCPU
		}
	}
	slices.SortStableFunc(r.ready, func(a, b readyWorker) int { return cmp.Compare(b.freeCPU, a.freeCPU) })
	return r
}

// soonestEmpty returns the workers that take new work in the order in which their last
// runs are expected to end.
func (r *round) soonestEmpty() []*Worker {
	if r.byEnd != nil {
		return r.byEnd
	}
	ends := make(map[*Worker]time.Time, len(r.ready))
	r.byEnd = make([]*Worker, 0, len(r.ready))
	for _, w := range r.ready {
		ends[w.Worker] = w.lastEndEstimate(r.now)
		r.byEnd = append(r.byEnd, w.Worker)
	}
	slices.SortStableFunc(r.byEnd, func(a, b *Worker) int { return ends[a].Compare(ends[b]) })
	return r.byEnd
}

// miss notes that a step found no room or no ticket for so many of its tasks.
func (r *round) miss(u unit, tasks int) {
	r.misses++
	if u.tier < surplus {
		r.kept += int64(tasks) * u.step.spec.Need.MilliCPU
	}
}

// leaves reports whether placing a task of the unit leaves what others are owed.
func (r *round) leaves(u unit) bool {
	return u.tier < surplus || r.free-u.step.spec.Need.MilliCPU >= r.kept
}

// roomy returns the workers that may have room for need.
func (r *round) roomy(need resource.Amount) []readyWorker {
	n, _ := slices.BinarySearchFunc(r.ready, need.MilliCPU, func(w readyWorker, cpu int64) int {
		if w.freeCPU >= cpu {
			return -1
		}
		return 1
	})
	return r.ready[:n]
}

// carries reports whether tasks of s, whose job's upstream is given, may run on w.
func (s *step) carries(upstream string, w *Worker) bool {
	return w.Upstream == upstream && s.spec.labelMatches(w)
}

// startable returns the workers on which a task of s can be started now.
func (c *Cell) startable(r *round, s *step) []*Worker {
	upstream := c.upstreamOf(s.occ.job)
	var list []*Worker
	for _, rw := range r.roomy(s.spec.Need) {
		w := rw.Worker
		if fits(&s.spec.Need, &w.freeCapacity) && s.carries(upstream, w) && c.hasTicket(r.now, s, w) && !r.holds.blocks(r.now, w, s) {
			list = append(list, w)
		}
	}
	return list
}

// candidates returns the workers on which tasks of s may run, with room or without.
func (c *Cell) candidates(r *round, s *step) []*Worker {
	upstream := c.upstreamOf(s.occ.job)
	var list []*Worker
	for _, rw := range r.ready {
		if s.carries(upstream, rw.Worker) {
			list = append(list, rw.Worker)
		}
	}
	return list
}

// hopelessNow reports whether the step can't be started in this round: it has no
// ticket and can't ask for one.
func (c *Cell) hopelessNow(r *round, s *step) bool {
	return s.occ.job.Policy.Advice != nil && !s.advice.ticketsExpireAt.After(r.now.Add(2*ticketMargin)) && !c.canRequestAdvice(r.now, s)
}
