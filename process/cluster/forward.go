package cluster

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/peer"
	"github.com/kingcuplatch/kingcuplatch/process/cell"
)

const (
	// forwardTimeout bounds a call that is passed on to the scheduler.
	forwardTimeout = 2 * time.Second
	// retrySoon is the time to come back after which there is a scheduler again.
	retrySoon = time.Second
	// successorExpected is how long after a scheduler was last heard another one is still
	// to be expected at any moment, successorPatience how long a call waits for it.
	successorExpected = 1500 * time.Millisecond
	successorPatience = 600 * time.Millisecond
	// loadPatience is how long a call waits while the cell is read.
	loadPatience = 250 * time.Millisecond
)

// errNotScheduler refuses a call that only the scheduler can answer.
var errNotScheduler = &peer.RemoteError{Code: codeNotScheduler, Message: "this entry is not the scheduler"}

// unavailable is the answer when nobody can decide now, and couldn't for a while.
func unavailable(reason string, lasted time.Duration) Reply {
	return Reply{Result: ResultUnavailable, Reason: reason, RetryAfter: cell.OutageWait(lasted)}
}

// Do answers a call: here, if this entry is the scheduler, else there. If the
// scheduler is lost with the call, the call is made again at the next one, which is
// there in a moment: jobs and their cancelling are known by the job's id, so a call may
// be made twice. An outcome that isn't known stays so until a scheduler tells it.
func (n *Node) Do(ctx context.Context, call Call) Reply {
	var unknown *Reply
	for {
		n.awaitLoaded(ctx)
		n.mu.Lock()
		r, view, changed := n.leadership, n.view, n.changed
		n.mu.Unlock()
		if r != nil && !r.over() {
			return r.do(ctx, call.timed(ctx))
		}
		reply, lost := n.forward(ctx, view, call.timed(ctx))
		if !lost {
			return reply
		}
		if reply.Result == ResultUnknown {
			unknown = &reply
		}
		if !awaitSuccessor(ctx, view, changed) {
			if unknown != nil {
				return *unknown
			}
			return reply
		}
	}
}

// awaitSuccessor waits until another scheduler may be known, if that is to be expected
// soon, and reports whether it may.
func awaitSuccessor(ctx context.Context, lost leaderView, changed <-chan struct{}) bool {
	if time.Since(maxTime(lost.heardAt, lost.since)) > successorExpected {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, successorPatience)
	defer cancel()
	select {
	case <-changed:
		return true
	case <-ctx.Done():
		return false
	}
}

