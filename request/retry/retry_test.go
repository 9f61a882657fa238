package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestDecide(t *testing.T) {
	deadline := start.Add(time.Second)
	cases := []struct {
		attempt Attempt
		at      time.Time
		want    Verdict
	}{
		{Attempt{Outcome: Answered, Number: 1, Limit: 3}, start, Deliver},
		{Attempt{Outcome: Queued, Number: 1, Limit: 3}, start, NotRun},
		{Attempt{Outcome: NotSent, Number: 1, Limit: 3}, start, Retry},
		{Attempt{Outcome: Refused, Number: 3, Limit: 3}, start, NotRun},
		{Attempt{Outcome: Refused, Number: 1, Limit: 3, Deadline: deadline}, deadline, NotRun},
		{Attempt{Outcome: Unknown, Number: 1, Limit: 3}, start, ReportUnknown},
		{Attempt{Outcome: Refused, Number: 1, Limit: 3, EarlierMayHaveRun: true}, start, ReportUnknown},
		{Attempt{Outcome: Unknown, Number: 1, Limit: 3, Idempotent: true}, start, Retry},
		{Attempt{Outcome: Refused, Number: 3, Limit: 3, Idempotent: true, EarlierMayHaveRun: true}, start, ReportUnknown},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%+v", c.attempt), func(t *testing.T) {
			assert.Equal(t, Decide(c.attempt, c.at), c.want)
		})
	}
}

// Retries must stay within the configured share of first attempts even if every request
// fails.
func TestBudgetBoundsRetries(t *testing.T) {
	b := NewBudgets()
	key := Key{Team: "a", Upstream: "u"}
	retries := 0
	for range 10_000 {
		b.FirstAttempt(key, 0.1)
		for b.MayRetry(key) {
			retries++
		}
	}
	assert.Assert(t, retries >= 999 && retries <= 1000, "%d", retries)
	assert.Assert(t, !b.MayRetry(Key{Team: "b", Upstream: "u"}))
	for range 1000 {
		b.FirstAttempt(key, 1)
	}
	for range maxTokens {
		assert.Assert(t, b.MayRetry(key))
	}
	assert.Assert(t, !b.MayRetry(key))
}

func TestBackoffStaysWithinDeadline(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var longest time.Duration
	for range 1000 {
		wait, ok := Backoff(20, 0, time.Time{}, start, rng)
		assert.Assert(t, ok && wait < maxBackoff)
		longest = max(longest, wait)
		wait, ok = Backoff(3, time.Second, start.Add(1100*time.Millisecond), start, rng)
		assert.Assert(t, wait <= 100*time.Millisecond)
		assert.Assert(t, ok || wait == 0)
	}
	assert.Assert(t, longest > maxBackoff/2)
	_, ok := Backoff(1, time.Second, start.Add(time.Second-1), start, rng)
	assert.Assert(t, !ok)
}
