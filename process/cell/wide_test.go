package cell

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// wideKinds returns the load of the large fleet with gangs that need up to a tenth of it.
func wideKinds(w *simulation) []fakeKind {
	queues, kinds := grownKinds()
	w.setQueues(queues)
	kinds[0].maxTasks, kinds[0].cpuSpread, kinds[0].steps = 120, 0.4, 1.2
	kinds[1].perSecond, kinds[1].maxTasks, kinds[1].cpuSpread, kinds[1].steps = 11.2, 150, 0.45, 1.5
	kinds[2].cpuSpread = 0.45
	return kinds
}

// byWidth returns the share of a kind's jobs that completed in time: of the widest tenth,
// the fifth below it, and the others.
func (w *simulation) byWidth(kind string) (widest, wide, others float64) {
	var jobs []*fakeJob
	for _, id := range w.jobOrder {
		if j := w.jobs[id]; j.kind == kind && !j.alwaysFails {
			jobs = append(jobs, j)
		}
	}
	slices.SortStableFunc(jobs, func(a, b *fakeJob) int { return b.spec.Steps[0].Count - a.spec.Steps[0].Count })
	inTime := func(group []*fakeJob) float64 {
		n := 0
		for _, j := range group {
			if !j.done.IsZero() && j.done.Sub(j.sent) <= j.objective {
				n++
			}
		}
		return float64(n) / float64(max(len(group), 1))
	}
	tenth, threeTenths := len(jobs)/10, len(jobs)*3/10
	return inTime(jobs[:tenth]), inTime(jobs[tenth:threeTenths]), inTime(jobs[threeTenths:])
}

// Wide gangs at the usual load of a large fleet, with a burst of them: the widest jobs
// must not be starved by narrower ones, and all must complete.
func TestWideGangs(t *testing.T) {
	for _, seed := range []uint64{31, 32, 33, 34} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newSimulation(t, seed, 350, 42, nil, nil)
			w.generateJobs(wideKinds(w), 24*time.Second, func(kind string, at time.Duration) float64 {
				if kind == "roster" && at > 10*time.Second && at < 14*time.Second {
					return 1.7
				}
				return 1
			})
			w.run(60 * time.Second)
			w.logResults()
			widest, wide, others := w.byWidth("roster")
			t.Logf("rosters in time: widest tenth %.2f, fifth below %.2f, others %.2f; by work %.3f", widest, wide, others, w.byWork("roster"))
			assert.Equal(t, len(w.violations), 0, "%v", w.violations)
			assert.Equal(t, w.completedShare("roster"), 1.0)
			// For users, a kind of job has failed if its widest jobs complete in time only
			// half as often as the others.
			overall, _ := w.onTimeShare("roster")
			assert.Assert(t, widest >= overall/2 && wide >= overall/2, "widest %.2f, fifth below %.2f, all %.2f", widest, wide, overall)
		})
	}
}

// byWork returns the share of a kind's work that completed in time.
func (w *simulation) byWork(kind string) float64 {
	var good, all float64
	for _, j := range w.jobs {
		if j.kind != kind || j.alwaysFails {
			continue
		}
		work := 0.0
		for _, s := range j.spec.Steps {
			work += float64(s.Count) * float64(s.Need.MilliCPU) * s.Estimate.Seconds()
		}
		all += work
		if !j.done.IsZero() && j.done.Sub(j.sent) <= j.objective {
			good += work
		}
	}
	return good / max(all, 1)
}
