package dispatch

import (
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/learning"
	"github.com/kingcuplatch/kingcuplatch/request/attempt"
	"github.com/kingcuplatch/kingcuplatch/version"
)

const (
	// runTimeQuantile is the part of a kind's requests that the time kept for
	// them before their deadline is to cover.
	runTimeQuantile = 0.95
	// maxRunTimePart bounds that time to one such part of what is left to the
	// request, so that one that finds a place at once is always tried.
	maxRunTimePart = 2
)

// runTime returns how long before its deadline a request must be handed over, so
// that its answer is likely to be in time. d.mu is held.
func (d *Dispatcher) runTime(kind *version.Kind, left time.Duration) time.Duration {
	return min(d.learned.RunTime(kind.Name, 0, runTimeQuantile), max(0, left)/maxRunTimePart)
}

// learn takes in how long a request took once handed over. One whose answer did not
// come would have taken at least as long. One that was not run tells nothing.
func (d *Dispatcher) learn(kind *version.Kind, took time.Duration, outcome attempt.Outcome) {
	if outcome.WasNotRun() {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.learned.Add(learning.Report{Kind: kind.Name, RunTime: took})
}
