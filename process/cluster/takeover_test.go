package cluster

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kingcuplatch/kingcuplatch/conn/peer"
)

// manyEntries is the number of entries of a large installation.
const manyEntries = 40

// pendingAt requests the length of a queue, which only the scheduler can answer.
func (w *simulation) pendingAt(n *Node) Reply {
	return n.Do(context.Background(), Call{Op: OpPending, Queue: "q", Team: "crew"})
}

// awaitServed waits until every live node reaches the scheduler, and returns how long that
// took.
func (w *simulation) awaitServed(within time.Duration) time.Duration {
	w.t.Helper()
	began := time.Now()
	for {
		unserved := 0
		for _, n := range w.all() {
			if w.pendingAt(n).Result != ResultOK {
				unserved++
			}
		}
		if unserved == 0 {
			return time.Since(began)
		}
		assert.Assert(w.t, time.Since(began) < within, "%d nodes cannot reach the scheduler after %s", unserved, within)
		time.Sleep(20 * time.Millisecond)
	}
}

// all returns the live nodes.
func (w *simulation) all() []*Node {
	w.mu.Lock()
	defer w.mu.Unlock()
	var nodes []*Node
	for _, n := range w.nodes {
		nodes = append(nodes, n)
	}
	return nodes
}

// The scheduler is killed. Another of many entries must take over, and all must forward
// calls to it, within a second: entries of high rank must not wait for their takeover
// delay to learn of it.
func TestManyEntriesFollowTakeover(t *testing.T) {
	simulate(t, manyEntries, func(w *simulation) {
		leader := w.awaitLeader(2*time.Second, "")
		time.Sleep(3 * time.Second)
		w.kill(leader)
		w.awaitLeader(800*time.Millisecond, leader)
		w.awaitServed(200 * time.Millisecond)
	})
}

// The scheduler loses the table while its machine stays up. Another of many entries must
// take over, and all must forward calls to it, within a second.
func TestManyEntriesFollowTableLoss(t *testing.T) {
	simulate(t, manyEntries, func(w *simulation) {
		leader := w.awaitLeader(2*time.Second, "")
		time.Sleep(3 * time.Second)
		w.mu.Lock()
		w.refuse[leader] = true
		w.mu.Unlock()
		w.awaitLeader(700*time.Millisecond, leader)
		w.awaitServed(200 * time.Millisecond)
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, len(w.leaders()), 1, "the former scheduler must have stepped down")
	})
}

// A new scheduler must start with its predecessor's list of entries, which bounds the
// calls for advice.
func TestNewSchedulerInheritsMembers(t *testing.T) {
	simulate(t, manyEntries, func(w *simulation) {
		leader := w.awaitLeader(2*time.Second, "")
		time.Sleep(3 * time.Second)
		w.kill(leader)
		next := w.awaitLeader(800*time.Millisecond, leader)
		w.mu.Lock()
		n := w.nodes[next]
		w.mu.Unlock()
		assert.Assert(t, len(n.liveMembers()) >= manyEntries-2, "%d of %d are known", len(n.liveMembers()), manyEntries-1)
		time.Sleep(3 * time.Second)
		assert.Equal(t, len(n.liveMembers()), manyEntries-1)
	})
}

// Lease writes queue on a slow table that executes them one by one, so only a few of many
// standbys may write the lease row.
func TestFewLeaseWritesOnSlowTable(t *testing.T) {
	simulate(t, manyEntries, func(w *simulation) {
		leader := w.awaitLeader(2*time.Second, "")
		time.Sleep(3 * time.Second)
		w.mu.Lock()
		w.tableDelay = 400 * time.Millisecond
		w.commits = 0
		w.mu.Unlock()
		w.kill(leader)
		w.awaitLeader(4*time.Second, leader)
		w.mu.Lock()
		defer w.mu.Unlock()
		assert.Assert(t, w.commits <= 4, "%d writes", w.commits)
	})
}

// Calls that arrive while the cell is being loaded must wait for the load, up to loadWait.
func TestCallsWaitDuringCellLoad(t *testing.T) {
	simulate(t, 3, func(w *simulation) {
		leader := w.awaitLeader(2*time.Second, "")
		time.Sleep(time.Second)
		other := w.other(leader)
		endLoad := func() {
			other.mu.Lock()
			defer other.mu.Unlock()
			other.endLoadLocked()
		}
		other.startLoad(99, func() {})
		time.AfterFunc(100*time.Millisecond, endLoad)
		began := time.Now()
		w.pendingAt(other)
		assert.Assert(t, time.Since(began) >= 100*time.Millisecond)
		other.startLoad(99, func() {})
		began = time.Now()
		w.pendingAt(other)
		assert.Assert(t, time.Since(began) <= loadWait+10*time.Millisecond)
		endLoad()
	})
}

