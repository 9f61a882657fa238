package jobs

import (
	"context"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/worker"
	"github.com/kingcuplatch/kingcuplatch/process/tasks"
	"github.com/kingcuplatch/kingcuplatch/version"
)

const (
	// minRestartDelay and maxRestartDelay bound the backoff before a failed task or
	// an ended service task is restarted.
	minRestartDelay = time.Second
	maxRestartDelay = time.Minute
	// failureResetAfter is how long an attempt of a service task must run to reset
	// the task's failure count.
	failureResetAfter = 10 * time.Minute
)

// Report applies events that the owners of workers have sent. The events that the reply lists as recorded are
// durable; the others must be sent again.
func (c *Coordinator) Report(ctx context.Context, events []tasks.Event) tasks.ReportReply {
	var reply tasks.ReportReply
	waits := make(map[worker.TaskRef]<-chan error)
	for _, e := range events {
		if s := c.shard(ShardOf(tasks.JobOf(e.Task))); s != nil {
			c.reportOne(s, e, &reply, waits)
		}
	}
	for ref, outcome := range waits {
		if awaitOutcome(ctx, outcome) == nil {
			reply.Recorded = append(reply.Recorded, ref)
		}
	}
	c.wakeScheduler()
	return reply
}

func (c *Coordinator) reportOne(s *shard, e tasks.Event, reply *tasks.ReportReply, waits map[worker.TaskRef]<-chan error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dropped {
		return
	}
	now := time.Now()
	j := s.jobs[tasks.JobOf(e.Task)]
	if j == nil || j.task(e.TaskRef) == nil {
		c.reportOrphan(e, reply)
		return
	}
	t := j.task(e.TaskRef)
	current := t.state.active() && t.attempt == e.Attempt
	switch {
	case !current && j.unsaved():
		waits[e.TaskRef] = c.commit.markDirty(s, j)
	case !current:
		c.reportOrphan(e, reply)
	case e.State == worker.TaskRunning:
		c.acknowledge(j.cancelled, e, reply)
		j.markRunning(t, "", now)
	default:
		c.endAttempt(j, t, &e, now)
		waits[e.TaskRef] = c.commit.markDirty(s, j)
		s.updateSets(j, now)
	}
}

// reportOrphan acknowledges an event of an attempt that is not the current one and
// requests that the attempt be stopped.
func (c *Coordinator) reportOrphan(e tasks.Event, reply *tasks.ReportReply) {
	c.acknowledge(true, e, reply)
}

// acknowledge adds the event's attempt to the recorded ones of the reply and, if stop is
// set and the attempt has not ended, to those that the owner must stop.
func (c *Coordinator) acknowledge(stop bool, e tasks.Event, reply *tasks.ReportReply) {
	reply.Recorded = append(reply.Recorded, e.TaskRef)
	if stop && !e.State.Final() {
		reply.Stop = append(reply.Stop, e.TaskRef)
	}
}

// endAttempt applies the end of a task's current attempt.
func (c *Coordinator) endAttempt(j *job, t *task, e *tasks.Event, now time.Time) {
	if e.Checkpoint != "" {
		t.checkpoint = e.Checkpoint
	}
	failed := e.State == worker.TaskFailed || e.State == tasks.StateLost || e.State == worker.TaskLeaseExpired
	service := j.spec.Policy == version.PolicyService
	if service && now.Sub(t.since) >= failureResetAfter {
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
		t.notBefore = now.Add(jitter(backoff(minRestartDelay, maxRestartDelay, t.failures-1)))
	}
	t.since = now
}
