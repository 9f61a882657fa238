package cluster

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kingcuplatch/kingcuplatch/process/cell"
)

// submitJobs submits count jobs of three tasks each at a node, and retries each until it
// is accepted.
func (w *simulation) submitJobs(n *Node, prefix string, count int) []string {
	w.t.Helper()
	var ids []string
	for i := range count {
		id := fmt.Sprintf("%s%d", prefix, i)
		ids = append(ids, id)
		for try := 0; ; try++ {
			reply := n.Do(context.Background(), testJob(id, 3))
			if reply.Result == ResultOK {
				break
			}
			assert.Assert(w.t, try < 200, "%s: %+v", id, reply)
			time.Sleep(50 * time.Millisecond)
		}
	}
	return ids
}

// awaitCompleted waits until a node reports all jobs as completed.
func (w *simulation) awaitCompleted(n *Node, ids []string, within time.Duration) {
	w.t.Helper()
	began := time.Now()
	for _, id := range ids {
		for {
			reply := n.Do(context.Background(), Call{Op: OpState, Queue: "q", Team: "crew", ID: id})
			if reply.State == cell.Completed {
				break
			}
			assert.Assert(w.t, time.Since(began) < within, "%s: %+v", id, reply)
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// awaitRunning waits until a job is shown as running, at most until within after began.
func (w *simulation) awaitRunning(n *Node, id string, began time.Time, within time.Duration) {
	w.t.Helper()
	for {
		reply := n.Do(context.Background(), Call{Op: OpState, Queue: "q", Team: "crew", ID: id})
		if reply.State == cell.Running {
			return
		}
		assert.Assert(w.t, time.Since(began) < within, "%s: %+v", id, reply)
		time.Sleep(10 * time.Millisecond)
	}
}

// Exactly one node must schedule, and calls at the other nodes must reach it.
func TestSingleScheduler(t *testing.T) {
	simulate(t, 4, func(w *simulation) {
		leader := w.awaitLeader(2*time.Second, "")
		time.Sleep(5 * time.Second)
		assert.DeepEqual(t, w.leaders(), []string{leader})
		ids := w.submitJobs(w.other(leader), "job", 5)
		w.awaitCompleted(w.other(leader), ids, 20*time.Second)
	})
}

// The scheduler is killed while jobs run. Another node must take over within a second, and
// no task may run twice.
func TestKilledSchedulerIsReplaced(t *testing.T) {
	simulate(t, 4, func(w *simulation) {
		leader := w.awaitLeader(2*time.Second, "")
		time.Sleep(time.Second)
		other := w.other(leader)
		ids := w.submitJobs(other, "job", 6)
		time.Sleep(300 * time.Millisecond)
		w.kill(leader)
		w.awaitLeader(time.Second, leader)
		w.awaitCompleted(other, ids, 30*time.Second)
	})
}

// The table rejects or ignores calls of the scheduler only. Another node must take over
// within a second although the scheduler still reaches its workers. The former scheduler
// finds out from its workers and forwards calls.
func TestSchedulerLosesTable(t *testing.T) {
	for _, mode := range []string{"refuse", "silent"} {
		simulate(t, 4, func(w *simulation) {
			leader := w.awaitLeader(2*time.Second, "")
			time.Sleep(time.Second)
			other := w.other(leader)
			ids := w.submitJobs(other, "job", 6)
			w.mu.Lock()
			w.refuse[leader] = mode == "refuse"
			w.hang[leader] = mode == "silent"
			former := w.nodes[leader]
			w.mu.Unlock()
			w.awaitLeader(1200*time.Millisecond, leader)
			w.awaitCompleted(other, ids, 30*time.Second)
			assert.Assert(t, !former.Schedules(), mode)
			more := w.submitJobs(former, "more", 2)
			w.awaitCompleted(former, more, 20*time.Second)
		})
	}
}

// The table is unavailable for all nodes. No node may take over, new jobs are refused at
// once, and work continues after the recovery.
func TestTableUnavailableForAll(t *testing.T) {
	simulate(t, 4, func(w *simulation) {
		leader := w.awaitLeader(2*time.Second, "")
		time.Sleep(time.Second)
		ids := w.submitJobs(w.other(leader), "job", 4)
		w.setRefuse(true)
		time.Sleep(time.Second)
		for range 20 {
			began := time.Now()
			reply := w.other(leader).Do(context.Background(), testJob("new", 1))
			assert.Equal(t, reply.Result, ResultUnavailable)
			assert.Assert(t, reply.RetryAfter > 0 && time.Since(began) < 100*time.Millisecond)
			time.Sleep(300 * time.Millisecond)
		}
		assert.DeepEqual(t, w.leaders(), []string{leader})
		w.setRefuse(false)
		w.awaitCompleted(w.other(leader), ids, 20*time.Second)
	})
}

func (w *simulation) setRefuse(refuse bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name := range w.nodes {
		w.refuse[name] = refuse
	}
}

// A table that is slow for all nodes must not cause a takeover from a working scheduler.
func TestNoTakeoverOnSlowTable(t *testing.T) {
	simulate(t, 4, func(w *simulation) {
		leader := w.awaitLeader(2*time.Second, "")
		time.Sleep(time.Second)
		w.mu.Lock()
		w.tableDelay = 500 * time.Millisecond
		w.mu.Unlock()
		for range 50 {
			assert.DeepEqual(t, w.leaders(), []string{leader})
			time.Sleep(200 * time.Millisecond)
		}
	})
}

// Writes have an unknown outcome and are applied seconds later. No job may be lost, no
// state may go back, and the scheduler must stay.
func TestWritesWithUnknownOutcome(t *testing.T) {
	simulate(t, 3, func(w *simulation) {
		leader := w.awaitLeader(2*time.Second, "")
		time.Sleep(time.Second)
		other := w.other(leader)
		var ids []string
		for i := range 8 {
			w.mu.Lock()
			w.lostReplies, w.applyDelay = 1, time.Duration(i%4)*time.Second
			w.mu.Unlock()
			ids = append(ids, w.submitJobs(other, fmt.Sprintf("lost%d-", i), 2)...)
			time.Sleep(200 * time.Millisecond)
		}
		w.awaitCompleted(other, ids, 40*time.Second)
		assert.DeepEqual(t, w.leaders(), []string{leader})
	})
}

// The table is slow while the scheduler leaves. Its successor needs a second to write the
// lease row and to load the cell, and must not lose the lease meanwhile.
func TestTakeoverWithSlowTable(t *testing.T) {
	simulate(t, 4, func(w *simulation) {
		leader := w.awaitLeader(2*time.Second, "")
		time.Sleep(time.Second)
		w.mu.Lock()
		w.tableDelay = time.Second
		n := w.nodes[leader]
		w.mu.Unlock()
		n.Leave(context.Background())
		next := w.awaitLeader(10*time.Second, leader)
		w.mu.Lock()
		fence := w.nodes[next].lastFence()
		w.mu.Unlock()
		time.Sleep(5 * time.Second)
		assert.DeepEqual(t, w.leaders(), []string{next})
		w.mu.Lock()
		defer w.mu.Unlock()
		assert.Equal(t, w.nodes[next].lastFence(), fence)
	})
}

// A standby that is the only one that cannot reach the scheduler must not take over.
func TestPartitionedStandbyDoesNotTakeOver(t *testing.T) {
	simulate(t, 4, func(w *simulation) {
		leader := w.awaitLeader(2*time.Second, "")
		time.Sleep(time.Second)
		other := w.other(leader)
		w.mu.Lock()
		w.cut[other.config.Name+">"+leader] = true
		w.mu.Unlock()
		for range 30 {
			assert.DeepEqual(t, w.leaders(), []string{leader})
			time.Sleep(200 * time.Millisecond)
		}
		reply := other.Do(context.Background(), testJob("x", 1))
		assert.Equal(t, reply.Result, ResultUnavailable)
	})
}

// A leaving scheduler releases the lease, so that a successor acquires it at once.
func TestLeavingSchedulerReleasesLease(t *testing.T) {
	simulate(t, 4, func(w *simulation) {
		leader := w.awaitLeader(2*time.Second, "")
		time.Sleep(time.Second)
		other := w.other(leader)
		ids := w.submitJobs(other, "job", 4)
		w.mu.Lock()
		n := w.nodes[leader]
		w.mu.Unlock()
		n.Leave(context.Background())
		w.awaitLeader(600*time.Millisecond, leader)
		assert.Assert(t, !n.Ready())
		w.awaitCompleted(other, ids, 20*time.Second)
	})
}

// A worker is partitioned from the new scheduler while the former one, which has lost the
// table, still reaches it. No task may run twice.
func TestWorkerPartitionedFromNewScheduler(t *testing.T) {
	simulate(t, 4, func(w *simulation) {
		leader := w.awaitLeader(2*time.Second, "")
		time.Sleep(time.Second)
		w.mu.Lock()
		for _, k := range w.workers {
			k.taskDuration = 12 * time.Second
		}
		w.mu.Unlock()
		other := w.other(leader)
		ids := w.submitJobs(other, "job", 4)
		time.Sleep(500 * time.Millisecond)
		w.mu.Lock()
		w.refuse[leader] = true
		for name := range w.nodes {
			if name != leader {
				w.workers["w0"].unreachableFrom[name] = true
			}
		}
		w.mu.Unlock()
		w.awaitLeader(2*time.Second, leader)
		time.Sleep(20 * time.Second)
		w.mu.Lock()
		clear(w.workers["w0"].unreachableFrom)
		w.refuse[leader] = false
		w.mu.Unlock()
		w.awaitCompleted(other, ids, 60*time.Second)
	})
}

// The lease bound must allow for a slow worker clock and for leases of an earlier
// scheduler.
func TestWorkerLeaseBound(t *testing.T) {
	now := time.Unix(1000, 0)
	var l workerLease
	assert.Equal(t, l.grant(now, time.Second), int64(0), "no lease before the clock is known")
	l.observeClock(now, 5000)
	assert.Equal(t, l.grant(now.Add(time.Second), 4*time.Second), int64(10000))
	assert.Equal(t, l.grant(now.Add(time.Second), time.Second), int64(7000))
	assert.Assert(t, !l.expired(now.Add(5*time.Second)), "the worker's clock may be slow")
	assert.Assert(t, l.expired(now.Add(5300*time.Millisecond)))
	l.unknownUntil = now.Add(9 * time.Second)
	assert.Assert(t, !l.expired(now.Add(6*time.Second)), "an earlier scheduler's lease may hold")
}

// The ranks of the standbys must skip the holder of the lease, and an entry that the view
// does not list must not be known.
func TestRankOfStandbys(t *testing.T) {
	v := leaderView{members: []Member{{Name: "a"}, {Name: "b"}, {Name: "c"}}}
	v.Holder = "b"
	rank, known := rankOf("a", v)
	assert.Assert(t, known && rank == 0)
	rank, known = rankOf("c", v)
	assert.Assert(t, known && rank == 1)
	_, known = rankOf("z", v)
	assert.Assert(t, !known)
}

// The largest entry must schedule: from the start, after the scheduler is killed, and when
// a larger entry joins later.
func TestLargestEntrySchedules(t *testing.T) {
	simulate(t, 0, func(w *simulation) {
		for i, cores := range []float64{0.2, 0.8, 0.2, 0.4} {
			w.startSized(fmt.Sprintf("n%d", i), cores)
		}
		assert.Equal(t, w.awaitLeader(2*time.Second, ""), "n1")
		time.Sleep(time.Second)
		w.kill("n1")
		assert.Equal(t, w.awaitLeader(time.Second, "n1"), "n3")
		w.startSized("n4", 0.8)
		time.Sleep(5 * time.Second)
		assert.DeepEqual(t, w.leaders(), []string{"n4"})
	})
}
