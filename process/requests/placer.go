package requests

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/api"
	"github.com/kingcuplatch/kingcuplatch/conn/peer"
	"github.com/kingcuplatch/kingcuplatch/conn/worker"
	"github.com/kingcuplatch/kingcuplatch/process/capacity"
	"github.com/kingcuplatch/kingcuplatch/process/dispatch"
	"github.com/kingcuplatch/kingcuplatch/process/ownership"
	"github.com/kingcuplatch/kingcuplatch/process/placement"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/request/attempt"
	"github.com/kingcuplatch/kingcuplatch/version"
)

// maxPlacementTries bounds how many workers one Find tries. A try fails if the view that
// the choice was made on is out of date.
const maxPlacementTries = 3

// Allotments is this entry's part of the teams' upper limits.
type Allotments interface {
	TryAcquire(team string, a resource.Amount) bool
	Release(team string, a resource.Amount)
	// TableUnavailable reports whether allotments can't be adjusted to demand, since
	// the table is unavailable.
	TableUnavailable() bool
}

// RemoteCapacity chooses peers by the free capacity that they reported.
type RemoteCapacity interface {
	// Pick returns a peer that reported free capacity for the amount at the upstream.
	// The amount is treated as used until the peer's next report.
	Pick(upstream string, amount resource.Amount) (address, instance string, ok bool)
	// Exhausted records that the peer refused a request for lack of capacity.
	Exhausted(instance, upstream string)
}

// PlacerOptions configures a Placer.
type PlacerOptions struct {
	Capacity   *capacity.Tracker
	Allotments Allotments
	Owners     ownership.Owners
	Remote     RemoteCapacity
	Caller     peer.Caller
	// Client returns the client of an owned worker.
	Client func(workerName string) (worker.Client, bool)
	// OnResult is called with the result of each dispatch to a worker.
	OnResult func(workerName, kind string, response worker.Response, err error)
}

// Placer reserves capacity for requests on this entry's workers and at peers. It
// implements dispatch.Finder.
type Placer struct {
	o        PlacerOptions
	sequence atomic.Uint64

	mu  sync.Mutex
	rng *rand.Rand
	// unknown holds the reservations of requests with unknown outcome, by worker.
	unknown map[string][]*localReservation
}

// NewPlacer returns a Placer without reservations.
func NewPlacer(o PlacerOptions) *Placer {
	return &Placer{
		o:       o,
		rng:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		unknown: make(map[string][]*localReservation),
	}
}

// Find implements dispatch.Finder. It tries this entry's workers first, then peers. A
// request whose team has no allotment left here waits, since allotments follow demand;
// while they can't be adjusted, it goes to a peer that may have allotment left.
func (p *Placer) Find(r *attempt.Request, kind *version.Kind, avoid string) (dispatch.Reservation, bool) {
	reservation, shortage := p.findLocal(r, kind, avoid)
	switch shortage {
	case noShortage:
		return reservation, true
	case allotmentShortage:
		if !p.o.Allotments.TableUnavailable() {
			return nil, false
		}
	}
	address, instance, ok := p.o.Remote.Pick(kind.Upstream, kind.Amount)
	if !ok {
		return nil, false
	}
	return &remoteReservation{placer: p, address: address, instance: instance, upstream: kind.Upstream}, true
}

// FindLocal reserves capacity on a worker of this entry.
func (p *Placer) FindLocal(r *attempt.Request, kind *version.Kind, avoid string) (dispatch.Reservation, bool) {
	reservation, shortage := p.findLocal(r, kind, avoid)
	return reservation, shortage == noShortage
}

// shortage is the reason why no capacity was reserved.
type shortage int

const (
	noShortage shortage = iota
	workerShortage
	allotmentShortage
)

func (p *Placer) findLocal(r *attempt.Request, kind *version.Kind, avoid string) (dispatch.Reservation, shortage) {
	reservation, ok := p.reserve(r, kind, avoid)
	if !ok {
		return nil, workerShortage
	}
	if !p.o.Allotments.TryAcquire(r.Team, kind.Amount) {
		p.o.Capacity.Release(reservation.worker, reservation.holding.ID)
		return nil, allotmentShortage
	}
	return reservation, noShortage
}

func (p *Placer) reserve(r *attempt.Request, kind *version.Kind, avoid string) (*localReservation, bool) {
	ask := placement.Ask{Amount: kind.Amount, Policy: version.PolicyRequest, Upstream: kind.Upstream}
	if avoid != "" {
		ask.Avoid = []string{avoid}
	}
	fleet := p.o.Capacity.Fleet(kind.Upstream)
	id := r.Key() + "#" + strconv.FormatUint(p.sequence.Add(1), 10)
	for range maxPlacementTries {
		name, ok := p.choose(ask, fleet)
		if !ok {
			return nil, false
		}
		w, open, known := p.o.Capacity.Worker(name)
		if !open || !known {
			continue
		}
		if _, owned := p.o.Owners.HoldsLease(w.Block); !owned {
			ask.Avoid = append(ask.Avoid, name)
			continue
		}
		holding := capacity.Holding{ID: id, Team: r.Team, Kind: kind.Name, Amount: kind.Amount}
		if p.o.Capacity.Assume(name, holding) == nil {
			return &localReservation{placer: p, worker: name, block: w.Block, holding: holding}, true
		}
	}
	return nil, false
}

func (p *Placer) choose(ask placement.Ask, fleet placement.Fleet) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i, _ := placement.Choose(ask, fleet, p.rng)
	if i < 0 {
		return "", false
	}
	return fleet.At(i).Worker, true
}

// WorkerReported handles a worker's report of the ids of its requests in flight, in
// answer to a call sent at the given time. Reservations whose outcome became unknown
// before that call are released unless the report contains their request.
func (p *Placer) WorkerReported(workerName string, sent time.Time, inFlight []string) {
	p.mu.Lock()
	var free, keep []*localReservation
	for _, reservation := range p.unknown[workerName] {
		if reservation.unknownSince.Before(sent) && !slices.Contains(inFlight, reservation.holding.ID) {
			free = append(free, reservation)
		} else {
			keep = append(keep, reservation)
		}
	}
	p.setUnknown(workerName, keep)
	p.mu.Unlock()
	for _, reservation := range free {
		reservation.free()
	}
}

// UncertainWorkers returns the workers that have requests with unknown outcome. The
// caller should poll them for a report. Reservations on workers that have moved to
// another entry are released, since the new owner accounts for their requests.
func (p *Placer) UncertainWorkers() []string {
	p.mu.Lock()
	var names []string
	var free []*localReservation
	for name, reservations := range p.unknown {
		if _, _, known := p.o.Capacity.Worker(name); known {
			names = append(names, name)
			continue
		}
		free = append(free, reservations...)
		delete(p.unknown, name)
	}
	p.mu.Unlock()
	for _, reservation := range free {
		reservation.free()
	}
	return names
}

// setUnknown replaces a worker's reservations with unknown outcome. The caller holds
// p.mu.
func (p *Placer) setUnknown(workerName string, reservations []*localReservation) {
	if len(reservations) == 0 {
		delete(p.unknown, workerName)
		return
	}
	p.unknown[workerName] = reservations
}

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

// Release implements dispatch.Reservation. It does nothing, since the peer accounts for
// its own capacity.
func (res *remoteReservation) Release(attempt.Outcome) {}
