package cluster

import (
	"context"
	"errors"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/peer"
	"github.com/kingcuplatch/kingcuplatch/process/cell"
)

const (
	// forwardTimeout bounds a call that is forwarded to the scheduler.
	forwardTimeout = 2 * time.Second
	// retryAfterUnknown is the retry delay given to a caller whose outcome is unknown; by
	// then a new scheduler is expected.
	retryAfterUnknown = time.Second
	// successorWindow is how long after the last contact with a scheduler its successor is
	// still expected at any moment. successorWait is how long a call waits for it to take over
	// from a silent scheduler. callWait bounds all waits of one call, and is how long it waits
	// after an orderly handover.
	successorWindow = 1500 * time.Millisecond
	successorWait   = 600 * time.Millisecond
	callWait        = time.Second
	// newSchedulerTime is how long after it became known a scheduler counts as new: others may
	// read its name in the lease row before it knows that it has the lease. A call that a
	// new scheduler refuses is repeated there each callRetryPeriod.
	newSchedulerTime = time.Second
	callRetryPeriod  = 50 * time.Millisecond
	// loadWait is how long a call waits while the cell is being loaded.
	loadWait = callWait
)

// errNotScheduler rejects a call that only the scheduler can answer.
var errNotScheduler = &peer.RemoteError{Code: codeNotScheduler, Message: "this entry is not the scheduler"}

// unavailable returns the answer while no scheduler can decide, with a retry delay that
// grows with the time that this has lasted.
func unavailable(reason string, lasted time.Duration) Reply {
	return Reply{Result: ResultUnavailable, Reason: reason, RetryAfter: cell.OutageRetryAfter(lasted)}
}

// Do answers a call here if this entry is the scheduler, else forwards it. If the
// scheduler is lost during the call, Do repeats the call at the next scheduler. Submit and
// cancel are idempotent by job ID, so a call may be made twice. An unknown outcome stays
// unknown until a scheduler reports it, or a later one refuses the call: an earlier leadership can
// record no more, and no other answers what was sent for it.
func (n *Node) Do(ctx context.Context, call Call) Reply {
	return n.handle(ctx, call, func() Reply { return n.answer(ctx, call) })
}

// answer answers a call that this entry handles.
func (n *Node) answer(ctx context.Context, call Call) Reply {
	var unknown *Reply
	var unknownAt uint64
	waitUntil := time.Now().Add(callWait)
	for {
		n.awaitLoaded(ctx)
		n.awaitSchedulerLoaded(ctx)
		n.mu.Lock()
		r, view, changed := n.leadership, n.view, n.changed
		n.mu.Unlock()
		reply, next := n.try(ctx, r, view, call.timed(ctx))
		if next == noRepeat {
			if unknown != nil && view.fence <= unknownAt && reply.notRun() {
				return *unknown
			}
			return reply
		}
		if reply.Result == ResultUnknown {
			unknown, unknownAt = &reply, max(unknownAt, view.fence)
		}
		if !awaitRepeat(ctx, view, next, waitUntil, changed) {
			if unknown != nil {
				return *unknown
			}
			return reply
		}
	}
}

// notRun reports whether the reply says that the call had no effect. After an earlier try at
// the same scheduler that isn't certain: that try may still arrive there.
func (r Reply) notRun() bool {
	return r.Result == ResultRefused || r.Result == ResultUnavailable
}

// repeat says when a call that was not answered is to be repeated.
type repeat int

const (
	// noRepeat: the call was answered, or its time is over.
	noRepeat repeat = iota
	// repeatAtSuccessor: once there is another scheduler.
	repeatAtSuccessor
	// repeatSoon: also at the same scheduler, which was alive just now.
	repeatSoon
)

// isNew reports whether the scheduler may not know yet that it is the scheduler.
func (v leaderView) isNew() bool { return v.fence != 0 && time.Since(v.since) < newSchedulerTime }

// try makes a call here if this entry is the scheduler and doesn't hand over, else at the
// scheduler.
func (n *Node) try(ctx context.Context, r *leadership, view leaderView, call Call) (Reply, repeat) {
	if r == nil || r.over() || !r.calls.enter() {
		return n.forward(ctx, view, call)
	}
	defer r.calls.exit()
	reply := r.do(ctx, call)
	if reply.Ended {
		return reply, repeatSoon
	}
	return reply, noRepeat
}

// awaitRepeat waits until a call is to be repeated, at most until a given time, and reports
// whether it is. changed is closed when the scheduler changes; the wait for that is
// shorter if the scheduler is silent, and there is none if one is not expected soon.
func awaitRepeat(ctx context.Context, view leaderView, next repeat, until time.Time, changed <-chan struct{}) bool {
	if next != repeatSoon && time.Since(maxTime(view.lastHeard, view.since)) > successorWindow {
		return false
	}
	if limit := time.Now().Add(successorWait); view.fence != 0 && limit.Before(until) {
		until = limit
	}
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	var again <-chan time.Time
	if next == repeatSoon {
		again = time.After(callRetryPeriod)
	}
	select {
	case <-changed:
		return ctx.Err() == nil
	case <-again:
		return true
	case <-ctx.Done():
		return false
	}
}

