package cluster

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The table comes back for all at the same moment: the scheduler goes on, whoever
// looks first.
func TestReturnOfTheTableIsNoReasonToTakeOver(t *testing.T) {
	for _, silent := range []bool{false, true} {
		inWorld(t, manyEntries, func(w *world) {
			leader := w.awaitLeader(2*time.Second, "")
			time.Sleep(3 * time.Second)
			for range 3 {
				w.tableAway(true, silent)
				time.Sleep(4700 * time.Millisecond)
				w.tableAway(false, silent)
				for range 40 {
					assert.DeepEqual(t, w.leaders(), []string{leader})
					time.Sleep(50 * time.Millisecond)
				}
			}
		})
	}
}

// tableAway takes the table away from all nodes, or gives it back.
func (w *world) tableAway(away, silent bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name := range w.nodes {
		w.refuse[name] = away && !silent
		w.silent[name] = away && silent
	}
}

// A scheduler that needs a second to read its cell isn't taken for one that has lost
// the table afterwards.
func TestLongReadIsNoLostTable(t *testing.T) {
	inWorld(t, manyEntries, func(w *world) {
		leader := w.awaitLeader(2*time.Second, "")
		time.Sleep(3 * time.Second)
		w.mu.Lock()
		w.scanTakes = 1500 * time.Millisecond
		w.mu.Unlock()
		w.kill(leader)
		next := w.awaitLeader(4*time.Second, leader)
		for range 100 {
			assert.DeepEqual(t, w.leaders(), []string{next})
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// A table that falls silent for all is noticed before its calls time out: new jobs are
// refused at once, truly as not run, and none of them is known afterwards.
func TestSilentTableIsNoticedSoon(t *testing.T) {
	inWorld(t, 4, func(w *world) {
		leader := w.awaitLeader(2*time.Second, "")
		time.Sleep(time.Second)
		w.submitAll(w.other(leader), "before", 3)
		w.tableAway(true, true)
		go w.other(leader).Do(context.Background(), testJob("first", 1))
		time.Sleep(700 * time.Millisecond)
		for i := range 5 {
			began := time.Now()
			reply := w.other(leader).Do(context.Background(), testJob("refused", 1))
			assert.Equal(t, reply.Result, ResultUnavailable, "%d: %+v", i, reply)
			assert.Assert(t, time.Since(began) < 100*time.Millisecond && reply.RetryAfter > 0)
			time.Sleep(200 * time.Millisecond)
		}
		w.tableAway(false, true)
		time.Sleep(3 * time.Second)
		reply := w.other(leader).Do(context.Background(), Call{Op: OpState, Queue: "q", Team: "crew", ID: "refused"})
		assert.Equal(t, reply.Result, ResultNoJob)
	})
}

// A slow table is still one that answers: jobs are accepted once it is known how slow.
func TestSlowTableTakesJobs(t *testing.T) {
	inWorld(t, 4, func(w *world) {
		leader := w.awaitLeader(2*time.Second, "")
		time.Sleep(time.Second)
		w.mu.Lock()
		w.slow = 600 * time.Millisecond
		w.mu.Unlock()
		w.submitAll(w.other(leader), "first", 1)
		for i := range 8 {
			reply := w.other(leader).Do(context.Background(), testJob(fmt.Sprintf("slow%d", i), 1))
			assert.Equal(t, reply.Result, ResultOK, "%d: %+v", i, reply)
		}
	})
}

// While the table is slow, a job whose caller would be gone before it is recorded is
// refused at once, as not run.
func TestCallersWithoutTimeArentHeld(t *testing.T) {
	inWorld(t, 4, func(w *world) {
		leader := w.awaitLeader(2*time.Second, "")
		time.Sleep(time.Second)
		other := w.other(leader)
		w.mu.Lock()
		w.slow = 600 * time.Millisecond
		w.mu.Unlock()
		w.submitAll(other, "first", 1)
		within := func(id string, left time.Duration) (Reply, time.Duration) {
			ctx, cancel := context.WithTimeout(context.Background(), left)
			defer cancel()
			began := time.Now()
			return other.Do(ctx, testJob(id, 1)), time.Since(began)
		}
		reply, took := within("hasty", 400*time.Millisecond)
		assert.Equal(t, reply.Result, ResultUnavailable, "%+v", reply)
		assert.Assert(t, took < 50*time.Millisecond && reply.RetryAfter > 0)
		// A try of a job that is being recorded isn't refused: the job may run.
		go within("patient", 3*time.Second)
		time.Sleep(50 * time.Millisecond)
		reply, _ = within("patient", 400*time.Millisecond)
		assert.Equal(t, reply.Result, ResultUnknown, "%+v", reply)
		reply, _ = within("patient", 3*time.Second)
		assert.Equal(t, reply.Result, ResultOK, "%+v", reply)
		w.mu.Lock()
		w.slow = 10 * time.Millisecond
		w.mu.Unlock()
		time.Sleep(2 * time.Second)
		reply = other.Do(context.Background(), Call{Op: OpState, Queue: "q", Team: "crew", ID: "hasty"})
		assert.Equal(t, reply.Result, ResultNoJob)
	})
}

// The table becomes slow, doing writes one by one, in the midst of a flood of jobs: it
// gets no more writes than it can answer in time, and jobs are accepted all the while.
func TestTableSlowsDownInAFlood(t *testing.T) {
	inWorld(t, 3, func(w *world) {
		w.mu.Lock()
		w.slow, w.lane = 8*time.Millisecond, make(chan struct{}, 1)
		w.mu.Unlock()
		leader := w.awaitLeader(2*time.Second, "")
		time.Sleep(time.Second)
		other := w.other(leader)
		var accepted atomic.Int64
		flood := func(name string, length time.Duration) {
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
		flood("quick", time.Second)
		w.mu.Lock()
		w.slow = 400 * time.Millisecond
		w.mu.Unlock()
		for part := range 3 {
			before := accepted.Load()
			flood(fmt.Sprintf("slow%d-", part), 2*time.Second)
			// Half of what five writes of 24 jobs hold.
			assert.Assert(t, accepted.Load()-before >= 60, "part %d: %d accepted", part, accepted.Load()-before)
		}
		w.mu.Lock()
		w.slow = 8 * time.Millisecond
		w.mu.Unlock()
		time.Sleep(5 * time.Second)
	})
}
