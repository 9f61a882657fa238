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

// fakeFinder has a number of slots and answers each send with what next says.
type fakeFinder struct {
	mu   sync.Mutex
	free int
	sent int
	next func(n int) attempt.Outcome
	took time.Duration
}

func (f *fakeFinder) Find(*attempt.Request, *version.Kind, string) (Place, bool) {
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

type openBudget struct{}

func (openBudget) First(string)         {}
func (openBudget) MayRetry(string) bool { return true }

func answered(int) attempt.Outcome { return attempt.Outcome{Status: 200} }

func mayHandOver(context.Context) error { return nil }

func start(t *testing.T, f *fakeFinder, limit int) *Dispatcher {
	d := New(Options{
		Queue:  queue.Config{Total: resource.Amount{Slots: 4}, Limit: limit},
		Finder: f, Budget: openBudget{}, Observe: func(Observation) {},
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

func TestGivenUpIsAnsweredAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeFinder{free: 1, next: answered, took: time.Minute}
		d := start(t, f, 1)
		go d.Do(t.Context(), request(time.Hour), quote, mayHandOver)
		synctest.Wait()
		go d.Do(t.Context(), request(time.Hour), quote, mayHandOver)
		synctest.Wait()
		began := time.Now()
		outcome := d.Do(t.Context(), request(2*time.Hour), quote, mayHandOver)
		assert.Equal(t, outcome.Err.Code, api.CodeOverloaded)
		assert.Assert(t, outcome.WasNotRun() && outcome.Err.RetryAfter > 0)
		assert.Equal(t, time.Since(began), time.Duration(0))
		time.Sleep(3 * time.Minute)
		synctest.Wait()
		assert.Equal(t, f.sent, 2)
	})
}

func TestLateAndAbandonedAreNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeFinder{next: answered}
		d := start(t, f, 10)
		began := time.Now()
		outcome := d.Do(t.Context(), request(time.Second), quote, mayHandOver)
		assert.Equal(t, outcome.Err.Code, api.CodeDeadline)
		assert.Assert(t, time.Since(began) <= time.Second+time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.Assert(t, d.Do(ctx, request(time.Hour), quote, mayHandOver).WasNotRun())
		f.Release(outcome)
		d.Wake()
		synctest.Wait()
		assert.Equal(t, f.sent, 0)
	})
}

func TestRepeats(t *testing.T) {
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
				outcome := start(t, f, 10).Do(t.Context(), request(time.Minute), &kind, mayHandOver)
				assert.Equal(t, f.sent, c.sent)
				assert.Equal(t, outcome.Status, c.status)
				assert.Equal(t, outcome.Waited, time.Duration(c.sent-1)*time.Second)
			})
		})
	}
}

// After an attempt that may have run, no later attempt can make "not run" true.
func TestNotRunIsNotSaidAfterAnUnknownAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeFinder{free: 1, next: func(n int) attempt.Outcome {
			if n == 1 {
				return attempt.Unknown("lost")
			}
			return attempt.NotRun(api.CodeNoWorker, "refused", 0)
		}}
		kind := *quote
		kind.Idempotent = true
		outcome := start(t, f, 10).Do(t.Context(), request(time.Minute), &kind, mayHandOver)
		assert.Equal(t, outcome.Err.Ran, api.RanUnknown)
	})
}

// A peer that has no room after all sends the request back to the queue, however
// often; it is given up at its deadline only.
func TestNoRoomAtPeersIsNoRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeFinder{free: 1, took: time.Second, next: func(n int) attempt.Outcome {
			if n < 30 {
				return attempt.NotRun(api.CodeNoRoom, "full", 0)
			}
			return answered(n)
		}}
		outcome := start(t, f, 10).Do(t.Context(), request(time.Minute), quote, mayHandOver)
		assert.Equal(t, outcome.Status, 200)
		assert.Equal(t, outcome.Waited, 29*time.Second)
		f.sent = 0
		outcome = start(t, f, 10).Do(t.Context(), request(10*time.Second), quote, mayHandOver)
		assert.Assert(t, outcome.WasNotRun())
	})
}

func TestNothingIsSentWhenHandOverFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeFinder{free: 1, next: answered}
		outcome := start(t, f, 10).Do(t.Context(), request(time.Minute), quote, func(context.Context) error {
			return errors.New("guards can't be reached")
		})
		assert.Assert(t, outcome.WasNotRun())
		assert.Equal(t, f.sent, 0)
		assert.Equal(t, f.free, 1)
	})
}

// Requests of the kind have taken a second. One that would be handed over later than
// that before its deadline isn't, and one that finds a place at once still is.
func TestHandedOverOnlyWhileTheAnswerCanBeInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeFinder{free: 1, next: answered, took: time.Second}
		d := start(t, f, 10)
		for range 30 {
			assert.Assert(t, d.Do(t.Context(), request(time.Hour), quote, mayHandOver).Err == nil)
		}
		assert.Assert(t, d.Do(t.Context(), request(1500*time.Millisecond), quote, mayHandOver).Err == nil)
		f.took = 3500 * time.Millisecond
		go d.Do(t.Context(), request(time.Hour), quote, mayHandOver)
		synctest.Wait()
		began := time.Now()
		outcome := d.Do(t.Context(), request(4*time.Second), quote, mayHandOver)
		assert.Assert(t, outcome.WasNotRun() && outcome.Err.Code == api.CodeDeadline, "%v", outcome)
		assert.Assert(t, time.Since(began) <= 3*time.Second+time.Millisecond, "%v", time.Since(began))
		time.Sleep(f.took)
		synctest.Wait()
	})
}
