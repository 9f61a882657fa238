package tasks

import (
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/worker"
	"github.com/kingcuplatch/kingcuplatch/process/capacity"
)

// adopt applies the report that the worker returned on adoption.
func (a *agent) adopt(report worker.Report) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return
	}
	a.adopted = true
	if a.reconciled {
		return
	}
	a.reconciled = true
	var holdings []capacity.Holding
	for _, status := range report.Tasks {
		if h, holds := a.adoptTask(status); holds {
			holdings = append(holdings, h)
		}
	}
	a.owner.Capacity.Reconcile(a.worker.Name, a.worker.Epoch, holdings, report.RequestIDs)
}

func (a *agent) adoptTask(status worker.TaskStatus) (capacity.Holding, bool) {
	ref := worker.TaskRef{Task: status.Task, Attempt: status.Attempt}
	at := &attempt{team: status.Team, kind: status.Kind, amount: status.Amount, phase: running}
	a.attempts[ref] = at
	if status.State.Final() {
		a.finish(ref, at, status)
		return capacity.Holding{}, false
	}
	at.stop = a.lost[ref]
	a.owner.Allotments.ForceAcquire(at.team, at.amount)
	a.owner.outbox.put(a.event(ref, status))
	return capacity.Holding{ID: holdingID(ref), Team: at.team, Kind: at.kind, Amount: at.amount}, true
}

// apply applies the report of a renewal. expected lists the attempts that the
// report must contain if they are on the worker.
func (a *agent) apply(report worker.Report, expected []worker.TaskRef) {
	a.owner.Capacity.ReportRequests(a.worker.Name, report.RequestIDs)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return
	}
	reported := make(map[worker.TaskRef]bool, len(report.Tasks))
	for _, status := range report.Tasks {
		ref := worker.TaskRef{Task: status.Task, Attempt: status.Attempt}
		reported[ref] = true
		a.applyTask(ref, status)
	}
	for _, ref := range expected {
		if !reported[ref] {
			a.handleMissing(ref)
		}
	}
}

func (a *agent) applyTask(ref worker.TaskRef, status worker.TaskStatus) {
	at, known := a.attempts[ref]
	switch {
	case !known && status.State.Final():
		a.forget = append(a.forget, ref)
		delete(a.lost, ref)
	case !known:
		a.lost[ref] = true
	case at.phase == starting || at.phase == ended:
	case status.State.Final():
		a.finish(ref, at, status)
	case at.phase == startUnknown:
		at.phase = running
		a.owner.outbox.put(a.event(ref, status))
	}
}

// handleMissing handles an attempt that the worker's report should contain but
// does not. A start call with an unknown outcome may still arrive, so the attempt
// is stopped, after which the worker rejects the start.
func (a *agent) handleMissing(ref worker.TaskRef) {
	at := a.attempts[ref]
	if at == nil {
		return
	}
	if at.phase == startUnknown {
		at.stop = true
		return
	}
	if at.phase == running {
		a.finish(ref, at, worker.TaskStatus{State: StateLost, Error: "unknown to the worker"})
	}
}

// finish ends an attempt and queues the event for its coordinator.
func (a *agent) finish(ref worker.TaskRef, at *attempt, status worker.TaskStatus) {
	if at.phase == ended {
		return
	}
	at.phase = ended
	at.event = a.event(ref, status)
	a.owner.outbox.put(at.event)
	if status.State == worker.TaskDone || status.State == worker.TaskFailed {
		a.owner.OnEnded(a.worker.Name, at.kind, status.State == worker.TaskFailed)
	}
}

func (a *agent) event(ref worker.TaskRef, status worker.TaskStatus) Event {
	return Event{
		Located:    Located{TaskRef: ref, Worker: a.worker.Name},
		Block:      a.worker.Block,
		Epoch:      a.worker.Epoch,
		State:      status.State,
		Usage:      status.Usage,
		Checkpoint: status.Checkpoint,
		Error:      status.Error,
	}
}

// declareLost ends the attempts of a worker whose leases have expired by now. The
// block lease is checked after now was read: while this entry holds it, no other
// owner can have renewed the leases.
func (a *agent) declareLost(now time.Time) {
	if !a.owner.holdsBlockLease(a.worker) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed || !a.leasesExpired(now) {
		return
	}
	for ref, at := range a.attempts {
		if at.phase != startUnknown && at.phase != running {
			continue
		}
		a.lost[ref] = true
		a.finish(ref, at, worker.TaskStatus{State: StateLost, Error: "lease ended, worker unreachable"})
	}
}

// leasesExpired reports whether all leases on the worker have expired by now.
func (a *agent) leasesExpired(now time.Time) bool {
	return now.After(a.leasesExpireAt) || a.owner.unsafe.declareLostEarly
}

// freeRecorded frees the capacity of an ended attempt after its coordinator has
// recorded the end.
func (a *agent) freeRecorded(ref worker.TaskRef) {
	a.mu.Lock()
	defer a.mu.Unlock()
	at := a.attempts[ref]
	if at == nil || at.phase != ended {
		return
	}
	delete(a.attempts, ref)
	a.forget = append(a.forget, ref)
	a.freeHolding(ref)
}

func (a *agent) freeHolding(ref worker.TaskRef) {
	if h, ok := a.owner.Capacity.Release(a.worker.Name, holdingID(ref)); ok {
		a.owner.Allotments.Release(h.Team, h.Amount)
	}
}
