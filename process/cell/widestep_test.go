package cell

import (
	"fmt"
	"math/rand/v2"
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
	for _, gangs := range []int{1, 10, 25} {
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

// largeDay returns the load of a large fleet on which memory binds too: gangs and batch jobs
// of up to 80 tasks, whose later steps have widths of their own, and urgent jobs. A fiftieth of
// the tasks fail.
func largeDay(w *simulation) []fakeKind {
	kinds := setLargeAdvice(w)
	kinds[0].perSecond, kinds[0].count, kinds[0].length, kinds[0].steps, kinds[0].maxTasks = 6.66, 16, 6200*time.Millisecond, 1.3, 80
	kinds[1].perSecond, kinds[1].count, kinds[1].cpu, kinds[1].steps, kinds[1].maxTasks = 11.1, 15, 5500, 1.6, 76
	kinds[2].perSecond, kinds[2].count, kinds[2].cpu, kinds[2].length = 123, 3.1, 7900, 640*time.Millisecond
	kinds[0].cpuSpread, kinds[1].cpuSpread, kinds[2].cpuSpread = 0.4, 0.45, 0.45
	w.failureShare = 0.02
	memory := map[string]struct{ mean, most float64 }{"roster": {17000, 33000}, "provision": {5600, 17000}, "quote": {15000, 44000}}
	random := rand.New(rand.NewPCG(99, 1))
	w.varyJob = func(j *fakeJob) {
		m := memory[j.kind]
		mb := int64(min(lognormal(random, m.mean, 0.5), m.most))
		for i := range j.spec.Steps {
			j.spec.Steps[i].Need.MemoryMB = mb
			if i > 0 {
				j.setWidth(i, max(1, min(80, int(lognormal(random, 16, 0.6)))))
			}
		}
	}
	return kinds
}

// setWidth sets the number of tasks of a step, which all take as long as the job's first one.
func (j *fakeJob) setWidth(step, count int) {
	j.spec.Steps[step].Count = count
	j.times[step] = make([]time.Duration, count)
	for i := range j.times[step] {
		j.times[step][i] = j.times[0][0]
	}
}

// Short tasks, which come before gangs, must leave the workers that a gang waits for to it while
// others are free. Otherwise a gang that knows few workers finds them taken whenever its tickets
// are renewed, on a fleet of which a tenth is in use.
func TestGangsAmongShortTasks(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		for _, widths := range [][]int{{3, 5}, {15, 33}, {15, 120}} {
			t.Run(fmt.Sprintf("%v, seed %d", widths, seed), func(t *testing.T) {
				t.Parallel()
				w := newSimulation(t, seed, 540, 97, nil, nil)
				short := setLargeAdvice(w)[2]
				short.perSecond, short.count, short.cpu, short.length = 123, 3.1, 7900, 640*time.Millisecond
				w.generateJobs([]fakeKind{short}, 10*time.Second, steadyLoad)
				w.run(time.Second)
				for i := range 100 / widths[0] {
					w.submit(w.wideJob(fmt.Sprintf("wide%03d", i), 4*time.Second, widths[0]))
				}
				for i := range 3 {
					w.submit(w.wideJob(fmt.Sprintf("wider%03d", i), 4*time.Second, widths...))
				}
				idle := w.watchIdle()
				w.run(20 * time.Second)
				assert.Equal(t, len(w.violations), 0, "%v", w.violations)
				assert.Equal(t, w.completedShare("roster"), 1.0)
				quotes, _ := w.onTimeShare("quote")
				assert.Assert(t, quotes >= 0.98, "%.3f of the short jobs in time", quotes)
				t.Logf("idle for at most %s: %s", idle.longest, idle.step)
				assert.Assert(t, idle.longest <= maxIdle, "idle for %s: %s", idle.longest, idle.step)
			})
		}
	}
}

// The load of a large day that begins with many gangs at once. While most of the fleet is free,
// no job may wait for long, whatever its width, and most gangs must be in time.
func TestWideStepsOnLargeDay(t *testing.T) {
	for _, seed := range []uint64{51, 53} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newSimulation(t, seed, 540, 97, nil, nil)
			kinds := largeDay(w)
			w.generateJobs(kinds, 16*time.Second, func(kind string, at time.Duration) float64 {
				if kind == "roster" && at < 2*time.Second {
					return 3
				}
				return 1
			})
			idle := w.watchIdle()
			w.run(50 * time.Second)
			w.logResults()
			t.Logf("idle for at most %s: %s; gangs in time by work %.3f", idle.longest, idle.step, w.byWork("roster"))
			assert.Equal(t, len(w.violations), 0, "%v", w.violations)
			assert.Assert(t, idle.longest <= maxIdle, "idle for %s: %s", idle.longest, idle.step)
			rosters, _ := w.onTimeShare("roster")
			assert.Assert(t, rosters >= 0.88, "%.3f of the gangs in time", rosters)
		})
	}
}
