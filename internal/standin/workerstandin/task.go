package workerstandin

import (
	"encoding/json"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/worker"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// throttledSlowdown is the factor by which throttling lengthens the remaining run time.
const throttledSlowdown = 4

// TaskPayload is the JSON that the payload of a task may have.
type TaskPayload struct {
	// RunMS is the run time of the task in milliseconds. 0 means the declared run
	// time, or if there is none, until the task is stopped.
	RunMS int64 `json:"run_ms"`
	// Fail makes the task fail at its end.
	Fail bool `json:"fail"`
	// Output is added to the record when the task is done.
	Output string `json:"output"`
	// Usage is the task's actual usage; zero means its declared amount.
	Usage resource.Amount `json:"usage"`
}

// task is one attempt of a task on the worker.
type task struct {
	status  worker.TaskStatus
	payload TaskPayload
	epoch   uint64
	started time.Time
	// leaseEnd is when the task's lease expires and the worker stops it.
	leaseEnd time.Time
	// runEnd is when the task is done; zero if it runs until it is stopped.
	runEnd time.Time
	timer  *time.Timer
}

// nextEnd returns when the task ends without further calls: the earlier of leaseEnd and
// runEnd.
func (t *task) nextEnd() time.Time {
	if t.runEnd.IsZero() || t.leaseEnd.Before(t.runEnd) {
		return t.leaseEnd
	}
	return t.runEnd
}

// startLocked starts an attempt. It is idempotent: for a known attempt it returns the
// status.
func (w *Worker) startLocked(epoch uint64, s worker.StartTask, now time.Time) worker.TaskStatus {
	ref := worker.TaskRef{Task: s.Task, Attempt: s.Attempt}
	if existing := w.tasks[ref]; existing != nil {
		return w.statusLocked(existing, now)
	}
	t := newTask(epoch, s, now)
	w.tasks[ref] = t
	if !w.record.fits(s.Amount) {
		t.status.State = worker.TaskFailed
		t.status.Error = worker.RefusedCapacity
		w.addTaskEventLocked(EventOverCapacity, t)
		return t.status
	}
	w.addTaskEventLocked(EventTaskStart, t)
	if w.switches.Broken {
		t.status.Error = worker.RefusedBroken
		w.endLocked(t, worker.TaskFailed)
		return t.status
	}
	t.timer = time.AfterFunc(t.nextEnd().Sub(now), w.sweep)
	return w.statusLocked(t, now)
}

func newTask(epoch uint64, s worker.StartTask, now time.Time) *task {
	t := &task{
		epoch:    epoch,
		started:  now,
		leaseEnd: now.Add(s.Lease),
		status: worker.TaskStatus{
			Task:    s.Task,
			Attempt: s.Attempt,
			Team:    s.Team,
			Kind:    s.Kind,
			State:   worker.TaskRunning,
			Amount:  s.Amount,
		},
	}
	_ = json.Unmarshal(s.Payload, &t.payload)
	if run := t.runTime(s); run > 0 {
		t.runEnd = now.Add(run)
	}
	return t
}

// runTime returns the run time of the task, 0 if it runs until it is stopped.
func (t *task) runTime(s worker.StartTask) time.Duration {
	left, err := time.ParseDuration(s.Checkpoint)
	if err == nil {
		return left
	}
	if t.payload.RunMS > 0 {
		return time.Duration(t.payload.RunMS) * time.Millisecond
	}
	return s.RunTime
}

// endLocked ends the task in the given state and frees its capacity.
func (w *Worker) endLocked(t *task, state worker.TaskState) {
	t.status.State = state
	if t.timer != nil {
		t.timer.Stop()
	}
	w.addTaskEventLocked(EventTaskEnd, t)
}

func (w *Worker) addTaskEventLocked(kind EventKind, t *task) {
	event := Event{
		Kind:    kind,
		Task:    t.status.Task,
		Attempt: t.status.Attempt,
		Team:    t.status.Team,
		Work:    t.status.Kind,
		Epoch:   t.epoch,
		Amount:  t.status.Amount,
	}
	if kind == EventTaskEnd {
		event.Detail = string(t.status.State)
	}
	if t.status.State == worker.TaskDone {
		event.Output = t.payload.Output
	}
	w.record.add(event)
}

// sweep ends the tasks whose run time is over or whose lease has expired.
func (w *Worker) sweep() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sweepLocked(time.Now())
}

