package dispatch

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kingcuplatch/kingcuplatch/conn/api"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/request/attempt"
	"github.com/kingcuplatch/kingcuplatch/request/queue"
	"github.com/kingcuplatch/kingcuplatch/version"
)

// fakeFinder has a number of slots. The n-th send returns next(n) after took.
type fakeFinder struct {
	mu   sync.Mutex
	free int
	sent int
	next func(n int) attempt.Outcome
	took time.Duration
}

func (f *fakeFinder) Find(*attempt.Request, *version.Kind, string) (Reservation, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.free == 0 {
		return nil, false
	}
	f.free--
	return f, true
}

func (f *fakeFinder) Worker() string { return "w1" }

func (f *fakeFinder) Send(context.Context, *attempt.Request, *version.Kind) attempt.Outcome {
	time.Sleep(f.took)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent++
	return f.next(f.sent)
}

func (f *fakeFinder) Release(attempt.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.free++
}

type unlimitedBudget struct{}

func (unlimitedBudget) FirstAttempt(string)  {}
func (unlimitedBudget) MayRetry(string) bool { return true }

func answered(int) attempt.Outcome { return attempt.Outcome{Status: 200} }

func allowSend(context.Context) error { return nil }

func start(t *testing.T, f *fakeFinder, limit int) *Dispatcher {
	d := New(Options{
		Queue:  queue.Config{Total: resource.Amount{Slots: 4}, Limit: limit},
		Finder: f, Budget: unlimitedBudget{}, Observe: func(Observation) {},
	})
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go d.Run(ctx)
	return d
}

func request(deadline time.Duration) *attempt.Request {
	return &attempt.Request{Team: "a", Kind: "quote", Deadline: time.Now().Add(deadline)}
}

var quote = &version.Kind{Name: "quote", Amount: resource.Amount{Slots: 1}}

// One request runs and one fills the queue. A third one has to be refused at once, with
// a time to retry, and must not wait for its deadline.
func TestRefusedRequestIsAnsweredAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeFinder{free: 1, next: answered, took: time.Minute}
		d := start(t, f, 1)
		go d.Do(t.Context(), request(time.Hour), quote, allowSend)
		synctest.Wait()
		go d.Do(t.Context(), request(time.Hour), quote, allowSend)
		synctest.Wait()
		startedAt := time.Now()
		outcome := d.Do(t.Context(), request(2*time.Hour), quote, allowSend)
		assert.Equal(t, outcome.Err.Code, api.CodeOverloaded)
		assert.Assert(t, outcome.WasNotRun() && outcome.Err.RetryAfter > 0)
		assert.Equal(t, time.Since(startedAt), time.Duration(0))
		time.Sleep(3 * time.Minute)
		synctest.Wait()
		assert.Equal(t, f.sent, 2)
	})
}

// No worker has a slot. A request whose deadline passes and one whose caller leaves
// have to be reported as not run, and neither may be sent when a slot becomes free.
func TestLateAndCancelledRequestsAreNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeFinder{next: answered}
		d := start(t, f, 10)
		startedAt := time.Now()
		outcome := d.Do(t.Context(), request(time.Second), quote, allowSend)
		assert.Equal(t, outcome.Err.Code, api.CodeDeadline)
		assert.Assert(t, time.Since(startedAt) <= time.Second+time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.Assert(t, d.Do(ctx, request(time.Hour), quote, allowSend).WasNotRun())
		f.Release(outcome)
		d.Wake()
		synctest.Wait()
		assert.Equal(t, f.sent, 0)
	})
}

// Only an idempotent request may be sent again after an unknown outcome. A refused one
// may always be sent again.
func TestRetries(t *testing.T) {
	unknownFirst := func(n int) attempt.Outcome {
		if n == 1 {
			return attempt.Unknown("lost")
		}
		return answered(n)
	}
	refusedFirst := func(n int) attempt.Outcome {
		if n == 1 {
			return attempt.NotRun(api.CodeNoWorker, "stale", 0)
		}
		return answered(n)
	}
	cases := []struct {
		name       string
		idempotent bool
		next       func(int) attempt.Outcome
		sent       int
		status     int
	}{
		{"unknown, idempotent", true, unknownFirst, 2, 200},
		{"unknown, non-idempotent", false, unknownFirst, 1, 0},
		{"not run, non-idempotent", false, refusedFirst, 2, 200},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeFinder{free: 1, next: c.next, took: time.Second}
				kind := *quote
				kind.Idempotent = c.idempotent
				outcome := start(t, f, 10).Do(t.Context(), request(time.Minute), &kind, allowSend)
				assert.Equal(t, f.sent, c.sent)
				assert.Equal(t, outcome.Status, c.status)
				assert.Equal(t, outcome.Waited, time.Duration(c.sent-1)*time.Second)
			})
		})
	}
}

