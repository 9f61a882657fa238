package requests

import (
	"context"
	"errors"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/api"
	"github.com/kingcuplatch/kingcuplatch/conn/peer"
	"github.com/kingcuplatch/kingcuplatch/process/ownership"
	"github.com/kingcuplatch/kingcuplatch/request/attempt"
	"github.com/kingcuplatch/kingcuplatch/request/dedupe"
	"github.com/kingcuplatch/kingcuplatch/version"
)

const (
	// ownerTimeout is how long a request waits for its shard to have an owner. A shard
	// that moves between two live entries has one again within that time.
	ownerTimeout = time.Second
	// ownerRetryInterval is the time between two attempts to reach the owner.
	ownerRetryInterval = 20 * time.Millisecond
)

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
