package jobs

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/peer"
	"github.com/kingcuplatch/kingcuplatch/conn/worker"
	"github.com/kingcuplatch/kingcuplatch/process/tasks"
)

// startAll makes the start calls of a recorded batch, one per owner, in parallel.
func (c *Coordinator) startAll(ctx context.Context, b *taskBatch, reserved []reservation) {
	var wg sync.WaitGroup
	for owner, group := range byOwner(reserved) {
		wg.Go(func() { c.startOnOwner(ctx, b, owner, group) })
	}
	wg.Wait()
	c.finishStart(b)
}

func (c *Coordinator) startOnOwner(ctx context.Context, b *taskBatch, owner tasks.Peer, group []reservation) {
	call, cancel := context.WithTimeout(ctx, c.CallTimeout)
	defer cancel()
	reply, err := c.Workers.Start(call, owner, b.startRequest(group))
	switch {
	case err == nil:
		c.applyOutcomes(reply.Outcomes, owner.Instance)
	case errors.Is(err, peer.ErrNotSent) || c.unsafe.retryUnknown:
		c.undoRecord(b, group)
		c.release(ctx, group)
	default:
		// The call may still arrive until its reservations expire.
		sleep(ctx, reservationTTL)
	}
}

func (b *taskBatch) startRequest(group []reservation) tasks.StartRequest {
	var request tasks.StartRequest
	b.shard.mu.Lock()
	defer b.shard.mu.Unlock()
	for _, r := range group {
		request.Starts = append(request.Starts, tasks.Start{
			Worker: r.Worker,
			Epoch:  r.Epoch,
			Task: worker.StartTask{
				Task: r.Task, Attempt: r.Attempt, Team: b.spec.Team, Kind: b.spec.Kind,
				Amount: b.spec.Amount, RunTime: b.spec.RunTime,
				Checkpoint: b.job.task(r.TaskRef).checkpoint, Payload: b.spec.Payload,
			},
		})
	}
	return request
}

func (c *Coordinator) finishStart(b *taskBatch) {
	b.shard.mu.Lock()
	defer b.shard.mu.Unlock()
	j := b.job
	j.startCalls--
	if j.startCalls == 0 && j.startsDone != nil {
		close(j.startsDone)
		j.startsDone = nil
	}
}

// applyOutcomes applies the outcomes that an owner returned.
func (c *Coordinator) applyOutcomes(outcomes []tasks.Outcome, owner string) {
	for _, o := range outcomes {
		s := c.shard(ShardOf(tasks.JobOf(o.Ref.Task)))
		if s != nil {
			c.applyOutcome(s, o, owner)
		}
	}
	c.wakeScheduler()
}

func (c *Coordinator) applyOutcome(s *shard, o tasks.Outcome, owner string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.jobs[tasks.JobOf(o.Ref.Task)]
	if j == nil || s.dropped {
		return
	}
	t := j.task(o.Ref)
	if t == nil || !t.state.active() || t.attempt != o.Ref.Attempt {
		return
	}
	now := time.Now()
	switch o.State {
	case tasks.StateRunning:
		j.markRunning(t, owner, now)
	case tasks.StateAbsent:
		c.requeueTask(j, t, now)
		c.commit.markDirty(s, j)
	case tasks.StateEnded:
		c.endAttempt(j, t, o.Event, now)
		c.commit.markDirty(s, j)
	case tasks.StateUnknown:
		if c.unsafe.retryUnknown {
			c.requeueTask(j, t, now)
			c.commit.markDirty(s, j)
		}
	}
	s.updateSets(j, now)
}

func (t *task) markRunning(owner string, now time.Time) {
	t.owner = owner
	if t.state != Running {
		t.state, t.since = Running, now
	}
}
