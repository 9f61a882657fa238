package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/version/catalog"
)

// sharedWorker returns a cell in which a serving task and a best-effort task run on one
// worker. The serving task needs all of the worker's CPU.
func sharedWorker(t *testing.T) (c *Cell, serving, bestEffort RunKey, now time.Time) {
	now = time.Unix(1_700_000_000, 0)
	c = New(Settings{KeepEnded: time.Minute}, catalog.New(1, nil, nil, nil, catalog.Limits{}))
	c.SetWorkers(now, []WorkerInfo{{ID: "w0", Upstream: "desk", Capacity: resource.Amount{MilliCPU: 8000, MemoryMB: 8000}}})
	c.Listed(now, "w0", Listing{SentAt: now, Incarnation: 1})
	for _, spec := range []JobSpec{
		{ID: "serves", Steps: []StepSpec{{Count: 1, Need: resource.Amount{MilliCPU: 8000, MemoryMB: 1000}, LongRunning: true, Target: 100 * time.Millisecond}}},
		{ID: "fills", Steps: []StepSpec{{Count: 1, Need: resource.Amount{MemoryMB: 1000}, BestEffort: true, BestEffortCPU: 4000, LongRunning: true}}},
	} {
		spec.Team, spec.Upstream = "team", "desk"
		assert.Equal(t, c.Submit(now, spec, func(Recorded) {}).Verdict, Recording)
	}
	c.Plan(now)
	record(t, c, now)
	starts := c.TakeActions().Starts
	assert.Equal(t, len(starts), 2)
	for _, o := range starts {
		c.StartAnswered(now, o.Worker, o.RunKey, StartOK)
	}
	return c, RunKey{"serves.0.0.0", 1}, RunKey{"fills.0.0.0", 1}, now
}

// pollWorker delivers a list of both runs with the given tail latency and returns the
// resulting pace commands.
func pollWorker(c *Cell, serving, bestEffort RunKey, now time.Time, tail time.Duration) []PaceCommand {
	c.Listed(now, "w0", Listing{SentAt: now, Incarnation: 1, Running: []ListedRun{{RunKey: serving, Percent: 100, TailLatency: tail}, {RunKey: bestEffort, Percent: 100}}})
	c.Tick(now)
	return c.TakeActions().Paces
}

// Best-effort tasks must not reduce a worker's free CPU, but must count towards their
// team's usage.
func TestBestEffortTakesNoFreeCPU(t *testing.T) {
	c, _, _, _ := sharedWorker(t)
	assert.Equal(t, c.workers["w0"].free(), resource.Amount{MemoryMB: 6000})
	assert.Equal(t, c.usage["team"].MilliCPU, int64(12000))
}

// A tail latency close to its target must slow the best-effort task down at each poll
// until it is halted, and the task must speed up in small steps once the tail is low.
func TestBestEffortSlowsDownForTailLatency(t *testing.T) {
	c, serving, bestEffort, now := sharedWorker(t)
	assert.Equal(t, len(pollWorker(c, serving, bestEffort, now.Add(time.Second), 20*time.Millisecond)), 0)
	want := []int{50, 25, 12, 0}
	for i, percent := range want {
		commands := pollWorker(c, serving, bestEffort, now.Add(time.Duration(i+2)*time.Second), 95*time.Millisecond)
		assert.Equal(t, len(commands), 1)
		assert.Equal(t, commands[0].Percent, percent)
		c.Paced("w0", bestEffort, percent)
	}
	commands := pollWorker(c, serving, bestEffort, now.Add(10*time.Second), 30*time.Millisecond)
	assert.Equal(t, commands[0].Percent, paceStep)
	assert.Equal(t, len(pollWorker(c, serving, bestEffort, now.Add(11*time.Second), 75*time.Millisecond)), 0, "pace changed between the thresholds")
}

// A pace command without a reply must be sent again, and a run that an earlier scheduler
// may have slowed down must get a pace command at once.
func TestPaceCommandIsRepeated(t *testing.T) {
	c, serving, bestEffort, now := sharedWorker(t)
	for i := range 2 {
		commands := pollWorker(c, serving, bestEffort, now.Add(time.Duration(i+1)*time.Second), 95*time.Millisecond)
		assert.Equal(t, commands[0].Percent, 50)
	}
	assert.Equal(t, nextPace(unknownPace, 0), 58)
	assert.Equal(t, nextPace(unknownPace, 0.75), 50)
}
