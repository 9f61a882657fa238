// Package retry decides whether a request is sent again, and when.
//
// # Life of an attempt
//
// An attempt is queued, then handed over to a worker, then answered or unknown.
// "Not run" is said only of a request none of whose attempts may have run: each was
// still queued, surely not sent, or refused by the worker itself. A non-idempotent
// request is never sent again once an attempt was handed over, unless that attempt
// surely did not run. An idempotent one may be, on another worker, within its
// deadline and within a retry budget.
//
// # Budget
//
// Each pair of team and upstream has a budget: every first attempt adds a fixed
// fraction of a token, every retry takes a whole one, and no more than a bounded
// number is kept. Retries are then at most that fraction of first attempts plus the
// bound, whatever share of answers fails, so that a half dead upstream is not
// pushed over by retries. Source: Beyer et al., "Site Reliability Engineering",
// O'Reilly 2016, chapter 21. The budget needs no clock.
//
// # Backoff
//
// The wait before a retry is drawn evenly between zero and a bound that doubles
// with every attempt ("full jitter"; Brooker, "Exponential Backoff And Jitter", AWS
// Architecture Blog 2015), and never reaches past the deadline.
//
// Functions here read no clock and do no I/O. Budgets is not safe for concurrent
// use; callers keep one in a shard under its lock.
package retry
