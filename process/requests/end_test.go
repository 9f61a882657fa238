package requests

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kingcuplatch/kingcuplatch/conn/api"
	"github.com/kingcuplatch/kingcuplatch/request/attempt"
)

// work is how long a dispatched request runs in these tests.
const work = time.Minute

func newEndable(t *testing.T) *Service { return New(t.Context(), Options{}) }

// A dispatched request goes on until its deadline, which may be later than the end of its
// entry's process. Its caller must get an answer before that.
func TestEndAnswersDispatchedRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newEndable(t)
		time.AfterFunc(time.Second, s.End)
		began := time.Now()
		outcome := s.untilEnd(t.Context(), func(context.Context) attempt.Outcome {
			time.Sleep(work)
			return attempt.Outcome{Status: 200}
		})
		assert.Equal(t, time.Since(began), time.Second+endTime)
		defer time.Sleep(work)
		assert.Equal(t, outcome.Err.Ran, api.RanUnknown)
	})
}

// A request that returns when its context ends keeps its own outcome.
func TestEndKeepsOutcomeOfWaitingRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newEndable(t)
		time.AfterFunc(time.Second, s.End)
		outcome := s.untilEnd(t.Context(), func(ctx context.Context) attempt.Outcome {
			<-ctx.Done()
			return leftOutcome(ctx)
		})
		assert.Equal(t, outcome.Err.Code, api.CodeStopping)
		assert.Equal(t, outcome.Err.Ran, api.RanUnknown)
		assert.Assert(t, outcome.Err.RetryAfter > 0)
	})
}

// A forwarded request in progress when the drain's time is over held the stop up until its
// deadline.
func TestDrainEndsForwardedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newEndable(t)
		result := make(chan attempt.Outcome, 1)
		assert.Assert(t, s.forwarded.enter())
		go func() {
			defer s.forwarded.leave()
			result <- s.untilEnd(t.Context(), func(context.Context) attempt.Outcome {
				time.Sleep(work)
				return attempt.Outcome{Status: 200}
			})
		}()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.Assert(t, errors.Is(s.Drain(ctx), context.DeadlineExceeded))
		assert.Equal(t, (<-result).Err.Ran, api.RanUnknown)
		assert.Assert(t, !s.forwarded.enter())
		time.Sleep(work)
	})
}
