package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// logResults logs the results of each kind of job.
func (w *simulation) logResults() {
	for _, kind := range fakeKindNames {
		inTime, n := w.onTimeShare(kind)
		w.t.Logf("%-10s %4d jobs, in time %.3f, accepted ones completed %.3f", kind, n, inTime, w.completedShare(kind))
	}
	w.t.Logf("%d advice requests", w.adviceCalls)
}

// fakeKindNames are the kinds of fakeQueues.
var fakeKindNames = []string{"roster", "provision", "quote"}

// checkAllInTime checks that at least the given share of the jobs of each kind met their
// objective.
func (w *simulation) checkAllInTime(share float64) {
	w.t.Helper()
	for _, kind := range fakeKindNames {
		inTime, _ := w.onTimeShare(kind)
		assert.Assert(w.t, inTime >= share, "%s: %.3f in time", kind, inTime)
	}
}

// checkCompleted checks that all accepted jobs are completed.
func (w *simulation) checkCompleted() {
	w.t.Helper()
	for _, kind := range fakeKindNames {
		assert.Equal(w.t, w.completedShare(kind), 1.0, kind)
	}
}

// Steady load of about 80% of the fleet's capacity, without faults: 90% of the jobs of
// each kind must be in time, and all accepted jobs must complete.
func TestSteadyLoadMeetsObjectives(t *testing.T) {
	queues, kinds := fakeQueues()
	w := newSimulation(t, 1, 48, 9, queues, nil)
	w.generateJobs(kinds, 30*time.Second, steadyLoad)
	w.run(60 * time.Second)
	w.logResults()
	assert.Equal(t, len(w.violations), 0, "%v", w.violations)
	w.checkAllInTime(0.9)
	w.checkCompleted()
}

// Short jobs arrive at 2.2 times their rate while the workers are full. They must be
// placed first while they can be in time; jobs that can't be served must be refused.
func TestBurstOfShortJobs(t *testing.T) {
	queues, kinds := fakeQueues()
	w := newSimulation(t, 2, 48, 6, queues, nil)
	w.generateJobs(kinds, 30*time.Second, func(kind string, at time.Duration) float64 {
		if kind == "quote" && at > 5*time.Second && at < 9*time.Second {
			return 2.2
		}
		return 1
	})
	w.run(70 * time.Second)
	w.logResults()
	assert.Equal(t, len(w.violations), 0, "%v", w.violations)
	inTime, _ := w.onTimeShare("quote")
	assert.Assert(t, inTime >= 0.85, "%.3f in time", inTime)
	assert.Equal(t, w.completedShare("roster"), 1.0)
}

// Three times the load for 12 s. The backlog of advice requests must not grow without
// limit, gangs must complete, and jobs must be in time again after the overload.
func TestRecoveryFromOverload(t *testing.T) {
	queues, kinds := fakeQueues()
	w := newSimulation(t, 3, 48, 6, queues, nil)
	w.generateJobs(kinds, 40*time.Second, func(_ string, at time.Duration) float64 {
		if at > 3*time.Second && at < 15*time.Second {
			return 3
		}
		return 1
	})
	w.run(90 * time.Second)
	w.logResults()
	assert.Equal(t, len(w.violations), 0, "%v", w.violations)
	inTime, _ := w.onTimeShare("quote")
	assert.Assert(t, inTime >= 0.9, "%.3f of the kind with the highest priority in time", inTime)
	late := 0
	n := 0
	for _, j := range w.jobs {
		if j.kind != "quote" || j.sent.Sub(w.started) < 28*time.Second {
			continue
		}
		n++
		if j.done.IsZero() || j.done.Sub(j.sent) > j.objective {
			late++
		}
	}
	assert.Assert(t, float64(late) <= 0.2*float64(n), "%d of %d late after the overload", late, n)
	w.checkCompleted()
}
