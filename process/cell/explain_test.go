package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/version/catalog"
)

// The note on the longest wait must name the step that has waited longest, not one of the oldest
// job, and a placement must say how long its step has waited: a late step of an old job may have
// waited for a moment only.
func TestNotesTellHowLongAStepWaits(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	c := New(Settings{KeepEnded: time.Minute}, catalog.New(1, nil, nil, nil, catalog.Limits{}))
	whole := resource.Amount{MilliCPU: 8000, MemoryMB: 8000}
	c.SetWorkers(start, []WorkerInfo{{ID: "w0", Upstream: "desk", Capacity: whole}})
	c.Listed(start, "w0", Listing{SentAt: start, Incarnation: 1})
	one := StepSpec{Count: 1, Need: whole, Estimate: time.Second}
	next := one
	next.After = []int{0}
	submit := func(now time.Time, id string, steps ...StepSpec) {
		spec := JobSpec{ID: id, Team: "team", Upstream: "desk", Policy: catalog.Policy{MaxAttempts: 3, Target: time.Hour}, Steps: steps}
		assert.Equal(t, c.Submit(now, spec, func(Recorded) {}).Verdict, Recording)
		c.Plan(now)
		record(t, c, now)
	}
	submit(start, "old", one, next)
	submit(start.Add(time.Second), "new", one)

	ended := start.Add(5 * time.Second)
	c.workers["w0"].pausedUntil = ended.Add(5 * time.Second)
	c.Listed(ended, "w0", Listing{SentAt: ended, Incarnation: 1, Ends: []End{{Seq: 1, RunKey: RunKey{Task: "old.0.0.0", Number: 1}, Kind: EndDone}}})
	c.Plan(ended)
	c.TakeActions()
	c.explain(ended.Add(time.Second))
	n := c.TakeActions().Notes[0]
	assert.Equal(t, n.Kind, NoteStepWaiting)
	assert.Equal(t, n.Task, "new.0.0")
	assert.Equal(t, n.Wait, 5*time.Second)
	assert.Equal(t, n.Runs, 2, "steps that wait")

	c.Plan(ended.Add(6 * time.Second))
	n = c.TakeActions().Notes[0]
	assert.Equal(t, n.Kind, NotePlaced)
	assert.Equal(t, n.Task, "old.0.1.0")
	assert.Equal(t, n.Wait, 6*time.Second)
}
