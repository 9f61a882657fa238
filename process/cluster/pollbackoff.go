package cluster

import (
	"math/rand/v2"
	"time"
)

const (
	// promptPolls is how many polls of a worker that was never reached follow each other after
	// unreachablePollDelay: it may be about to listen. From then on the pause doubles, up to
	// maxUnreachedPollDelay, which is below the 3 s for which capacity may stand free.
	promptPolls           = 4
	maxUnreachedPollDelay = 2 * time.Second
	// promptAfterContact is how long after the last contact a worker is polled as often as at
	// first: longer than disruptions of a machine or a link last.
	promptAfterContact = 30 * time.Second
)

// pollBackoff makes polls of a worker rare that doesn't answer. The list of workers may have
// thousands of rows where nothing listens.
type pollBackoff struct {
	failures  int
	contactAt time.Time
}

// answered records that the worker was in contact until now.
func (b *pollBackoff) answered() { b.failures, b.contactAt = 0, time.Now() }

// pollPause returns the pause after a failed poll. Polls of a worker with runs stay frequent, since
// they also show when its leases have expired.
func (r *leadership) pollPause(w *workerLoop, b *pollBackoff, err error) time.Duration {
	r.mu.Lock()
	hasRuns := r.cell.HasRuns(w.target.ID)
	r.mu.Unlock()
	least := failedPollDelay(err)
	if hasRuns || (!b.contactAt.IsZero() && time.Since(b.contactAt) < promptAfterContact) {
		return least
	}
	return max(least, b.failed())
}

// failed records that a poll has failed, and returns the pause before the next one. Long pauses
// are drawn at random, so that the polls of many such workers don't coincide.
func (b *pollBackoff) failed() time.Duration {
	b.failures++
	pause := unreachablePollDelay
	for i := promptPolls; i < b.failures && pause < maxUnreachedPollDelay; i++ {
		pause *= 2
	}
	if pause == unreachablePollDelay {
		return pause
	}
	pause = min(pause, maxUnreachedPollDelay)
	return pause - rand.N(pause/4)
}
