// Package dispatch brings the admitted requests of one upstream to workers.
//
// A request waits in the upstream's queue until it is its team's turn and a
// Finder has a Place for it: room on a worker that this entry owns, or on one of
// a peer. Then it is handed over, at most once unless its kind is idempotent or
// the worker says that it was not run. A request that is given up, shed, late or
// unwanted gets its final answer at that moment.
package dispatch

import (
	"context"
	"errors"
	"fmt"
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
	// maxAttempts bounds how often an idempotent request is handed over after an
	// outcome that isn't known.
	maxAttempts = 3
	// maxRefusals bounds how often a request is taken to another worker or peer
	// after one said that it was not run. Refusals cost the upstream nothing, so
	// the retry budget isn't asked.
	maxRefusals = 8
)

// Place is room for one request, assumed until Release.
type Place interface {
	// Worker names the worker, or the peer that will choose one.
	Worker() string
	// Send hands the request over and returns what became of it.
	Send(ctx context.Context, r *attempt.Request, kind *version.Kind) attempt.Outcome
	// Release gives the room back; after an unknown outcome the place keeps it
	// until the worker's own report says that it is free.
	Release(outcome attempt.Outcome)
}

// Finder finds room. It does no I/O.
type Finder interface {
	// Find assumes room for the request, not at the worker avoid if another one
	// will do.
	Find(r *attempt.Request, kind *version.Kind, avoid string) (Place, bool)
}

// Budget says whether an upstream's requests of a team may be sent again.
type Budget interface {
	// First counts a first attempt.
	First(team string)
	// MayRetry takes one retry out of the budget if there is one.
	MayRetry(team string) bool
}

// Observation is what became of one request, for metrics.
type Observation struct {
	Team, Kind string
	// Waited is the time from acceptance to the last place found, or to the end.
	Waited  time.Duration
	Took    time.Duration
	Retries int
	Outcome attempt.Outcome
}

// Options are what a Dispatcher is made of.
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
	changed chan struct{}

	mu    sync.Mutex
	queue *queue.Queue
	// learned is how long requests of a kind take once handed over.
	learned  *learning.Learner
	sequence uint64
}

// New returns a dispatcher; Run must be running while it is used.
func New(o Options) *Dispatcher {
	return &Dispatcher{
		finder:  o.Finder,
		budget:  o.Budget,
		observe: o.Observe,
		changed: make(chan struct{}, 1),
		queue:   queue.New(o.Queue),
		learned: learning.New(),
	}
}

// ticket is a waiting request.
type ticket struct {
	request *attempt.Request
	kind    *version.Kind
	avoid   string
	// settled receives exactly one verdict.
	settled chan verdict
}

// verdict ends the wait: with a place, or with the final outcome.
type verdict struct {
	place   Place
	outcome attempt.Outcome
}

// Do brings the request to a worker and returns its outcome. handOver is called
// before each hand-over; if it returns an error the request isn't handed over, and
// an *api.Error is the outcome. ctx
// ends when nobody waits for the answer any more; it counts until the hand-over.
func (d *Dispatcher) Do(ctx context.Context, r *attempt.Request, kind *version.Kind, handOver func(context.Context) error) attempt.Outcome {
	started := time.Now()
	seen := Observation{Team: r.Team, Kind: r.Kind}
	d.budget.First(r.Team)
	avoid := ""
	mayHaveRun := false
	attempts := 0
	for {
		outcome, sentTo, placed := d.once(ctx, r, kind, avoid, handOver)
		seen.Waited = placed.Sub(started)
		if noRoom(outcome) && time.Now().Before(r.Deadline) {
			continue
		}
		attempts++
		mayHaveRun = mayHaveRun || !outcome.WasNotRun()
		if d.repeats(outcome, kind, r, attempts, sentTo) {
			avoid = sentTo
			continue
		}
		seen.Outcome = final(outcome, mayHaveRun)
		seen.Outcome.Waited = seen.Waited
		seen.Took, seen.Retries = time.Since(started), attempts-1
		d.observe(seen)
		return seen.Outcome
	}
}

// noRoom reports whether a peer that told of room had none after all. The request
// was sent to no worker and goes back to the queue.
func noRoom(o attempt.Outcome) bool { return o.Err != nil && o.Err.Code == api.CodeNoRoom }

// final returns what the caller is told: after an attempt that may have run, "not
// run" would not be true.
func final(o attempt.Outcome, mayHaveRun bool) attempt.Outcome {
	if o.WasNotRun() && mayHaveRun {
		return attempt.Unknown("an earlier attempt may have run; the last one: " + o.Err.Message)
	}
	return o
}

// repeats decides whether an attempt is followed by another one.
func (d *Dispatcher) repeats(o attempt.Outcome, kind *version.Kind, r *attempt.Request, attempts int, sentTo string) bool {
	if o.Err == nil || sentTo == "" || !time.Now().Before(r.Deadline) {
		return false
	}
	if o.WasNotRun() {
		return attempts <= maxRefusals
	}
	return attempt.MayRetry(kind, o) && attempts < maxAttempts && d.budget.MayRetry(r.Team)
}

