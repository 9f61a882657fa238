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

// startAll makes the start calls of a recorded part, one to each owner at once.
func (k *Keeper) startAll(ctx context.Context, p *part, reserved []reservation) {
	var wg sync.WaitGroup
	for owner, group := range byOwner(reserved) {
		wg.Go(func() { k.startAt(ctx, p, owner, group) })
	}
	wg.Wait()
	k.endStart(p)
}

func (k *Keeper) startAt(ctx context.Context, p *part, owner tasks.Peer, group []reservation) {
	call, cancel := context.WithTimeout(ctx, k.CallTimeout)
	defer cancel()
	reply, err := k.Workers.Start(call, owner, p.startRequest(group))
	switch {
	case err == nil:
		k.take(reply.Outcomes, owner.Instance)
	case errors.Is(err, peer.ErrNotSent) || k.policy.retryUnknown:
		k.unrecord(p, group)
		k.release(ctx, group)
	default:
		// The call may still arrive while its reservations last.
		sleep(ctx, reservationFor)
	}
}

func (p *part) startRequest(group []reservation) tasks.StartRequest {
	var request tasks.StartRequest
	p.shard.mu.Lock()
	defer p.shard.mu.Unlock()
	for _, r := range group {
		request.Starts = append(request.Starts, tasks.Start{
			Worker: r.Worker,
			Epoch:  r.Epoch,
			Task: worker.StartTask{
				Task: r.Task, Attempt: r.Attempt, Team: p.spec.Team, Kind: p.spec.Kind,
				Amount: p.spec.Amount, RunTime: p.spec.RunTime,
				Checkpoint: p.job.task(r.TaskRef).checkpoint, Payload: p.spec.Payload,
			},
		})
	}
	return request
}

func (k *Keeper) endStart(p *part) {
	p.shard.mu.Lock()
	defer p.shard.mu.Unlock()
	j := p.job
	j.starts--
	if j.starts == 0 && j.idle != nil {
		close(j.idle)
		j.idle = nil
	}
}

// take takes in what an owner said of attempts.
func (k *Keeper) take(outcomes []tasks.Outcome, owner string) {
	for _, o := range outcomes {
		s := k.shard(ShardOf(tasks.JobOf(o.Ref.Task)))
		if s != nil {
			k.takeOne(s, o, owner)
		}
	}
	k.nudge()
}

func (k *Keeper) takeOne(s *shard, o tasks.Outcome, owner string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.jobs[tasks.JobOf(o.Ref.Task)]
	if j == nil || s.lost {
		return
	}
	t := j.task(o.Ref)
	if t == nil || !t.state.active() || t.attempt != o.Ref.Attempt {
		return
	}
	now := time.Now()
	switch o.State {
	case tasks.StateRunning:
		j.run(t, owner, now)
	case tasks.StateAbsent:
		k.putBack(j, t, now)
		k.commit.mark(s, j)
	case tasks.StateEnded:
		k.end(j, t, o.Event, now)
		k.commit.mark(s, j)
	case tasks.StateUnknown:
		if k.policy.retryUnknown {
			k.putBack(j, t, now)
			k.commit.mark(s, j)
		}
	}
	s.sort(j, now)
}

func (t *task) run(owner string, now time.Time) {
	t.owner = owner
	if t.state != Running {
		t.state, t.since = Running, now
	}
}
