package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kingcuplatch/kingcuplatch/version/catalog"
)

// largeKinds returns queues and kinds of jobs that load 540 workers to about 70% of their
// capacity: gangs of 16 tasks, batch jobs of 15 and a hundred urgent jobs per second.
func largeKinds() (queues []*catalog.Queue, kinds []fakeKind) {
	queues, kinds = fakeQueues()
	kinds[0].perSecond, kinds[0].count, kinds[0].length, kinds[0].steps = 6, 16, 6200*time.Millisecond, 1.2
	kinds[1].perSecond, kinds[1].count, kinds[1].cpu, kinds[1].steps = 10, 15, 5500, 1.5
	kinds[2].perSecond, kinds[2].count, kinds[2].cpu, kinds[2].length = 112, 3.1, 7900, 640*time.Millisecond
	kinds[0].cpuSpread, kinds[1].cpuSpread, kinds[2].cpuSpread = 0.4, 0.45, 0.45
	return queues, kinds
}

// A fleet of 540 workers at about 70% of its capacity, with a burst of short jobs and one of
// gangs. Short jobs come first and must stay in time, and no gang may starve once the
// bursts are over.
func TestLargeFleet(t *testing.T) {
	queues, kinds := largeKinds()
	w := newSimulation(t, 31, 540, 97, queues, nil)
	w.generateJobs(kinds, 20*time.Second, func(kind string, at time.Duration) float64 {
		switch {
		case kind == "quote" && at > 5*time.Second && at < 9*time.Second:
			return 2.3
		case kind == "roster" && at > 12*time.Second && at < 16*time.Second:
			return 1.7
		}
		return 1
	})
	w.run(80 * time.Second)
	w.logResults()
	assert.Equal(t, len(w.violations), 0, "%v", w.violations)
	quotes, _ := w.onTimeShare("quote")
	assert.Assert(t, quotes >= 0.9, "%.3f in time", quotes)
	w.checkCompleted()
}
