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

// triesPerFind bounds how many workers one Find asks the book about, since a
// choice made on a view may be out of date when it is assumed.
const triesPerFind = 3

// Allotments is the part of the teams' upper limits that this entry may use.
type Allotments interface {
	Take(team string, a resource.Amount) bool
	Give(team string, a resource.Amount)
	// Stuck reports whether allotments can't follow demand now.
	Stuck() bool
}

// RemoteRoom tells which peers have room.
type RemoteRoom interface {
	// Pick returns a peer that told of room for the amount at the upstream, and
	// counts it as used until the peer tells anew.
	Pick(upstream string, amount resource.Amount) (address, instance string, ok bool)
	// Exhausted notes that the peer had no room after all.
	Exhausted(instance, upstream string)
}

// PlacesOptions are what Places is made of.
type PlacesOptions struct {
	Book       *capacity.Book
	Allotments Allotments
	Owners     ownership.Owners
	Remote     RemoteRoom
	Caller     peer.Caller
	// Client returns the client of an owned worker.
	Client func(workerName string) (worker.Client, bool)
	// Observed is told how each hand-over to a worker ended.
	Observed func(workerName, kind string, response worker.Response, err error)
}

// Places finds room for requests on own workers and at peers. It implements
// dispatch.Finder.
type Places struct {
	o        PlacesOptions
	sequence atomic.Uint64

	mu  sync.Mutex
	rng *rand.Rand
	// strays are rooms whose request's outcome is unknown, by worker.
	strays map[string][]*ownPlace
}

// NewPlaces returns places over the book.
func NewPlaces(o PlacesOptions) *Places {
	return &Places{
		o:      o,
		rng:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		strays: make(map[string][]*ownPlace),
	}
}

// Find implements dispatch.Finder: own workers first, then peers. A request whose
// team has no allotment left here waits for it, since allotments follow demand; while
// they can't, it goes to a peer that may have some.
func (p *Places) Find(r *attempt.Request, kind *version.Kind, avoid string) (dispatch.Place, bool) {
	place, shortage := p.findOwn(r, kind, avoid)
	switch shortage {
	case shortOfNothing:
		return place, true
	case shortOfAllotment:
		if !p.o.Allotments.Stuck() {
			return nil, false
		}
	}
	address, instance, ok := p.o.Remote.Pick(kind.Upstream, kind.Amount)
	if !ok {
		return nil, false
	}
	return &remotePlace{places: p, address: address, instance: instance, upstream: kind.Upstream}, true
}

// FindOwn assumes room on a worker that this entry owns.
func (p *Places) FindOwn(r *attempt.Request, kind *version.Kind, avoid string) (dispatch.Place, bool) {
	place, shortage := p.findOwn(r, kind, avoid)
	return place, shortage == shortOfNothing
}

// shortage is why no room was assumed.
type shortage int

const (
	shortOfNothing shortage = iota
	shortOfWorkers
	shortOfAllotment
)

func (p *Places) findOwn(r *attempt.Request, kind *version.Kind, avoid string) (dispatch.Place, shortage) {
	place, ok := p.assume(r, kind, avoid)
	if !ok {
		return nil, shortOfWorkers
	}
	if !p.o.Allotments.Take(r.Team, kind.Amount) {
		p.o.Book.Forget(place.worker, place.holding.ID)
		return nil, shortOfAllotment
	}
	return place, shortOfNothing
}

func (p *Places) assume(r *attempt.Request, kind *version.Kind, avoid string) (*ownPlace, bool) {
	ask := placement.Ask{Amount: kind.Amount, Policy: version.PolicyRequest, Upstream: kind.Upstream}
	if avoid != "" {
		ask.Avoid = []string{avoid}
	}
	fleet := p.o.Book.Fleet(kind.Upstream)
	id := r.Key() + "#" + strconv.FormatUint(p.sequence.Add(1), 10)
	for range triesPerFind {
		name, ok := p.choose(ask, fleet)
		if !ok {
			return nil, false
		}
		w, open, known := p.o.Book.Worker(name)
		if !open || !known {
			continue
		}
		if _, owned := p.o.Owners.MayHandOver(w.Block); !owned {
			ask.Avoid = append(ask.Avoid, name)
			continue
		}
		holding := capacity.Holding{ID: id, Team: r.Team, Kind: kind.Name, Amount: kind.Amount}
		if p.o.Book.Assume(name, holding) == nil {
			return &ownPlace{places: p, worker: name, block: w.Block, holding: holding}, true
		}
	}
	return nil, false
}

func (p *Places) choose(ask placement.Ask, fleet placement.Fleet) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i, _ := placement.Choose(ask, fleet, p.rng)
	if i < 0 {
		return "", false
	}
	return fleet.At(i).Worker, true
}

