package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// shrinkSome makes a third of the workers lose capacity again and again for some seconds.
func (w *simulation) shrinkSome(from, until time.Duration) {
	for _, id := range w.order[:len(w.order)/3] {
		f := w.workers[id]
		var next func()
		next = func() {
			if w.now.Sub(w.started) > until {
				return
			}
			lasts := 3*time.Second + time.Duration(w.rand.Int64N(int64(12*time.Second)))
			w.shrink(f, 0.3+0.4*w.rand.Float64(), lasts)
			w.after(lasts+time.Duration(w.rand.Int64N(int64(4*time.Second))), next)
		}
		w.after(from+time.Duration(w.rand.Int64N(int64(2*time.Second))), next)
	}
}

// A third of the workers lose 30 to 70 percent of their capacity again and again, while the
// scheduler is replaced and the table is slow: no start may go beyond what is left, and every
// accepted job must complete.
func TestCapacityShrinksWhileTheTableIsSlow(t *testing.T) {
	queues, kinds := fakeQueues()
	for _, q := range queues {
		// Tickets that last, so that only the capacity can keep a late start from its worker.
		q.Policy.Advice.Valid = time.Minute
	}
	w := newSimulation(t, 41, 48, 6, queues, nil)
	w.generateJobs(kinds, 20*time.Second, steadyLoad)
	w.shrinkSome(2*time.Second, 20*time.Second)
	for i := range 2 {
		w.after(time.Duration(4+6*i)*time.Second, func() { w.tableDelay = 7 * time.Second })
		w.after(time.Duration(8+6*i)*time.Second, func() { w.tableDelay = 0 })
	}
	w.after(11*time.Second, w.takeover)
	w.run(90 * time.Second)
	w.rejectUnrecorded()
	w.checkClean()
}

// A worker that has less capacity than it uses gets no task, not even one that needs none.
func TestNothingStartsBeyondCapacity(t *testing.T) {
	c, now := New(Settings{}, nil), time.Unix(1_700_000_000, 0)
	w := c.ensureWorker("w0")
	w.Capacity = resource.Amount{MilliCPU: 1000, MemoryMB: 100}
	w.addUsed(resource.Amount{MilliCPU: 2000, MemoryMB: 50})
	for _, need := range []resource.Amount{{}, {MemoryMB: 10}, {Accelerators: 1}, {MilliCPU: 1}} {
		s := &step{spec: &StepSpec{Need: need}, tasks: make([]*task, 4)}
		assert.Equal(t, s.slotsIn(w.free()), 0, "%+v", need)
		assert.Equal(t, s.slotsIn(w.expectedFree(now)), 0, "%+v", need)
		assert.Assert(t, !fits(&need, &w.freeCapacity), "%+v", need)
	}
}

// An accepted job that fits no worker any more waits, and starts within a second after a worker
// reports that its capacity has grown again. Until then further ones are refused with a short
// delay; those that never fitted, with a long one.
func TestJobWaitsForCapacityToGrow(t *testing.T) {
	queues, kinds := fakeQueues()
	for _, q := range queues {
		q.Policy.Advice.Valid = time.Minute
	}
	w := newSimulation(t, 42, 2, 3, queues, nil)
	w.halfAllowed = true
	job := func(id string, cpu int64) *fakeJob {
		j := kinds[1].job(w.traffic, id)
		step := j.spec.Steps[0]
		step.Count, step.Need = 1, resource.Amount{MilliCPU: cpu}
		j.spec.Steps, j.times = []StepSpec{step}, [][]time.Duration{{time.Second}}
		return j
	}
	var refusedFor []time.Duration
	w.after(time.Second, func() { w.tableDelay = 3 * time.Second })
	w.after(1100*time.Millisecond, func() {
		for _, id := range w.order {
			w.shrink(w.workers[id], 0.6, 8*time.Second)
		}
		w.submit(job("accepted", 30000))
	})
	w.after(1500*time.Millisecond, func() { w.tableDelay = 0 })
	w.after(6*time.Second, func() {
		assert.Assert(t, !w.cell.jobs["accepted"].started, "no worker has the capacity")
		refusedFor = append(refusedFor, w.submit(job("later", 30000)), w.submit(job("never", 40000)))
	})
	w.after(9100*time.Millisecond+fakeRenewal+time.Second, func() {
		assert.Assert(t, w.cell.jobs["accepted"].started, "the capacity has grown")
	})
	w.run(20 * time.Second)
	assert.DeepEqual(t, refusedFor, []time.Duration{shrunkRetryAfter, maxRetryAfter})
	assert.Equal(t, len(w.violations), 0, "%v", w.violations)
}
