package cluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A forwarded submission is held up by a partition; at the scheduler's successor the job is refused,
// and the caller is told that it never runs. When the partition has ended, the former scheduler
// schedules again, under a new fence, and the submission arrives there: it must not be accepted.
func TestLateCallAfterRefusal(t *testing.T) {
	simulate(t, 4, func(w *simulation) {
		former := w.awaitLeader(2*time.Second, "")
		time.Sleep(time.Second)
		entry := w.other(former)
		w.holdUp(former)
		answered := make(chan Reply, 1)
		go func() { answered <- entry.Do(context.Background(), testJob("late", 1)) }()
		time.Sleep(10 * time.Millisecond)
		w.overload(entry)
		w.set(func() { w.hang[former], w.hang[entry.config.Name] = true, true })
		successor := w.awaitLeader(2*time.Second, former)
		reply := <-answered
		assert.Equal(t, reply.Result, ResultRefused, "%+v", reply)

		w.set(func() {
			for name := range w.nodes {
				w.hang[name] = name != former
			}
		})
		for began := time.Now(); w.node(former).lastFence() <= w.node(successor).lastFence(); time.Sleep(10 * time.Millisecond) {
			assert.Assert(t, time.Since(began) < 10*time.Second, "the former scheduler doesn't take over")
		}
		w.deliverHeldUp()
		w.set(func() { clear(w.hang) })
		time.Sleep(3 * time.Second)
		assert.Equal(t, w.starts("late"), 0, "a job ran that had been refused")
	})
}

// overload makes a node refuse submissions as if the scheduler had too much work.
func (w *simulation) overload(n *Node) {
	for range 100 {
		n.throttles.observe(time.Now(), throttleKey{"q", "crew"}, Reply{Overloaded: true})
	}
	n.throttles.mu.Lock()
	defer n.throttles.mu.Unlock()
	n.throttles.random = func() float64 { return 0 }
}

// starts returns how often the tasks of a job have been started.
func (w *simulation) starts(job string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for _, k := range w.workers {
		for task, n := range k.starts {
			if task[:min(len(task), len(job)+1)] == job+"." {
				count += n
			}
		}
	}
	return count
}

// lateCallSeeds is how many partitions TestRefusedJobsNeverRun plays.
const lateCallSeeds = 12

// Whatever partitions hold up and deliver later, and whichever entries a client tries: a job all of
// whose attempts were refused never runs.
func TestRefusedJobsNeverRun(t *testing.T) {
	for seed := range uint64(lateCallSeeds) {
		refused, started := playHeldUpCalls(t, seed, false)
		assert.Assert(t, refused > 0, "seed %d: no job was refused", seed)
		assert.Equal(t, len(started), 0, "seed %d: %v of %d refused jobs ran", seed, started, refused)
	}
}

// The play of TestRefusedJobsNeverRun finds the failure if schedulers take calls of any fence and age.
func TestRefusedJobsRunWithoutBounds(t *testing.T) {
	found := 0
	for seed := range uint64(lateCallSeeds) {
		if _, started := playHeldUpCalls(t, seed, true); len(started) > 0 {
			found++
		}
	}
	t.Logf("found in %d of %d plays", found, lateCallSeeds)
	assert.Assert(t, found > 0)
}

// playHeldUpCalls plays partitions of the scheduler from all other nodes while the table takes no
// jobs. It returns how many jobs were refused in all attempts, and those of them that ran.
func playHeldUpCalls(t *testing.T, seed uint64, unbounded bool) (refused int, started []string) {
	simulate(t, 4, func(w *simulation) {
		w.set(func() {
			for _, n := range w.nodes {
				n.unsafe = unsafeOptions{anyFence: unbounded, anyTime: unbounded}
			}
		})
		random := rand.New(rand.NewPCG(seed, 0))
		w.awaitLeader(2*time.Second, "")
		time.Sleep(time.Second)
		var clients sync.WaitGroup
		var mu sync.Mutex
		var rejected []string
		for i := range 60 {
			id, entries, begin := fmt.Sprintf("job%d", i), random.Perm(4), time.Duration(random.IntN(8000))*time.Millisecond
			clients.Go(func() {
				time.Sleep(begin)
				if w.rejectedByAll(id, entries) {
					mu.Lock()
					defer mu.Unlock()
					rejected = append(rejected, id)
				}
			})
		}
		for range 2 {
			w.partitionScheduler(random)
		}
		clients.Wait()
		time.Sleep(20 * time.Second)
		refused = len(rejected)
		for _, id := range rejected {
			if w.starts(id) > 0 {
				started = append(started, id)
			}
		}
	})
	return refused, started
}

