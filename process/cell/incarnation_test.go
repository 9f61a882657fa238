package cell

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/version/catalog"
)

// restartAs ends a worker's process and starts it again under its id after down, with another
// capacity. The directory shows the entry of the new incarnation after the given time; until then it
// shows that of the one before.
func (w *simulation) restartAs(id string, amount resource.Amount, down, listedAfter time.Duration) {
	f := w.workers[id]
	if !w.endProcess(f) {
		return
	}
	w.after(down, func() {
		f.up, f.silent = true, false
		f.incarnation++
		f.capacity, f.earlier, f.leaseEnd = amount, nil, time.Time{}
		f.draining = false
		incarnation := f.incarnation
		w.after(listedAfter, func() {
			if f.up && f.incarnation == incarnation {
				f.listedIncarnation, f.reported = incarnation, f.capacity
				w.setListed(f, true)
			}
		})
	})
}

// injectRestarts makes workers start again under their ids, some with less capacity. Some of them are
// lost without a sign.
func injectRestarts(m *model) {
	// Its own draws, so that the other faults are those of TestRandomFaults.
	random := rand.New(rand.NewPCG(m.rand.Uint64(), 12))
	duration := func(least, most time.Duration) time.Duration {
		return least + time.Duration(random.Int64N(int64(most-least)))
	}
	for range 4 {
		f := m.workers[m.order[random.IntN(modelWorkers)]]
		share := []float64{1, 0.5, 0.25}[random.IntN(3)]
		amount := resource.Amount{MilliCPU: int64(32000 * share), MemoryMB: int64(65536 * share)}
		down, listedAfter := duration(50*time.Millisecond, 2*time.Second), duration(10*time.Millisecond, 400*time.Millisecond)
		silent := random.IntN(2) == 0
		if silent && share < 1 {
			// Starts reach an incarnation of which nobody has heard yet, and nothing tells its capacity.
			down += pollFailureTime
		}
		m.after(duration(time.Second, modelFaultWindow), func() {
			f.silent = silent
			m.restartAs(f.id, amount, down, listedAfter)
			m.after(12*time.Second, func() { m.setCapacity(f, resource.Amount{MilliCPU: 32000, MemoryMB: 65536}) })
		})
	}
}

// Workers start again under their ids, with less capacity at times, beside the faults of
// TestRandomFaults. No start may go beyond the capacity of the incarnation that carries it out, no
// task may run twice, and every accepted job must end.
func TestRestartsUnderTheSameID(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runModel(t, seed, injectRestarts)
		})
	}
}

// A worker's incarnation that has replied gets no work until the directory shows its own entry: the
// one shown before is that of an incarnation which may have had more capacity.
func TestNoWorkBeforeTheIncarnationsEntryIsRead(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	c := New(Settings{KeepEnded: time.Minute}, catalog.New(1, nil, nil, nil, catalog.Limits{}))
	entry := func(incarnation, cpu int64) {
		c.SetWorkers(now, []WorkerInfo{{ID: "w0", Upstream: "desk", Incarnation: incarnation, Capacity: resource.Amount{MilliCPU: cpu, MemoryMB: 8000}}})
	}
	planned := func() int {
		c.Plan(now)
		if b := c.TakeBatch(now); b != nil {
			recordVersion++
			c.BatchRecorded(now, b, recordVersion)
		}
		return len(c.TakeActions().Starts)
	}
	entry(1, 8000)
	c.Listed(now, "w0", Listing{SentAt: now, Incarnation: 2})
	spec := JobSpec{ID: "job", Team: "team", Upstream: "desk", Steps: []StepSpec{{Count: 4, Need: resource.Amount{MilliCPU: 2000, MemoryMB: 10}, Estimate: time.Second}}}
	assert.Equal(t, c.Submit(now, spec, func(Recorded) {}).Verdict, Recording)
	assert.Equal(t, planned(), 0, "the entry of an earlier incarnation")
	assert.Equal(t, c.closedCause(now, c.workers["w0"]), workerCapacityUnknown)
	entry(3, 8000)
	assert.Equal(t, planned(), 0, "the entry of a later incarnation")
	entry(2, 4000)
	assert.Equal(t, planned(), 2)
}

// A run that was planned for one incarnation of a worker isn't started while the capacity of the next
// one isn't known.
func TestPlannedRunIsWithdrawnFromAnotherIncarnation(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	c := New(Settings{KeepEnded: time.Minute}, catalog.New(1, nil, nil, nil, catalog.Limits{}))
	c.SetWorkers(now, []WorkerInfo{{ID: "w0", Upstream: "desk", Incarnation: 1, Capacity: resource.Amount{MilliCPU: 8000, MemoryMB: 8000}}})
	c.Listed(now, "w0", Listing{SentAt: now, Incarnation: 1})
	spec := JobSpec{ID: "job", Team: "team", Upstream: "desk", Steps: []StepSpec{{Count: 1, Need: resource.Amount{MilliCPU: 2000, MemoryMB: 10}, Estimate: time.Second}}}
	assert.Equal(t, c.Submit(now, spec, func(Recorded) {}).Verdict, Recording)
	c.Plan(now)
	c.Listed(now, "w0", Listing{SentAt: now, Incarnation: 2})
	record(t, c, now)
	assert.Equal(t, len(c.TakeActions().Starts), 0)
	assert.Equal(t, len(c.workers["w0"].runs), 0)
}

// A run was recorded, its worker started again meanwhile under its id, as another kind, and the run was
// started there without the label that its step requires (ROUTE).
func TestRecordedRunIsNotStartedOnTheNextIncarnation(t *testing.T) {
	for name, labels := range map[string][]string{"another kind": nil, "the same kind": {"big"}} {
		now := time.Unix(1_700_000_000, 0)
		c := New(Settings{KeepEnded: time.Minute}, catalog.New(1, nil, nil, nil, catalog.Limits{}))
		list := labelledWorkers(1, 1, 1000)
		c.SetWorkers(now, list)
		c.Listed(now, "w0", Listing{SentAt: now, Incarnation: 1})
		spec := JobSpec{ID: "job", Team: "team", Upstream: "desk", Steps: []StepSpec{{Count: 1, Need: resource.Amount{MilliCPU: 1000}, RequiredLabel: "big"}}}
		assert.Equal(t, c.Submit(now, spec, func(Recorded) {}).Verdict, Recording)
		c.Plan(now)
		assert.Assert(t, firstStep(c.jobs["job"]).tasks[0].current != nil)
		list[0].Incarnation, list[0].Labels = 2, labels
		c.SetWorkers(now, list)
		c.Listed(now, "w0", Listing{SentAt: now, Incarnation: 2})
		record(t, c, now)
		assert.Equal(t, len(c.TakeActions().Starts), 0, name)
	}
}
