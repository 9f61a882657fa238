package jobs

import (
	"context"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/tasks"
)

const (
	// sweepInterval is how often tasks are looked for whose state is doubtful.
	sweepInterval = time.Second
	// assignedFor is how long a task may be assigned before its owner is asked.
	assignedFor = 10 * time.Second
)

func (k *Keeper) sweepLoop(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			k.sweep(ctx, time.Now())
		}
	}
}

// sweep asks owners about doubtful tasks, repeats stops that were not heard and
// deletes the rows of jobs that ended long ago.
func (k *Keeper) sweep(ctx context.Context, now time.Time) {
	doubtful := make(map[string][]tasks.Located)
	cancelled := make(map[string][]tasks.Located)
	renewed := k.renewedOwners()
	for _, s := range k.all() {
		k.sweepShard(s, now, renewed, doubtful, cancelled)
	}
	k.eachOwner(ctx, doubtful, k.Workers.Status)
	k.eachOwner(ctx, cancelled, k.Workers.Cancel)
}

// renewedOwners returns the owners that have workers which they had not at the
// last sweep: what they confirmed before may be forgotten. An owner that was
// started anew is one of them.
func (k *Keeper) renewedOwners() map[string]bool {
	renewed := make(map[string]bool)
	if k.policy.trustOwners {
		return renewed
	}
	for _, owner := range k.Fleet.Owners() {
		if k.generations[owner.Instance] != owner.Free.Generation {
			renewed[owner.Instance] = true
			k.generations[owner.Instance] = owner.Free.Generation
		}
	}
	return renewed
}

func (k *Keeper) sweepShard(s *shard, now time.Time, renewed map[string]bool, doubtful, cancelled map[string][]tasks.Located) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, j := range s.jobs {
		k.sweepJob(j, now, renewed, doubtful, cancelled)
	}
	for _, j := range s.ended {
		if now.Sub(j.endedAt) >= k.Retention && !j.deleting {
			j.deleting = true
			k.commit.mark(s, j)
		}
	}
}

func (k *Keeper) sweepJob(j *job, now time.Time, renewed map[string]bool, doubtful, cancelled map[string][]tasks.Located) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if !t.state.active() {
			continue
		}
		if renewed[t.owner] {
			t.owner = ""
		}
		if j.starts > 0 {
			continue
		}
		if j.cancelled {
			cancelled[t.block] = append(cancelled[t.block], j.located(i))
			continue
		}
		if k.doubtful(t, now) {
			doubtful[t.block] = append(doubtful[t.block], j.located(i))
		}
	}
}

// doubtful tasks are those assigned for long, and those whose worker has come to
// another owner since their state was confirmed.
func (k *Keeper) doubtful(t *task, now time.Time) bool {
	if t.state == Assigned && now.Sub(t.since) >= assignedFor {
		return true
	}
	owner, ok := k.peerOf(t.block)
	return ok && owner.Instance != t.owner
}
