package cluster

import "time"

const (
	// clockSlack is how much slower than ours a worker's clock may run.
	clockSlack = 0.02
	// lapseMargin is added before a lease counts as surely over.
	lapseMargin = 150 * time.Millisecond
)

// workerLease bounds the lease that a worker has from this scheduler, on the
// worker's own clock.
type workerLease struct {
	// clock is the worker's clock, in milliseconds, in an answer heard at heardAt.
	clock   int64
	heardAt time.Time
	// until is the latest time, on the worker's clock, that any call named.
	until int64
	// unknownUntil bounds what earlier schedulers granted.
	unknownUntil time.Time
}

// heard takes in the worker's clock from an answer.
func (l *workerLease) heard(now time.Time, clock int64) {
	l.clock, l.heardAt = clock, now
}

// reset forgets the clock of an earlier life.
func (l *workerLease) reset() { l.until = 0 }

// known reports whether the worker's clock is known.
func (l *workerLease) known() bool { return !l.heardAt.IsZero() }

// grant returns the time on the worker's clock that is length from now, and notes
// that a call names it. It is 0 while the clock isn't known.
func (l *workerLease) grant(now time.Time, length time.Duration) int64 {
	if !l.known() {
		return 0
	}
	until := l.clock + now.Sub(l.heardAt).Milliseconds() + length.Milliseconds()
	l.until = max(l.until, until)
	return until
}

// lapsed reports whether every lease on the worker has surely run out.
func (l *workerLease) lapsed(now time.Time) bool {
	if !l.known() {
		return now.After(l.unknownUntil)
	}
	passed := float64((now.Sub(l.heardAt) - lapseMargin).Milliseconds()) * (1 - clockSlack)
	return float64(l.clock)+passed > float64(l.until) && now.After(l.unknownUntil)
}
