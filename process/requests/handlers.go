package requests

import (
	"context"
	"encoding/json"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/api"
	"github.com/kingcuplatch/kingcuplatch/conn/peer"
	"github.com/kingcuplatch/kingcuplatch/process/dispatch"
	"github.com/kingcuplatch/kingcuplatch/process/ownership"
	"github.com/kingcuplatch/kingcuplatch/request/attempt"
	"github.com/kingcuplatch/kingcuplatch/version"
	"github.com/rotisserie/eris"
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

// Handlers returns the handlers of the methods that peers call.
func (s *Service) Handlers() map[string]peer.Handler {
	return map[string]peer.Handler{
		methodHome:     s.handleHome,
		methodPlace:    s.handlePlace,
		methodRemember: s.handleRemember,
	}
}

// forwardedRequest decodes a request that another entry sent, and returns a refusal if it
// can't be run.
func (s *Service) forwardedRequest(params json.RawMessage) (*attempt.Request, *version.Kind, *attempt.Outcome) {
	r := new(attempt.Request)
	if err := json.Unmarshal(params, r); err != nil {
		refusal := attempt.NotRun(api.CodeInvalid, err.Error(), 0)
		return nil, nil, &refusal
	}
	kind, refusal := s.kind(r)
	return r, kind, refusal
}

// handleHome runs a named request whose home is this entry.
func (s *Service) handleHome(ctx context.Context, params json.RawMessage) (any, error) {
	r, kind, refusal := s.forwardedRequest(params)
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
	return s.untilEnd(ctx, func(ctx context.Context) attempt.Outcome { return s.runHere(ctx, r, kind, shard) }), nil
}

// handlePlace starts a request on a worker of this entry at once, or refuses it.
func (s *Service) handlePlace(ctx context.Context, params json.RawMessage) (any, error) {
	r, kind, refusal := s.forwardedRequest(params)
	if refusal != nil {
		return *refusal, nil
	}
	if !s.forwarded.enter() {
		return attempt.NotRun(api.CodeNoWorker, "this entry is stopping", retryAfter), nil
	}
	defer s.forwarded.leave()
	reservation, ok := s.o.Placer.FindLocal(r, kind, "")
	if !ok {
		return attempt.NotRun(api.CodeNoCapacity, "no room here", retryAfter), nil
	}
	return s.untilEnd(ctx, func(ctx context.Context) attempt.Outcome { return s.sendReserved(ctx, reservation, r, kind) }), nil
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

// handleRemember stores the request ids that another entry dispatched. It confirms them
// only if it has stored all of them.
func (s *Service) handleRemember(_ context.Context, message json.RawMessage) (any, error) {
	if err := s.importIDs(message, time.Now()); err != nil {
		return nil, eris.Wrap(err, "remember request ids")
	}
	return struct{}{}, nil
}