// partitionScheduler partitions the scheduler for some seconds, in which the table takes no writes but
// those of the lease row, and some nodes refuse submissions themselves. Another node takes over, and
// loses the table later. The partition ends
// once the former scheduler has the lease again.
func (w *simulation) partitionScheduler(random *rand.Rand) {
	former := w.awaitLeader(5*time.Second, "")
	w.holdUp(former)
	w.set(func() { w.hang[former], w.leaseWritesOnly = true, true })
	time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
	for i := range len(w.nodes) {
		if random.IntN(2) == 0 {
			w.overload(w.node(fmt.Sprintf("n%d", i)))
		}
	}
	successor := w.awaitLeader(5*time.Second, former)
	time.Sleep(time.Duration(1000+random.IntN(1000)) * time.Millisecond)
	w.set(func() {
		for name := range w.nodes {
			w.hang[name] = name != former
		}
	})
	w.awaitLeader(5*time.Second, successor)
	w.set(func() { w.leaseWritesOnly = false })
	time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
	w.deliverHeldUp()
	w.set(func() { clear(w.hang) })
	time.Sleep(time.Duration(500+random.IntN(1500)) * time.Millisecond)
}

// rejectedByAll submits a job at some nodes, one after the other, until it may be accepted, and
// reports whether all of them refused it.
func (w *simulation) rejectedByAll(id string, entries []int) bool {
	for _, entry := range entries[:3] {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		reply := w.node(fmt.Sprintf("n%d", entry)).Do(ctx, testJob(id, 1))
		cancel()
		if !reply.notRun() {
			return false
		}
		time.Sleep(300 * time.Millisecond)
	}
	return true
}

// A forwarded submission is held up while its scheduler goes on, and the client is told that its
// outcome isn't known. It tries another entry, is refused, and gives up; then the first call arrives.
func TestCallHasNoEffectAfterItsTime(t *testing.T) {
	for _, anyTime := range []bool{false, true} {
		simulate(t, 4, func(w *simulation) {
			leader := w.awaitLeader(2*time.Second, "")
			time.Sleep(time.Second)
			w.node(leader).unsafe.anyTime = anyTime
			entry := w.other(leader)
			w.submitHeldUp(entry, leader)
			assert.Equal(t, w.starts("late") > 0, anyTime)
		})
	}
}

// submitHeldUp submits a job that is held up on the link to the scheduler until its entry has given it
// up, and arrives then.
func (w *simulation) submitHeldUp(entry *Node, leader string) {
	link := entry.config.Name + ">" + leader
	w.set(func() { w.heldUp[link] = make(chan struct{}) })
	reply := entry.Do(context.Background(), testJob("late", 1))
	assert.Equal(w.t, reply.Result, ResultUnknown, "%+v", reply)
	w.deliverHeldUp()
	time.Sleep(3 * time.Second)
}

// The same right after a takeover, when the new scheduler has answered no heartbeat of the entry yet.
func TestFirstCallOfALeadershipHasNoEffectAfterItsTime(t *testing.T) {
	simulate(t, 4, func(w *simulation) {
		former := w.awaitLeader(2*time.Second, "")
		time.Sleep(time.Second)
		w.kill(former)
		leader := w.awaitLeader(3*time.Second, former)
		fence := w.node(leader).lastFence()
		entry := w.other(leader)
		for {
			entry.mu.Lock()
			follows := entry.view.fence == fence && !entry.view.loading
			beforeHeartbeat := entry.view.lastContact.Equal(entry.view.since)
			entry.mu.Unlock()
			if follows {
				assert.Assert(t, beforeHeartbeat)
				break
			}
			time.Sleep(time.Millisecond)
		}
		w.submitHeldUp(entry, leader)
		assert.Equal(t, w.starts("late"), 0)
	})
}
