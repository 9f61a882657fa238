// Package requests runs admitted requests, wherever in the fleet that has to be.
//
// # The way of a request
//
// A named request (its caller chose the id) first goes to its home, the owner of
// the id's key shard, where dedupe joins it with an earlier one. Any other
// request is at home where it came in. The home queues it and finds a place: on a
// worker of its own, or with a peer that told of free room. A peer either starts
// it at once or refuses it as not run. So a request crosses at most two entries
// before its worker, and at most one when the home has room.
//
// # At most once
//
// Before a named non-idempotent request is handed over, its id is replicated to
// the home's guards, and the right to the shard is checked again after that. Who
// takes the shard over imports these ids before it answers for the shard.
// Afterwards, an answer that is lost is reported as unknown and never repeated.
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

// Methods between entries.
const (
	// methodHome runs a request at its home.
	methodHome = "request.home"
	// methodPlace starts a request on a worker of the called entry at once, or
	// refuses it.
	methodPlace = "request.place"
	// methodRemember has the called entry remember request ids.
	methodRemember = "request.remember"
)

const (
	// comeBack is when a caller should come back while ownership changes.
	comeBack = time.Second
	// settleFor is how long a request waits for its shard to have an owner, which
	// a shard that moves between two live entries has again at once.
	settleFor = time.Second
	// settleEvery is the time between two looks.
	settleEvery = 20 * time.Millisecond
)

// Guards remembers ids of requests outside this process.
type Guards interface {
	ownership.Owners
	// Look reads anew who owns the block.
	Look(ctx context.Context, block string)
	// Replicate returns nil when every guard holds the message.
	Replicate(ctx context.Context, message json.RawMessage) error
}

// Options are what a Service is made of.
type Options struct {
	Instance string
	Guards   Guards
	Caller   peer.Caller
	// Snapshot returns the configuration in force.
	Snapshot func() *version.Snapshot
	Places   *Places
	// Budget returns the retry budget of an upstream.
	Budget func(upstream string) dispatch.Budget
	// Dispatcher returns a new dispatcher's queue configuration.
	NewDispatcher func(upstream string, finder dispatch.Finder, budget dispatch.Budget) *dispatch.Dispatcher
	// Withdrawn returns why a request that was admitted may no longer start, or
	// nil: its key was withdrawn, or this entry doesn't know any more whether it was.
	Withdrawn func(r *attempt.Request) *api.Error
	// Unknown is told of requests whose answer was lost.
	Unknown func(r *attempt.Request, outcome attempt.Outcome)
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
	return s
}

// Handlers returns the methods for other entries.
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

// Do runs the request and returns its outcome. ctx ends when the caller leaves.
func (s *Service) Do(ctx context.Context, r *attempt.Request) attempt.Outcome {
	kind, refusal := s.kind(r)
	if refusal != nil {
		return *refusal
	}
	if !r.Named {
		return s.run(ctx, r, kind, func(context.Context) error { return nil })
	}
	shard := ownership.ShardOf(r.Key())
	until := time.Now().Add(settleFor)
	for {
		outcome := s.toHome(ctx, r, kind, shard)
		if !moved(outcome) || !s.settles(ctx, until) {
			return outcome
		}
		s.o.Guards.Look(ctx, shard)
	}
}

// moved reports whether the request met nobody who holds its shard.
func moved(o attempt.Outcome) bool { return o.Err != nil && o.Err.Code == api.CodeMoved }

// settles waits a little for the shard to have an owner again.
func (s *Service) settles(ctx context.Context, until time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(settleEvery):
		return time.Now().Before(until)
	}
}

// toHome runs a named request at its home, here or at another entry.
func (s *Service) toHome(ctx context.Context, r *attempt.Request, kind *version.Kind, shard string) attempt.Outcome {
	if _, owned := s.o.Guards.MayHandOver(shard); owned {
		return s.atHome(ctx, r, kind, shard)
	}
	address, instance, ok := s.o.Guards.OwnerOf(shard)
	if !ok || instance == s.o.Instance {
		return unreached(api.CodeMoved, errMoved)
	}
	callCtx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	var outcome attempt.Outcome
	if err := s.o.Caller.Call(callCtx, address, methodHome, r, &outcome); err != nil {
		outcome = peerFailure(err)
		if outcome.WasNotRun() {
			return unreached(api.CodeUnavailable, err)
		}
	}
	return outcome
}

// unreached says that a named request didn't reach its home. It may have done so
// when it was handed in before, so that only the home could say "not run".
func unreached(code string, cause error) attempt.Outcome {
	return attempt.Outcome{Err: &api.Error{
		Code: code, Message: cause.Error(), Ran: api.RanUnknown, RetryAfter: comeBack,
	}}
}

// peerFailure turns the error of a peer call into an outcome.
func peerFailure(err error) attempt.Outcome {
	var remote *peer.RemoteError
	refused := errors.As(err, &remote) && remote.NotHandled()
	if refused || errors.Is(err, peer.ErrNotSent) {
		return attempt.NotRun(api.CodeUnavailable, err.Error(), comeBack)
	}
	return attempt.Unknown(err.Error())
}

