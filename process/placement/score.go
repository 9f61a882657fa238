package placement

import (
	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/version"
)

// score ranks a worker for an ask; lower is better, earlier fields count first.
type score struct {
	domain, rack int
	// accelerators is how many free accelerators the choice would put beyond
	// the reach of work that needs them.
	accelerators int64
	// load is the fraction left over for best fit, the fraction used for least
	// loaded.
	load float64
}

func (s score) less(t score) bool {
	switch {
	case s.domain != t.domain:
		return s.domain < t.domain
	case s.rack != t.rack:
		return s.rack < t.rack
	case s.accelerators != t.accelerators:
		return s.accelerators < t.accelerators
	default:
		return s.load < t.load
	}
}

// scoreOf ranks a worker that takes the ask.
func scoreOf(ask *Ask, c *Candidate) score {
	if ask.Policy == version.PolicyRequest {
		return score{load: c.Capacity.Sub(c.Free).DominantShare(c.Capacity)}
	}
	s := score{accelerators: accelerators(c.Free, ask.Amount), load: leftover(ask.Amount, c)}
	if ask.Policy == version.PolicyService && ask.SpreadUsed != nil {
		used := ask.SpreadUsed(c.Rack, c.FailureDomain)
		s.domain, s.rack = used.Domain, used.Rack
	}
	return s
}

func accelerators(free, ask resource.Amount) int64 {
	return free.Accelerators - ask.Accelerators
}

// leftover is the fraction of processors plus that of memory still free on the
// worker once it took the amount.
func leftover(amount resource.Amount, c *Candidate) float64 {
	return fraction(c.Free.MilliCPU-amount.MilliCPU, c.Capacity.MilliCPU) +
		fraction(c.Free.MemoryMB-amount.MemoryMB, c.Capacity.MemoryMB)
}

func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
