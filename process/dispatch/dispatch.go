// Package dispatch sends the admitted requests of one upstream to workers.
//
// A request waits in the upstream's queue until its team is next and a Finder returns
// a Reservation for it: capacity on a worker of this entry, or at a peer. It is then
// dispatched, at most once unless its kind is idempotent or the worker reports that
// the request was not run. A request that is refused, shed, late or cancelled gets its
// final answer at that moment.
package dispatch

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/api"
	"github.com/kingcuplatch/kingcuplatch/process/learning"
	"github.com/kingcuplatch/kingcuplatch/request/attempt"
	"github.com/kingcuplatch/kingcuplatch/request/queue"
	"github.com/kingcuplatch/kingcuplatch/version"
)

// Bounds of one request.
const (
	// maxAttempts is the maximum number of attempts of an idempotent request if the
	// outcome of the last one is unknown.
	maxAttempts = 3
	// maxRefusals is the maximum number of times a request is sent to another worker
	// or peer after a refusal. Refusals cost the upstream nothing and therefore don't use the
	// retry budget.
	maxRefusals = 8
	// retryAfter is how long a caller should wait before a retry if neither the queue nor
	// the step that failed says how long.
	retryAfter = time.Second
)

// idleWait is how long Run waits for Wake if no queued request has a deadline.
const idleWait = time.Hour

// Reservation is capacity reserved for one request until Release.
type Reservation interface {
	// Worker returns the name of the worker, or of the peer that will choose one.
	Worker() string
	// Send dispatches the request and returns its outcome.
	Send(ctx context.Context, r *attempt.Request, kind *version.Kind) attempt.Outcome
	// Release frees the capacity. After an unknown outcome, the capacity stays
	// reserved until the worker's report shows that it is free.
	Release(outcome attempt.Outcome)
}

// Finder reserves capacity for requests. It does no I/O.
type Finder interface {
	// Find reserves capacity for the request. A worker named avoid is not chosen.
	Find(r *attempt.Request, kind *version.Kind, avoid string) (Reservation, bool)
}

// Budget is the retry budget of an upstream, by team.
type Budget interface {
	// FirstAttempt counts a first attempt.
	FirstAttempt(team string)
	// MayRetry takes one retry out of the budget. It returns false if none is left.
	MayRetry(team string) bool
}

// Observation describes one finished request, for metrics.
type Observation struct {
	Team, Kind string
	// Waited is the time from acceptance to the last reservation, or to the end.
	Waited time.Duration
	// Took is the time from acceptance to the end.
	Took    time.Duration
	Retries int
	Outcome attempt.Outcome
}

// Options configures a Dispatcher.
type Options struct {
	Queue   queue.Config
	Finder  Finder
	Budget  Budget
	Observe func(Observation)
}

// Dispatcher serves one upstream. It is safe for concurrent use.
type Dispatcher struct {
	finder  Finder
	budget  Budget
	observe func(Observation)
	wakeups chan struct{}

	mu    sync.Mutex
	queue *queue.Queue
	// learned holds how long dispatched requests take, by kind.
	learned  *learning.Learner
	sequence uint64
}

// New returns a Dispatcher. Run must be running while the Dispatcher is used.
func New(o Options) *Dispatcher {
	return &Dispatcher{
		finder:  o.Finder,
		budget:  o.Budget,
		observe: o.Observe,
		wakeups: make(chan struct{}, 1),
		queue:   queue.New(o.Queue),
		learned: learning.New(),
	}
}

// Do sends the request to a worker and returns its outcome. prepare is called before
// each dispatch; if it returns an error, the request isn't dispatched, and an
// *api.Error becomes the outcome. ctx ends when the caller has left, or with an *api.Error as
// its cause, which becomes the outcome; it is ignored once the request is dispatched.
func (d *Dispatcher) Do(ctx context.Context, r *attempt.Request, kind *version.Kind, prepare func(context.Context) error) attempt.Outcome {
	started := time.Now()
	observed := Observation{Team: r.Team, Kind: r.Kind}
	d.budget.FirstAttempt(r.Team)
	avoid := ""
	mayHaveRun := false
	attempts := 0
	for {
		last := d.attemptOnce(ctx, r, kind, avoid, prepare)
		observed.Waited = last.placed.Sub(started)
		if peerHadNoCapacity(last.outcome) && time.Now().Before(r.Deadline) {
			continue
		}
		attempts++
		mayHaveRun = mayHaveRun || !last.outcome.WasNotRun()
		if d.shouldRetry(last, kind, r, attempts) {
			avoid = last.sentTo
			continue
		}
		observed.Outcome = finalOutcome(last.outcome, mayHaveRun)
		observed.Outcome.Waited = observed.Waited
		observed.Took, observed.Retries = time.Since(started), attempts-1
		d.observe(observed)
		return observed.Outcome
	}
}

