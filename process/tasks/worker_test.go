package tasks

import (
	"context"
	"sync"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/worker"
)

// fakeRun is one attempt in a worker's own record.
type fakeRun struct {
	task   worker.StartTask
	state  worker.TaskState
	from   time.Time
	lease  time.Time
	doneAt time.Time
	to     time.Time
}

// fakeWorker is a worker that enforces leases and epochs.
type fakeWorker struct {
	mu      sync.Mutex
	name    string
	epoch   uint64
	runs    map[worker.TaskRef]*fakeRun
	history []*fakeRun
	// partitioned contains the owners that cannot reach the worker.
	partitioned map[string]bool
	// lostReplies is how many start calls take effect and return ErrUnknown. Each of
	// them also partitions the owner from the worker.
	lostReplies int
}

// advance ends the attempts that are done or whose leases have expired by now.
func (f *fakeWorker) advance(now time.Time) {
	for _, r := range f.runs {
		if r.state != worker.TaskRunning {
			continue
		}
		if !r.doneAt.IsZero() && !now.Before(r.doneAt) && !r.doneAt.After(r.lease) {
			r.state, r.to = worker.TaskDone, r.doneAt
		} else if !now.Before(r.lease) {
			r.state, r.to = worker.TaskLeaseExpired, r.lease
		}
	}
}

func (f *fakeWorker) status(ref worker.TaskRef) worker.TaskStatus {
	r := f.runs[ref]
	return worker.TaskStatus{
		Task: ref.Task, Attempt: ref.Attempt, Team: r.task.Team, Kind: r.task.Kind, State: r.state, Amount: r.task.Amount,
	}
}

func (f *fakeWorker) report() worker.Report {
	report := worker.Report{Worker: f.name, Epoch: f.epoch}
	for ref := range f.runs {
		report.Tasks = append(report.Tasks, f.status(ref))
	}
	return report
}

// fakeClient is an owner's client of a worker.
type fakeClient struct {
	worker.Client
	*fakeWorker
	owner string
}

func (c *fakeClient) call(epoch uint64, f func(now time.Time) error) error {
	time.Sleep(time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.partitioned[c.owner] {
		return worker.ErrUnknown
	}
	if epoch < c.epoch {
		return &worker.RefusedError{Code: worker.RefusedEpoch, Epoch: c.epoch}
	}
	now := time.Now()
	c.advance(now)
	return f(now)
}

func (c *fakeClient) Adopt(_ context.Context, epoch uint64) (r worker.Report, err error) {
	err = c.call(epoch, func(time.Time) error {
		c.epoch = epoch
		r = c.report()
		return nil
	})
	return r, err
}

func (c *fakeClient) Renew(_ context.Context, epoch uint64, lease time.Duration) (r worker.Report, err error) {
	err = c.call(epoch, func(now time.Time) error {
		for _, run := range c.runs {
			if run.state == worker.TaskRunning {
				run.lease = now.Add(lease)
			}
		}
		r = c.report()
		return nil
	})
	return r, err
}

func (c *fakeClient) Start(_ context.Context, epoch uint64, starts []worker.StartTask) (list []worker.TaskStatus, err error) {
	err = c.call(epoch, func(now time.Time) error {
		for _, s := range starts {
			ref := worker.TaskRef{Task: s.Task, Attempt: s.Attempt}
			if c.runs[ref] == nil {
				c.runs[ref] = &fakeRun{task: s, state: worker.TaskRunning, from: now, lease: now.Add(s.Lease)}
				c.history = append(c.history, c.runs[ref])
				if s.RunTime > 0 {
					c.runs[ref].doneAt = now.Add(s.RunTime)
				}
			}
			list = append(list, c.status(ref))
		}
		if c.lostReplies > 0 {
			c.lostReplies--
			c.partitioned[c.owner] = true
			return worker.ErrUnknown
		}
		return nil
	})
	return list, err
}

func (c *fakeClient) Stop(_ context.Context, epoch uint64, refs []worker.TaskRef) (list []worker.TaskStatus, err error) {
	err = c.call(epoch, func(now time.Time) error {
		for _, ref := range refs {
			r := c.runs[ref]
			if r == nil {
				r = &fakeRun{state: worker.TaskStopped}
				c.runs[ref] = r
			}
			if r.state == worker.TaskRunning {
				r.state, r.to = worker.TaskStopped, now
			}
			list = append(list, c.status(ref))
		}
		return nil
	})
	return list, err
}

func (c *fakeClient) Forget(_ context.Context, epoch uint64, refs []worker.TaskRef) error {
	return c.call(epoch, func(time.Time) error {
		for _, ref := range refs {
			delete(c.runs, ref)
		}
		return nil
	})
}

func (c *fakeClient) Close() {}
