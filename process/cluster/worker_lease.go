package cluster

import "time"

const (
	// maxClockDrift is the largest fraction by which a worker's clock may run slower than
	// this entry's.
	maxClockDrift = 0.02
	// expiryMargin is how long after its computed end a lease is considered expired.
	expiryMargin = 150 * time.Millisecond
)

// workerLease is an upper bound of the leases granted to a worker, on the worker's own
// clock.
type workerLease struct {
	// clock is the worker's clock, in milliseconds, as read from an answer received at
	// clockAt.
	clock   int64
	clockAt time.Time
	// until is the latest lease end, on the worker's clock, that any call has named.
	until int64
	// unknownUntil bounds the leases that earlier schedulers granted.
	unknownUntil time.Time
}

// observeClock records the worker's clock from an answer received at now.
func (l *workerLease) observeClock(now time.Time, clock int64) {
	l.clock, l.clockAt = clock, now
}

// reset drops the lease of an earlier incarnation of the worker.
func (l *workerLease) reset() { l.until = 0 }

// known reports whether the worker's clock is known.
func (l *workerLease) known() bool { return !l.clockAt.IsZero() }

// grant extends the lease to length from now and returns its end on the worker's clock. It
// returns 0 while the clock is not known.
func (l *workerLease) grant(now time.Time, length time.Duration) int64 {
	if !l.known() {
		return 0
	}
	until := l.clock + now.Sub(l.clockAt).Milliseconds() + length.Milliseconds()
	l.until = max(l.until, until)
	return until
}

// expired reports whether every lease of the worker has expired, even if its clock runs
// slow.
func (l *workerLease) expired(now time.Time) bool {
	if !l.known() {
		return now.After(l.unknownUntil)
	}
	passed := float64((now.Sub(l.clockAt) - expiryMargin).Milliseconds()) * (1 - maxClockDrift)
	return float64(l.clock)+passed > float64(l.until) && now.After(l.unknownUntil)
}
