package jobs

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

func TestRowRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 50).Draw(t, "tasks")
		j := newJob(Spec{ID: "a/b", Team: "t", Tasks: n, Payload: []byte("x"), Created: time.Unix(5, 0).UTC()})
		j.cancelled = rapid.Bool().Draw(t, "cancelled")
		for i := range j.tasks {
			state := rapid.SampledFrom([]TaskState{Pending, Assigned, Running, Done, Failed, Cancelled}).Draw(t, "state")
			j.tasks[i].state = state
			if state.active() {
				w := rapid.IntRange(0, 9).Draw(t, "worker")
				j.tasks[i].worker, j.tasks[i].block = fmt.Sprint("w", w), fmt.Sprint("b", w/3)
				j.tasks[i].attempt, j.tasks[i].epoch = 1+w, uint64(w)
			}
		}
		value, err := j.encode()
		assert.NilError(t, err)
		back, err := decode(value)
		assert.NilError(t, err)
		assert.DeepEqual(t, back.spec, j.spec)
		assert.Equal(t, back.cancelled, j.cancelled)
		for i := range j.tasks {
			assert.Equal(t, back.tasks[i], j.tasks[i])
		}
	})
}

func TestByShare(t *testing.T) {
	amount := resource.Amount{MilliCPU: 1}
	day := func(d int) time.Time { return time.Unix(int64(d)*86400, 0) }
	waiting := []QueuedJob{
		{ID: "a1", Team: "a", Amount: amount, Tasks: 10, Deadline: day(1)},
		{ID: "a2", Team: "a", Amount: amount, Tasks: 10, Deadline: day(2)},
		{ID: "b-late", Team: "b", Amount: amount, Tasks: 10, Deadline: day(9)},
		{ID: "b-none", Team: "b", Amount: amount, Tasks: 10},
		{ID: "b-soon", Team: "b", Amount: amount, Tasks: 10, Deadline: day(3)},
		{ID: "a-urgent", Team: "a", Amount: amount, Tasks: 1, Urgent: true},
	}
	teams := map[string]TeamShare{"a": {Share: 1}, "b": {Share: 3, Used: 0.02}}
	var got []string
	for _, w := range ByShare(waiting, teams, resource.Amount{MilliCPU: 1000}) {
		got = append(got, w.ID)
	}
	assert.DeepEqual(t, got, []string{"a-urgent", "a1", "b-soon", "b-late", "a2", "b-none"})
}
