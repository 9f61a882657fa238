// Package requests routes admitted requests to workers anywhere in the fleet.
//
// # Routing
//
// A named request (its caller chose the id) first goes to its home, the owner of the
// id's key shard, which joins it with an earlier request of the same id. Any other
// request has its home at the entry that received it. The home queues the request and
// reserves capacity for it: on a worker of its own, or at a peer that reported free
// capacity. A peer either starts the request at once or refuses it as not run. A request
// therefore crosses at most two entries before its worker, and at most one if the home
// has free capacity.
//
// # At most once
//
// Before a named non-idempotent request is dispatched, its id is replicated to the
// home's witnesses, and the lease of the shard is checked again after that. An entry
// that takes the shard over imports these ids before it serves the shard. From then on,
// a request without a reply is reported as unknown and never sent again.
package requests

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/api"
	"github.com/kingcuplatch/kingcuplatch/conn/peer"
	"github.com/kingcuplatch/kingcuplatch/process/dispatch"
	"github.com/kingcuplatch/kingcuplatch/process/ownership"
	"github.com/kingcuplatch/kingcuplatch/request/attempt"
	"github.com/kingcuplatch/kingcuplatch/request/dedupe"
	"github.com/kingcuplatch/kingcuplatch/version"
)

// Methods that entries call on each other.
const (
	// methodHome runs a request at its home.
	methodHome = "request.home"
	// methodPlace starts a request on a worker of the called entry at once, or
	// refuses it.
	methodPlace = "request.place"
	// methodRemember stores dispatched request ids at the called entry.
	methodRemember = "request.remember"
)

const (
	// retryAfter is how long a caller should wait before a retry while ownership
	// changes.
	retryAfter = time.Second
	// ownerTimeout is how long a request waits for its shard to have an owner. A shard
	// that moves between two live entries has one again within that time.
	ownerTimeout = time.Second
	// ownerRetryInterval is the time between two attempts to reach the owner.
	ownerRetryInterval = 20 * time.Millisecond
)

// Ownership is the part of the ownership manager that requests need. It also replicates
// request ids outside this process.
type Ownership interface {
	ownership.Owners
	// RefreshBlock reads the owner of the block from the table.
	RefreshBlock(ctx context.Context, block string)
	// Replicate returns nil once every witness has stored the message.
	Replicate(ctx context.Context, message json.RawMessage) error
}

// Options configures a Service.
type Options struct {
	Instance  string
	Ownership Ownership
	Caller    peer.Caller
	// Snapshot returns the current configuration.
	Snapshot func() *version.Snapshot
	Placer   *Placer
	// Budget returns the retry budget of an upstream.
	Budget func(upstream string) dispatch.Budget
	// NewDispatcher returns a new dispatcher for an upstream.
	NewDispatcher func(upstream string, finder dispatch.Finder, budget dispatch.Budget) *dispatch.Dispatcher
	// CheckStart returns an error if an admitted request may no longer start: its key
	// was revoked, or this entry can no longer tell whether it was.
	CheckStart func(r *attempt.Request) *api.Error
	// OnUnknown is called for each request with an unknown outcome.
	OnUnknown func(r *attempt.Request, outcome attempt.Outcome)
}

// Service runs requests. It is safe for concurrent use.
type Service struct {
	o          Options
	flights    *dedupe.Table
	forwarded  *gate
	replicator *dedupe.Replicator

	mu          sync.Mutex
	dispatchers map[string]*dispatch.Dispatcher
	ctx         context.Context

	// ending ends when the requests in progress are to be answered with what is known.
	ending context.Context
	end    context.CancelFunc
}

// New returns a service whose dispatchers run until ctx ends.
func New(ctx context.Context, o Options) *Service {
	s := &Service{
		o:           o,
		flights:     dedupe.NewTable(),
		forwarded:   newGate(),
		dispatchers: make(map[string]*dispatch.Dispatcher),
		ctx:         ctx,
	}
	s.replicator = dedupe.NewReplicator(s.replicate)
	s.ending, s.end = context.WithCancel(context.Background())
	return s
}

// Handlers returns the handlers of the methods that peers call.
func (s *Service) Handlers() map[string]peer.Handler {
	return map[string]peer.Handler{
		methodHome:  s.handleHome,
		methodPlace: s.handlePlace,
		methodRemember: func(_ context.Context, message json.RawMessage) (any, error) {
			s.Import([]json.RawMessage{message})
			return struct{}{}, nil
		},
	}
}

// Do runs the request and returns its outcome. ctx ends when the caller has left.
func (s *Service) Do(ctx context.Context, r *attempt.Request) attempt.Outcome {
	return s.untilEnd(ctx, func(ctx context.Context) attempt.Outcome { return s.do(ctx, r) })
}