// If an attempt may have run and a later one is refused, the outcome has to be unknown.
// "Not run" would allow the caller to send a request that has run.
func TestNotRunIsNotReportedAfterUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeFinder{free: 1, next: func(n int) attempt.Outcome {
			if n == 1 {
				return attempt.Unknown("lost")
			}
			return attempt.NotRun(api.CodeNoWorker, "refused", 0)
		}}
		kind := *quote
		kind.Idempotent = true
		outcome := start(t, f, 10).Do(t.Context(), request(time.Minute), &kind, allowSend)
		assert.Equal(t, outcome.Err.Ran, api.RanUnknown)
	})
}

// A peer may refuse a request because its reported free capacity is out of date. Such a
// request has to be queued again, however often, until its deadline.
func TestNoCapacityAtPeerIsQueuedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeFinder{free: 1, took: time.Second, next: func(n int) attempt.Outcome {
			if n < 30 {
				return attempt.NotRun(api.CodeNoCapacity, "full", 0)
			}
			return answered(n)
		}}
		outcome := start(t, f, 10).Do(t.Context(), request(time.Minute), quote, allowSend)
		assert.Equal(t, outcome.Status, 200)
		assert.Equal(t, outcome.Waited, 29*time.Second)
		f.sent = 0
		outcome = start(t, f, 10).Do(t.Context(), request(10*time.Second), quote, allowSend)
		assert.Assert(t, outcome.WasNotRun())
	})
}

// If the preparation of a dispatch fails, the request must not be sent and its slot has
// to be released.
func TestNothingIsSentWhenPreparationFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeFinder{free: 1, next: answered}
		outcome := start(t, f, 10).Do(t.Context(), request(time.Minute), quote, func(context.Context) error {
			return errors.New("witnesses unreachable")
		})
		assert.Assert(t, outcome.WasNotRun())
		assert.Equal(t, f.sent, 0)
		assert.Equal(t, f.free, 1)
	})
}

// Requests of the kind take one second. A request that gets its slot less than that
// before its deadline must not be sent, since its answer would be late. One that gets a
// slot at once is sent even with little time left.
func TestDispatchedOnlyWhileAnswerCanBeInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeFinder{free: 1, next: answered, took: time.Second}
		d := start(t, f, 10)
		for range 30 {
			assert.Assert(t, d.Do(t.Context(), request(time.Hour), quote, allowSend).Err == nil)
		}
		assert.Assert(t, d.Do(t.Context(), request(1500*time.Millisecond), quote, allowSend).Err == nil)
		f.took = 3500 * time.Millisecond
		go d.Do(t.Context(), request(time.Hour), quote, allowSend)
		synctest.Wait()
		startedAt := time.Now()
		outcome := d.Do(t.Context(), request(4*time.Second), quote, allowSend)
		assert.Assert(t, outcome.WasNotRun() && outcome.Err.Code == api.CodeDeadline, "%v", outcome)
		assert.Assert(t, time.Since(startedAt) <= 3*time.Second+time.Millisecond, "%v", time.Since(startedAt))
		time.Sleep(f.took)
		synctest.Wait()
	})
}

// A request that still waits when its entry stops was reported as one whose caller had left,
// without a time to retry.
func TestRequestEndedWhileItWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := start(t, &fakeFinder{}, 10)
		stopping := &api.Error{Code: api.CodeStopping, Ran: api.NotRun, RetryAfter: time.Second}
		ctx, cancel := context.WithCancelCause(t.Context())
		time.AfterFunc(time.Second, func() { cancel(stopping) })
		outcome := d.Do(ctx, request(time.Minute), quote, allowSend)
		assert.Equal(t, outcome.Err, stopping)
	})
}
