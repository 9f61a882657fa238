package workerstandin

import (
	"encoding/json"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/worker"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// throttledSlowdown is how many times longer a throttled task takes.
const throttledSlowdown = 4

// TaskPayload is what the payload of a task may say.
type TaskPayload struct {
	// RunMS is how long the task runs, in milliseconds; 0 means the declared
	// run time, and if there is none, until it is stopped.
	RunMS int64 `json:"run_ms"`
	// Fail makes the task fail at its end.
	Fail bool `json:"fail"`
	// Output is put into the record when the task is done.
	Output string `json:"output"`
	// Usage is what the task really uses; zero means what it declared.
	Usage resource.Amount `json:"usage"`
}

// task is one attempt that the worker knows.
type task struct {
	status  worker.TaskStatus
	payload TaskPayload
	epoch   uint64
	started time.Time
	// leaseEnd is when the worker stops the task by itself.
	leaseEnd time.Time
	// runEnd is when its work is done; zero if it runs until it is stopped.
	runEnd time.Time
	timer  *time.Timer
}

// nextEnd returns when the task ends by itself if nothing else happens.
func (t *task) nextEnd() time.Time {
	if t.runEnd.IsZero() || t.leaseEnd.Before(t.runEnd) {
		return t.leaseEnd
	}
	return t.runEnd
}

// startLocked starts an attempt, or returns the status of a known one.
func (w *Worker) startLocked(epoch uint64, s worker.StartTask, now time.Time) worker.TaskStatus {
	ref := worker.TaskRef{Task: s.Task, Attempt: s.Attempt}
	if known := w.tasks[ref]; known != nil {
		return w.statusLocked(known, now)
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

// runTime returns how long the task runs, 0 for until it is stopped.
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

// endLocked takes the task out of the worker's capacity.
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

// sweep ends the tasks whose time has come.
func (w *Worker) sweep() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sweepLocked(time.Now())
}

// sweepLocked is called before every call takes effect, so that a worker that
// was paused doesn't act on a task whose lease has ended meanwhile.
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

// stateAtEnd returns the state of a task that ends by itself.
func (t *task) stateAtEnd() worker.TaskState {
	switch {
	case t.nextEnd().Equal(t.leaseEnd) && !t.runEnd.Equal(t.leaseEnd):
		return worker.TaskLapsed
	case t.payload.Fail:
		return worker.TaskFailed
	default:
		return worker.TaskDone
	}
}

// renewLocked moves the end of the lease of a running task.
func (t *task) renewLocked(lease time.Duration, now time.Time) {
	t.leaseEnd = now.Add(lease)
	t.timer.Reset(t.nextEnd().Sub(now))
}

// stopLocked ends an attempt, or makes an unknown one stopped for good.
func (w *Worker) stopLocked(epoch uint64, ref worker.TaskRef, now time.Time) worker.TaskStatus {
	t := w.knownLocked(epoch, ref)
	if !t.status.State.Final() {
		w.endLocked(t, worker.TaskStopped)
	}
	return w.statusLocked(t, now)
}

// checkpointLocked saves how much run time is left and ends the attempt.
func (w *Worker) checkpointLocked(epoch uint64, ref worker.TaskRef, now time.Time) worker.TaskStatus {
	t := w.knownLocked(epoch, ref)
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

// throttleLocked stretches or shrinks the time that is left.
func (w *Worker) throttleLocked(epoch uint64, ref worker.TaskRef, on bool, now time.Time) worker.TaskStatus {
	t := w.knownLocked(epoch, ref)
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

// knownLocked returns the attempt. An unknown one is made stopped for good, so
// that the state which the caller is told of stays true.
func (w *Worker) knownLocked(epoch uint64, ref worker.TaskRef) *task {
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

// statusLocked returns the status with the usage as it lags behind.
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
