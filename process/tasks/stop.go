package tasks

import (
	"context"

	"github.com/kingcuplatch/kingcuplatch/conn/worker"
)

// stopMarked stops in one call the attempts that are marked for stopping or were
// declared lost.
func (a *agent) stopMarked(ctx context.Context) error {
	return a.endAttempts(ctx, a.toStop(), a.client.Stop)
}

// endAttempts ends attempts with one call and applies the returned states.
func (a *agent) endAttempts(ctx context.Context, refs []worker.TaskRef, call endCall) error {
	if len(refs) == 0 {
		return nil
	}
	if !a.owner.holdsBlockLease(a.worker) {
		return errNoBlockLease
	}
	ctx, cancel := context.WithTimeout(ctx, a.owner.CallTimeout)
	defer cancel()
	statuses, err := call(ctx, a.worker.Epoch, refs)
	if err != nil {
		return err
	}
	a.applyStopped(statuses)
	return nil
}

// endCall is the type of a worker client's Stop and Checkpoint.
type endCall func(ctx context.Context, epoch uint64, refs []worker.TaskRef) ([]worker.TaskStatus, error)

func (a *agent) toStop() []worker.TaskRef {
	a.mu.Lock()
	defer a.mu.Unlock()
	var refs []worker.TaskRef
	for ref := range a.lost {
		refs = append(refs, ref)
	}
	for ref, at := range a.attempts {
		if at.stop && !a.lost[ref] && at.phase != starting && at.phase != ended {
			refs = append(refs, ref)
		}
	}
	return refs
}

func (a *agent) applyStopped(statuses []worker.TaskStatus) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, status := range statuses {
		if !status.State.Final() {
			continue
		}
		ref := worker.TaskRef{Task: status.Task, Attempt: status.Attempt}
		delete(a.lost, ref)
		if at := a.attempts[ref]; at != nil {
			a.finish(ref, at, status)
		}
	}
}

// forgetRecorded deletes on the worker the final statuses that coordinators have
// recorded.
func (a *agent) forgetRecorded(ctx context.Context) error {
	a.mu.Lock()
	refs := a.forget
	a.forget = nil
	a.mu.Unlock()
	if len(refs) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, a.owner.CallTimeout)
	defer cancel()
	err := a.client.Forget(ctx, a.worker.Epoch, refs)
	if err == nil {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.forget = append(a.forget, refs...)
	return err
}

// Cancel stops attempts. An attempt that is only reserved is released and gets
// StateAbsent. A running attempt is stopped asynchronously; an event reports its
// end.
func (o *Owner) Cancel(_ context.Context, r AttemptsRequest) Outcomes {
	return o.forEach(r, func(a *agent, ref worker.TaskRef) Outcome { return a.cancelAttempt(ref) })
}

func (a *agent) cancelAttempt(ref worker.TaskRef) Outcome {
	a.mu.Lock()
	at := a.attempts[ref]
	if at != nil && at.phase != ended {
		at.stop = true
	}
	a.mu.Unlock()
	if at != nil {
		a.wakeUp()
	}
	return a.attemptStatus(ref)
}

// Release frees reservations that will not be used.
func (o *Owner) Release(_ context.Context, r AttemptsRequest) {
	o.forEach(r, func(a *agent, ref worker.TaskRef) Outcome {
		a.release(ref)
		return Outcome{}
	})
}

func (a *agent) release(ref worker.TaskRef) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.attempts[ref] == nil {
		a.freeHolding(ref)
	}
}

func (o *Owner) forEach(r AttemptsRequest, do func(*agent, worker.TaskRef) Outcome) Outcomes {
	reply := Outcomes{Outcomes: make([]Outcome, 0, len(r.Attempts))}
	for _, at := range r.Attempts {
		outcome := Outcome{Ref: at.TaskRef, State: StateUnknown}
		if a := o.agent(at.Worker); a != nil {
			outcome = do(a, at.TaskRef)
		}
		reply.Outcomes = append(reply.Outcomes, outcome)
	}
	return reply
}
