package workerstandin

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/worker"
	"github.com/kingcuplatch/kingcuplatch/conn/worker/httpworker"
)

// control executes the control call with the given path. The error is a
// *worker.RefusedError. noReply is set if the response must not be sent.
func (w *Worker) control(path string, c httpworker.Control) (answer httpworker.ControlAnswer, noReply bool, err error) {
	w.waitDelay()
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.sweepLocked(now)
	if err := w.fenceLocked(c.Epoch, Event{Detail: path}); err != nil {
		return answer, false, err
	}
	if err := w.checkLeasesLocked(path, c); err != nil {
		return answer, false, err
	}
	switch path {
	case httpworker.PathAdopt:
		answer.Report = w.reportLocked(now)
	case httpworker.PathRenew:
		w.renewAllLocked(c.Lease, now)
		answer.Report = w.reportLocked(now)
	case httpworker.PathStart:
		noReply = consume(&w.switches.LoseStarts)
		for _, s := range c.Start {
			answer.Statuses = append(answer.Statuses, w.startLocked(c.Epoch, s, now))
		}
	case httpworker.PathForget:
		w.forgetLocked(c.Tasks)
	default:
		answer.Statuses = w.eachLocked(path, c, now)
	}
	return answer, noReply, nil
}

// eachLocked executes a call on each of its tasks.
func (w *Worker) eachLocked(path string, c httpworker.Control, now time.Time) []worker.TaskStatus {
	statuses := make([]worker.TaskStatus, 0, len(c.Tasks))
	for _, ref := range c.Tasks {
		var status worker.TaskStatus
		switch path {
		case httpworker.PathStop:
			status = w.stopLocked(c.Epoch, ref, now)
		case httpworker.PathCheckpoint:
			status = w.checkpointLocked(c.Epoch, ref, now)
		case httpworker.PathThrottle:
			status = w.throttleLocked(c.Epoch, ref, c.On, now)
		}
		statuses = append(statuses, status)
	}
	return statuses
}

// checkLeasesLocked refuses a call with a lease that is not positive.
func (w *Worker) checkLeasesLocked(path string, c httpworker.Control) error {
	invalid := path == httpworker.PathRenew && c.Lease <= 0
	for _, s := range c.Start {
		invalid = invalid || s.Lease <= 0
	}
	if !invalid {
		return nil
	}
	w.record.add(Event{Kind: EventRefused, Epoch: c.Epoch, Detail: worker.RefusedInvalid})
	return w.refusedLocked(worker.RefusedInvalid, "lease has no length")
}

func (w *Worker) renewAllLocked(lease time.Duration, now time.Time) {
	for _, t := range w.tasks {
		if !t.status.State.Final() {
			t.renewLocked(lease, now)
		}
	}
}

func (w *Worker) forgetLocked(refs []worker.TaskRef) {
	for _, ref := range refs {
		t := w.tasks[ref]
		if t != nil && t.status.State.Final() {
			delete(w.tasks, ref)
		}
	}
}

// reportLocked returns the requests and tasks that the worker holds, tasks in the order of
// task and attempt.
func (w *Worker) reportLocked(now time.Time) *worker.Report {
	report := &worker.Report{
		Worker:     w.config.Name,
		Epoch:      w.epoch,
		Requests:   w.record.Held.Requests,
		RequestIDs: slices.Sorted(maps.Keys(w.inFlight)),
		Tasks:      make([]worker.TaskStatus, 0, len(w.tasks)),
	}
	for _, t := range w.tasks {
		report.Tasks = append(report.Tasks, w.statusLocked(t, now))
	}
	slices.SortFunc(report.Tasks, func(a, b worker.TaskStatus) int {
		return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
	})
	return report
}
