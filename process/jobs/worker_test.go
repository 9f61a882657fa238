package jobs

import (
	"context"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/worker"
)

// fakeRun is one attempt on a worker.
type fakeRun struct {
	task  worker.StartTask
	state worker.TaskState
	due   time.Time
}

// fakeWorker completes each attempt sim.runTime after its start. It records a violation if two attempts of a task run at the same time or one starts after the
// acknowledged cancellation of its job. The simulation's lock protects it.
type fakeWorker struct {
	worker.Client
	sim *simulation
	// epoch is the highest epoch of the calls so far. Calls with a lower one are refused.
	epoch uint64
	runs  map[worker.TaskRef]*fakeRun
}

func (f *fakeWorker) advance() {
	now := time.Now()
	for _, r := range f.runs {
		if r.state == worker.TaskRunning && !now.Before(r.due) {
			r.state = worker.TaskDone
		}
	}
}

func (f *fakeWorker) status(ref worker.TaskRef) worker.TaskStatus {
	r := f.runs[ref]
	return worker.TaskStatus{Task: ref.Task, Attempt: ref.Attempt, Team: r.task.Team, State: r.state, Amount: r.task.Amount}
}

func (f *fakeWorker) checkEpoch(epoch uint64) error {
	f.advance()
	if epoch < f.epoch {
		return &worker.RefusedError{Code: worker.RefusedEpoch, Epoch: f.epoch}
	}
	f.epoch = epoch
	return nil
}

func (f *fakeWorker) Adopt(_ context.Context, epoch uint64) (worker.Report, error) {
	f.sim.mu.Lock()
	defer f.sim.mu.Unlock()
	if err := f.checkEpoch(epoch); err != nil {
		return worker.Report{}, err
	}
	var report worker.Report
	for ref := range f.runs {
		report.Tasks = append(report.Tasks, f.status(ref))
	}
	return report, nil
}

func (f *fakeWorker) Renew(ctx context.Context, epoch uint64, _ time.Duration) (worker.Report, error) {
	return f.Adopt(ctx, epoch)
}

func (f *fakeWorker) Start(_ context.Context, epoch uint64, starts []worker.StartTask) ([]worker.TaskStatus, error) {
	sim := f.sim
	var delay time.Duration
	sim.locked(func() { delay = sim.startDelay })
	time.Sleep(delay)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if err := f.checkEpoch(epoch); err != nil {
		return nil, err
	}
	var list []worker.TaskStatus
	for _, s := range starts {
		sim.check(s)
		ref := worker.TaskRef{Task: s.Task, Attempt: s.Attempt}
		f.runs[ref] = &fakeRun{task: s, state: worker.TaskRunning, due: time.Now().Add(sim.runTime)}
		list = append(list, f.status(ref))
	}
	return list, nil
}

func (f *fakeWorker) Stop(_ context.Context, epoch uint64, refs []worker.TaskRef) ([]worker.TaskStatus, error) {
	f.sim.mu.Lock()
	defer f.sim.mu.Unlock()
	if err := f.checkEpoch(epoch); err != nil {
		return nil, err
	}
	var list []worker.TaskStatus
	for _, ref := range refs {
		if f.runs[ref] == nil {
			f.runs[ref] = &fakeRun{state: worker.TaskStopped}
		}
		if f.runs[ref].state == worker.TaskRunning {
			f.runs[ref].state = worker.TaskStopped
		}
		list = append(list, f.status(ref))
	}
	return list, nil
}

func (f *fakeWorker) Forget(context.Context, uint64, []worker.TaskRef) error { return nil }

func (f *fakeWorker) Close() {}
