package placement

import (
	"fmt"
	"slices"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/version"
)

// Ask describes what a task or request requires of a worker.
type Ask struct {
	Amount resource.Amount
	Policy version.Policy
	// Upstream, if set, restricts the choice to workers of that upstream.
	Upstream string
	// Avoid names workers that must not be chosen because they were tried before.
	Avoid []string
	// SpareAccelerators, if not 0, keeps work that needs no accelerators off workers
	// that have at least this many free, because other work is waiting for them.
	SpareAccelerators int64
	// SpreadUsed, if set, returns how many tasks of the same service run in the rack
	// and in the failure domain. It is used by PolicyService only.
	SpreadUsed func(rack, domain string) SpreadCount
}

// SpreadCount is the number of tasks of one service in a rack and in its failure
// domain.
type SpreadCount struct {
	Rack   int
	Domain int
}

// Reason explains a choice. If no worker was chosen, it counts why the examined workers
// were rejected. The number of examined workers is bounded, so in a large fleet the
// counts describe a sample.
type Reason struct {
	// Chosen is set if a worker was found.
	Chosen bool
	// Workers is the number of workers in the fleet.
	Workers int
	// Examined is the number of workers that the counts below describe.
	Examined int
	Closed   int
	// Avoided workers were tried before or are kept for work that needs accelerators.
	Avoided       int
	OtherUpstream int
	// Short counts workers by the first dimension in which their free capacity is too
	// small.
	Short [resource.Dimensions]int
}

// Dimension returns the dimension in which the free capacity of most workers is too
// small, or false if there is none.
func (r Reason) Dimension() (resource.Dimension, bool) {
	most := resource.Dimension(0)
	for d := range resource.Dimensions {
		if r.Short[d] > r.Short[most] {
			most = d
		}
	}
	return most, r.Short[most] > 0
}

// String explains in one line why no worker was chosen.
func (r Reason) String() string {
	if r.Chosen {
		return "fits"
	}
	text := fmt.Sprintf("no worker fits: of %d workers %d examined, %d closed, %d avoided, %d of other upstreams",
		r.Workers, r.Examined, r.Closed, r.Avoided, r.OtherUpstream)
	for d := range resource.Dimensions {
		if r.Short[d] > 0 {
			text += fmt.Sprintf(", %d short of %s", r.Short[d], d)
		}
	}
	return text
}

// count reports whether the worker is acceptable, and counts the reason if it is not.
func (r *Reason) count(ask *Ask, c *Candidate) bool {
	r.Examined++
	switch {
	case c.Closed:
		r.Closed++
	case !ask.matchesUpstream(c):
		r.OtherUpstream++
	case slices.Contains(ask.Avoid, c.Worker), ask.sparesAccelerators(c):
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

func (a *Ask) matchesUpstream(c *Candidate) bool {
	return a.Upstream == "" || a.Upstream == c.Upstream
}

// sparesAccelerators reports whether the accelerators of the worker are kept for other
// work.
func (a *Ask) sparesAccelerators(c *Candidate) bool {
	return a.SpareAccelerators > 0 && a.Amount.Accelerators == 0 && c.Free.Accelerators >= a.SpareAccelerators
}

// acceptedBy reports whether the worker meets all requirements of the ask.
func (a *Ask) acceptedBy(c *Candidate) bool {
	return !c.Closed && !a.sparesAccelerators(c) && a.matchesUpstream(c) && a.Amount.Fits(c.Free) && !slices.Contains(a.Avoid, c.Worker)
}
