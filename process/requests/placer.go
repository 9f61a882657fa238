package requests

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

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
	// The amount is treated as used until the peer's next report, or Freed.
	Pick(upstream string, amount resource.Amount) (address, instance string, ok bool)
	// Freed records that a request for which Pick chose the peer was answered.
	Freed(instance, upstream string, amount resource.Amount)
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
	return &remoteReservation{placer: p, address: address, instance: instance, upstream: kind.Upstream, amount: kind.Amount}, true
}

// FindLocal reserves capacity on a worker of this entry.
func (p *Placer) FindLocal(r *attempt.Request, kind *version.Kind, avoid string) (dispatch.Reservation, bool) {
	reservation, shortage := p.findLocal(r, kind, avoid)
	return reservation, shortage == noShortage
}

// shortage is the reason why no capacity was reserved.
type shortage int

// Reasons why no capacity was reserved.
const (
	noShortage shortage = iota
	// workerShortage means that no worker of this entry has the capacity.
	workerShortage
	// allotmentShortage means that the team has no allotment left at this entry.
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
