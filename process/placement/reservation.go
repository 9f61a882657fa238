package placement

import "math/rand/v2"

// SetReserved reserves worker i, which excludes it from being chosen, or ends the
// reservation. Unlike Closed, a reservation belongs to the index and is not changed by
// Set.
func (ix *Index) SetReserved(i int, reserved bool) {
	ix.unlink(i)
	if reserved {
		ix.reserved[ix.workers[i].Worker] = true
	} else {
		delete(ix.reserved, ix.workers[i].Worker)
	}
	ix.insert(i)
}

// Reserved reports whether worker i is reserved.
func (ix *Index) Reserved(i int) bool { return ix.reserved[ix.workers[i].Worker] }

// ChooseReservation returns the worker to reserve for an ask that fits nowhere now:
// from a random sample of the workers that are large enough, the one with the smallest
// shortfall of free capacity. It returns -1 if no worker in the sample is suitable.
func (ix *Index) ChooseReservation(ask Ask, rng *rand.Rand) int {
	best, least := none, 0.0
	for range min(sampleSize, len(ix.workers)) {
		i := rng.IntN(len(ix.workers))
		c := &ix.workers[i]
		if c.Closed || ix.reserved[c.Worker] || !ask.matchesUpstream(c) || !ask.Amount.Fits(c.Capacity) {
			continue
		}
		missing := ask.Amount.Sub(ask.Amount.Min(c.Free)).DominantShare(c.Capacity)
		if best == none || missing < least {
			best, least = i, missing
		}
	}
	return best
}
