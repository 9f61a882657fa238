package cluster

import (
	"context"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kingcuplatch/kingcuplatch/process/events"
)

// An overloaded scheduler answers later and later, up to far beyond the time after which a
// silent one is replaced. Its replies keep coming, so no other entry may take over: that one
// would read the cell and poll all workers, and be overloaded as well.
func TestOverloadedSchedulerIsNotReplaced(t *testing.T) {
	simulate(t, 17, func(w *simulation) {
		leader := w.awaitLeader(2*time.Second, "")
		time.Sleep(3 * time.Second)
		for delay := time.Duration(0); delay <= 1500*time.Millisecond; delay += 20 * time.Millisecond {
			w.mu.Lock()
			w.replyDelay[leader] = delay
			w.mu.Unlock()
			time.Sleep(60 * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		assert.DeepEqual(t, w.leaders(), []string{leader})
	})
}

// A scheduler that stops answering altogether must be replaced as soon as before, also when
// it was slow until then.
func TestSilentSchedulerIsReplaced(t *testing.T) {
	simulate(t, 17, func(w *simulation) {
		leader := w.awaitLeader(2*time.Second, "")
		time.Sleep(3 * time.Second)
		w.mu.Lock()
		w.replyDelay[leader] = time.Hour
		w.mu.Unlock()
		w.awaitLeader(900*time.Millisecond, leader)
	})
}

// The number of heartbeats that reach the scheduler in a second must not grow in proportion
// to the number of entries.
func TestHeartbeatsAreBounded(t *testing.T) {
	few, many := heartbeatsPerSecond(20), heartbeatsPerSecond(97)
	assert.Assert(t, few <= 20*5+1, "%.0f a second with 20 entries", few)
	assert.Assert(t, many <= 250, "%.0f a second with 97 entries", many)
}

// heartbeatsPerSecond returns the rate at which n entries send heartbeats to one of them.
func heartbeatsPerSecond(n int) float64 {
	var members []Member
	for i := range n {
		members = append(members, Member{Name: string(rune('A' + i))})
	}
	view := newView(1, leaseRow{Holder: members[0].Name}, members)
	rate := 0.0
	for _, m := range members[1:] {
		node := &Node{config: Config{Name: m.Name}}
		rate += 1 / node.heartbeatInterval(view).Seconds()
	}
	return rate
}

// A scheduler that was paused handles heartbeats that arrived meanwhile, although their
// senders may have taken over since. Such a heartbeat must not let it extend leases of
// workers without the table.
func TestDelayedHeartbeatConfirmsNothing(t *testing.T) {
	n := NewNode(Config{Name: "a"})
	n.startedAt = time.Now().Add(-time.Minute)
	follower := heartbeat{Member: Member{Name: "b"}, Stamp: n.clockMS()}
	n.noteHeartbeat(follower)
	assert.Assert(t, n.allStandbysReachable())

	follower.Stamp -= confirmTimeout.Milliseconds() + 1
	delete(n.standbys, "b")
	n.noteHeartbeat(follower)
	assert.Assert(t, !n.allStandbysReachable(), "a reply older than %s shows nothing", confirmTimeout)
}

// A new scheduler that is slow while it reads the cell must not be replaced at once, or each
// entry in turn takes over and begins anew.
func TestTakeoversInSuccessionWaitLonger(t *testing.T) {
	n := NewNode(Config{Name: "standby", Log: events.New(io.Discard, "standby")})
	n.setView(newView(1, leaseRow{Holder: "a"}, nil))
	n.takeovers.at = n.takeovers.at.Add(-time.Minute)
	for fence := uint64(2); fence <= 6; fence++ {
		n.follow(leaseState{leaseRow: leaseRow{Holder: "b"}, version: fence})
		patience := time.Duration(min(fence-1, 1+maxRecentTakeovers)) * unreachableAfter
		now := time.Now()
		assert.Assert(t, !n.view.unreachable(now.Add(patience-10*time.Millisecond), 0), "fence %d", fence)
		assert.Assert(t, n.view.unreachable(now.Add(patience+10*time.Millisecond), 0), "fence %d", fence)
		// An entry that was the scheduler itself in between knows none for a moment.
		n.setView(noView(nil))
	}
	n.follow(leaseState{leaseRow: leaseRow{Holder: "c"}, version: 7})
	n.view.refused = true
	assert.Assert(t, n.view.unreachable(time.Now().Add(unreachableAfterRefusal+10*time.Millisecond), 0), "a process that is gone is replaced at once")
}

// An overloaded process reads answers late. Its allowance must follow the lag up at once and
// down within a second, and a long pause must not count as overload.
func TestLagAllowance(t *testing.T) {
	var lag lagTracker
	lag.record(200 * time.Millisecond)
	assert.Equal(t, lag.allowance(), lagAllowance*200*time.Millisecond)
	for range time.Second / electionPeriod {
		lag.record(0)
	}
	assert.Assert(t, lag.allowance() < 10*time.Millisecond, "%s", lag.allowance())
	lag.record(time.Minute)
	assert.Equal(t, lag.allowance(), lagAllowance*maxLag)
}

// A scheduler that lags reads the answers to its polls later than its usual timeout. The
// workers did answer, so their runs must neither count as lost nor start elsewhere.
func TestLaggingSchedulerKeepsRuns(t *testing.T) {
	simulate(t, 3, func(w *simulation) {
		leader := w.awaitLeader(2*time.Second, "")
		w.mu.Lock()
		n := w.nodes[leader]
		for _, k := range w.workers {
			k.taskDuration = 20 * time.Second
		}
		w.mu.Unlock()
		time.Sleep(time.Second)
		assert.Equal(t, n.Do(context.Background(), testJob("long", 4)).Result, ResultOK)
		time.Sleep(time.Second)
		w.mu.Lock()
		for _, k := range w.workers {
			if len(k.running) > 0 {
				k.answerDelay = pollTimeout + 200*time.Millisecond
			}
		}
		w.mu.Unlock()
		for began := time.Now(); time.Since(began) < 16*time.Second; time.Sleep(10 * time.Millisecond) {
			n.lag.record(300 * time.Millisecond)
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		starts := 0
		for _, k := range w.workers {
			for _, n := range k.starts {
				starts += n
			}
		}
		assert.Equal(t, starts, 4)
	})
}
