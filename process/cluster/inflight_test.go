package cluster

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Submissions beyond the budget wait for their turn, and for no longer than forwardQueueTime;
// one that is larger than the budget must still get through.
func TestForwardedBytesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		f := newInFlight()
		assert.Assert(t, f.begin(ctx, 5000, 3000), "alone")
		began := time.Now()
		assert.Assert(t, !f.begin(ctx, 1000, 3000))
		assert.Equal(t, time.Since(began), forwardQueueTime)

		time.AfterFunc(100*time.Millisecond, func() { f.end(5000) })
		began = time.Now()
		assert.Assert(t, f.begin(ctx, 2000, 3000))
		assert.Equal(t, time.Since(began), 100*time.Millisecond)
		assert.Assert(t, f.begin(ctx, 1000, 3000))
		assert.Assert(t, !f.begin(ctx, 1, 3000))
		assert.Assert(t, f.begin(ctx, 9000, 0), "no bound")
	})
}

// The more entries there are, the less each may send at a time; a link of unknown bandwidth
// bounds nothing.
func TestForwardBudgetFollowsTheLink(t *testing.T) {
	view := newView(1, leaseRow{Holder: "a", LinkBytes: 250_000}, []Member{{Name: "a"}, {Name: "b"}, {Name: "c"}})
	assert.Equal(t, view.forwardBudget(), 31_250)
	view.LinkBytes = 0
	assert.Equal(t, view.forwardBudget(), 0)
}
