package tasks

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/kingcuplatch/kingcuplatch/conn/worker"
)

// inSimulation runs f in virtual time with the tasks t/0 to t/(n-1).
func inSimulation(t *testing.T, opts unsafeOptions, n int, f func(t *testing.T, w *simulation)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer time.Sleep(time.Minute)
		defer cancel()
		w := newSimulation(ctx, opts)
		time.Sleep(2 * time.Second)
		w.addTasks(n)
		f(t, w)
	})
}

func (w *simulation) addTasks(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range n {
		w.tasks[fmt.Sprintf("t/%d", i)] = &simTask{}
	}
}

func (w *simulation) allEnded() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, task := range w.tasks {
		if !task.done {
			return false
		}
	}
	return w.teams["A"].sum()+w.teams["B"].sum() == 0
}

// TestNoTaskRunsTwice injects each fault twice: with the full protocol, and with the
// safety step against that fault disabled (off=true), in which case it must detect
// overlapping runs. The check uses the workers' own records.
func TestNoTaskRunsTwice(t *testing.T) {
	cases := []struct {
		name string
		off  unsafeOptions
		run  func(t *testing.T, w *simulation)
	}{
		{"start reply lost", unsafeOptions{assumeNotStarted: true}, startReplyLost},
		{"unreachable worker reconnects with its task", unsafeOptions{declareLostEarly: true}, workerReconnects},
		{"takeover while the worker is unreachable", unsafeOptions{declareLostEarly: true}, takeoverOfUnreachableWorker},
		{"start arrives after absent was reported", unsafeOptions{absentWithReservation: true}, lateStart},
		{"block lease expired while the owner is paused", unsafeOptions{skipLeaseCheck: true}, pausedOwner},
	}
	for _, c := range cases {
		for _, off := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/off=%v", c.name, off), func(t *testing.T) {
				opts := unsafeOptions{}
				if off {
					opts = c.off
				}
				inSimulation(t, opts, 0, func(t *testing.T, w *simulation) {
					c.run(t, w)
					assert.Equal(t, w.overlappingRuns() != "", off, w.overlappingRuns())
				})
			})
		}
	}
}

func startReplyLost(_ *testing.T, w *simulation) {
	for _, f := range w.workers {
		f.mu.Lock()
		f.lostReplies = 1
		f.mu.Unlock()
	}
	w.addTasks(2)
	time.Sleep(5 * time.Second)
	w.repair()
	time.Sleep(time.Minute)
}

