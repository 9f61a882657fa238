package cell

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kingcuplatch/kingcuplatch/process/platform"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/version/catalog"
)

// checkClean asserts that the world saw no broken promise and every accepted job
// of every kind came to its end.
func (w *world) checkClean() {
	w.t.Helper()
	w.report()
	assert.Equal(w.t, len(w.violations), 0, "%v", w.violations)
	for _, kind := range []string{"roster", "provision", "quote"} {
		assert.Equal(w.t, w.finished(kind), 1.0, kind)
	}
}

// lightLoad is half of the usual.
func lightLoad(string, time.Duration) float64 { return 0.5 }

// The scheduler is replaced three times under load: nothing runs twice, no worker
// is over its room and every accepted job ends.
func TestTakeoversUnderLoad(t *testing.T) {
	queues, kinds := fakeQueues()
	w := newWorld(t, 11, 48, 6, queues, nil)
	w.play(kinds, 20*time.Second, steady)
	for _, at := range []time.Duration{5 * time.Second, 5200 * time.Millisecond, 12 * time.Second} {
		w.after(at, w.takeover)
	}
	w.run(60 * time.Second)
	for _, j := range w.jobs {
		// A job whose record was under way at a takeover may be lost; its client
		// heard no acceptance.
		if _, _, _, ok := w.cell.StateOf(j.spec.ID); !ok {
			j.rejected = true
		}
	}
	w.checkClean()
}

// Orders to start are lost and carried out seconds later, after the task was
// started elsewhere.
func TestLostStartsCarriedOutLate(t *testing.T) {
	queues, kinds := fakeQueues()
	w := newWorld(t, 12, 48, 6, queues, nil)
	n := 0
	w.drop = func(StartOrder) (bool, time.Duration) {
		n++
		return n%15 == 0 && w.now.Sub(w.started) < 8*time.Second, time.Duration(500+n%7*1500) * time.Millisecond
	}
	w.play(kinds, 20*time.Second, lightLoad)
	w.run(70 * time.Second)
	w.checkClean()
}

// Workers crash and come back as new lives under their ids.
func TestWorkersReborn(t *testing.T) {
	queues, kinds := fakeQueues()
	w := newWorld(t, 13, 48, 6, queues, nil)
	w.play(kinds, 20*time.Second, lightLoad)
	for i, id := range w.order[:8] {
		w.after(time.Duration(3+i)*time.Second, func() { w.crash(id, 1500*time.Millisecond) })
	}
	w.run(70 * time.Second)
	w.checkClean()
}

// Tasks on some workers stand still while the workers answer: they are stopped and
// go on elsewhere.
func TestTasksThatStandStillMove(t *testing.T) {
	queues, kinds := fakeQueues()
	w := newWorld(t, 14, 48, 6, queues, nil)
	w.play(kinds, 20*time.Second, lightLoad)
	w.after(4*time.Second, func() {
		for _, id := range w.order[:5] {
			w.workers[id].hang = true
		}
	})
	w.run(90 * time.Second)
	w.checkClean()
}

// A member of a gang that has done its part waits for the others and isn't stuck.
func TestGangMemberThatWaitsIsNotStuck(t *testing.T) {
	c, s, now := gangOfTwo(t)
	now = now.Add(time.Second)
	keys := []RunKey{s.tasks[0].current.RunKey, s.tasks[1].current.RunKey}
	for percent := 10; percent <= 90; percent += 10 {
		now = now.Add(time.Second)
		c.Listed(now, "w0", Listing{AskedAt: now, Born: 1, Running: []ListedRun{
			{RunKey: keys[0], Percent: 99}, {RunKey: keys[1], Percent: percent},
		}})
		c.Tick(now)
		assert.Equal(t, len(c.Take().Stops), 0, "at %d percent", percent)
	}
	for range 3 {
		now = now.Add(3 * time.Second)
		c.Tick(now)
	}
	stops := c.Take().Stops
	assert.Assert(t, len(stops) > 0)
	assert.Equal(t, stops[0].RunKey, keys[1])
}

// gangOfTwo returns a cell with one worker on which a gang of two runs.
func gangOfTwo(t *testing.T) (*Cell, *step, time.Time) {
	now := time.Unix(1_700_000_000, 0)
	c := New(Settings{KeepEnded: time.Minute}, catalog.New(1, nil, nil, nil, catalog.Limits{}))
	c.SetWorkers(now, []WorkerInfo{{ID: "w0", Upstream: "desk", Capacity: resource.Amount{MilliCPU: 8000, MemoryMB: 8000}}})
	c.Listed(now, "w0", Listing{AskedAt: now, Born: 1})
	spec := JobSpec{ID: "gang", Team: "team", Upstream: "desk", Policy: catalog.Policy{MaxAttempts: 3}, Steps: []StepSpec{
		{Count: 2, Gang: true, Need: resource.Amount{MilliCPU: 4000, MemoryMB: 1000}, Estimate: 8 * time.Second},
	}}
	assert.Equal(t, c.Submit(now, spec, func(Recorded) {}).Verdict, Recording)
	c.Plan(now)
	record(t, c, now)
	starts := c.Take().Starts
	assert.Equal(t, len(starts), 2)
	for _, o := range starts {
		c.StartAnswered(now, o.Worker, o.RunKey, StartOK)
	}
	return c, c.jobs["gang"].occs[0].steps[0], now
}