// WorkerReported takes in the ids of a worker's requests in flight, which it gave
// to a call sent at the given time. Rooms whose outcome was lost before that call
// are free unless the worker names their request.
func (p *Places) WorkerReported(workerName string, sent time.Time, inFlight []string) {
	p.mu.Lock()
	var free, keep []*ownPlace
	for _, place := range p.strays[workerName] {
		if place.lostAt.Before(sent) && !slices.Contains(inFlight, place.holding.ID) {
			free = append(free, place)
		} else {
			keep = append(keep, place)
		}
	}
	p.setStrays(workerName, keep)
	p.mu.Unlock()
	for _, place := range free {
		place.free()
	}
}

// Doubtful returns the workers on which requests may run whose outcome was lost.
// They should be asked for a report. What was lost on workers that have another
// owner by now is that owner's to count.
func (p *Places) Doubtful() []string {
	p.mu.Lock()
	var names []string
	var free []*ownPlace
	for name, strays := range p.strays {
		if _, _, known := p.o.Book.Worker(name); known {
			names = append(names, name)
			continue
		}
		free = append(free, strays...)
		delete(p.strays, name)
	}
	p.mu.Unlock()
	for _, place := range free {
		place.free()
	}
	return names
}

// setStrays replaces a worker's strays; p.mu is held.
func (p *Places) setStrays(workerName string, strays []*ownPlace) {
	if len(strays) == 0 {
		delete(p.strays, workerName)
		return
	}
	p.strays[workerName] = strays
}

// ownPlace is room on an own worker.
type ownPlace struct {
	places  *Places
	worker  string
	block   string
	holding capacity.Holding
	lostAt  time.Time
}

// Worker implements dispatch.Place.
func (o *ownPlace) Worker() string { return o.worker }

// Send implements dispatch.Place. The right to the worker is checked right before
// the call, and the epoch lets the worker refuse what comes too late.
func (o *ownPlace) Send(ctx context.Context, r *attempt.Request, kind *version.Kind) attempt.Outcome {
	client, ok := o.places.o.Client(o.worker)
	if !ok {
		return attempt.NotRun(api.CodeNoWorker, "the worker isn't known here any more", comeBack)
	}
	grant, owned := o.places.o.Owners.MayHandOver(o.block)
	if !owned {
		return attempt.NotRun(api.CodeNoWorker, "the worker moved to another entry", comeBack)
	}
	request := worker.Request{ID: o.holding.ID, Epoch: grant.Epoch, Team: r.Team, Kind: r.Kind, Body: r.Body}
	response, err := client.Do(ctx, request, !kind.Idempotent)
	o.places.o.Observed(o.worker, r.Kind, response, err)
	if err != nil {
		return workerFailure(err)
	}
	return attempt.Outcome{Status: response.Status, Body: response.Body, Worker: response.Worker}
}

// workerFailure turns the error of a worker call into an outcome.
func workerFailure(err error) attempt.Outcome {
	var refused *worker.RefusedError
	if errors.As(err, &refused) || errors.Is(err, worker.ErrNotSent) {
		return attempt.NotRun(api.CodeNoWorker, err.Error(), comeBack)
	}
	return attempt.Unknown(err.Error())
}

// Release implements dispatch.Place.
func (o *ownPlace) Release(outcome attempt.Outcome) {
	if outcome.Err == nil || outcome.WasNotRun() {
		o.free()
		return
	}
	o.lostAt = time.Now()
	o.places.mu.Lock()
	o.places.strays[o.worker] = append(o.places.strays[o.worker], o)
	o.places.mu.Unlock()
}

func (o *ownPlace) free() {
	o.places.o.Book.Forget(o.worker, o.holding.ID)
	o.places.o.Allotments.Give(o.holding.Team, o.holding.Amount)
}

// remotePlace is room that a peer told of.
type remotePlace struct {
	places   *Places
	address  string
	instance string
	upstream string
}

// Worker implements dispatch.Place.
func (o *remotePlace) Worker() string { return o.instance }

// Send implements dispatch.Place.
func (o *remotePlace) Send(ctx context.Context, r *attempt.Request, _ *version.Kind) attempt.Outcome {
	var outcome attempt.Outcome
	if err := o.places.o.Caller.Call(ctx, o.address, methodPlace, r, &outcome); err != nil {
		outcome = peerFailure(err)
	}
	if outcome.WasNotRun() {
		o.places.o.Remote.Exhausted(o.instance, o.upstream)
	}
	return outcome
}

// Release implements dispatch.Place; the peer counts its own room.
func (o *remotePlace) Release(attempt.Outcome) {}