// forward sends a call to the scheduler.
func (n *Node) forward(ctx context.Context, view leaderView, call Call) (reply Reply, next repeat) {
	switch {
	case view.Holder == n.config.Name:
		// This entry has just handed over.
		return unavailable("no scheduler is known", 0), repeatSoon
	case view.Holder == "":
		return unavailable("no scheduler is known", 0), repeatAtSuccessor
	case view.loading:
		return unavailable("the scheduler reads the cell", time.Since(view.since)), repeatAtSuccessor
	}
	refused := view.refused && !view.isNew()
	if unreachableFor := time.Since(view.lastHeard); refused || unreachableFor > unreachableAfter+view.lagAllowance()+n.heartbeatInterval(view)-heartbeatPeriod {
		return unavailable("the scheduler is silent", unreachableFor), repeatAtSuccessor
	}
	if call.Op == OpSubmit && call.Spec != nil {
		key := throttleKey{call.Queue, call.Team}
		if refusal, refused := n.throttles.refuse(time.Now(), key); refused {
			return n.refuseUnlessKnown(ctx, view, call, refusal)
		}
		size := call.forwardedBytes()
		if !n.forwarded.begin(ctx, size, view.forwardBudget()) {
			return n.refuseUnlessKnown(ctx, view, call, linkFull)
		}
		defer n.forwarded.end(size)
		defer func() { n.throttles.observe(time.Now(), key, reply) }()
		n.texts.put(call.ID, call.Spec.Text)
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	call.Via, call.Fence, call.NotAfter = n.config.Name, view.fence, view.clock.until(ctx)
	defer context.AfterFunc(view.ctx, cancel)()
	err := n.config.Peers.Call(ctx, view.Address, methodCall, call, &reply)
	switch {
	case err == nil && reply.Ended:
		return reply, repeatSoon
	case err == nil:
		return reply, noRepeat
	case errors.Is(err, peer.ErrNotEncodable):
		return Reply{Result: ResultInvalid, Reason: err.Error()}, noRepeat
	case ctx.Err() != nil && view.ctx.Err() == nil:
		// Do gives an unknown outcome of an earlier try, if there is one, precedence.
		return forwardFailed(call, err), repeatAtSuccessor
	case view.isNew() || errors.Is(err, peer.ErrUnknown):
		// The scheduler may not know yet that it is the scheduler, or the link was closed.
		return forwardFailed(call, err), repeatSoon
	default:
		return forwardFailed(call, err), repeatAtSuccessor
	}
}

// linkFull is the refusal of a submission that had no turn on the scheduler's link.
var linkFull = Reply{Result: ResultRefused, Reason: "the scheduler's link is full", RetryAfter: linkRetryAfter, Overloaded: true}

// refuseUnlessKnown refuses a submission on the scheduler's behalf, if the scheduler doesn't have
// the job from an earlier try: of one that was accepted it must not be said that it won't run.
// The question is a tenth of a submission's size, and needs no admission.
func (n *Node) refuseUnlessKnown(ctx context.Context, view leaderView, call Call, refusal Reply) (Reply, repeat) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	defer context.AfterFunc(view.ctx, cancel)()
	question := Call{Op: OpKnown, Queue: call.Queue, Team: call.Team, ID: call.ID, Via: n.config.Name, Fence: view.fence, NotAfter: view.clock.until(ctx)}
	var known Reply
	err := n.config.Peers.Call(ctx, view.Address, methodCall, question, &known)
	switch {
	case err != nil:
		return unavailable(err.Error(), 0), repeatAtSuccessor
	case known.Result == ResultNoJob:
		return refusal, noRepeat
	case known.Result == ResultOK:
		return Reply{Result: ResultOK}, noRepeat
	case known.Result == ResultUnknown:
		return known, repeatSoon
	default:
		return known, noRepeat
	}
}

// forwardFailed returns the answer to a call that the scheduler did not answer.
func forwardFailed(call Call, err error) Reply {
	var remote *peer.RemoteError
	notRun := errors.Is(err, peer.ErrNotSent) || errors.As(err, &remote) && (remote.NotHandled() || remote.Code == codeNotScheduler)
	if notRun || call.Op == OpState || call.Op == OpPending {
		return unavailable(err.Error(), 0)
	}
	return Reply{Result: ResultUnknown, Reason: err.Error(), RetryAfter: retryAfterUnknown}
}
