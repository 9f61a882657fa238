package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kingcuplatch/kingcuplatch/version/catalog"
)

// grownKinds returns queues and kinds of jobs that load 350 workers to about 80% of their
// capacity: wide gangs, wide batch jobs and a hundred urgent jobs per second.
func grownKinds() (queues []*catalog.Queue, kinds []fakeKind) {
	queues, kinds = fakeQueues()
	kinds[0].perSecond, kinds[0].count, kinds[0].length = 5.4, 20, 4*time.Second
	kinds[1].perSecond, kinds[1].count, kinds[1].cpu, kinds[1].length = 17, 25, 3500, 2200*time.Millisecond
	kinds[2].perSecond, kinds[2].count, kinds[2].cpu, kinds[2].length = 100, 3.2, 5000, 800*time.Millisecond
	for _, q := range queues {
		advice := *q.Policy.Advice
		advice.Decide, advice.Each = advice.Decide*2/3, advice.Each*2/3
		q.Policy.Advice = &advice
	}
	for i := range kinds {
		kinds[i].queue = queues[i]
	}
	return queues, kinds
}

// A fleet seven times as large as in other tests, with wide gangs, at about the same load per
// worker: most jobs of each kind must be in time, and all accepted jobs must complete.
func TestGrownFleet(t *testing.T) {
	queues, kinds := grownKinds()
	w := newSimulation(t, 21, 350, 42, queues, nil)
	w.generateJobs(kinds, 10*time.Second, steadyLoad)
	w.run(40 * time.Second)
	w.logResults()
	assert.Equal(t, len(w.violations), 0, "%v", w.violations)
	w.checkAllInTime(0.85)
	w.checkCompleted()
}
