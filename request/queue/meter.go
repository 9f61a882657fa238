package queue

import (
	"math"
	"time"
)

const (
	// rateTimeConstant is the time constant of the moving average of the drain rate.
	rateTimeConstant = 5 * time.Second
	// minRetryAfter and maxRetryAfter bound the wait that is returned to refused
	// callers.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// rateMeter measures events per second as an exponentially weighted moving average.
type rateMeter struct {
	weight float64
	last   time.Time
}

// count records one event.
func (m *rateMeter) count(now time.Time) {
	m.decay(now)
	m.weight++
}

// perSecond returns the rate at now.
func (m *rateMeter) perSecond(now time.Time) float64 {
	m.decay(now)
	return m.weight / rateTimeConstant.Seconds()
}

func (m *rateMeter) decay(now time.Time) {
	if !now.After(m.last) {
		return
	}
	m.weight *= math.Exp(-now.Sub(m.last).Seconds() / rateTimeConstant.Seconds())
	m.last = now
}