func (s *Service) do(ctx context.Context, r *attempt.Request) attempt.Outcome {
	kind, refusal := s.kind(r)
	if refusal != nil {
		return *refusal
	}
	if !r.Named {
		return s.run(ctx, r, kind, func(context.Context) error { return nil })
	}
	shard := ownership.ShardOf(r.Key())
	deadline := time.Now().Add(ownerTimeout)
	for {
		outcome := s.runAtHome(ctx, r, kind, shard)
		if !shardMoved(outcome) || !s.waitForOwner(ctx, deadline) {
			return outcome
		}
		s.o.Ownership.RefreshBlock(ctx, shard)
	}
}

// shardMoved reports whether no entry that owns the request's shard was reached.
func shardMoved(o attempt.Outcome) bool { return o.Err != nil && o.Err.Code == api.CodeMoved }

// waitForOwner waits before the next attempt to reach the shard's owner. It returns
// false once the time for that is over.
func (s *Service) waitForOwner(ctx context.Context, deadline time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(ownerRetryInterval):
		return time.Now().Before(deadline)
	}
}

// runAtHome runs a named request at its home, which is this entry or a peer.
func (s *Service) runAtHome(ctx context.Context, r *attempt.Request, kind *version.Kind, shard string) attempt.Outcome {
	if _, owned := s.o.Ownership.HoldsLease(shard); owned {
		return s.runHere(ctx, r, kind, shard)
	}
	address, instance, ok := s.o.Ownership.OwnerOf(shard)
	if !ok || instance == s.o.Instance {
		return homeNotReached(api.CodeMoved, errMoved)
	}
	callCtx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	var outcome attempt.Outcome
	if err := s.o.Caller.Call(callCtx, address, methodHome, r, &outcome); err != nil {
		outcome = peerFailureOutcome(err)
		if outcome.WasNotRun() {
			return homeNotReached(api.CodeUnavailable, err)
		}
	}
	return outcome
}

// homeNotReached returns the outcome of a named request that didn't reach its home. An
// earlier request with the same id may have reached it, so that only the home can report
// "not run".
func homeNotReached(code string, cause error) attempt.Outcome {
	return attempt.Outcome{Err: &api.Error{
		Code: code, Message: cause.Error(), Ran: api.RanUnknown, RetryAfter: retryAfter,
	}}
}

// peerFailureOutcome returns the outcome for the error of a peer call.
func peerFailureOutcome(err error) attempt.Outcome {
	var remote *peer.RemoteError
	refused := errors.As(err, &remote) && remote.NotHandled()
	if refused || errors.Is(err, peer.ErrNotSent) {
		return attempt.NotRun(api.CodeUnavailable, err.Error(), retryAfter)
	}
	return attempt.Unknown(err.Error())
}

// runHere runs a named request at this entry, its home, or joins the running request of
// the same id.
func (s *Service) runHere(ctx context.Context, r *attempt.Request, kind *version.Kind, shard string) attempt.Outcome {
	flight, runCtx, first, refusal := s.flights.Begin(r, time.Now())
	if refusal != nil {
		return attempt.Outcome{Err: refusal}
	}
	if first {
		go func() {
			flight.Finish(s.run(runCtx, r, kind, s.beforeDispatch(flight, r, kind, shard)), time.Now())
		}()
	}
	outcome, ok := flight.Wait(ctx)
	if !ok {
		return leftOutcome(ctx)
	}
	return outcome
}

// errMoved is the error of an entry that doesn't own the request's shard.
var errMoved = errors.New("the request's shard moves between entries")

// beforeDispatch returns the function that must succeed before a named request is
// dispatched.
func (s *Service) beforeDispatch(flight *dedupe.Flight, r *attempt.Request, kind *version.Kind, shard string) func(context.Context) error {
	return func(ctx context.Context) error {
		if !kind.Idempotent {
			if err := s.replicator.Replicate(ctx, r.Key()); err != nil {
				return err
			}
		}
		if _, owned := s.o.Ownership.HoldsLease(shard); !owned {
			return homeNotReached(api.CodeMoved, errMoved).Err
		}
		if !flight.MarkDispatched() {
			return errors.New("the caller left before the start")
		}
		return nil
	}
}

// run dispatches the request to a worker and returns its outcome.
func (s *Service) run(ctx context.Context, r *attempt.Request, kind *version.Kind, prepare func(context.Context) error) attempt.Outcome {
	outcome := s.Dispatcher(kind.Upstream).Do(ctx, r, kind, func(ctx context.Context) error {
		if refusal := s.o.CheckStart(r); refusal != nil {
			return refusal
		}
		return prepare(ctx)
	})
	if outcome.Err != nil && outcome.Err.Ran == api.RanUnknown {
		s.o.OnUnknown(r, outcome)
	}
	return outcome
}

func (s *Service) kind(r *attempt.Request) (*version.Kind, *attempt.Outcome) {
	kind, ok := s.o.Snapshot().Kinds[r.Kind]
	if !ok || kind.Policy != version.PolicyRequest {
		refusal := attempt.NotRun(api.CodeNotFound, "no such kind of work: "+r.Kind, retryAfter)
		return nil, &refusal
	}
	return kind, nil
}

