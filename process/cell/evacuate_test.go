package cell

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/version/catalog"
)

// evacuationBound is the time after a request from which nothing may start in the domain.
const evacuationBound = 5 * time.Second

// evacuate empties a failure domain until the given time later.
func (w *simulation) evacuate(domain string, lasts time.Duration) {
	if w.evacuatedSince == nil {
		w.evacuatedSince = make(map[string]time.Time)
	}
	w.evacuatedSince[domain] = w.now
	w.after(lasts, func() { delete(w.evacuatedSince, domain) })
}

func (w *simulation) evacuated() []string { return slices.Collect(maps.Keys(w.evacuatedSince)) }

// checkEvacuated finds starts in a failure domain that operators have emptied for longer than
// evacuationBound (EVAC).
func (w *simulation) checkEvacuated(command StartCommand, f *fakeWorker) {
	if since, ok := w.evacuatedSince[f.domain]; ok && w.now.Sub(since) > evacuationBound {
		w.violate("EVAC %s started on %s %s after the request", command.Task, f.id, w.now.Sub(since))
	}
}

// A failure domain is emptied under load, while the table is slow so that placed tasks wait for
// their records, and the scheduler is replaced: nothing may start there after the bound, and work
// starts there again within a second after the request is taken back.
func TestNothingStartsInAnEvacuatedDomain(t *testing.T) {
	queues, kinds := fakeQueues()
	w := newSimulation(t, 51, 48, 6, queues, nil)
	w.generateJobs(kinds, 24*time.Second, halfLoad)
	w.after(4*time.Second, func() { w.evacuate("d1", 12*time.Second) })
	w.after(3500*time.Millisecond, func() { w.tableDelay = 6 * time.Second })
	w.after(9*time.Second, func() { w.tableDelay = 0 })
	w.after(11*time.Second, w.takeover)
	var runs int
	w.after(17*time.Second, func() { _, runs = w.cell.domainLoad("d1") })
	w.run(80 * time.Second)
	w.rejectUnrecorded()
	w.checkClean()
	assert.Assert(t, runs > 0, "no work in the domain a second after the end of its evacuation")
}

// Random evacuations of one to all failure domains, some taken back within a second, beside the
// faults of the model.
func TestRandomEvacuations(t *testing.T) {
	for seed := *modelFirst; seed < *modelFirst+*modelSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			queues, kinds := fakeQueues()
			w := newSimulation(t, uint64(seed), modelWorkers, 3, queues, nil)
			m := &model{simulation: w, rand: rand.New(rand.NewPCG(uint64(seed), 13))}
			for i := range kinds {
				kinds[i].perSecond *= 0.12
			}
			kinds[0].count = 3
			w.halfAllowed = true
			w.generateJobs(kinds, modelTraffic, steadyLoad)
			for range 1 + m.rand.IntN(3) {
				domain, lasts := fmt.Sprint("d", m.rand.IntN(3)), time.Duration(m.rand.Float64()*14*float64(time.Second))
				m.after(m.faultTime(), func() { m.evacuate(domain, lasts) })
			}
			for range m.rand.IntN(3) {
				m.injectFault()
			}
			w.run(modelLength)
			m.check()
		})
	}
}

// evacuationCell returns a cell with one worker in each of the domains a and b; only that in a
// has the label "gpu".
func evacuationCell(now time.Time) *Cell {
	queues := []*catalog.Queue{{Name: "q", Upstream: "desk", Policy: catalog.Policy{Stretch: 3}}}
	c := New(Settings{KeepEnded: time.Minute}, catalog.New(1, queues, nil, []catalog.Upstream{{Name: "desk"}}, catalog.Limits{}))
	amount := resource.Amount{MilliCPU: 4000, MemoryMB: 1000}
	c.SetWorkers(now, []WorkerInfo{
		{ID: "wa", Upstream: "desk", FailureDomain: "a", Labels: []string{"gpu"}, Capacity: amount},
		{ID: "wb", Upstream: "desk", FailureDomain: "b", Capacity: amount},
	})
	for _, id := range []string{"wa", "wb"} {
		c.Listed(now, id, Listing{SentAt: now, Incarnation: 1})
	}
	return c
}

func evacuationJob(id, label string) JobSpec {
	steps := []StepSpec{{Count: 1, Need: resource.Amount{MilliCPU: 1000, MemoryMB: 100}, Estimate: time.Second, RequiredLabel: label}}
	return JobSpec{ID: id, Queue: "q", Upstream: "desk", Steps: steps, Policy: catalog.Policy{Stretch: 3}}
}

// A job that fits only workers of an evacuated domain would wait for an unknown time: it is
// refused at once with the reason, and accepted once the domain is back.
func TestJobThatFitsOnlyAnEvacuatedDomainIsRefused(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	c := evacuationCell(now)
	c.SetEvacuated(now, []string{"a"})
	a := c.Submit(now.Add(time.Second), evacuationJob("j1", "gpu"), nil)
	assert.Equal(t, a.Verdict, Refused)
	assert.Assert(t, strings.Contains(a.Reason, "evacuated failure domain"), a.Reason)
	assert.Equal(t, c.Submit(now.Add(time.Second), evacuationJob("j2", ""), nil).Verdict, Recording)
	c.SetEvacuated(now.Add(2*time.Second), nil)
	assert.Equal(t, c.Submit(now.Add(2*time.Second), evacuationJob("j1", "gpu"), nil).Verdict, Recording)
}

// A task that was placed before the request must not be started after it, although its record
// is written.
func TestPlacedTaskIsWithdrawnFromAnEvacuatedDomain(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	c := evacuationCell(now)
	c.Submit(now, evacuationJob("j1", "gpu"), func(Recorded) {})
	recordAll(now, c)
	c.Plan(now)
	c.SetEvacuated(now, []string{"a"})
	recordAll(now, c)
	assert.Equal(t, len(c.TakeActions().Starts), 0)
	c.Plan(now.Add(time.Second))
	assert.Equal(t, len(c.workers["wa"].runs), 0, "placed again in the evacuated domain")
	c.SetEvacuated(now, nil)
	c.Plan(now.Add(2 * time.Second))
	recordAll(now.Add(2*time.Second), c)
	assert.Equal(t, len(c.TakeActions().Starts), 1)
}

// recordAll writes all changes of the cell.
func recordAll(now time.Time, c *Cell) {
	for b := c.TakeBatch(now); b != nil; b = c.TakeBatch(now) {
		c.BatchRecorded(now, b, 1)
	}
}

// With a cold and a warm worker that are otherwise alike, work goes to the warm one; the long
// runs of the cold one don't count as a fault or as slowness.
func TestColdWorkersComeLast(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	c := evacuationCell(now)
	c.workers["wa"].ColdUntil = now.Add(5 * time.Second)
	s := &step{spec: &StepSpec{Need: resource.Amount{MilliCPU: 500}}, occ: &occurrence{job: &Job{}}}
	task := &task{step: s}
	workers := []*Worker{c.workers["wa"], c.workers["wb"]}
	assert.Equal(t, c.bestWorker(now, task, workers).ID, "wb")
	assert.Equal(t, c.bestWorker(now.Add(6*time.Second), task, workers).ID, "wa")
	r := &Run{task: task, worker: c.workers["wa"], listedAt: now}
	s.durations = []taskDuration{{c.workers["wb"], time.Second}}
	c.sampleSpeed(now.Add(4*time.Second), r, 4*time.Second)
	assert.Equal(t, c.workers["wa"].speed.samples, 0)
	assert.Equal(t, limitCold(now, now.Add(time.Hour)), now.Add(maxColdTime))
}
