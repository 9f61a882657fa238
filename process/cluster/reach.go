package cluster

import (
	"sync"
	"time"
)

// reachTracker tracks since when this entry has reached the table, and the duration of the
// last call.
type reachTracker struct {
	mu    sync.Mutex
	since time.Time
	last  time.Time
	took  time.Duration
}

// reachExpiry is how long a successful call proves that the table is reachable.
const reachExpiry = 500 * time.Millisecond

// record records the end of a call to the table.
func (t *reachTracker) record(now time.Time, took time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.took = took
	if !ok {
		t.since = time.Time{}
		return
	}
	if t.since.IsZero() || now.Sub(t.last) > reachExpiry {
		t.since = now
	}
	t.last = now
}

// reachableFor returns how long, at the given time, the table had answered without a
// failure. It returns 0 if there is no recent success.
func (t *reachTracker) reachableFor(at time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.since.IsZero() || time.Since(t.last) > reachExpiry {
		return 0
	}
	return max(0, at.Sub(t.since))
}

// slow reports whether the last call took longer than maxLeaseReadTime.
func (t *reachTracker) slow() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.took > maxLeaseReadTime
}
