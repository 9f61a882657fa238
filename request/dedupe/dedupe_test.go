package dedupe

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kingcuplatch/kingcuplatch/conn/api"
	"github.com/kingcuplatch/kingcuplatch/request/attempt"
)

func TestSameIDJoinsFlightAndGetsOutcome(t *testing.T) {
	table, now := NewTable(), time.Now()
	r := &attempt.Request{ID: "1", Team: "a", Kind: "quote", Body: []byte("x")}
	f, _, first, refusal := table.Begin(r, now)
	assert.Assert(t, first && refusal == nil)
	joined, _, first, refusal := table.Begin(r, now)
	assert.Assert(t, !first && refusal == nil)
	assert.Assert(t, f.MarkDispatched())
	f.Finish(attempt.Outcome{Status: 200}, now)
	outcome, ok := joined.Wait(t.Context())
	assert.Assert(t, ok && outcome.Status == 200)

	other := *r
	other.Body = []byte("y")
	_, _, _, refusal = table.Begin(&other, now)
	assert.Equal(t, refusal.Code, api.CodeConflict)
	other = *r
	other.Team = "b"
	_, _, first, _ = table.Begin(&other, now)
	assert.Assert(t, first, "the same id of another team is separate")
	_, _, first, _ = table.Begin(r, now.Add(RetainFor+1))
	assert.Assert(t, first, "expired after RetainFor")
}

// An ID whose request did not run can be used again. One that a failed owner dispatched
// must not run again under its successor.
func TestNotRunIDCanRunAgainAndImportedIDCannot(t *testing.T) {
	table, now := NewTable(), time.Now()
	r := &attempt.Request{ID: "1", Team: "a"}
	f, _, _, _ := table.Begin(r, now)
	f.Finish(attempt.NotRun(api.CodeOverloaded, "full", 0), now)
	f, _, first, _ := table.Begin(r, now)
	assert.Assert(t, first)
	f.MarkDispatched()
	assert.DeepEqual(t, table.Keys(now), []string{"a/1"})

	successor := NewTable()
	successor.Import(table.Keys(now), now)
	f, _, first, _ = successor.Begin(r, now)
	assert.Assert(t, !first)
	outcome, _ := f.Wait(t.Context())
	assert.Equal(t, outcome.Err.Ran, api.RanUnknown)
}

// When all waiters have left, a queued request is cancelled but a dispatched one runs
// to its end.
func TestLastWaiterCancelsOnlyBeforeDispatch(t *testing.T) {
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	table, now := NewTable(), time.Now()
	f, run, _, _ := table.Begin(&attempt.Request{ID: "1"}, now)
	f.Wait(ended)
	assert.Assert(t, run.Err() != nil)
	assert.Assert(t, !f.MarkDispatched())
	f, run, _, _ = table.Begin(&attempt.Request{ID: "2"}, now)
	assert.Assert(t, f.MarkDispatched())
	f.Wait(ended)
	assert.NilError(t, run.Err())
}

// Concurrent IDs must share calls to the witnesses instead of making one call each.
func TestReplicatorBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var calls, ids atomic.Int64
		r := NewReplicator(func(_ context.Context, keys []string) error {
			calls.Add(1)
			ids.Add(int64(len(keys)))
			time.Sleep(time.Millisecond)
			return nil
		})
		var all sync.WaitGroup
		for range 100 {
			all.Go(func() { assert.Check(t, r.Replicate(t.Context(), "id") == nil) })
		}
		all.Wait()
		assert.Equal(t, ids.Load(), int64(100))
		assert.Assert(t, calls.Load() <= 3, "%d calls", calls.Load())
	})
}
