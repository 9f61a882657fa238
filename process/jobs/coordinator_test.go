package jobs

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kingcuplatch/kingcuplatch/conn/worker"
	"github.com/kingcuplatch/kingcuplatch/process/platform"
	"github.com/kingcuplatch/kingcuplatch/process/tasks"
	"github.com/kingcuplatch/kingcuplatch/version"
)

// inSimulation runs f in virtual time with a context that ends when f returns.
func inSimulation(t *testing.T, f func(t *testing.T, ctx context.Context)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer time.Sleep(2 * time.Hour)
		defer cancel()
		f(t, ctx)
	})
}

func TestSubmitIsDurable(t *testing.T) {
	inSimulation(t, func(t *testing.T, ctx context.Context) {
		w := newSimulation(ctx, 2, 8)
		c := w.takeOver(ctx, t, unsafeOptions{})
		spec := Spec{ID: "j1", Team: "a", Kind: "batch", Tasks: 20}
		_, err := c.Submit(ctx, spec)
		assert.NilError(t, err)
		row, _, _ := w.table.Get(ctx, rowKey("j1"))
		assert.Assert(t, row.Version > 0)
		_, err = c.Submit(ctx, spec)
		assert.NilError(t, err, "repeated submission")
		spec.Team = "b"
		_, err = c.Submit(ctx, spec)
		assert.ErrorIs(t, err, ErrForbidden)
		_, err = c.Get(ctx, "b", "j1")
		assert.ErrorIs(t, err, ErrForbidden)
		assert.ErrorIs(t, c.Cancel(ctx, "b", "j1"), ErrForbidden)
		waitFor(t, time.Minute, "j1 ends", w.ended("a", "j1"))

		_, err = c.Submit(ctx, Spec{ID: "big", Team: "a", Kind: "gang", Tasks: 17})
		assert.Error(t, err, "not run: never fits fleet in milli_cpu")

		w.locked(func() { w.table.down = true })
		_, err = c.Submit(ctx, Spec{ID: "j2", Team: "a", Kind: "batch", Tasks: 1})
		assert.ErrorIs(t, err, ErrUnavailable)
		time.Sleep(time.Minute)
		w.locked(func() { w.table.down = false })
		time.Sleep(time.Minute)
		_, err = c.Get(ctx, "a", "j2")
		assert.ErrorIs(t, err, ErrForbidden, "a job that was refused with ErrUnavailable exists")

		w.locked(func() { w.table.lostReplies = 1 })
		_, err = c.Submit(ctx, Spec{ID: "j3", Team: "a", Kind: "batch", Tasks: 1})
		assert.NilError(t, err, "read back")
		waitFor(t, time.Minute, "j3 ends", w.ended("a", "j3"))
		assert.Equal(t, len(w.violationList()), 0)
		waitFor(t, time.Minute, "all capacity freed", func() bool { return w.leaked() == 0 })
	})
}

// delayFirstCommit blocks the first commit that writes a job row until release is
// closed.
func delayFirstCommit(release <-chan struct{}) func(platform.Txn) {
	var done atomic.Bool
	return func(txn platform.Txn) {
		if len(txn.Writes) > 0 && len(txn.Writes[0].Key) > 4 && txn.Writes[0].Key[:4] == rowPrefix {
			if done.CompareAndSwap(false, true) {
				<-release
			}
		}
	}
}

// TestNoTaskRunsTwice injects each fault twice: with the full protocol, and with the
// safety step against that fault disabled (off=true), in which case it must detect
// overlapping runs. Cases without such a step run with the full protocol only.
func TestNoTaskRunsTwice(t *testing.T) {
	cases := []struct {
		name string
		off  unsafeOptions
		run  func(t *testing.T, ctx context.Context, w *simulation, opts unsafeOptions)
	}{
		{"start reply lost", unsafeOptions{retryUnknown: true}, startReplyLost},
		{"killed between start and record", unsafeOptions{startUnrecorded: true}, killedBeforeRecord},
		{"write of an earlier coordinator delayed", unsafeOptions{unfenced: true}, delayedWrite},
		{"owner queried before the start is recorded", unsafeOptions{queryRecording: true}, queriedBeforeRecord},
		{"killed between record and start", unsafeOptions{}, killedBeforeStart},
		{"killed between start and reply", unsafeOptions{}, killedBeforeReply},
	}
	for _, c := range cases {
		for _, off := range []bool{false, true} {
			if off && c.off == (unsafeOptions{}) {
				continue
			}
			t.Run(fmt.Sprintf("%s/off=%v", c.name, off), func(t *testing.T) {
				inSimulation(t, func(t *testing.T, ctx context.Context) {
					w := newSimulation(ctx, 2, 1)
					w.locked(func() { w.runTime = 5 * time.Minute })
					opts := unsafeOptions{}
					if off {
						opts = c.off
					}
					c.run(t, ctx, w, opts)
					assert.Equal(t, len(w.violationList()) > 0, off, "%v", w.violations)
				})
			})
		}
	}
}

