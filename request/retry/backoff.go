package retry

import (
	"math/rand/v2"
	"time"
)

const (
	// firstBackoff is the upper bound of the wait before the first retry.
	firstBackoff = 50 * time.Millisecond
	// maxBackoff is the upper bound of every wait.
	maxBackoff = 5 * time.Second
	// maxDoublings limits how often the bound is doubled, so that it does not overflow.
	maxDoublings = 10
)

// Backoff returns how long to wait before the retry that follows the given attempt,
// counted from 1. It returns false if the wait plus the expected run time would exceed
// the deadline. A zero deadline means none.
func Backoff(attempt int, runTime time.Duration, deadline, now time.Time, rng *rand.Rand) (time.Duration, bool) {
	bound := min(firstBackoff<<min(max(attempt-1, 0), maxDoublings), maxBackoff)
	wait := time.Duration(rng.Int64N(int64(bound)))
	if !deadline.IsZero() && now.Add(wait+runTime).After(deadline) {
		return 0, false
	}
	return wait, true
}