// repair ends all partitions and lets the owners detect which blocks they have lost.
func (w *simulation) repair() {
	for i, f := range w.workers {
		f.mu.Lock()
		f.lostReplies = 0
		f.mu.Unlock()
		w.partition(i, "AB", false)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for block, owner := range w.ownerOf {
		delete(w.assumedEpochs[map[string]string{"A": "B", "B": "A"}[owner]], block)
	}
}

func workerReconnects(_ *testing.T, w *simulation) {
	w.addTasks(4)
	time.Sleep(3 * time.Second)
	w.partition(0, "AB", true)
	time.Sleep(time.Minute)
	w.partition(0, "AB", false)
	time.Sleep(time.Minute)
}

func takeoverOfUnreachableWorker(_ *testing.T, w *simulation) {
	w.addTasks(4)
	time.Sleep(3 * time.Second)
	w.partition(0, "AB", true)
	w.partition(1, "AB", true)
	w.move("w0", "B")
	w.move("w1", "B")
	time.Sleep(time.Minute)
	w.partition(0, "AB", false)
	w.partition(1, "AB", false)
	time.Sleep(time.Minute)
}

func lateStart(t *testing.T, w *simulation) {
	first, ok := w.reserve("A", "t/0", 1, time.Hour)
	assert.Assert(t, ok)
	status := w.owners["A"].Status(w.ctx, AttemptsRequest{Attempts: []Located{first.Located}})
	assert.Equal(t, status.Outcomes[0].State, StateAbsent)
	second, ok := w.reserve("B", "t/0", 2, time.Hour)
	assert.Assert(t, ok)
	assert.Equal(t, w.start("B", second).State, StateRunning)
	w.start("A", first)
	time.Sleep(time.Second)
}

func pausedOwner(t *testing.T, w *simulation) {
	first, ok := w.reserve("A", "t/0", 1, time.Hour)
	assert.Assert(t, ok)
	block := first.Block
	w.partition(int(first.Worker[1]-'0'), "B", true)
	w.move(block, "B")
	time.Sleep(testLease + 10*time.Second)
	status := w.owners["B"].Status(w.ctx, AttemptsRequest{Attempts: []Located{first.Located}})
	assert.Equal(t, status.Outcomes[0].State, StateEnded)
	second, ok := w.reserve("B", "t/0", 2, time.Hour)
	assert.Assert(t, ok)
	assert.Equal(t, w.start("B", second).State, StateRunning)
	w.start("A", first)
	time.Sleep(time.Second)
}

// fault is an injected fault and the pause after it.
type fault struct {
	Worker int
	Owner  string
	Kind   int
	Pause  time.Duration
}

func drawFault(t *rapid.T) fault {
	return fault{
		Worker: rapid.IntRange(0, 3).Draw(t, "worker"),
		Owner:  rapid.SampledFrom([]string{"A", "B"}).Draw(t, "owner"),
		Kind:   rapid.IntRange(0, 4).Draw(t, "kind"),
		Pause:  time.Duration(rapid.IntRange(0, 15_000).Draw(t, "pause ms")) * time.Millisecond,
	}
}

func (w *simulation) inject(f fault) {
	switch f.Kind {
	case 0:
		w.partition(f.Worker, "AB", true)
	case 1:
		w.partition(f.Worker, f.Owner, true)
	case 2:
		w.partition(f.Worker, "AB", false)
	case 3:
		w.move(w.workers[f.Worker].name, f.Owner)
	case 4:
		w.workers[f.Worker].mu.Lock()
		w.workers[f.Worker].lostReplies = 1
		w.workers[f.Worker].mu.Unlock()
	}
	time.Sleep(f.Pause)
}

// TestRandomFaults runs tasks under random faults and then ends all faults. Every
// task must complete, without overlapping runs, and all capacity must be freed.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.Custom(drawFault), 1, 12).Draw(rt, "faults")
		var overlappingRuns string
		var allEnded bool
		inSimulation(t, unsafeOptions{}, 6, func(_ *testing.T, w *simulation) {
			for _, f := range faults {
				w.inject(f)
			}
			w.repair()
			for range 1200 {
				if allEnded = w.allEnded(); allEnded {
					break
				}
				time.Sleep(time.Second)
			}
			overlappingRuns = w.overlappingRuns()
		})
		assert.Equal(rt, overlappingRuns, "")
		assert.Assert(rt, allEnded, "a task did not end, or capacity leaked")
	})
}

// TestTasksOfUnreachableWorkerRestart has one worker become unreachable for good. Its
// tasks must run elsewhere and their capacity must be freed. With renewWhenUncertain
// the leases never count as expired, so the tasks must not complete.
func TestTasksOfUnreachableWorkerRestart(t *testing.T) {
	for _, off := range []bool{false, true} {
		inSimulation(t, unsafeOptions{renewWhenUncertain: off}, 6, func(t *testing.T, w *simulation) {
			time.Sleep(3 * time.Second)
			w.partition(0, "A", true)
			time.Sleep(10 * time.Minute)
			assert.Equal(t, w.allEnded(), !off)
			assert.Equal(t, w.overlappingRuns(), "")
		})
	}
}

// TestHoldPrefersOlderJob has two jobs hold the same workers. The older job must get
// them, and other jobs none until the holds expire.
func TestHoldPrefersOlderJob(t *testing.T) {
	inSimulation(t, unsafeOptions{}, 0, func(t *testing.T, w *simulation) {
		created := time.Now()
		reserve := func(job string, count int, hold *Hold) int {
			r := ReserveRequest{Job: job, Team: "t", Amount: oneTask, TTL: time.Second, AllOrNothing: true, Hold: hold}
			for i := range count {
				r.Refs = append(r.Refs, worker.TaskRef{Task: fmt.Sprintf("%s/%d", job, i), Attempt: 1})
			}
			return len(w.owners["A"].Reserve(w.ctx, r).Reservations)
		}
		assert.Equal(t, reserve("younger", 5, &Hold{Created: created, TTL: 4 * time.Second}), 0)
		assert.Equal(t, reserve("small", 1, nil), 0, "the workers are held for the younger job")
		assert.Equal(t, reserve("older", 5, &Hold{Created: created.Add(-time.Hour), TTL: 4 * time.Second}), 0)
		assert.Equal(t, reserve("younger", 4, nil), 0, "the workers are held for the older job")
		assert.Equal(t, reserve("older", 4, nil), 4)
		time.Sleep(6 * time.Second)
		assert.Equal(t, reserve("small", 4, nil), 4, "holds and reservations have expired")
	})
}
