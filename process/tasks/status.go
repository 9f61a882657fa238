package tasks

import (
	"context"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/worker"
)

// Status returns the states of attempts. Once it has returned StateAbsent for an
// attempt, a delayed start of that attempt is refused.
func (o *Owner) Status(_ context.Context, r AttemptsRequest) Outcomes {
	return o.forEach(r, func(a *agent, ref worker.TaskRef) Outcome { return a.attemptStatus(ref) })
}

func (a *agent) attemptStatus(ref worker.TaskRef) Outcome {
	now := time.Now()
	holdsBlockLease := a.owner.holdsBlockLease(a.worker)
	a.mu.Lock()
	defer a.mu.Unlock()
	if at := a.attempts[ref]; at != nil {
		return at.outcome(ref)
	}
	if a.closed || !holdsBlockLease {
		return Outcome{Ref: ref, State: StateUnknown}
	}
	if a.adopted && !a.lost[ref] {
		return a.absent(ref)
	}
	if a.leasesExpired(now) {
		a.lost[ref] = true
		event := a.event(ref, worker.TaskStatus{State: StateLost, Error: "lease ended, worker unreachable"})
		return Outcome{Ref: ref, State: StateEnded, Event: &event}
	}
	return Outcome{Ref: ref, State: StateUnknown}
}

// absent frees the attempt's reservation, so that the attempt can no longer start.
func (a *agent) absent(ref worker.TaskRef) Outcome {
	if !a.owner.unsafe.absentWithReservation {
		a.freeHolding(ref)
	}
	return Outcome{Ref: ref, State: StateAbsent}
}

func (at *attempt) outcome(ref worker.TaskRef) Outcome {
	switch at.phase {
	case running:
		return Outcome{Ref: ref, State: StateRunning}
	case ended:
		event := at.event
		return Outcome{Ref: ref, State: StateEnded, Event: &event}
	default:
		return Outcome{Ref: ref, State: StateUnknown}
	}
}
