package cell

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kingcuplatch/kingcuplatch/version/catalog"
)

// Two teams of the same weight send short jobs, one as much as half of the fleet does, the other three
// times that. A team within its weight must get 95% of its work in time under twice the load.
func TestTwiceTheLoadSparesTeamsWithinTheirWeight(t *testing.T) {
	queues, kinds := fakeQueues()
	teams := []*catalog.Team{{Name: "hot", Weight: 1000}, {Name: "team", Weight: 1000}}
	w := newSimulation(t, 44, 48, 9, queues, teams)
	short := kinds[2]
	short.perSecond = 120
	w.generateJobs([]fakeKind{short}, 20*time.Second, steadyLoad)
	w.generateOverShareJobs(short, 400, 20*time.Second)
	w.run(60 * time.Second)
	assert.Equal(t, len(w.violations), 0, "%v", w.violations)
	inTime, n := w.onTimeShare("quote")
	t.Logf("%.3f of %d in time", inTime, n)
	assert.Assert(t, inTime >= 0.95, "%.3f in time", inTime)
}

// The work of 1.5 fleets comes, half a fleet's of it urgent. Batch work must not keep urgent work
// waiting: p99 of the wait of accepted urgent jobs for their first placement is 250 ms.
func TestUrgentWorkWaitsLittleBesideBatch(t *testing.T) {
	queues, kinds := fakeQueues()
	w := newSimulation(t, 45, 48, 9, queues, nil)
	batch, urgent := kinds[1], kinds[2]
	batch.perSecond, urgent.perSecond = 22, 135
	w.generateJobs([]fakeKind{batch, urgent}, 20*time.Second, steadyLoad)
	waits := make(map[string]time.Duration)
	var observe func()
	observe = func() {
		for id, j := range w.cell.jobs {
			if _, known := waits[id]; j.Queue == "quote" && j.placed && !known {
				waits[id] = w.now.Sub(j.arrivedAt)
			}
		}
		w.after(10*time.Millisecond, observe)
	}
	observe()
	w.run(60 * time.Second)
	assert.Equal(t, len(w.violations), 0, "%v", w.violations)
	sorted := make([]time.Duration, 0, len(waits))
	for _, wait := range waits {
		sorted = append(sorted, wait)
	}
	slices.Sort(sorted)
	p99 := sorted[len(sorted)*99/100]
	t.Logf("%d urgent jobs placed, p50 %s, p99 %s", len(sorted), sorted[len(sorted)/2], p99)
	assert.Assert(t, p99 <= 250*time.Millisecond, "p99 %s", p99)
}

// Refusals for want of time come from too much work as those for the scheduler's load do: entries
// must count them, or all that is refused reaches the scheduler again and again.
func TestRefusalsForTimeCountForThrottles(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	c := evacuationCell(now)
	spec := evacuationJob("j1", "")
	c.refused.add(now, "j1", firstSubmission{at: now.Add(-time.Minute)})
	a := c.Submit(now, spec, func(Recorded) {})
	assert.Equal(t, a.Verdict, Refused)
	assert.Equal(t, a.Reason, cantBeInTime)
	assert.Assert(t, a.Overloaded)
}
