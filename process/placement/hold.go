package placement

import "math/rand/v2"

// SetHeld keeps worker i from being chosen, or ends that. Unlike Closed it is the
// index's own and survives Set.
func (ix *Index) SetHeld(i int, held bool) {
	ix.unlink(i)
	if held {
		ix.held[ix.workers[i].Worker] = true
	} else {
		delete(ix.held, ix.workers[i].Worker)
	}
	ix.insert(i)
}

// Held reports whether worker i is kept from being chosen.
func (ix *Index) Held(i int) bool { return ix.held[ix.workers[i].Worker] }

// ChooseHold returns the worker that should be kept free for an ask that fits
// nowhere now: of a random sample of those large enough, the one that is short of
// least. It returns -1 if no worker in the sample will do.
func (ix *Index) ChooseHold(ask Ask, rng *rand.Rand) int {
	best, least := none, 0.0
	for range min(sampleSize, len(ix.workers)) {
		i := rng.IntN(len(ix.workers))
		c := &ix.workers[i]
		if c.Closed || ix.held[c.Worker] || !ask.carriedBy(c) || !ask.Amount.Fits(c.Capacity) {
			continue
		}
		missing := ask.Amount.Sub(ask.Amount.Min(c.Free)).DominantShare(c.Capacity)
		if best == none || missing < least {
			best, least = i, missing
		}
	}
	return best
}