// atHome runs a named request at its home, or joins the one that runs.
func (s *Service) atHome(ctx context.Context, r *attempt.Request, kind *version.Kind, shard string) attempt.Outcome {
	flight, runCtx, first, refusal := s.flights.Begin(r, time.Now())
	if refusal != nil {
		return attempt.Outcome{Err: refusal}
	}
	if first {
		go func() {
			flight.Finish(s.run(runCtx, r, kind, s.handOver(flight, r, kind, shard)), time.Now())
		}()
	}
	outcome, ok := flight.Wait(ctx)
	if !ok {
		return attempt.Unknown("the caller left before the answer")
	}
	return outcome
}

// errMoved says that this entry does not hold the request's shard.
var errMoved = errors.New("the request's shard moves between entries")

// handOver returns what must succeed before a named request is handed over.
func (s *Service) handOver(flight *dedupe.Flight, r *attempt.Request, kind *version.Kind, shard string) func(context.Context) error {
	return func(ctx context.Context) error {
		if !kind.Idempotent {
			if err := s.replicator.Replicate(ctx, r.Key()); err != nil {
				return err
			}
		}
		if _, owned := s.o.Guards.MayHandOver(shard); !owned {
			return unreached(api.CodeMoved, errMoved).Err
		}
		if !flight.MarkDispatched() {
			return errors.New("the caller left before the start")
		}
		return nil
	}
}

// run brings the request to a worker.
func (s *Service) run(ctx context.Context, r *attempt.Request, kind *version.Kind, handOver func(context.Context) error) attempt.Outcome {
	outcome := s.Dispatcher(kind.Upstream).Do(ctx, r, kind, func(ctx context.Context) error {
		if refusal := s.o.Withdrawn(r); refusal != nil {
			return refusal
		}
		return handOver(ctx)
	})
	if outcome.Err != nil && outcome.Err.Ran == api.RanUnknown {
		s.o.Unknown(r, outcome)
	}
	return outcome
}

func (s *Service) kind(r *attempt.Request) (*version.Kind, *attempt.Outcome) {
	kind, ok := s.o.Snapshot().Kinds[r.Kind]
	if !ok || kind.Policy != version.PolicyRequest {
		refusal := attempt.NotRun(api.CodeNotFound, "no such kind of work: "+r.Kind, comeBack)
		return nil, &refusal
	}
	return kind, nil
}

// Dispatcher returns the upstream's dispatcher, made when first asked for.
func (s *Service) Dispatcher(upstream string) *dispatch.Dispatcher {
	s.mu.Lock()
	defer s.mu.Unlock()
	d, ok := s.dispatchers[upstream]
	if !ok {
		d = s.o.NewDispatcher(upstream, s.o.Places, s.o.Budget(upstream))
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

// Wake makes all dispatchers look for places again.
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
		return unreached(api.CodeMoved, errMoved), nil
	}
	defer s.forwarded.leave()
	shard := ownership.ShardOf(r.Key())
	if _, owned := s.o.Guards.MayHandOver(shard); !owned {
		return unreached(api.CodeMoved, errMoved), nil
	}
	return s.atHome(ctx, &r, kind, shard), nil
}

// handlePlace starts a request on an own worker at once, or refuses it.
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
		return attempt.NotRun(api.CodeNoWorker, "this entry is stopping", comeBack), nil
	}
	defer s.forwarded.leave()
	place, ok := s.o.Places.FindOwn(&r, kind, "")
	if !ok {
		return attempt.NotRun(api.CodeNoRoom, "no room here", comeBack), nil
	}
	sendCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), r.Deadline)
	defer cancel()
	outcome := place.Send(sendCtx, &r, kind)
	place.Release(outcome)
	s.Dispatcher(kind.Upstream).Wake()
	return outcome, nil
}

// Drain lets no more requests of other entries in and waits for those in progress.
func (s *Service) Drain(ctx context.Context) error { return s.forwarded.drain(ctx) }

// handedOver is the message that guards keep.
type handedOver struct {
	Requests []string `json:"requests"`
}

// replicate sends ids to the guards. An entry that is alone has nobody that could
// take over from it but its own successor on the instance.
func (s *Service) replicate(ctx context.Context, keys []string) error {
	message, err := json.Marshal(handedOver{Requests: keys})
	if err != nil {
		return err
	}
	err = s.o.Guards.Replicate(ctx, message)
	if errors.Is(err, ownership.ErrNoGuards) {
		return nil
	}
	return err
}

// Import takes in what the guards of a dead entry, or a stopping entry, remembered.
func (s *Service) Import(messages []json.RawMessage) {
	now := time.Now()
	for _, message := range messages {
		var m handedOver
		if json.Unmarshal(message, &m) == nil {
			s.flights.Import(m.Requests, now)
		}
	}
}

// Remembered returns the ids that a successor has to know.
func (s *Service) Remembered() json.RawMessage {
	message, _ := json.Marshal(handedOver{Requests: s.flights.Keys(time.Now())})
	return message
}

// Spread has another entry remember what Remembered returned.
func (s *Service) Spread(ctx context.Context, address string, remembered json.RawMessage) error {
	return s.o.Caller.Call(ctx, address, methodRemember, remembered, nil)
}

// InProgress reports whether a request whose key matches is in progress here.
func (s *Service) InProgress(matches func(key string) bool) bool {
	return s.flights.InProgress(matches)
}
