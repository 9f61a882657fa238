package cell

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

var (
	cancelSeeds = flag.Int("cancel-seeds", 50, "number of seeds for the simulation of cancels beside takeovers")
	cancelFirst = flag.Int("cancel-first", 1, "first seed")
)

// Size and duration of the simulation. The last fault ends well before its end.
const (
	lastingJobs       = 16
	lastingTaskLength = 24 * time.Hour
	cancelModelLength = 40 * time.Second
	// doomedFor is how long before a takeover the commands of the scheduler may be lost with it.
	doomedFor = 60 * time.Millisecond
	// overlapsLength replaces cancelModelLength where workers are away for longAway.
	overlapsLength = 80 * time.Second
	longAway       = 30 * time.Second
	gangLength     = 150 * time.Second
	// secondTakeover bounds how long after a takeover the successor is taken over.
	secondTakeover = 1500 * time.Millisecond
)

// Clients cancel jobs whose tasks last, at the moments around takeovers at which the scheduler's
// commands are lost, beside other work and random faults. After some time without faults no task of
// a cancelled job may run, and every task of the others must.
func TestCancelsBesideTakeovers(t *testing.T) {
	for seed := *cancelFirst; seed < *cancelFirst+*cancelSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runCancels(t, uint64(seed))
		})
	}
}

// newCancelModel returns a simulation with some work that ends by itself. stream tells models of the
// same seed apart.
func newCancelModel(t *testing.T, seed, stream uint64) (*model, fakeKind) {
	queues, kinds := fakeQueues()
	w := newSimulation(t, seed, modelWorkers, 3, queues, nil)
	w.halfAllowed = true
	for i := range kinds {
		kinds[i].perSecond *= 0.05
	}
	w.generateJobs(kinds, modelTraffic, steadyLoad)
	return &model{simulation: w, rand: rand.New(rand.NewPCG(seed, stream))}, kinds[1]
}

func runCancels(t *testing.T, seed uint64) {
	m, kind := newCancelModel(t, seed, 13)
	var lasting []*fakeJob
	for n := range lastingJobs {
		j := m.lastingJob(kind, fmt.Sprintf("lasting%02d", n))
		lasting = append(lasting, j)
		m.after(time.Duration(m.rand.IntN(4000))*time.Millisecond, func() { m.submitWithRetries(j, 20) })
	}
	for range 1 + m.rand.IntN(3) {
		m.cancelAroundTakeover(lasting)
	}
	for range m.rand.IntN(3) {
		m.injectFault()
	}
	m.run(cancelModelLength)
	m.checkLasting(lasting)
}

// The same, and more at the same time: the successor is taken over as well, before or after it has
// the lists of its workers; jobs are cancelled while they are being placed; some are gangs; a worker
// is away for longer than its lease, and comes back.
func TestCancelsBesideOverlaps(t *testing.T) {
	for seed := *cancelFirst; seed < *cancelFirst+*cancelSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runOverlappingCancels(t, uint64(seed))
		})
	}
}

func runOverlappingCancels(t *testing.T, seed uint64) {
	m, kind := newCancelModel(t, seed, 19)
	var lasting []*fakeJob
	for n := range lastingJobs {
		j := m.lastingJob(kind, fmt.Sprintf("lasting%02d", n))
		if n%3 == 0 {
			m.makeGang(j)
		}
		lasting = append(lasting, j)
		submitAt := time.Duration(m.rand.IntN(9000)) * time.Millisecond
		m.after(submitAt, func() { m.submitWithRetries(j, 20) })
		if m.rand.IntN(3) == 0 {
			// While it is being placed.
			m.after(submitAt+time.Duration(m.rand.IntN(300))*time.Millisecond, func() { m.cancelOnce(j) })
		}
	}
	for range 1 + m.rand.IntN(3) {
		at := m.cancelAroundTakeover(lasting)
		if m.rand.IntN(2) == 0 {
			m.after(at+doomedFor+time.Duration(m.rand.Int64N(int64(secondTakeover))), m.takeover)
		}
		if f := m.randomWorker(); m.rand.IntN(2) == 0 {
			m.after(at-time.Duration(m.rand.IntN(500))*time.Millisecond, func() { f.partitioned = true })
			m.after(at+longAway, func() { f.partitioned = false })
		}
	}
	for range m.rand.IntN(2) {
		m.injectFault()
	}
	m.run(overlapsLength)
	m.checkLasting(lasting)
}

// makeGang makes the tasks of a job that lasts a gang, which outlasts the play and shows its progress.
func (m *model) makeGang(j *fakeJob) {
	step := &j.spec.Steps[0]
	step.Gang, step.LongRunning, step.Estimate = true, false, gangLength
	for i := range j.times[0] {
		j.times[0][i] = gangLength
	}
}

// cancelOnce has a client cancel a job that was accepted, unless it has been asked for already.
func (m *model) cancelOnce(j *fakeJob) {
	if j.accepted && !j.cancelling {
		j.cancelling = true
		m.cancel(j)
	}
}

// lastingJob returns a job with tasks that last.
func (m *model) lastingJob(kind fakeKind, id string) *fakeJob {
	j := &fakeJob{kind: kind.queue.Name}
	count := 1 + m.rand.IntN(4)
	j.spec = JobSpec{
		ID: id, Queue: kind.queue.Name, Team: "team", Upstream: "desk", Policy: kind.queue.Policy,
		Steps: []StepSpec{{Count: count, Need: resource.Amount{MilliCPU: 1000, MemoryMB: 1000}, Estimate: time.Second, LongRunning: true}},
	}
	times := make([]time.Duration, count)
	for i := range times {
		times[i] = lastingTaskLength
	}
	j.times = [][]time.Duration{times}
	return j
}

// cancelAroundTakeover schedules the cancelling of some jobs, each once, and a takeover at about the
// same time, and returns when. Most commands that the scheduler sends just before are lost.
func (m *model) cancelAroundTakeover(jobs []*fakeJob) (at time.Duration) {
	at = time.Second + m.faultTime()
	m.after(at, func() { m.lostStops = 0.8 })
	m.after(at+doomedFor, func() {
		m.lostStops = 0
		m.takeover()
	})
	for _, j := range jobs {
		if m.rand.IntN(4) > 0 {
			continue
		}
		m.after(at+time.Duration(m.rand.Int64N(int64(2*doomedFor))), func() { m.cancelOnce(j) })
	}
	return at
}

// checkLasting checks that no task of a cancelled job runs, and that every task of the other
// accepted jobs does.
func (m *model) checkLasting(jobs []*fakeJob) {
	running := make(map[string]int)
	for _, id := range m.order {
		for _, r := range m.workers[id].sortedRuns() {
			job := jobOfTask(r.Task)
			running[job]++
			if !m.jobs[job].cancelled.IsZero() {
				m.violate("UNASKED %s run %d runs on %s, cancelled at %s", r.Task, r.Number, id, m.jobs[job].cancelled.Sub(m.started))
			}
		}
	}
	for _, j := range jobs {
		switch {
		case j.cancelling && j.cancelled.IsZero():
			m.violate("LOST the cancelling of %s has no answer", j.spec.ID)
		case j.accepted && !j.cancelling && running[j.spec.ID] != j.spec.Steps[0].Count:
			state, _, _, _ := m.cell.StateOf(j.spec.ID)
			m.violate("LOST %d of %d tasks of %s run, it is %s, %s", running[j.spec.ID], j.spec.Steps[0].Count, j.spec.ID, state, m.describe(j.spec.ID))
		}
	}
	assert.Equal(m.t, len(m.violations), 0, "%v", m.violations)
}
