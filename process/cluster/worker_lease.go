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
	// startedAt is when a start command last got its lease end.
	startedAt time.Time
	// unknownUntil bounds the leases that earlier schedulers granted.
	unknownUntil time.Time
}

// observeClock records the worker's clock from an answer received at now.
func (l *workerLease) observeClock(now time.Time, clock int64) {
	l.clock, l.clockAt = clock, now
}

// restarted replaces the lease of an earlier incarnation of the worker when a reply has brought the
// clock of another one. A start command whose lease end is on the former clock may have reached the new
// incarnation, or may still, which takes that for a lease of up to longest.
func (l *workerLease) restarted(now time.Time, clock int64, longest time.Duration) {
	l.until = 0
	age := time.Duration(float64(clock)/(1-maxClockDrift))*time.Millisecond + expiryMargin
	if !l.startedAt.IsZero() && l.startedAt.Add(startWindow).After(now.Add(-age)) {
		l.until = clock + (longest + startWindow).Milliseconds()
	}
}

// grantStart returns the end of a lease as grant does, for a start command.
func (l *workerLease) grantStart(now time.Time) int64 {
	l.startedAt = now
	return l.grant(now, startWindow)
}

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
