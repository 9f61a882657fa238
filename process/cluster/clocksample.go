package cluster

import (
	"context"
	"time"
)

// maxSampleAge is how long a sample of the scheduler's clock is preferred to later ones. Steady
// clocks differ by 2% at most, so by no more than 40 ms in that time.
const maxSampleAge = 2 * time.Second

// clockSample is a time on the scheduler's steady clock, in milliseconds, and when a reply
// with it arrived here. The scheduler's clock shows at least that much by then, and later as much
// more as has passed since. The clocks of the machines may step; these don't.
type clockSample struct {
	stamp int64
	at    time.Time
}

// with returns the sample that shows the scheduler's clock furthest on, which is the one whose reply
// took the least time, and the new one if the other is old.
func (s clockSample) with(newer clockSample) clockSample {
	elapsed := newer.at.Sub(s.at)
	if s.stamp == 0 || elapsed > maxSampleAge || newer.stamp-s.stamp >= elapsed.Milliseconds() {
		return newer
	}
	return s
}

// until returns a time on the scheduler's clock that isn't after the deadline of ctx, in milliseconds;
// 0 if there is no sample or no deadline.
func (s clockSample) until(ctx context.Context) int64 {
	deadline, ok := ctx.Deadline()
	if s.stamp == 0 || !ok {
		return 0
	}
	return max(1, s.stamp+deadline.Sub(s.at).Milliseconds())
}
