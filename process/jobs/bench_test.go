package jobs

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/ownership"
	"github.com/kingcuplatch/kingcuplatch/process/platform"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// benchCoordinator returns a coordinator with the given number of jobs on a full fleet.
// Each job has the given number of tasks, all in the same state.
func benchCoordinator(b *testing.B, jobs, tasks int, state TaskState) *Coordinator {
	b.Helper()
	w := newSimulation(b.Context(), 9, 1)
	w.full = true
	c := NewCoordinator(w.config(func(string) (platform.Condition, bool) { return platform.Condition{}, true }))
	w.locked(func() { w.coordinator = c })
	for _, name := range ownership.Shards() {
		c.shards[name] = &shard{
			name: name, jobs: make(map[string]*job), waiting: make(map[string]*job), ended: make(map[string]*job),
		}
	}
	for i := range jobs {
		j := newJob(Spec{
			ID: fmt.Sprintf("job-%d", i), Team: []string{"a", "b"}[i%2], Kind: "batch", Policy: testSnapshot.Kinds["batch"].Policy,
			Tasks: tasks, Amount: resource.Amount{Running: 1, MilliCPU: 1}, Created: time.Unix(int64(i), 0),
		})
		j.version = 1
		for n := range j.tasks {
			t := &j.tasks[n]
			t.state = state
			if state.active() {
				t.attempt, t.worker = 1, fmt.Sprintf("worker-%d", n%100)
				t.block, t.owner, t.since = "block-e1", "e1", time.Now()
			}
		}
		s := c.shards[ShardOf(j.spec.ID)]
		s.jobs[j.spec.ID] = j
		s.updateSets(j, time.Now())
	}
	return c
}

// BenchmarkPass makes one pass over a queue of jobs that do not fit.
func BenchmarkPass(b *testing.B) {
	for _, jobs := range []int{50, 5000} {
		b.Run(fmt.Sprintf("waiting=%d", jobs), func(b *testing.B) {
			c := benchCoordinator(b, jobs, 10, Pending)
			for b.Loop() {
				c.pass(context.Background())
			}
		})
	}
}

// BenchmarkSweep makes one sweep over running tasks that are all confirmed.
func BenchmarkSweep(b *testing.B) {
	for _, jobs := range []int{10, 1000} {
		b.Run(fmt.Sprintf("tasks=%d", jobs*25), func(b *testing.B) {
			c := benchCoordinator(b, jobs, 25, Running)
			for b.Loop() {
				c.sweep(context.Background(), time.Now())
			}
		})
	}
}

// BenchmarkEncode reports the size of a row with all tasks running.
func BenchmarkEncode(b *testing.B) {
	for _, tasks := range []int{1, 25, 1000} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			c := benchCoordinator(b, 1, tasks, Running)
			j := c.shards[ShardOf("job-0")].jobs["job-0"]
			var size int
			for b.Loop() {
				value, err := j.encode()
				if err != nil {
					b.Fatal(err)
				}
				size = len(value)
			}
			b.ReportMetric(float64(size), "B/row")
		})
	}
}

// BenchmarkBytes reports the heap that a coordinator uses per task. All tasks are
// running.
func BenchmarkBytes(b *testing.B) {
	for _, jobs := range []int{100, 2000} {
		b.Run(fmt.Sprintf("tasks=%d", jobs*25), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				c := benchCoordinator(b, jobs, 25, Running)
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(c)
			}
			b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/float64(jobs*25), "B/task")
		})
	}
}
