package cell

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// maxIdle is the longest time for which nothing of a job may run while one of its steps could.
// Users count a job as lost after 3 s.
const maxIdle = 2500 * time.Millisecond

// setLargeAdvice sets the advisory service's times of a large fleet.
func setLargeAdvice(w *simulation) []fakeKind {
	queues, kinds := fakeQueues()
	times := []struct{ decide, each time.Duration }{
		{490 * time.Millisecond, 7 * time.Millisecond}, {140 * time.Millisecond, 2 * time.Millisecond}, {13 * time.Millisecond, 180 * time.Microsecond},
	}
	for i, q := range queues {
		q.Policy.Advice.Decide, q.Policy.Advice.Each, q.Policy.Advice.Valid = times[i].decide, times[i].each, 2*time.Second
	}
	w.setQueues(queues)
	return kinds
}

// wideJob returns a job with gangs of the given widths, one after the other, whose tasks take
// the given time.
func (w *simulation) wideJob(id string, length time.Duration, widths ...int) *fakeJob {
	j := &fakeJob{kind: "roster", objective: time.Minute}
	j.spec = JobSpec{ID: id, Queue: "roster", Team: "team", Upstream: "desk", Policy: w.catalog.Queue("roster").Policy}
	for i, n := range widths {
		step := StepSpec{Count: n, Need: resource.Amount{MilliCPU: 9000, MemoryMB: 16144}, Gang: true, Estimate: length}
		if i > 0 {
			step.After = []int{i - 1}
		}
		times := make([]time.Duration, n)
		for k := range times {
			times[k] = length
		}
		j.spec.Steps = append(j.spec.Steps, step)
		j.times = append(j.times, times)
	}
	return j
}

// Gangs that wait at the same time while most of the fleet is free must not all ask for advice
// on the same workers: the first one that is answered takes them, and each further call takes
// most of a second. Each gang of 15 tasks is followed by one of 33.
func TestGangsThatExploreTogether(t *testing.T) {
	for _, gangs := range []int{1, 10} {
		for _, seed := range []uint64{1, 2, 3} {
			t.Run(fmt.Sprintf("%d gangs, seed %d", gangs, seed), func(t *testing.T) {
				t.Parallel()
				w := newSimulation(t, seed, 540, 97, nil, nil)
				setLargeAdvice(w)
				w.generateJobs(nil, 0, steadyLoad)
				w.run(100 * time.Millisecond)
				for i := range gangs {
					w.submit(w.wideJob(fmt.Sprintf("wide%03d", i), 4*time.Second, 15, 33))
				}
				idle := w.watchIdle()
				w.run(40 * time.Second)
				assert.Equal(t, len(w.violations), 0, "%v", w.violations)
				assert.Equal(t, w.completedShare("roster"), 1.0)
				t.Logf("idle for at most %s: %s", idle.longest, idle.step)
				assert.Assert(t, idle.longest <= maxIdle, "idle for %s: %s", idle.longest, idle.step)
				for _, worker := range w.cell.workers {
					assert.Assert(t, worker.claimed.IsZero(), "%s is claimed without a call for advice", worker.ID)
				}
			})
		}
	}
}
