package requests

import (
	"context"
	"errors"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/api"
	"github.com/kingcuplatch/kingcuplatch/request/attempt"
)

// endTime is how long the requests in progress have for their outcomes once they are ended.
// Those that were dispatched don't have one by then.
const endTime = 20 * time.Millisecond

// errEnded is the outcome of a request that hadn't started when its entry ended it.
var errEnded = &api.Error{Code: api.CodeStopping, Message: "this entry is stopping", Ran: api.NotRun, RetryAfter: retryAfter}

// Drain refuses further requests of other entries and waits for those in progress. If ctx
// ends first, it ends them and returns the error of ctx.
func (s *Service) Drain(ctx context.Context) error {
	err := s.forwarded.drain(ctx)
	if err == nil {
		return nil
	}
	s.End()
	endCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 2*endTime)
	defer cancel()
	// An error means that an outcome hasn't been returned yet.
	_ = s.forwarded.drain(endCtx)
	return err
}

// End ends the requests in progress: those that haven't started are not run, and the outcome
// of the others is unknown. An entry calls it shortly before its process ends.
func (s *Service) End() { s.end() }

// untilEnd calls run and returns its outcome, or an unknown one if the service is ended and
// run doesn't return.
func (s *Service) untilEnd(ctx context.Context, run func(context.Context) attempt.Outcome) attempt.Outcome {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(s.ending, func() { cancel(errEnded) })
	defer stop()
	result := make(chan attempt.Outcome, 1)
	go func() { result <- run(ctx) }()
	select {
	case outcome := <-result:
		return outcome
	case <-s.ending.Done():
	}
	select {
	case outcome := <-result:
		return outcome
	case <-time.After(endTime):
		return attempt.Unknown("this entry stopped before the answer")
	}
}

// leftOutcome returns the outcome of a named request that its caller no longer waits for, or
// whose entry stops. An earlier request with the same id may have been run.
func leftOutcome(ctx context.Context) attempt.Outcome {
	if errors.Is(context.Cause(ctx), errEnded) {
		return homeNotReached(api.CodeStopping, errEnded)
	}
	return attempt.Unknown("the caller left before the answer")
}
