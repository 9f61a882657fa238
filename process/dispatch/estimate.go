package dispatch

import (
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/learning"
	"github.com/kingcuplatch/kingcuplatch/request/attempt"
	"github.com/kingcuplatch/kingcuplatch/version"
)

const (
	// runTimeQuantile is the quantile of a kind's run times that is used as the
	// expected run time of a request.
	runTimeQuantile = 0.95
	// runTimeDivisor limits the expected run time to the time left until the deadline
	// divided by this number, so that a request that gets a worker at once is always
	// dispatched.
	runTimeDivisor = 2
)

// runTime returns how long before its deadline a request has to be dispatched so that it
// is likely to be answered in time. The caller holds d.mu.
func (d *Dispatcher) runTime(kind *version.Kind, left time.Duration) time.Duration {
	return min(d.learned.RunTime(kind.Name, 0, runTimeQuantile), max(0, left)/runTimeDivisor)
}

// learn records how long a dispatched request took. A request without a reply is
// recorded too, since it would have taken at least as long. A request that was not run is
// ignored.
func (d *Dispatcher) learn(kind *version.Kind, took time.Duration, outcome attempt.Outcome) {
	if outcome.WasNotRun() {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.learned.Add(learning.Report{Kind: kind.Name, RunTime: took})
}
