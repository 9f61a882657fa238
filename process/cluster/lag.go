package cluster

import (
	"sync"
	"time"
)

// lagTracker measures how late this process runs work that is ready, from the lateness of a
// periodic sleep. An overloaded process reads answers late although they have arrived in
// time; without an allowance for that it would count its peers as failed.
type lagTracker struct {
	mu sync.Mutex
	// lag is the largest of the recent samples, which decays; mean is their moving average.
	lag  time.Duration
	mean time.Duration
}

const (
	// maxLag bounds the lag taken from one sample: a process that was paused is not
	// overloaded.
	maxLag = 500 * time.Millisecond
	// lagDecayDivisor is what the lag loses with each sample, as a part of itself.
	lagDecayDivisor = 4
	// lagAllowance is the allowance as a multiple of the lag. An answer passes through
	// about as many goroutines, each of which may wait that long.
	lagAllowance = 4
	// lagMeanDivisor is the reciprocal weight of a sample in the moving average.
	lagMeanDivisor = 8
	// decisionHops is the number of goroutines, one after the other, that a job passes from
	// its submission to its first start.
	decisionHops = 10
)

// record adds a sample: how late a sleep ended.
func (t *lagTracker) record(late time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	late = min(late, maxLag)
	t.lag = max(late, t.lag-t.lag/lagDecayDivisor)
	t.mean += (late - t.mean) / lagMeanDivisor
}

// allowance returns by how much timeouts of calls are to be extended.
func (t *lagTracker) allowance() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return lagAllowance * t.lag
}

// average returns the moving average of the lag.
func (t *lagTracker) average() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mean
}

// decisionTime returns how long a job waits for this process alone until its first start.
func (t *lagTracker) decisionTime() time.Duration { return decisionHops * t.average() }