func submitOne(t *testing.T, ctx context.Context, c *Coordinator) {
	t.Helper()
	_, err := c.Submit(ctx, Spec{ID: "j", Team: "a", Kind: "batch", Tasks: 1})
	assert.NilError(t, err)
}

func startReplyLost(t *testing.T, ctx context.Context, w *simulation, opts unsafeOptions) {
	w.afterStart = func() error { return errNoReply }
	submitOne(t, ctx, w.takeOver(ctx, t, opts))
	time.Sleep(time.Minute)
}

func killedBeforeRecord(t *testing.T, ctx context.Context, w *simulation, opts unsafeOptions) {
	c := w.takeOver(ctx, t, opts)
	release := make(chan struct{})
	w.locked(func() { w.full = true })
	submitOne(t, ctx, c)
	w.locked(func() { w.table.before = delayFirstCommit(release) })
	w.locked(func() { w.full = false })
	time.Sleep(3 * time.Second)
	w.takeOver(ctx, t, unsafeOptions{})
	time.Sleep(time.Minute)
	close(release)
	time.Sleep(time.Minute)
}

// queriedBeforeRecord delays the write that records a start for longer than the sweep
// interval. If the sweep queries the owner meanwhile, the owner frees the reservation
// and returns that the attempt cannot start. An earlier coordinator, which uses the same
// attempt number, then reserves again, and the owner accepts the start nevertheless.
func queriedBeforeRecord(t *testing.T, ctx context.Context, w *simulation, opts unsafeOptions) {
	release := make(chan struct{})
	w.locked(func() { w.full = true })
	submitOne(t, ctx, w.takeOver(ctx, t, opts))
	w.locked(func() { w.table.before = delayFirstCommit(release) })
	w.locked(func() { w.full = false })
	time.Sleep(3 * time.Second)
	w.owners["e0"].Reserve(ctx, tasks.ReserveRequest{
		Job: "j", Team: "a", Kind: "batch", Policy: version.PolicyBatch, Amount: testSnapshot.Kinds["batch"].Amount,
		Refs: []worker.TaskRef{{Task: taskName("j", 0), Attempt: 1}}, TTL: reservationTTL,
	})
	close(release)
	time.Sleep(time.Minute)
	if opts == (unsafeOptions{}) {
		assert.Equal(t, w.starts, 1)
	}
}

func killedBeforeStart(t *testing.T, ctx context.Context, w *simulation, opts unsafeOptions) {
	killedAround(t, ctx, w, opts, func(f func()) { w.beforeStart = f })
}

func killedBeforeReply(t *testing.T, ctx context.Context, w *simulation, opts unsafeOptions) {
	killedAround(t, ctx, w, opts, func(f func()) { w.afterStart = func() error { f(); return nil } })
}

// killedAround blocks a coordinator's start call until another coordinator has taken
// over. The call then continues.
func killedAround(t *testing.T, ctx context.Context, w *simulation, opts unsafeOptions, hook func(func())) {
	release := make(chan struct{})
	var done atomic.Bool
	hook(func() {
		if done.CompareAndSwap(false, true) {
			<-release
		}
	})
	submitOne(t, ctx, w.takeOver(ctx, t, opts))
	time.Sleep(time.Second)
	w.takeOver(ctx, t, opts)
	time.Sleep(time.Minute)
	assert.Equal(t, w.starts, 1)
	close(release)
	time.Sleep(time.Minute)
}