// sweepLocked is called before every call takes effect, so that a worker process that was
// paused does not act on a task whose lease expired during the pause.
func (w *Worker) sweepLocked(now time.Time) {
	for _, t := range w.tasks {
		if t.status.State.Final() || t.nextEnd().After(now) {
			continue
		}
		w.endLocked(t, t.stateAtEnd())
		if t.status.State == worker.TaskFailed {
			t.status.Error = "task failed"
		}
	}
}

// stateAtEnd returns the final state of a task that ends at nextEnd.
func (t *task) stateAtEnd() worker.TaskState {
	switch {
	case t.nextEnd().Equal(t.leaseEnd) && !t.runEnd.Equal(t.leaseEnd):
		return worker.TaskLeaseExpired
	case t.payload.Fail:
		return worker.TaskFailed
	default:
		return worker.TaskDone
	}
}

// renewLocked renews the lease of a running task.
func (t *task) renewLocked(lease time.Duration, now time.Time) {
	t.leaseEnd = now.Add(lease)
	t.timer.Reset(t.nextEnd().Sub(now))
}

// stopLocked stops an attempt. An unknown attempt is recorded as stopped, so that a later
// start has no effect.
func (w *Worker) stopLocked(epoch uint64, ref worker.TaskRef, now time.Time) worker.TaskStatus {
	t := w.attemptLocked(epoch, ref)
	if !t.status.State.Final() {
		w.endLocked(t, worker.TaskStopped)
	}
	return w.statusLocked(t, now)
}

// checkpointLocked saves the remaining run time as the checkpoint and ends the attempt.
func (w *Worker) checkpointLocked(epoch uint64, ref worker.TaskRef, now time.Time) worker.TaskStatus {
	t := w.attemptLocked(epoch, ref)
	if t.status.State.Final() {
		return w.statusLocked(t, now)
	}
	t.status.Checkpoint = "0s"
	if !t.runEnd.IsZero() {
		left := t.runEnd.Sub(now)
		if t.status.Throttled {
			left /= throttledSlowdown
		}
		t.status.Checkpoint = left.String()
	}
	w.endLocked(t, worker.TaskCheckpointed)
	return w.statusLocked(t, now)
}

// throttleLocked turns throttling on or off and adjusts the remaining run time.
func (w *Worker) throttleLocked(epoch uint64, ref worker.TaskRef, on bool, now time.Time) worker.TaskStatus {
	t := w.attemptLocked(epoch, ref)
	if t.status.State.Final() || t.status.Throttled == on {
		return w.statusLocked(t, now)
	}
	t.status.Throttled = on
	if !t.runEnd.IsZero() {
		left := t.runEnd.Sub(now)
		if on {
			left *= throttledSlowdown
		} else {
			left /= throttledSlowdown
		}
		t.runEnd = now.Add(left)
		t.timer.Reset(t.nextEnd().Sub(now))
	}
	return w.statusLocked(t, now)
}

// attemptLocked returns the attempt. An unknown attempt is recorded as stopped, so that the
// state in the response stays valid.
func (w *Worker) attemptLocked(epoch uint64, ref worker.TaskRef) *task {
	t := w.tasks[ref]
	if t == nil {
		t = &task{epoch: epoch}
		t.status.Task = ref.Task
		t.status.Attempt = ref.Attempt
		t.status.State = worker.TaskStopped
		w.tasks[ref] = t
	}
	return t
}

// statusLocked returns the status. Usage is zero until UsageLag after the start.
func (w *Worker) statusLocked(t *task, now time.Time) worker.TaskStatus {
	status := t.status
	if status.State.Final() || now.Before(t.started.Add(w.config.UsageLag)) {
		return status
	}
	status.Usage = t.payload.Usage
	if status.Usage.IsZero() {
		status.Usage = status.Amount
	}
	return status
}
