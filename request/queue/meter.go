package queue

import (
	"math"
	"time"
)

const (
	// meterMemory is the time over which the drain rate forgets.
	meterMemory = 5 * time.Second
	// minRetryAfter and maxRetryAfter bound what refused callers are told.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// rateMeter measures events a second as an exponentially weighted average.
type rateMeter struct {
	weight float64
	last   time.Time
}

// count notes one event.
func (m *rateMeter) count(now time.Time) {
	m.decay(now)
	m.weight++
}

// perSecond returns the rate at now.
func (m *rateMeter) perSecond(now time.Time) float64 {
	m.decay(now)
	return m.weight / meterMemory.Seconds()
}

func (m *rateMeter) decay(now time.Time) {
	if !now.After(m.last) {
		return
	}
	m.weight *= math.Exp(-now.Sub(m.last).Seconds() / meterMemory.Seconds())
	m.last = now
}
