package cluster

import "time"

// maxEntryClockDrift is the largest fraction by which the steady clocks of two entries may run at
// different speeds.
const maxEntryClockDrift = 0.001

// clockReading is a reading of the scheduler's clock: after the time before, on this entry's clock, the
// scheduler's showed stamp.
type clockReading struct {
	before time.Time
	stamp  time.Duration
}

// latest returns the latest time that the scheduler's clock can show now.
func (c clockReading) latest(now time.Time) time.Duration {
	passed := now.Sub(c.before)
	return c.stamp + passed + time.Duration(maxEntryClockDrift*float64(passed))
}

// observeClock takes in the stamp of the reply to a heartbeat that was sent at the given time. The reading
// that bounds the scheduler's clock best is kept: that of the heartbeat which arrived soonest.
// It is replaced at once if the stamp is later than it allows: this machine was suspended since, which its
// steady clock doesn't count.
func (v *leaderView) observeClock(now, sent time.Time, stamp int64) {
	if stamp == 0 {
		return
	}
	read := clockReading{before: sent, stamp: time.Duration(stamp) * time.Millisecond}
	kept := v.clockRead
	if kept.before.IsZero() || kept.latest(now) < read.stamp || read.latest(now) < kept.latest(now) {
		v.clockRead = read
	}
}

// latestClock returns the latest time that the scheduler's clock can show now; false if it has not been
// read.
func (v *leaderView) latestClock(now time.Time) (time.Duration, bool) {
	return v.clockRead.latest(now), !v.clockRead.before.IsZero()
}