// peerHadNoCapacity reports whether a peer that had reported free capacity refused the
// request for lack of it. The request was sent to no worker and is queued again.
func peerHadNoCapacity(o attempt.Outcome) bool {
	return o.Err != nil && o.Err.Code == api.CodeNoCapacity
}

// finalOutcome returns the outcome for the caller. If an earlier attempt may have run,
// "not run" becomes unknown.
func finalOutcome(o attempt.Outcome, mayHaveRun bool) attempt.Outcome {
	if o.WasNotRun() && mayHaveRun {
		return attempt.Unknown("an earlier attempt may have run; the last one: " + o.Err.Message)
	}
	return o
}

// shouldRetry decides whether another attempt follows the last one.
func (d *Dispatcher) shouldRetry(last attemptResult, kind *version.Kind, r *attempt.Request, attempts int) bool {
	if last.outcome.Err == nil || last.sentTo == "" || !time.Now().Before(r.Deadline) {
		return false
	}
	if last.outcome.WasNotRun() {
		return attempts <= maxRefusals
	}
	return attempt.MayRetry(kind, last.outcome) && attempts < maxAttempts && d.budget.MayRetry(r.Team)
}

// attemptResult is how one attempt ended.
type attemptResult struct {
	outcome attempt.Outcome
	// sentTo is the worker or peer that the request was sent to; empty if it was not sent.
	sentTo string
	// placed is when the request got a reservation, or the wait for one ended without.
	placed time.Time
}

// attemptOnce waits for a reservation and makes one attempt.
func (d *Dispatcher) attemptOnce(ctx context.Context, r *attempt.Request, kind *version.Kind, avoid string, prepare func(context.Context) error) (result attemptResult) {
	reservation, refused := d.wait(ctx, r, kind, avoid)
	result.placed = time.Now()
	if reservation == nil {
		result.outcome = refused
		return result
	}
	defer func() { d.finish(r, kind, reservation, result.outcome) }()
	// A dispatched request runs to its deadline even if the caller leaves.
	sendCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), r.Deadline)
	defer cancel()
	if err := prepare(sendCtx); err != nil {
		result.outcome = notSentOutcome(err)
		return result
	}
	sent := time.Now()
	result.outcome = reservation.Send(sendCtx, r, kind)
	result.sentTo = reservation.Worker()
	d.learn(kind, time.Since(sent), result.outcome)
	return result
}

// notSentOutcome returns the outcome for an error of prepare: the error itself if it
// is an *api.Error, else that the request was not run.
func notSentOutcome(err error) attempt.Outcome {
	var typed *api.Error
	if errors.As(err, &typed) {
		return attempt.Outcome{Err: typed}
	}
	return attempt.NotRun(api.CodeUnavailable, err.Error(), retryAfter)
}

// finish releases the reservation and starts requests that wait for the capacity.
func (d *Dispatcher) finish(r *attempt.Request, kind *version.Kind, reservation Reservation, outcome attempt.Outcome) {
	reservation.Release(outcome)
	d.mu.Lock()
	d.queue.Finished(time.Now(), queue.Charge{Team: r.Team, Urgent: kind.Urgent, Amount: kind.Amount})
	d.mu.Unlock()
	d.startReady()
}

// Run answers late requests and starts requests after Wake, until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	timer := time.NewTimer(idleWait)
	defer timer.Stop()
	for {
		d.startReady()
		if next, ok := d.nextExpiry(); ok {
			timer.Reset(time.Until(next))
		} else {
			timer.Reset(idleWait)
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-d.wakeups:
		}
	}
}

// Wake makes Run try to start requests again, after a change of a worker, an allotment
// or a peer.
func (d *Dispatcher) Wake() {
	select {
	case d.wakeups <- struct{}{}:
	default:
	}
}

// Configure applies a change of the queue: of teams, fleet capacity or peers' usage.
func (d *Dispatcher) Configure(change func(q *queue.Queue, now time.Time)) {
	d.mu.Lock()
	change(d.queue, time.Now())
	d.mu.Unlock()
	d.Wake()
}

// Totals returns the teams' usage since the queue was created.
func (d *Dispatcher) Totals() []queue.TeamTotal {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queue.Totals(time.Now())
}

// Depths returns the number of waiting requests by team.
func (d *Dispatcher) Depths() []queue.Depth {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queue.Depths()
}