// The scheduler's machine is lost with calls in flight. The entry that forwarded them must
// repeat them at the next scheduler, so that callers receive the outcome instead of an
// unknown result.
func TestCallsRepeatedAtNextScheduler(t *testing.T) {
	simulate(t, 8, func(w *simulation) {
		leader := w.awaitLeader(2*time.Second, "")
		time.Sleep(time.Second)
		other := w.other(leader)
		w.mu.Lock()
		for name := range w.nodes {
			w.cut[name+">"+leader], w.cut[leader+">"+name] = true, true
		}
		w.refuse[leader] = true
		w.mu.Unlock()
		replies := make(chan Reply)
		for i := range 5 {
			go func() { replies <- other.Do(context.Background(), testJob(fmt.Sprintf("way%d", i), 1)) }()
			time.Sleep(50 * time.Millisecond)
		}
		for range 5 {
			reply := <-replies
			assert.Equal(t, reply.Result, ResultOK, "%+v", reply)
		}
		w.awaitCompleted(other, []string{"way0", "way1", "way2", "way3", "way4"}, 20*time.Second)
	})
}

// A burst of jobs, many times what one write holds, must be recorded in a few parallel
// writes.
func TestBurstUsesParallelWrites(t *testing.T) {
	simulate(t, 3, func(w *simulation) {
		w.mu.Lock()
		w.tableDelay = 20 * time.Millisecond
		w.mu.Unlock()
		leader := w.awaitLeader(2*time.Second, "")
		time.Sleep(time.Second)
		other := w.other(leader)
		const burst = 2000
		began := time.Now()
		replies := make(chan Reply, burst)
		for i := range burst {
			job := testJob(fmt.Sprintf("wave%d", i), 1)
			job.Spec.Policy.Target = time.Hour
			go func() { replies <- other.Do(context.Background(), job) }()
		}
		for range burst {
			assert.Equal(t, (<-replies).Result, ResultOK)
		}
		// Sequential writes of at most a hundred conditions and rows take twice that.
		assert.Assert(t, time.Since(began) < burst/100*w.tableDelay/2, "%s", time.Since(began))
	})
}

// Calls sent before the table's recovery fail after it. They must not count as a second
// loss of the table.
func TestTableRecoveryDetectedOnce(t *testing.T) {
	simulate(t, 3, func(w *simulation) {
		leader := w.awaitLeader(2*time.Second, "")
		time.Sleep(time.Second)
		w.mu.Lock()
		n := w.nodes[leader]
		w.mu.Unlock()
		w.setTableUnavailable(true, true)
		go w.other(leader).Do(context.Background(), testJob("first", 1))
		time.Sleep(3 * time.Second)
		assert.Assert(t, n.leadership.tableFailingFor() > 0)
		w.setTableUnavailable(false, true)
		time.Sleep(300 * time.Millisecond)
		for range 40 {
			assert.Equal(t, n.leadership.tableFailingFor(), time.Duration(0))
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// stubPeers answers calls to other entries by address.
type stubPeers map[string]func() error

func (s stubPeers) Call(_ context.Context, address, _ string, _, _ any) error { return s[address]() }

// A call has an unknown outcome at one scheduler and the next one cannot be reached. The
// result must stay unknown: only a scheduler can rule out that the call took effect.
func TestUnknownOutcomeStaysUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers := stubPeers{}
		n := NewNode(Config{Name: "n0", Peers: peers})
		setScheduler := func(fence uint64, address string) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.setView(newView(fence, leaseRow{Holder: address, Address: address}, nil))
		}
		setScheduler(1, "s1")
		peers["s1"] = func() error {
			setScheduler(2, "s2")
			return peer.ErrUnknown
		}
		peers["s2"] = func() error { return peer.ErrNotSent }
		reply := n.Do(context.Background(), testJob("a", 1))
		assert.Equal(t, reply.Result, ResultUnknown, "%+v", reply)

		setScheduler(3, "s2")
		reply = n.Do(context.Background(), testJob("a", 1))
		assert.Equal(t, reply.Result, ResultUnavailable, "%+v", reply)
	})
}

// The link to the scheduler breaks while a call is on it. Since a call may be made twice, it
// is repeated, and the caller receives its outcome instead of an unknown result.
func TestCallRepeatedAfterBrokenLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tries := 0
		peers := stubPeers{"s1": func() error {
			tries++
			if tries < 3 {
				return peer.ErrUnknown
			}
			return nil
		}}
		n := NewNode(Config{Name: "n0", Peers: peers})
		n.mu.Lock()
		n.setView(newView(1, leaseRow{Holder: "s1", Address: "s1"}, nil))
		n.view.since = time.Now().Add(-time.Minute)
		n.mu.Unlock()
		began := time.Now()
		reply := n.Do(context.Background(), testJob("a", 1))
		assert.Equal(t, reply.Result, Result(""), "%+v", reply)
		assert.Equal(t, tries, 3)
		assert.Assert(t, time.Since(began) < successorWait)

		peers["s1"] = func() error { return peer.ErrUnknown }
		began = time.Now()
		reply = n.Do(context.Background(), testJob("a", 1))
		assert.Equal(t, reply.Result, ResultUnknown, "%+v", reply)
		assert.Assert(t, time.Since(began) <= callWait+callRetryPeriod)
	})
}
