package tasks

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/worker"
)

// Reasons for which a start is refused.
const (
	reasonNotOwned      = "worker not owned at that epoch"
	reasonNoReservation = "no reservation"
)

// Start starts attempts from their reservations, with one call per worker. An
// attempt with StateAbsent was not started and cannot be started later; its
// reservation is freed.
func (o *Owner) Start(ctx context.Context, r StartRequest) Outcomes {
	groups := make(map[string][]int)
	for i, start := range r.Starts {
		groups[start.Worker] = append(groups[start.Worker], i)
	}
	reply := Outcomes{Outcomes: make([]Outcome, len(r.Starts))}
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxParallelStarts)
	for name, indexes := range groups {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			o.startOn(ctx, name, indexes, r.Starts, reply.Outcomes)
		})
	}
	wg.Wait()
	return reply
}

// startOn starts the attempts with the given indexes on one worker.
func (o *Owner) startOn(ctx context.Context, name string, indexes []int, starts []Start, out []Outcome) {
	a := o.agent(name)
	var calls []worker.StartTask
	var callIndexes []int
	for _, i := range indexes {
		out[i] = a.claim(starts[i])
		if out[i].State == "" {
			task := starts[i].Task
			task.Lease = o.Lease
			calls = append(calls, task)
			callIndexes = append(callIndexes, i)
		}
	}
	if len(calls) == 0 {
		return
	}
	statuses, err := a.callStart(ctx, calls)
	for n, i := range callIndexes {
		var status worker.TaskStatus
		if err == nil {
			status = statuses[n]
		}
		out[i] = a.recordStart(starts[i].Ref(), status, err)
	}
	a.wakeUpOnError(err)
}

// claim turns a reservation into an attempt in phase starting. If the returned
// outcome has a state, no start call is needed.
func (a *agent) claim(s Start) Outcome {
	ref := s.Ref()
	if a == nil {
		return Outcome{Ref: ref, State: StateUnknown, Reason: reasonNotOwned}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if at := a.attempts[ref]; at != nil {
		return at.outcome(ref)
	}
	if a.closed || s.Epoch != a.worker.Epoch {
		return Outcome{Ref: ref, State: StateUnknown, Reason: reasonNotOwned}
	}
	if !a.owner.Capacity.ConfirmUnexpired(a.worker.Name, holdingID(ref), time.Now()) {
		return Outcome{Ref: ref, State: StateAbsent, Reason: reasonNoReservation}
	}
	at := &attempt{
		team: s.Task.Team, kind: s.Task.Kind, amount: s.Task.Amount,
		phase: starting, startedAt: time.Now(),
	}
	if s.Task.RunTime > 0 {
		at.expectedEnd = time.Now().Add(s.Task.RunTime)
	}
	a.attempts[ref] = at
	return Outcome{Ref: ref}
}

func (a *agent) callStart(ctx context.Context, calls []worker.StartTask) ([]worker.TaskStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, a.owner.CallTimeout)
	defer cancel()
	if !a.owner.holdsBlockLease(a.worker) {
		return nil, worker.ErrNotSent
	}
	statuses, err := a.client.Start(ctx, a.worker.Epoch, calls)
	a.extendLeases(err)
	if err == nil && len(statuses) != len(calls) {
		err = worker.ErrUnknown
	}
	return statuses, err
}

// recordStart applies the result of a start call to the attempt.
func (a *agent) recordStart(ref worker.TaskRef, status worker.TaskStatus, err error) Outcome {
	a.mu.Lock()
	defer a.mu.Unlock()
	at := a.attempts[ref]
	switch {
	case err != nil && (notExecuted(err) || a.owner.unsafe.assumeNotStarted):
		return a.notStarted(ref, err.Error())
	case err != nil:
		at.phase = startUnknown
	case status.State == worker.TaskFailed && status.Error == worker.RefusedCapacity:
		return a.notStarted(ref, status.Error)
	case status.State.Final():
		a.finish(ref, at, status)
	default:
		at.phase = running
		a.replan()
	}
	return at.outcome(ref)
}

func (a *agent) notStarted(ref worker.TaskRef, reason string) Outcome {
	delete(a.attempts, ref)
	a.freeHolding(ref)
	return Outcome{Ref: ref, State: StateAbsent, Reason: reason}
}

// notExecuted reports whether err proves that the worker did not execute the call:
// it was not sent or the worker refused it.
func notExecuted(err error) bool {
	var refused *worker.RefusedError
	return errors.Is(err, worker.ErrNotSent) || errors.As(err, &refused)
}

func (a *agent) wakeUpOnError(err error) {
	if err != nil {
		a.wakeUp()
	}
}