// once waits for a place and makes one attempt. sentTo is empty if the request
// never got a place; placed is when the wait ended.
func (d *Dispatcher) once(ctx context.Context, r *attempt.Request, kind *version.Kind, avoid string, handOver func(context.Context) error) (outcome attempt.Outcome, sentTo string, placed time.Time) {
	place, outcome := d.wait(ctx, r, kind, avoid)
	placed = time.Now()
	if place == nil {
		return outcome, "", placed
	}
	defer func() { d.finish(r, kind, place, outcome) }()
	// From here on the caller's leaving doesn't end the attempt.
	sendCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), r.Deadline)
	defer cancel()
	if err := handOver(sendCtx); err != nil {
		outcome = handOverFailure(err)
		return outcome, "", placed
	}
	sent := time.Now()
	outcome = place.Send(sendCtx, r, kind)
	d.learn(kind, time.Since(sent), outcome)
	return outcome, place.Worker(), placed
}

// handOverFailure turns an error of handOver into the outcome: the typed one if it
// is one, else that the request was not run.
func handOverFailure(err error) attempt.Outcome {
	var typed *api.Error
	if errors.As(err, &typed) {
		return attempt.Outcome{Err: typed}
	}
	return attempt.NotRun(api.CodeUnavailable, err.Error(), time.Second)
}

// wait queues the request until it has a place or is given up.
func (d *Dispatcher) wait(ctx context.Context, r *attempt.Request, kind *version.Kind, avoid string) (Place, attempt.Outcome) {
	t := &ticket{request: r, kind: kind, avoid: avoid, settled: make(chan verdict, 1)}
	item := d.push(t)
	d.pump()
	select {
	case v := <-t.settled:
		return v.place, v.outcome
	case <-ctx.Done():
	}
	if d.remove(item) {
		return nil, attempt.NotRun(api.CodeDeadline, "the caller left before the start", 0)
	}
	v := <-t.settled
	return v.place, v.outcome
}

func (d *Dispatcher) push(t *ticket) *queue.Item {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sequence++
	item := &queue.Item{
		ID:       fmt.Sprintf("%d", d.sequence),
		Team:     t.request.Team,
		Kind:     t.kind.Name,
		Urgent:   t.kind.Urgent,
		Deadline: t.request.Deadline,
		RunTime:  d.runTime(t.kind, t.request.Deadline.Sub(now)),
		Amount:   t.kind.Amount,
		Enqueued: now,
		Value:    t,
	}
	shed, err := d.queue.Push(now, item)
	for _, victim := range shed {
		settle(victim, refusal(&queue.FullError{Team: victim.Team, RetryAfter: d.queue.RetryAfter(now)}))
	}
	if err != nil {
		settle(item, refusal(err))
	}
	d.notify()
	return item
}

// pump starts all items that have their turn and a place.
func (d *Dispatcher) pump() {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(now)
	for {
		var found Place
		item := d.queue.Pop(now, func(it *queue.Item) bool {
			t := it.Value.(*ticket)
			place, ok := d.finder.Find(t.request, t.kind, t.avoid)
			found = place
			return ok
		})
		if item == nil {
			return
		}
		d.queue.Started(now, item.Charge())
		item.Value.(*ticket).settled <- verdict{place: found}
	}
}

// expire answers the items that can't meet their deadline; d.mu is held.
func (d *Dispatcher) expire(now time.Time) {
	for _, item := range d.queue.Expire(now) {
		settle(item, attempt.NotRun(api.CodeDeadline, "the deadline passed before a worker was free", d.queue.RetryAfter(now)))
	}
}

func (d *Dispatcher) remove(item *queue.Item) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, queued := d.queue.Remove(item.ID)
	return queued
}

// finish releases the place and starts what waits for it.
func (d *Dispatcher) finish(r *attempt.Request, kind *version.Kind, place Place, outcome attempt.Outcome) {
	place.Release(outcome)
	d.mu.Lock()
	d.queue.Finished(time.Now(), queue.Charge{Team: r.Team, Urgent: kind.Urgent, Amount: kind.Amount})
	d.mu.Unlock()
	d.pump()
}

// Run answers late requests and looks for places after Wake, until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		d.pump()
		if next, ok := d.nextExpiry(); ok {
			timer.Reset(time.Until(next))
		} else {
			timer.Reset(time.Hour)
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-d.changed:
		}
	}
}

// Wake makes Run look for places again: a worker, an allotment or a peer changed.
func (d *Dispatcher) Wake() { d.notify() }

// Configure takes in teams, the capacity of the fleet and what peers have running.
func (d *Dispatcher) Configure(change func(q *queue.Queue, now time.Time)) {
	d.mu.Lock()
	change(d.queue, time.Now())
	d.mu.Unlock()
	d.notify()
}

// Totals returns what the queue let teams use over its life.
func (d *Dispatcher) Totals() []queue.TeamTotal {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queue.Totals(time.Now())
}

// Depths returns the waiting requests by team.
func (d *Dispatcher) Depths() []queue.Depth {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queue.Depths()
}

func (d *Dispatcher) nextExpiry() (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queue.NextExpiry()
}

func (d *Dispatcher) notify() {
	select {
	case d.changed <- struct{}{}:
	default:
	}
}

func settle(item *queue.Item, outcome attempt.Outcome) {
	item.Value.(*ticket).settled <- verdict{outcome: outcome}
}

// refusal turns an error of the queue into the final answer.
func refusal(err error) attempt.Outcome {
	var full *queue.FullError
	if errors.As(err, &full) {
		return attempt.NotRun(api.CodeOverloaded, full.Error(), full.RetryAfter)
	}
	var late *queue.LateError
	if errors.As(err, &late) {
		return attempt.NotRun(api.CodeDeadline, late.Error(), 0)
	}
	return attempt.NotRun(api.CodeUnavailable, err.Error(), time.Second)
}
