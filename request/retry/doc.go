// Package retry decides whether a request is sent again, and when.
//
// # Attempts
//
// An attempt is queued and then dispatched to a worker. It ends with an answer or with
// an unknown outcome. A request is reported as not run only if none of its attempts can
// have run: each one was still queued, was not sent, or was refused by the worker
// itself. A non-idempotent request is not sent again once an attempt was dispatched,
// unless that attempt is known not to have run. An idempotent request may be sent again
// to another worker, within its deadline and within a retry budget.
//
// # Budget
//
// Each pair of team and upstream has a budget. Every first attempt adds a fixed
// fraction of a token, every retry takes a whole token, and the number of tokens is
// bounded. Retries are therefore at most that fraction of first attempts plus the
// bound, whatever fraction of requests fails, so that retries do not overload an
// upstream that is partly down. Source: Beyer et al., "Site Reliability Engineering",
// O'Reilly 2016, chapter 21. The budget does not depend on time.
//
// # Backoff
//
// The wait before a retry is drawn uniformly between zero and a bound that doubles with
// every attempt ("full jitter"; Brooker, "Exponential Backoff And Jitter", AWS
// Architecture Blog 2015). It never extends past the deadline.
//
// The functions of this package read no clock and do no I/O. Budgets is not safe for
// concurrent use: callers guard it with a lock of their own.
package retry
