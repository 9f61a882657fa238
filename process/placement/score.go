package placement

import (
	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/version"
)

// score ranks a worker for an ask. Lower is better, and earlier fields take precedence.
type score struct {
	domain, rack int
	// accelerators is the number of free accelerators that the choice would make
	// unavailable to work that needs them.
	accelerators int64
	// load is the fraction left over for best fit, or the fraction used for least
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

// scoreOf returns the score of a worker that is accepted for the ask.
func scoreOf(ask *Ask, c *Candidate) score {
	if ask.Policy == version.PolicyRequest {
		return score{load: c.Capacity.Sub(c.Free).DominantShare(c.Capacity)}
	}
	s := score{accelerators: leftoverAccelerators(c.Free, ask.Amount), load: leftover(ask.Amount, c)}
	if ask.Policy == version.PolicyService && ask.SpreadUsed != nil {
		used := ask.SpreadUsed(c.Rack, c.FailureDomain)
		s.domain, s.rack = used.Domain, used.Rack
	}
	return s
}

func leftoverAccelerators(free, ask resource.Amount) int64 {
	return free.Accelerators - ask.Accelerators
}

// leftover returns the fraction of processors plus the fraction of memory that remain
// free on the worker after the amount is allocated.
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
