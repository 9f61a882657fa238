package requests

import (
	"context"
	"errors"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/api"
	"github.com/kingcuplatch/kingcuplatch/conn/worker"
	"github.com/kingcuplatch/kingcuplatch/process/capacity"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/request/attempt"
	"github.com/kingcuplatch/kingcuplatch/version"
)

// localReservation is capacity on a worker of this entry.
type localReservation struct {
	placer       *Placer
	worker       string
	block        string
	holding      capacity.Holding
	unknownSince time.Time
}

// Worker implements dispatch.Reservation.
func (res *localReservation) Worker() string { return res.worker }

// Send implements dispatch.Reservation. The lease of the worker's block is checked right
// before the call; the epoch lets the worker refuse a request that arrives after its
// block has moved.
func (res *localReservation) Send(ctx context.Context, r *attempt.Request, kind *version.Kind) attempt.Outcome {
	client, ok := res.placer.o.Client(res.worker)
	if !ok {
		return attempt.NotRun(api.CodeNoWorker, "the worker isn't known here any more", retryAfter)
	}
	grant, owned := res.placer.o.Owners.HoldsLease(res.block)
	if !owned {
		return attempt.NotRun(api.CodeNoWorker, "the worker moved to another entry", retryAfter)
	}
	request := worker.Request{ID: res.holding.ID, Epoch: grant.Epoch, Team: r.Team, Kind: r.Kind, Body: r.Body}
	response, err := client.Do(ctx, request, !kind.Idempotent)
	res.placer.o.OnResult(res.worker, r.Kind, response, err)
	if err != nil {
		return workerFailureOutcome(err)
	}
	return attempt.Outcome{Status: response.Status, Body: response.Body, Worker: response.Worker}
}

// workerFailureOutcome returns the outcome for the error of a worker call.
func workerFailureOutcome(err error) attempt.Outcome {
	var refused *worker.RefusedError
	if errors.As(err, &refused) || errors.Is(err, worker.ErrNotSent) {
		return attempt.NotRun(api.CodeNoWorker, err.Error(), retryAfter)
	}
	return attempt.Unknown(err.Error())
}

// Release implements dispatch.Reservation.
func (res *localReservation) Release(outcome attempt.Outcome) {
	if outcome.Err == nil || outcome.WasNotRun() {
		res.free()
		return
	}
	res.unknownSince = time.Now()
	res.placer.mu.Lock()
	res.placer.unknown[res.worker] = append(res.placer.unknown[res.worker], res)
	res.placer.mu.Unlock()
}

func (res *localReservation) free() {
	res.placer.o.Capacity.Release(res.worker, res.holding.ID)
	res.placer.o.Allotments.Release(res.holding.Team, res.holding.Amount)
}

// remoteReservation is capacity that a peer reported.
type remoteReservation struct {
	placer   *Placer
	address  string
	instance string
	upstream string
	amount   resource.Amount
}

// Worker implements dispatch.Reservation.
func (res *remoteReservation) Worker() string { return res.instance }

// Send implements dispatch.Reservation.
func (res *remoteReservation) Send(ctx context.Context, r *attempt.Request, _ *version.Kind) attempt.Outcome {
	var outcome attempt.Outcome
	if err := res.placer.o.Caller.Call(ctx, res.address, methodPlace, r, &outcome); err != nil {
		outcome = peerFailureOutcome(err)
	}
	if outcome.WasNotRun() {
		res.placer.o.Remote.Exhausted(res.instance, res.upstream)
	}
	return outcome
}

// Release implements dispatch.Reservation. The peer accounts for its own capacity; this
// entry only takes it that an answered request has ended there.
func (res *remoteReservation) Release(outcome attempt.Outcome) {
	if outcome.Err == nil {
		res.placer.o.Remote.Freed(res.instance, res.upstream, res.amount)
	}
}