func delayedWrite(t *testing.T, ctx context.Context, w *simulation, opts unsafeOptions) {
	w.locked(func() { w.full = true })
	earlier := w.takeOver(ctx, t, opts)
	submitOne(t, ctx, earlier)
	release := make(chan struct{})
	w.locked(func() { w.table.before = delayFirstCommit(release) })
	s := earlier.shard(ShardOf("j"))
	s.mu.Lock()
	earlier.commit.markDirty(s, s.jobs["j"])
	s.mu.Unlock()
	time.Sleep(time.Second)
	earlier.DropShard(s.name)
	w.locked(func() { w.full = false })
	w.takeOver(ctx, t, opts)
	time.Sleep(time.Minute)
	close(release)
	time.Sleep(time.Minute)
	w.takeOver(ctx, t, opts)
	time.Sleep(time.Minute)
}

// TestManyCancellationsWhileStarting cancels 10,000 jobs while they start. No task may
// start after its cancellation was acknowledged, and the cancellations must share
// transactions. With ackAtOnce the test must detect late starts.
func TestManyCancellationsWhileStarting(t *testing.T) {
	const jobs = 10_000
	for _, off := range []bool{false, true} {
		t.Run(fmt.Sprintf("off=%v", off), func(t *testing.T) {
			inSimulation(t, func(t *testing.T, ctx context.Context) {
				w := newSimulation(ctx, 2, 500)
				w.locked(func() { w.runTime, w.startDelay, w.full = time.Hour, time.Second, true })
				c := w.takeOver(ctx, t, unsafeOptions{ackAtOnce: off})
				eachJob(jobs, func(id string) {
					_, err := c.Submit(ctx, Spec{ID: id, Team: "a", Kind: "batch", Tasks: 1})
					assert.Check(t, err)
				})
				w.locked(func() { w.full = false })
				time.Sleep(500 * time.Millisecond)
				before := w.commits()
				eachJob(jobs, func(id string) {
					assert.Check(t, c.Cancel(ctx, "a", id))
					w.mu.Lock()
					w.cancelled[id] = true
					w.mu.Unlock()
				})
				writes := w.commits() - before
				t.Logf("%d transactions for %d cancellations, %d starts", writes, jobs, w.starts)
				assert.Assert(t, writes < jobs/50)
				waitFor(t, time.Minute, "all tasks end", func() bool { return w.leaked() == 0 })
				assert.Equal(t, len(w.violationList()) > 0, off, "%v", w.violations)
			})
		})
	}
}

func eachJob(n int, f func(id string)) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { f(fmt.Sprintf("j%d", i)) })
	}
	wg.Wait()
}

// TestRacingGangs submits many all-at-once jobs to a small fleet. All must end, and
// each must start its tasks together. With keepPartial the test must detect jobs that
// start in parts.
func TestRacingGangs(t *testing.T) {
	const gangs = 40
	for _, off := range []bool{false, true} {
		t.Run(fmt.Sprintf("off=%v", off), func(t *testing.T) {
			inSimulation(t, func(t *testing.T, ctx context.Context) {
				w := newSimulation(ctx, 3, 8)
				c := w.takeOver(ctx, t, unsafeOptions{keepPartial: off})
				eachJob(gangs, func(id string) {
					_, err := c.Submit(ctx, Spec{ID: id, Team: "a", Kind: "gang", Tasks: 6 + len(id)*5})
					assert.Check(t, err)
				})
				waitFor(t, 10*time.Minute, "all end", func() bool { return w.endedOf("a") == gangs })
				waitFor(t, time.Minute, "all capacity freed", func() bool { return w.leaked() == 0 })
				together := 0
				w.mu.Lock()
				defer w.mu.Unlock()
				for id, first := range w.firstStart {
					if w.lastStart[id].Sub(first) < w.runTime/2 {
						together++
					}
				}
				assert.Equal(t, together == gangs, !off)
				assert.Equal(t, len(w.violations), 0)
			})
		})
	}
}

