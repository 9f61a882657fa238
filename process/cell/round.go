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
}

func (c *Cell) newRound(now time.Time) *round {
	r := &round{now: now, holds: holds{by: make(map[*Worker]*step)}}
	for _, w := range c.workerOrder {
		if w.usable(now) && c.sound(now, w) {
			r.ready = append(r.ready, w)
			r.most = r.most.Max(w.free())
		}
	}
	return r
}

// for returns the ready workers on which tasks of s may run.
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
