package dispatch

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/api"
	"github.com/kingcuplatch/kingcuplatch/request/attempt"
	"github.com/kingcuplatch/kingcuplatch/request/queue"
	"github.com/kingcuplatch/kingcuplatch/version"
)

// waiter is a queued request.
type waiter struct {
	request *attempt.Request
	kind    *version.Kind
	avoid   string
	// result receives exactly one value.
	result chan waitResult
}

// waitResult ends the wait: with a reservation, or with the final outcome.
type waitResult struct {
	reservation Reservation
	outcome     attempt.Outcome
}

// wait queues the request until it has a reservation or a final outcome.
func (d *Dispatcher) wait(ctx context.Context, r *attempt.Request, kind *version.Kind, avoid string) (Reservation, attempt.Outcome) {
	w := &waiter{request: r, kind: kind, avoid: avoid, result: make(chan waitResult, 1)}
	item := d.push(w)
	d.startReady()
	select {
	case v := <-w.result:
		return v.reservation, v.outcome
	case <-ctx.Done():
	}
	if d.remove(item) {
		return nil, endedOutcome(ctx)
	}
	v := <-w.result
	return v.reservation, v.outcome
}

// endedOutcome returns the outcome of a request whose ctx ended while it waited: the cause if
// that is an *api.Error, else that the caller has left.
func endedOutcome(ctx context.Context) attempt.Outcome {
	var cause *api.Error
	if errors.As(context.Cause(ctx), &cause) {
		return attempt.Outcome{Err: cause}
	}
	return attempt.NotRun(api.CodeDeadline, "the caller left before the start", 0)
}

// push queues the request. Requests that are shed to make room, or the request itself if
// the queue refuses it, get their final outcome.
func (d *Dispatcher) push(w *waiter) *queue.Item {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sequence++
	item := &queue.Item{
		ID:       strconv.FormatUint(d.sequence, 10),
		Team:     w.request.Team,
		Kind:     w.kind.Name,
		Urgent:   w.kind.Urgent,
		Deadline: w.request.Deadline,
		RunTime:  d.runTime(w.kind, w.request.Deadline.Sub(now)),
		Amount:   w.kind.Amount,
		Enqueued: now,
		Value:    w,
	}
	shed, err := d.queue.Push(now, item)
	for _, victim := range shed {
		finishWait(victim, refusedOutcome(&queue.FullError{Team: victim.Team, RetryAfter: d.queue.RetryAfter(now)}))
	}
	if err != nil {
		finishWait(item, refusedOutcome(err))
	}
	d.Wake()
	return item
}

// startReady starts queued items in order, each with a reservation, until no further
// item gets one.
func (d *Dispatcher) startReady() {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(now)
	for {
		var found Reservation
		item := d.queue.Pop(now, func(it *queue.Item) bool {
			w := it.Value.(*waiter)
			reservation, ok := d.finder.Find(w.request, w.kind, w.avoid)
			found = reservation
			return ok
		})
		if item == nil {
			return
		}
		d.queue.Started(now, item.Charge())
		item.Value.(*waiter).result <- waitResult{reservation: found}
	}
}

// expire answers the items that can't meet their deadline. The caller holds d.mu.
func (d *Dispatcher) expire(now time.Time) {
	for _, item := range d.queue.Expire(now) {
		finishWait(item, attempt.NotRun(api.CodeDeadline, "the deadline passed before a worker was free", d.queue.RetryAfter(now)))
	}
}

// remove takes the item out of the queue. It returns false if the item is no longer queued;
// its result has been sent then.
func (d *Dispatcher) remove(item *queue.Item) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, queued := d.queue.Remove(item.ID)
	return queued
}

// finishWait ends the wait of an item with its final outcome.
func finishWait(item *queue.Item, outcome attempt.Outcome) {
	item.Value.(*waiter).result <- waitResult{outcome: outcome}
}

// refusedOutcome returns the final outcome for an error of the queue.
func refusedOutcome(err error) attempt.Outcome {
	var full *queue.FullError
	if errors.As(err, &full) {
		return attempt.NotRun(api.CodeOverloaded, full.Error(), full.RetryAfter)
	}
	var late *queue.LateError
	if errors.As(err, &late) {
		return attempt.NotRun(api.CodeDeadline, late.Error(), 0)
	}
	return attempt.NotRun(api.CodeUnavailable, err.Error(), retryAfter)
}

// nextExpiry returns when the next queued item can no longer meet its deadline.
func (d *Dispatcher) nextExpiry() (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queue.NextExpiry()
}