// forward passes a call on to the scheduler. lost is set if the scheduler seems to be
// gone.
func (n *Node) forward(ctx context.Context, view leaderView, call Call) (reply Reply, lost bool) {
	if view.Holder == "" || view.Holder == n.config.Name {
		return unavailable("no scheduler is known", 0), true
	}
	if silent := time.Since(view.heardAt); view.refused || silent > silentAfter {
		return unavailable("the scheduler is silent", silent), true
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	defer context.AfterFunc(view.ctx, cancel)()
	err := n.config.Peers.Call(ctx, view.Address, methodCall, call, &reply)
	if err == nil {
		return reply, false
	}
	var remote *peer.RemoteError
	lost = errors.Is(err, peer.ErrNotSent) || errors.As(err, &remote) || view.ctx.Err() != nil
	return forwardFailed(call, err), lost
}

// forwardFailed is the answer to a call that the scheduler didn't answer.
func forwardFailed(call Call, err error) Reply {
	var remote *peer.RemoteError
	notRun := errors.Is(err, peer.ErrNotSent) || errors.As(err, &remote)
	if notRun || call.Op == OpState || call.Op == OpPending {
		return unavailable(err.Error(), 0)
	}
	return Reply{Result: ResultUnknown, Reason: err.Error(), RetryAfter: retrySoon}
}

// serveCall answers another entry's call.
func (n *Node) serveCall(ctx context.Context, params json.RawMessage) (any, error) {
	var call Call
	if err := json.Unmarshal(params, &call); err != nil {
		return nil, err
	}
	n.awaitLoaded(ctx)
	n.mu.Lock()
	r := n.leadership
	n.mu.Unlock()
	if r == nil || r.over() {
		return nil, errNotScheduler
	}
	return r.do(ctx, call), nil
}

// do answers a call as the scheduler.
func (r *leadership) do(ctx context.Context, call Call) Reply {
	switch call.Op {
	case OpSubmit:
		return r.submit(ctx, call)
	case OpCancel:
		return r.cancelJob(ctx, call)
	case OpPending:
		return r.pending(call)
	default:
		return r.state(call)
	}
}

func (r *leadership) submit(ctx context.Context, call Call) Reply {
	if call.Spec == nil {
		return Reply{Result: ResultInvalid, Reason: "the job is missing"}
	}
	if expected := r.expectedRecord(call.ID); call.WithinMS > 0 && expected > time.Duration(call.WithinMS)*time.Millisecond {
		return unavailable("the table is slow", expected)
	}
	recorded := make(chan cell.Recorded, 1)
	var admission cell.Admission
	r.change(func(now time.Time, c *cell.Cell) {
		admission = c.Submit(now, *call.Spec, func(how cell.Recorded) { recorded <- how })
	})
	switch admission.Verdict {
	case cell.Known:
		return Reply{Result: ResultOK}
	case cell.Invalid:
		return Reply{Result: ResultInvalid, Reason: admission.Reason}
	case cell.Unavailable:
		return Reply{Result: ResultUnavailable, Reason: admission.Reason, RetryAfter: admission.RetryAfter}
	case cell.Refused:
		return Reply{Result: ResultRefused, Reason: admission.Reason, RetryAfter: admission.RetryAfter}
	}
	return r.awaitRecord(ctx, recorded)
}

// awaitRecord waits until a change is recorded, within bounds.
func (r *leadership) awaitRecord(ctx context.Context, recorded <-chan cell.Recorded) Reply {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	look := time.NewTicker(unknownAfter / 4)
	defer look.Stop()
	for {
		select {
		case how := <-recorded:
			return r.recordReply(how)
		case <-look.C:
			if r.storeFailing() < unknownAfter {
				continue
			}
		case <-ctx.Done():
		case <-r.ctx.Done():
		}
		return r.recordReply(cell.RecordedUnknown)
	}
}

func (r *leadership) recordReply(how cell.Recorded) Reply {
	switch how {
	case cell.RecordedYes:
		return Reply{Result: ResultOK}
	case cell.RecordedNo:
		return unavailable("the table takes no writes", r.storeFailing())
	default:
		return Reply{Result: ResultUnknown, Reason: "the record's outcome is unknown", RetryAfter: cell.OutageWait(r.storeFailing())}
	}
}

func (r *leadership) cancelJob(ctx context.Context, call Call) Reply {
	if !r.owns(call) {
		return r.noJob()
	}
	recorded := make(chan cell.Recorded, 1)
	var answer cell.Cancellation
	r.change(func(now time.Time, c *cell.Cell) {
		answer = c.Cancel(now, call.ID, func(how cell.Recorded) { recorded <- how })
	})
	switch answer {
	case cell.CancelDone:
		return Reply{Result: ResultOK}
	case cell.CancelUnknown:
		return r.noJob()
	default:
		return r.awaitRecord(ctx, recorded)
	}
}

// owns reports whether the job is one of the call's queue and team, or unknown.
func (r *leadership) owns(call Call) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	job, ok := r.cell.Job(call.ID)
	return !ok || (job.Queue == call.Queue && (call.Team == "" || job.Team == call.Team))
}

func (r *leadership) state(call Call) Reply {
	r.mu.Lock()
	state, queue, team, ok := r.cell.StateOf(call.ID)
	r.mu.Unlock()
	if !ok || queue != call.Queue || (call.Team != "" && team != call.Team) {
		return r.noJob()
	}
	return Reply{Result: ResultOK, State: state}
}

// noJob denies that a job exists, which only a scheduler may do that surely still
// is one.
func (r *leadership) noJob() Reply {
	if r.storeAge() > freshFor {
		return unavailable("the table hasn't answered lately", r.storeAge())
	}
	return Reply{Result: ResultNoJob}
}

func (r *leadership) pending(call Call) Reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Reply{Result: ResultOK, Pending: r.cell.Pending(call.Queue)}
}
