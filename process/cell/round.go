package cell

import (
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// round is what one plan works on: the workers that take new work, and what it
// has decided so far.
type round struct {
	now   time.Time
	ready []*Worker
	holds holds
	// most is the most room in each dimension that any ready worker has; it only
	// bounds from above, since placing makes it smaller.
	most resource.Amount
	// misses counts the steps that found no room or no ticket.
	misses int
}

// maxMisses bounds the steps of a round that find nothing; those after them have
// less of a claim, and the next round is a few milliseconds away.
const maxMisses = 120

// fits reports whether room holds need. It is the hottest comparison of a plan.
func fits(need, room *resource.Amount) bool {
	return need.MilliCPU <= room.MilliCPU && need.MemoryMB <= room.MemoryMB && need.Accelerators <= room.Accelerators
}

// measure works out most anew.
func (r *round) measure() {
	r.most = resource.Amount{}
	for _, w := range r.ready {
		r.most = r.most.Max(w.free())
	}
}

func (c *Cell) newRound(now time.Time) *round {
	r := &round{now: now, holds: holds{by: make(map[*Worker]*step)}}
	for _, w := range c.workerOrder {
		if w.usable(now) && c.sound(now, w) {
			r.ready = append(r.ready, w)
		}
	}
	r.measure()
	return r
}

// candidates returns the ready workers on which tasks of s may run.
func (c *Cell) candidates(r *round, s *step) []*Worker {
	upstream := c.upstreamOf(s.occ.job)
	var list []*Worker
	for _, w := range r.ready {
		if w.Upstream == upstream && s.spec.labelFits(w) {
			list = append(list, w)
		}
	}
	return list
}