// recordVersion makes the versions of rows in tests of single events.
var recordVersion uint64 = 100

func record(t *testing.T, c *Cell, now time.Time) {
	t.Helper()
	b := c.TakeBatch(now)
	assert.Assert(t, b != nil)
	recordVersion++
	c.BatchRecorded(now, b, recordVersion)
}

// One member that ends done ends the gang for good: members that are lost
// afterwards never run again, and their room counts until their end is listed.
func TestOneDoneMemberEndsTheGang(t *testing.T) {
	c, s, now := gangOfTwo(t)
	first, second := s.tasks[0].current.RunKey, s.tasks[1].current.RunKey
	now = now.Add(time.Second)
	c.Listed(now, "w0", Listing{AskedAt: now, Born: 1, Running: []ListedRun{{RunKey: first}, {RunKey: second}}})
	now = now.Add(8 * time.Second)
	c.Listed(now, "w0", Listing{AskedAt: now, Born: 1, Ends: []End{{Seq: 1, RunKey: first, Kind: EndDone}}, Running: []ListedRun{{RunKey: second}}})
	assert.Equal(t, c.workers["w0"].free().MilliCPU, int64(4000))
	record(t, c, now)
	state, _, _, _ := c.StateOf("gang")
	assert.Equal(t, state, Completed)
	c.Listed(now, "w0", Listing{AskedAt: now.Add(time.Second), Born: 2})
	c.Plan(now)
	assert.Equal(t, c.workers["w0"].free().MilliCPU, int64(8000))
	assert.Equal(t, len(c.Take().Starts), 0)
}

// A stop that was answered doesn't free the room; only a listed end, or a list
// asked for afterwards, does.
func TestAnsweredStopKeepsRoom(t *testing.T) {
	c, s, now := gangOfTwo(t)
	key := s.tasks[0].current.RunKey
	c.Cancel(now, "gang", func(Recorded) {})
	c.StopAnswered(now, "w0", key)
	assert.Equal(t, c.workers["w0"].free().MilliCPU, int64(0))
	c.Listed(now, "w0", Listing{AskedAt: now.Add(-time.Millisecond), Born: 1})
	assert.Equal(t, c.workers["w0"].free().MilliCPU, int64(0))
	c.Listed(now, "w0", Listing{AskedAt: now.Add(time.Millisecond), Born: 1})
	assert.Equal(t, c.workers["w0"].free().MilliCPU, int64(8000))
}

// Ends are acknowledged only after they are recorded.
func TestEndsAreAcknowledgedAfterTheirRecord(t *testing.T) {
	c, s, now := gangOfTwo(t)
	key := s.tasks[0].current.RunKey
	c.Listed(now, "w0", Listing{AskedAt: now, Born: 1, Ends: []End{{Seq: 1, RunKey: key, Kind: EndFailed}}})
	acked, waiting := c.Acked("w0")
	assert.Equal(t, acked, int64(0))
	assert.Assert(t, waiting)
	record(t, c, now)
	acked, waiting = c.Acked("w0")
	assert.Equal(t, acked, int64(1))
	assert.Assert(t, !waiting)
}

// A failure that an earlier scheduler recorded and didn't acknowledge counts once.
func TestFailureCountsOnceAfterTakeover(t *testing.T) {
	c, s, now := gangOfTwo(t)
	key := s.tasks[0].current.RunKey
	end := End{Seq: 1, RunKey: key, Kind: EndFailed}
	c.Listed(now, "w0", Listing{AskedAt: now, Born: 1, Ends: []End{end}})
	rows := rowsOf(t, c, now)
	next, err := Load(Settings{}, rows)
	assert.NilError(t, err)
	next.SetCatalog(c.catalog)
	next.SetWorkers(now, []WorkerInfo{{ID: "w0", Upstream: "desk", Capacity: resource.Amount{MilliCPU: 8000, MemoryMB: 8000}}})
	next.Listed(now, "w0", Listing{AskedAt: now, Born: 1, Ends: []End{end}})
	assert.Equal(t, len(next.jobs["gang"].occs[0].steps[0].failedRuns), 1)
}

