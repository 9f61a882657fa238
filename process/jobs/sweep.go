package jobs

import (
	"context"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/tasks"
)

const (
	// sweepInterval is the interval at which the states of all tasks are checked.
	sweepInterval = time.Second
	// assignedTimeout is how long a task may stay assigned before its owner is
	// queried.
	assignedTimeout = 10 * time.Second
)

func (c *Coordinator) sweepLoop(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.sweep(ctx, time.Now())
		}
	}
}

// sweep queries owners about unconfirmed tasks, repeats stops that had no effect, and
// deletes the rows of jobs that ended more than Retention ago.
func (c *Coordinator) sweep(ctx context.Context, now time.Time) {
	unconfirmed := make(map[string][]tasks.Located)
	cancelled := make(map[string][]tasks.Located)
	changed := c.changedOwners()
	for _, s := range c.allShards() {
		c.sweepShard(s, now, changed, unconfirmed, cancelled)
	}
	c.callOwners(ctx, unconfirmed, c.Workers.Status)
	c.callOwners(ctx, cancelled, c.Workers.Cancel)
}

// changedOwners returns the owners that have added workers since the last sweep. Such
// an owner may have restarted, so attempts that it confirmed before may be missing
// from its state.
func (c *Coordinator) changedOwners() map[string]bool {
	changed := make(map[string]bool)
	if c.unsafe.trustOwners {
		return changed
	}
	for _, owner := range c.Fleet.Owners() {
		if c.ownerGenerations[owner.Instance] != owner.Free.Generation {
			changed[owner.Instance] = true
			c.ownerGenerations[owner.Instance] = owner.Free.Generation
		}
	}
	return changed
}

func (c *Coordinator) sweepShard(s *shard, now time.Time, changed map[string]bool, unconfirmed, cancelled map[string][]tasks.Located) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, j := range s.jobs {
		c.sweepJob(j, now, changed, unconfirmed, cancelled)
	}
	for _, j := range s.ended {
		if now.Sub(j.endedAt) >= c.Retention && !j.deleting {
			j.deleting = true
			c.commit.markDirty(s, j)
		}
	}
}

func (c *Coordinator) sweepJob(j *job, now time.Time, changed map[string]bool, unconfirmed, cancelled map[string][]tasks.Located) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if !t.state.active() {
			continue
		}
		if changed[t.owner] {
			t.owner = ""
		}
		if j.startCalls > 0 || c.beingRecorded(t) {
			continue
		}
		if j.cancelled {
			cancelled[t.block] = append(cancelled[t.block], j.located(i))
			continue
		}
		if c.unconfirmed(t, now) {
			unconfirmed[t.block] = append(unconfirmed[t.block], j.located(i))
		}
	}
}

// beingRecorded reports whether the task's start is not recorded yet. Its owner is not
// queried then: it would free the reservation and return that the attempt cannot
// start, while this coordinator is about to start it.
func (c *Coordinator) beingRecorded(t *task) bool {
	return t.recording && !c.unsafe.queryRecording
}

// unconfirmed reports whether a task has been assigned for too long, or its worker's
// owner has not confirmed the attempt, as after a takeover.
func (c *Coordinator) unconfirmed(t *task, now time.Time) bool {
	if t.state == Assigned && now.Sub(t.since) >= assignedTimeout {
		return true
	}
	owner, ok := c.peerOf(t.block)
	return ok && owner.Instance != t.owner
}
