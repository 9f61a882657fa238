package tasks

import (
	"context"
	"errors"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/worker"
	"github.com/kingcuplatch/kingcuplatch/process/capacity"
)

// maxReserveRounds bounds how often Reserve chooses workers. Another round is needed
// when a chosen worker has no free capacity any more.
const maxReserveRounds = 3

// Reserve reserves capacity for attempts for r.TTL. If it cannot reserve for all, the
// reservations are for the first attempts of r.Refs.
func (o *Owner) Reserve(ctx context.Context, r ReserveRequest) ReserveReply {
	var reply ReserveReply
	for range maxReserveRounds {
		refs := r.Refs[len(reply.Reservations):]
		if len(refs) == 0 || reply.Limit == LimitTeam {
			break
		}
		o.reserveRound(r, refs, &reply)
	}
	short := len(reply.Reservations) < len(r.Refs)
	if !short {
		reply.Limit, reply.Dimension = LimitNone, ""
	}
	if short && r.Hold != nil {
		o.holdWorkers(r, len(r.Refs), time.Now())
	}
	if short && r.AllOrNothing {
		o.Release(ctx, AttemptsRequest{Attempts: locate(reply.Reservations)})
		reply.Reservations = nil
	}
	return reply
}

func (o *Owner) reserveRound(r ReserveRequest, refs []worker.TaskRef, reply *ReserveReply) {
	fleet := o.holds.view(o.Capacity, r.Job, time.Now())
	names := o.Choose(fleet, PlacementRequest{
		Team: r.Team, Kind: r.Kind, Policy: r.Policy, Amount: r.Amount, Count: len(refs),
	})
	reply.Limit = LimitCapacity
	next := 0
	for _, name := range names {
		if next == len(refs) || reply.Limit == LimitTeam {
			return
		}
		if o.reserveOne(r, refs[next], name, reply) {
			next++
		}
	}
}

func (o *Owner) reserveOne(r ReserveRequest, ref worker.TaskRef, name string, reply *ReserveReply) bool {
	w, _, ok := o.Capacity.Worker(name)
	if !ok || !o.holdsBlockLease(w) {
		return false
	}
	if !o.Allotments.TryAcquire(r.Team, r.Amount) {
		reply.Limit, reply.Dimension = LimitTeam, ""
		return false
	}
	err := o.Capacity.Assume(name, capacity.Holding{
		ID: holdingID(ref), Team: r.Team, Kind: r.Kind, Amount: r.Amount, Until: time.Now().Add(r.TTL),
	})
	if err != nil {
		o.Allotments.Release(r.Team, r.Amount)
		reply.Limit, reply.Dimension = LimitCapacity, shortDimension(err)
		return false
	}
	reply.Reservations = append(reply.Reservations, Reservation{
		Located: Located{TaskRef: ref, Worker: name}, Block: w.Block, Epoch: w.Epoch,
		FailureDomain: w.FailureDomain, Rack: w.Rack,
	})
	return true
}

func shortDimension(err error) string {
	var full *capacity.FullError
	if errors.As(err, &full) {
		return full.Dimension
	}
	return ""
}

func locate(reservations []Reservation) []Located {
	located := make([]Located, len(reservations))
	for i, r := range reservations {
		located[i] = r.Located
	}
	return located
}