// rowsOf records what c has changed and returns the rows of its jobs.
func rowsOf(t *testing.T, c *Cell, now time.Time) []platform.Row {
	t.Helper()
	record(t, c, now)
	var rows []platform.Row
	for _, j := range c.jobs {
		rows = append(rows, platform.Row{Key: specPrefix + j.ID, Value: encode(j.JobSpec), Version: j.specVersion})
		rows = append(rows, platform.Row{Key: statePrefix + j.ID, Value: encode(j.stateRow()), Version: j.stateVersion})
	}
	return rows
}

// A run recorded on a worker that the directory doesn't list any more is found, so
// that it can be given up.
func TestRunsOnUnlistedWorkersAreFound(t *testing.T) {
	c, _, now := gangOfTwo(t)
	c.touch(c.jobs["gang"])
	next, err := Load(Settings{}, rowsOf(t, c, now))
	assert.NilError(t, err)
	next.SetCatalog(c.catalog)
	assert.DeepEqual(t, next.Unlisted(), []string{"w0"})
	next.WorkerLapsed(now, "w0")
	assert.Equal(t, next.jobs["gang"].live, 0)
	assert.Equal(t, next.usage["team"].MilliCPU, int64(0))
}

// Jobs that name an impossible step, or more than a team may ever run, are refused
// with the field's name.
func TestBadJobsNameTheField(t *testing.T) {
	for _, c := range []struct {
		spec JobSpec
		want string
	}{
		{JobSpec{}, "steps: a job needs at least one"},
		{JobSpec{Steps: []StepSpec{{}}}, "steps[0].count: 0 is below 1"},
		{JobSpec{Steps: []StepSpec{{Count: 1, After: []int{0}}}}, "steps[0].after: 0 is no earlier step"},
		{JobSpec{Steps: []StepSpec{{Count: 1, Need: resource.Amount{MemoryMB: -1}}}}, "steps[0]: a need is negative"},
	} {
		assert.Error(t, c.spec.Check(), c.want)
	}
}

func TestParseTask(t *testing.T) {
	ref, err := parseTask("abc.1.2.30")
	assert.NilError(t, err)
	assert.Equal(t, ref, taskRef{"abc", 1, 2, 30})
	for _, bad := range []string{"", "a.b", "a.1.2.x", "a.1.2.-3", "a.1.2.3.4"} {
		_, err := parseTask(bad)
		assert.Assert(t, err != nil, bad)
	}
}

// A worker that fails everything is set aside; a job that always fails doesn't
// condemn the workers that ran it.
func TestHopelessJobsDontCondemnWorkers(t *testing.T) {
	queues, kinds := fakeQueues()
	w := newWorld(t, 15, 48, 6, queues, nil)
	n := 0
	poison := fakeKind{queue: queues[1], perS: 2, count: 4, cpu: 2000, length: time.Second, guessBy: 0.2}
	var next func()
	next = func() {
		n++
		j := poison.job(w.rand, fmt.Sprintf("poison%04d", n))
		j.endless = true
		w.submit(j)
		if n < 30 {
			w.after(300*time.Millisecond, next)
		}
	}
	next()
	w.play(kinds, 15*time.Second, lightLoad)
	w.run(60 * time.Second)
	w.checkClean()
	for _, id := range w.order {
		assert.Assert(t, !w.cell.health.Quarantined(id), id)
	}
}

// While the table is slow a batch takes what somebody waits for before mere
// progress, jobs beyond what it can write soon are refused, and nothing is
// acknowledged before its record.
func TestSlowTableWritesWhatIsAwaitedFirst(t *testing.T) {
	c, s, now := gangOfTwo(t)
	c.SlowTable(true)
	key := s.tasks[0].current.RunKey
	c.Listed(now, "w0", Listing{AskedAt: now, Born: 1, Running: []ListedRun{{RunKey: key}}, Ends: []End{{Seq: 1, RunKey: s.tasks[1].current.RunKey, Kind: EndFailed}}})
	for i := range maxUnaccepted {
		spec := JobSpec{ID: fmt.Sprintf("new%d", i), Team: "team", Upstream: "desk", Steps: []StepSpec{{Count: 1}}}
		assert.Equal(t, c.Submit(now, spec, func(Recorded) {}).Verdict, Recording)
	}
	refused := c.Submit(now, JobSpec{ID: "late", Team: "team", Steps: []StepSpec{{Count: 1}}}, func(Recorded) {})
	assert.Equal(t, refused.Verdict, Unavailable)
	assert.Assert(t, refused.RetryAfter > 0)
	now = now.Add(2 * joinWait)
	for {
		b := c.TakeBatch(now)
		assert.Assert(t, b != nil)
		recordVersion++
		last := b.jobs[len(b.jobs)-1].job.ID == "gang"
		acked, _ := c.Acked("w0")
		assert.Equal(t, acked, int64(0))
		c.BatchRecorded(now, b, recordVersion)
		if last {
			break
		}
	}
	acked, _ := c.Acked("w0")
	assert.Equal(t, acked, int64(1))
	assert.Assert(t, c.jobs["new99"].accepted)
}