// TestLargeGangIsNotStarved submits a job that needs the whole fleet at once during a
// steady stream of small jobs. The job must end; with noHold it must not.
func TestLargeGangIsNotStarved(t *testing.T) {
	for _, off := range []bool{false, true} {
		t.Run(fmt.Sprintf("off=%v", off), func(t *testing.T) {
			inSimulation(t, func(t *testing.T, ctx context.Context) {
				w := newSimulation(ctx, 3, 8)
				w.locked(func() { w.runTime = 4 * time.Second })
				c := w.takeOver(ctx, t, unsafeOptions{noHold: off})
				go func() {
					for i := 0; ctx.Err() == nil; i++ {
						_, err := c.Submit(ctx, Spec{ID: fmt.Sprintf("small-%d", i), Team: "b", Kind: "batch", Tasks: 1})
						assert.Check(t, err == nil || ctx.Err() != nil)
						time.Sleep(200 * time.Millisecond)
					}
				}()
				time.Sleep(10 * time.Second)
				_, err := c.Submit(ctx, Spec{ID: "large", Team: "a", Kind: "gang", Tasks: 24})
				assert.NilError(t, err)
				time.Sleep(time.Minute)
				assert.Equal(t, w.ended("a", "large")(), !off)
			})
		})
	}
}

// TestCallsFromAnotherEntry calls the coordinator from an entry that does not own the
// shard, also for a job that can start only after the fleet has grown.
func TestCallsFromAnotherEntry(t *testing.T) {
	inSimulation(t, func(t *testing.T, ctx context.Context) {
		w := newSimulation(ctx, 2, 8)
		w.takeOver(ctx, t, unsafeOptions{})
		other := NewCoordinator(Config{Instance: "e1"})
		c := &Client{Coordinator: other, Directory: w, Fleet: w, Caller: w}
		_, err := c.Submit(ctx, Spec{ID: "j", Team: "a", Kind: "gang", Tasks: 16})
		assert.NilError(t, err)
		_, err = c.Submit(ctx, Spec{ID: "j", Team: "b", Kind: "batch", Tasks: 1})
		assert.ErrorIs(t, err, ErrForbidden)
		var never *NeverFitsError
		_, err = c.Submit(ctx, Spec{ID: "n", Team: "a", Kind: "gang", Tasks: 17})
		assert.Assert(t, errors.As(err, &never) && never.Dimension == "milli_cpu")
		var invalid *InvalidError
		_, err = c.Submit(ctx, Spec{ID: "n", Team: "a", Kind: "none", Tasks: 17})
		assert.Assert(t, errors.As(err, &invalid) && invalid.Field == "kind")
		waitFor(t, time.Minute, "j ends", w.ended("a", "j"))
		list, err := c.List(ctx, "a")
		assert.NilError(t, err)
		assert.Equal(t, len(list), 1)

		w.locked(func() { w.full = true })
		_, err = c.Submit(ctx, Spec{ID: "k", Team: "a", Kind: "gang", Tasks: 16})
		assert.NilError(t, err)
		w.owners["e1"].Capacity.RemoveWorker("worker-e1")
		time.Sleep(10 * time.Second)
		e, err := c.Explain(ctx, "a", "k")
		assert.NilError(t, err)
		assert.Assert(t, e.NeverRunnable && e.Limit == "fleet" && e.Position == 1 && e.Waiting == 1)
		w.locked(func() { w.full = false })
		w.addOwner(ctx, "e2", 8)
		waitFor(t, time.Minute, "k ends on the larger fleet", w.ended("a", "k"))
		assert.NilError(t, c.Cancel(ctx, "a", "k"))
		assert.ErrorIs(t, c.Cancel(ctx, "b", "k"), ErrForbidden)
	})
}

// TestOwnerRestart restarts an owner under its old name, with its worker's tasks gone.
// The tasks must be restarted. With trustOwners they must not be.
func TestOwnerRestart(t *testing.T) {
	for _, off := range []bool{false, true} {
		inSimulation(t, func(t *testing.T, ctx context.Context) {
			w := newSimulation(ctx, 1, 8)
			c := w.takeOver(ctx, t, unsafeOptions{trustOwners: off})
			w.locked(func() { w.runTime = time.Minute })
			_, err := c.Submit(ctx, Spec{ID: "j", Team: "a", Kind: "batch", Tasks: 8})
			assert.NilError(t, err)
			time.Sleep(20 * time.Second)
			w.locked(func() { clear(w.workers["e0"].runs) })
			w.addOwner(ctx, "e0", 8)
			time.Sleep(5 * time.Minute)
			assert.Equal(t, w.ended("a", "j")(), !off)
		})
	}
}
