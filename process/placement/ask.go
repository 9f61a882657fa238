package placement

import (
	"fmt"
	"slices"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/version"
)

// Ask is what a task or request needs of a worker.
type Ask struct {
	Amount resource.Amount
	Policy version.Policy
	// Upstream, when set, restricts the choice to workers that carry it.
	Upstream string
	// Avoid names workers that must not be chosen: those tried before.
	Avoid []string
	// SpareAccelerators, unless 0, keeps work that needs no accelerator off workers
	// that have at least so many free: others wait for them.
	SpareAccelerators int64
	// SpreadUsed, when set, returns how many tasks of the same service run in
	// the rack and in the failure domain. Only PolicyService looks at it.
	SpreadUsed func(rack, domain string) SpreadCount
}

// SpreadCount is how many tasks of one service run in a rack and in its failure
// domain.
type SpreadCount struct {
	Rack   int
	Domain int
}

// Reason explains a choice. When nothing was chosen it counts why the workers that
// were looked at did not do; their number is bounded, so the counts describe a
// sample of a large fleet.
type Reason struct {
	// Chosen is set when a worker was found.
	Chosen bool
	// Workers is the size of the fleet.
	Workers int
	// Looked is how many workers the counts below describe.
	Looked int
	Closed int
	// Avoided workers were tried before or are kept for work with accelerators.
	Avoided       int
	OtherUpstream int
	// Short counts workers by the first dimension of which they had too little.
	Short [resource.Dimensions]int
}

// Dimension returns the dimension that most workers had too little of, and false
// if none was short.
func (r Reason) Dimension() (resource.Dimension, bool) {
	most := resource.Dimension(0)
	for d := range resource.Dimensions {
		if r.Short[d] > r.Short[most] {
			most = d
		}
	}
	return most, r.Short[most] > 0
}

// String explains in one line why nothing was chosen.
func (r Reason) String() string {
	if r.Chosen {
		return "fits"
	}
	text := fmt.Sprintf("no worker fits: of %d workers %d looked at, %d closed, %d avoided, %d of other upstreams",
		r.Workers, r.Looked, r.Closed, r.Avoided, r.OtherUpstream)
	for d := range resource.Dimensions {
		if r.Short[d] > 0 {
			text += fmt.Sprintf(", %d short of %s", r.Short[d], d)
		}
	}
	return text
}

// count notes why the worker does not do, and reports whether it does.
func (r *Reason) count(ask *Ask, c *Candidate) bool {
	r.Looked++
	switch {
	case c.Closed:
		r.Closed++
	case !ask.carriedBy(c):
		r.OtherUpstream++
	case slices.Contains(ask.Avoid, c.Worker), ask.spares(c):
		r.Avoided++
	default:
		d, short := ask.Amount.FirstOver(c.Free)
		if !short {
			return true
		}
		r.Short[d]++
	}
	return false
}

func (a *Ask) carriedBy(c *Candidate) bool {
	return a.Upstream == "" || a.Upstream == c.Upstream
}

// spares reports whether the worker's accelerators are kept for others.
func (a *Ask) spares(c *Candidate) bool {
	return a.SpareAccelerators > 0 && a.Amount.Accelerators == 0 && c.Free.Accelerators >= a.SpareAccelerators
}

// takes reports whether the worker does for the ask.
func (a *Ask) takes(c *Candidate) bool {
	return !c.Closed && !a.spares(c) && a.carriedBy(c) && a.Amount.Fits(c.Free) && !slices.Contains(a.Avoid, c.Worker)
}
