package cluster

import (
	"sync"
	"time"
)

// reachTracker notes since when this entry reaches the table, and how fast that was
// last.
type reachTracker struct {
	mu    sync.Mutex
	since time.Time
	last  time.Time
	took  time.Duration
}

// reachFades is how long a success counts.
const reachFades = 500 * time.Millisecond

// note takes in that a call to the table ended.
func (t *reachTracker) note(now time.Time, took time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.took = took
	if !ok {
		t.since = time.Time{}
		return
	}
	if t.since.IsZero() || now.Sub(t.last) > reachFades {
		t.since = now
	}
	t.last = now
}

// goodFor is for how long the table had answered without a failure at a time; 0 if it
// hasn't lately.
func (t *reachTracker) goodFor(at time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.since.IsZero() || time.Since(t.last) > reachFades {
		return 0
	}
	return max(0, at.Sub(t.since))
}

// slow reports whether the last call took long.
func (t *reachTracker) slow() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.took > quickTable
}
