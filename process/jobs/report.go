package jobs

import (
	"context"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/worker"
	"github.com/kingcuplatch/kingcuplatch/process/tasks"
	"github.com/kingcuplatch/kingcuplatch/version"
)

const (
	// restartMin and restartMax bound the pause before a task that failed or a
	// service task that ended is started again.
	restartMin = time.Second
	restartMax = time.Minute
	// steadyRun is how long an attempt must run for earlier failures not to
	// count any longer.
	steadyRun = 10 * time.Minute
)

// Report takes in events of owners. It returns once those named as recorded are
// durable; the others are to be sent again.
func (k *Keeper) Report(ctx context.Context, events []tasks.Event) tasks.ReportReply {
	var reply tasks.ReportReply
	waits := make(map[worker.TaskRef]<-chan error)
	for _, e := range events {
		if s := k.shard(ShardOf(tasks.JobOf(e.Task))); s != nil {
			k.reportOne(s, e, &reply, waits)
		}
	}
	for ref, outcome := range waits {
		if await(ctx, outcome) == nil {
			reply.Recorded = append(reply.Recorded, ref)
		}
	}
	k.nudge()
	return reply
}

func (k *Keeper) reportOne(s *shard, e tasks.Event, reply *tasks.ReportReply, waits map[worker.TaskRef]<-chan error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost {
		return
	}
	now := time.Now()
	j := s.jobs[tasks.JobOf(e.Task)]
	if j == nil || j.task(e.TaskRef) == nil {
		k.orphan(e, reply)
		return
	}
	t := j.task(e.TaskRef)
	current := t.state.active() && t.attempt == e.Attempt
	switch {
	case !current && j.unsaved():
		waits[e.TaskRef] = k.commit.mark(s, j)
	case !current:
		k.orphan(e, reply)
	case e.State == worker.TaskRunning:
		k.orphanIf(j.cancelled, e, reply)
		j.run(t, "", now)
	default:
		k.end(j, t, &e, now)
		waits[e.TaskRef] = k.commit.mark(s, j)
		s.sort(j, now)
	}
}

// orphan answers an event of an attempt that the job does not wait for.
func (k *Keeper) orphan(e tasks.Event, reply *tasks.ReportReply) {
	k.orphanIf(true, e, reply)
}

func (k *Keeper) orphanIf(stop bool, e tasks.Event, reply *tasks.ReportReply) {
	reply.Recorded = append(reply.Recorded, e.TaskRef)
	if stop && !e.State.Final() {
		reply.Stop = append(reply.Stop, e.TaskRef)
	}
}

// end applies the end of the current attempt of a task.
func (k *Keeper) end(j *job, t *task, e *tasks.Event, now time.Time) {
	if e.Checkpoint != "" {
		t.checkpoint = e.Checkpoint
	}
	failed := e.State == worker.TaskFailed || e.State == tasks.StateLost || e.State == worker.TaskLapsed
	service := j.spec.Policy == version.PolicyService
	if service && now.Sub(t.since) >= steadyRun {
		t.failures = 0
	}
	if failed || service {
		t.failures++
	}
	switch {
	case e.State == worker.TaskDone && !service:
		t.state = Done
	case j.cancelled:
		t.state = Cancelled
	case !service && failed && j.spec.Attempts > 0 && t.failures >= j.spec.Attempts:
		t.state = Failed
	default:
		t.state = Pending
		t.notBefore = now.Add(jitter(backOff(restartMin, restartMax, t.failures-1)))
	}
	t.since = now
}