// Dispatcher returns the upstream's dispatcher. It is created on first use.
func (s *Service) Dispatcher(upstream string) *dispatch.Dispatcher {
	s.mu.Lock()
	defer s.mu.Unlock()
	d, ok := s.dispatchers[upstream]
	if !ok {
		d = s.o.NewDispatcher(upstream, s.o.Placer, s.o.Budget(upstream))
		s.dispatchers[upstream] = d
		go d.Run(s.ctx)
	}
	return d
}

// Each calls f for every dispatcher.
func (s *Service) Each(f func(upstream string, d *dispatch.Dispatcher)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for upstream, d := range s.dispatchers {
		f(upstream, d)
	}
}

// Wake makes all dispatchers try to start requests again.
func (s *Service) Wake() {
	s.Each(func(_ string, d *dispatch.Dispatcher) { d.Wake() })
}

func (s *Service) handleHome(ctx context.Context, params json.RawMessage) (any, error) {
	var r attempt.Request
	if err := json.Unmarshal(params, &r); err != nil {
		return attempt.NotRun(api.CodeInvalid, err.Error(), 0), nil
	}
	kind, refusal := s.kind(&r)
	if refusal != nil {
		return *refusal, nil
	}
	if !s.forwarded.enter() {
		return homeNotReached(api.CodeMoved, errMoved), nil
	}
	defer s.forwarded.leave()
	shard := ownership.ShardOf(r.Key())
	if _, owned := s.o.Ownership.HoldsLease(shard); !owned {
		return homeNotReached(api.CodeMoved, errMoved), nil
	}
	return s.untilEnd(ctx, func(ctx context.Context) attempt.Outcome { return s.runHere(ctx, &r, kind, shard) }), nil
}

// handlePlace starts a request on a worker of this entry at once, or refuses it.
func (s *Service) handlePlace(ctx context.Context, params json.RawMessage) (any, error) {
	var r attempt.Request
	if err := json.Unmarshal(params, &r); err != nil {
		return attempt.NotRun(api.CodeInvalid, err.Error(), 0), nil
	}
	kind, refusal := s.kind(&r)
	if refusal != nil {
		return *refusal, nil
	}
	if !s.forwarded.enter() {
		return attempt.NotRun(api.CodeNoWorker, "this entry is stopping", retryAfter), nil
	}
	defer s.forwarded.leave()
	reservation, ok := s.o.Placer.FindLocal(&r, kind, "")
	if !ok {
		return attempt.NotRun(api.CodeNoCapacity, "no room here", retryAfter), nil
	}
	return s.untilEnd(ctx, func(ctx context.Context) attempt.Outcome { return s.sendReserved(ctx, reservation, &r, kind) }), nil
}

// sendReserved sends a request to a worker of this entry. It goes on if ctx ends.
func (s *Service) sendReserved(ctx context.Context, reservation dispatch.Reservation, r *attempt.Request, kind *version.Kind) attempt.Outcome {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), r.Deadline)
	defer cancel()
	outcome := reservation.Send(ctx, r, kind)
	reservation.Release(outcome)
	s.Dispatcher(kind.Upstream).Wake()
	return outcome
}

// dispatchedIDs is the message that witnesses store.
type dispatchedIDs struct {
	Requests []string `json:"requests"`
}

// replicate sends ids to the witnesses. If there are none, it succeeds: no other entry
// can take over then, except the next incarnation on this instance.
func (s *Service) replicate(ctx context.Context, keys []string) error {
	message, err := json.Marshal(dispatchedIDs{Requests: keys})
	if err != nil {
		return err
	}
	err = s.o.Ownership.Replicate(ctx, message)
	if errors.Is(err, ownership.ErrNoWitnesses) {
		return nil
	}
	return err
}

// Import adds request ids dispatched by another entry: those that the witnesses of a
// failed entry stored, or those that an entry sent before it stopped or gave up a shard.
// A repeated request with one of these ids isn't dispatched again.
func (s *Service) Import(messages []json.RawMessage) {
	now := time.Now()
	for _, message := range messages {
		var m dispatchedIDs
		if json.Unmarshal(message, &m) == nil {
			s.flights.Import(m.Requests, now)
		}
	}
}

// DispatchedIDs returns the encoded request ids that the next owner of the shards needs.
func (s *Service) DispatchedIDs() json.RawMessage {
	message, _ := json.Marshal(dispatchedIDs{Requests: s.flights.Keys(time.Now())})
	return message
}

// ReplicateTo sends the result of DispatchedIDs to another entry, which imports it.
func (s *Service) ReplicateTo(ctx context.Context, address string, ids json.RawMessage) error {
	return s.o.Caller.Call(ctx, address, methodRemember, ids, nil)
}

// InProgress reports whether a request whose key matches is in progress here.
func (s *Service) InProgress(matches func(key string) bool) bool {
	return s.flights.InProgress(matches)
}
