package cluster

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The table becomes available for all nodes at the same moment. Whichever node notices
// first, the scheduler must stay.
func TestNoTakeoverOnTableRecovery(t *testing.T) {
	for _, hang := range []bool{false, true} {
		simulate(t, manyEntries, func(w *simulation) {
			leader := w.awaitLeader(2*time.Second, "")
			time.Sleep(3 * time.Second)
			for range 3 {
				w.setTableUnavailable(true, hang)
				time.Sleep(4700 * time.Millisecond)
				w.setTableUnavailable(false, hang)
				for range 40 {
					assert.DeepEqual(t, w.leaders(), []string{leader})
					time.Sleep(50 * time.Millisecond)
				}
			}
		})
	}
}

// setTableUnavailable makes the table unavailable for all nodes, or available again. Calls
// hang or are refused.
func (w *simulation) setTableUnavailable(unavailable, hang bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name := range w.nodes {
		w.refuse[name] = unavailable && !hang
		w.hang[name] = unavailable && hang
	}
}

// A scheduler that needs more than a second to load its cell has an old table contact
// afterwards. This must not look like a lost table.
func TestLongCellLoadIsNotTableLoss(t *testing.T) {
	simulate(t, manyEntries, func(w *simulation) {
		leader := w.awaitLeader(2*time.Second, "")
		time.Sleep(3 * time.Second)
		w.mu.Lock()
		w.scanTime = 1500 * time.Millisecond
		w.mu.Unlock()
		w.kill(leader)
		next := w.awaitLeader(4*time.Second, leader)
		for range 100 {
			assert.DeepEqual(t, w.leaders(), []string{next})
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// A table that stops answering must be detected before its calls time out. New jobs are
// then refused at once, and none of them may exist after the recovery.
func TestUnresponsiveTableDetectedEarly(t *testing.T) {
	simulate(t, 4, func(w *simulation) {
		leader := w.awaitLeader(2*time.Second, "")
		time.Sleep(time.Second)
		w.submitJobs(w.other(leader), "before", 3)
		w.setTableUnavailable(true, true)
		go w.other(leader).Do(context.Background(), testJob("first", 1))
		time.Sleep(700 * time.Millisecond)
		for i := range 5 {
			began := time.Now()
			reply := w.other(leader).Do(context.Background(), testJob("refused", 1))
			assert.Equal(t, reply.Result, ResultUnavailable, "%d: %+v", i, reply)
			assert.Assert(t, time.Since(began) < 100*time.Millisecond && reply.RetryAfter > 0)
			time.Sleep(200 * time.Millisecond)
		}
		w.setTableUnavailable(false, true)
		time.Sleep(3 * time.Second)
		reply := w.other(leader).Do(context.Background(), Call{Op: OpState, Queue: "q", Team: "crew", ID: "refused"})
		assert.Equal(t, reply.Result, ResultNoJob)
	})
}

// A slow table still answers: jobs must be accepted once its latency is known.
func TestSlowTableAcceptsJobs(t *testing.T) {
	simulate(t, 4, func(w *simulation) {
		leader := w.awaitLeader(2*time.Second, "")
		time.Sleep(time.Second)
		w.mu.Lock()
		w.tableDelay = 600 * time.Millisecond
		w.mu.Unlock()
		w.submitJobs(w.other(leader), "first", 1)
		for i := range 8 {
			reply := w.other(leader).Do(context.Background(), testJob(fmt.Sprintf("slow%d", i), 1))
			assert.Equal(t, reply.Result, ResultOK, "%d: %+v", i, reply)
		}
	})
}

// While the table is slow, a job whose caller's deadline ends before it could be recorded
// must be refused at once, and must not run.
func TestSubmitRefusedWhenDeadlineTooShort(t *testing.T) {
	simulate(t, 4, func(w *simulation) {
		leader := w.awaitLeader(2*time.Second, "")
		time.Sleep(time.Second)
		other := w.other(leader)
		w.mu.Lock()
		w.tableDelay = 600 * time.Millisecond
		w.mu.Unlock()
		w.submitJobs(other, "first", 1)
		within := func(id string, left time.Duration) (Reply, time.Duration) {
			ctx, cancel := context.WithTimeout(context.Background(), left)
			defer cancel()
			began := time.Now()
			return other.Do(ctx, testJob(id, 1)), time.Since(began)
		}
		reply, took := within("hasty", 400*time.Millisecond)
		assert.Equal(t, reply.Result, ResultUnavailable, "%+v", reply)
		assert.Assert(t, took < 50*time.Millisecond && reply.RetryAfter > 0)
		// A retry of a job that is being recorded is not refused: the job may run.
		go within("patient", 3*time.Second)
		time.Sleep(50 * time.Millisecond)
		reply, _ = within("patient", 400*time.Millisecond)
		assert.Equal(t, reply.Result, ResultUnknown, "%+v", reply)
		reply, _ = within("patient", 3*time.Second)
		assert.Equal(t, reply.Result, ResultOK, "%+v", reply)
		w.mu.Lock()
		w.tableDelay = 10 * time.Millisecond
		w.mu.Unlock()
		time.Sleep(2 * time.Second)
		reply = other.Do(context.Background(), Call{Op: OpState, Queue: "q", Team: "crew", ID: "hasty"})
		assert.Equal(t, reply.Result, ResultNoJob)
	})
}

// The table, which executes writes one by one, becomes slow under a load of new jobs. It
// must receive no more writes than it can answer in time, and jobs must be accepted
// throughout.
func TestTableSlowsDownUnderLoad(t *testing.T) {
	simulate(t, 3, func(w *simulation) {
		w.mu.Lock()
		w.tableDelay, w.serialWrites = 8*time.Millisecond, make(chan struct{}, 1)
		w.mu.Unlock()
		leader := w.awaitLeader(2*time.Second, "")
		time.Sleep(time.Second)
		other := w.other(leader)
		var accepted atomic.Int64
		load := func(name string, length time.Duration) {
			for i := range int(length / (2 * time.Millisecond)) {
				job := testJob(fmt.Sprintf("%s%d", name, i), 1)
				job.Spec.Policy.Target = time.Hour
				go func() {
					if other.Do(context.Background(), job).Result == ResultOK {
						accepted.Add(1)
					}
				}()
				time.Sleep(2 * time.Millisecond)
			}
		}
		load("quick", time.Second)
		w.mu.Lock()
		w.tableDelay = 400 * time.Millisecond
		w.mu.Unlock()
		for part := range 3 {
			before := accepted.Load()
			load(fmt.Sprintf("slow%d-", part), 2*time.Second)
			// The table executes five writes of 24 jobs in this time; half of them must succeed.
			assert.Assert(t, accepted.Load()-before >= 60, "part %d: %d accepted", part, accepted.Load()-before)
		}
		w.mu.Lock()
		w.tableDelay = 8 * time.Millisecond
		w.mu.Unlock()
		time.Sleep(5 * time.Second)
	})
}
