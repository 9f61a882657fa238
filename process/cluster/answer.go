package cluster

import (
	"context"
	"encoding/json"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/cell"
)

// serveCall answers a call that another entry forwarded. A call that was sent for an earlier
// leadership, or whose time is over, has been held up; its caller may have been refused since.
func (n *Node) serveCall(ctx context.Context, params json.RawMessage) (any, error) {
	var call Call
	if err := json.Unmarshal(params, &call); err != nil {
		return nil, err
	}
	n.awaitLoaded(ctx)
	n.mu.Lock()
	r := n.leadership
	n.mu.Unlock()
	if r == nil || r.over() || !r.answers(call) || !r.calls.enter() {
		return nil, errNotScheduler
	}
	defer r.calls.exit()
	return n.handle(ctx, call, func() Reply { return r.do(ctx, call) }), nil
}

// answers reports whether the call was sent for this leadership, and its entry still waits.
func (r *leadership) answers(call Call) bool {
	u := r.node.unsafe
	return (call.Fence == 0 || call.Fence == r.fence || u.anyFence) && (call.NotAfter == 0 || r.node.clockMS() <= call.NotAfter || u.anyTime)
}

// do answers a call as the scheduler.
func (r *leadership) do(ctx context.Context, call Call) Reply {
	if r.isSetAside(call.ID) {
		return r.setAsideReply(call)
	}
	switch call.Op {
	case OpSubmit:
		return r.submit(ctx, call)
	case OpCancel:
		return r.cancelJob(ctx, call)
	case OpPending:
		return r.pending(call)
	case OpKnown:
		return r.known(call)
	default:
		return r.state(call)
	}
}

func (r *leadership) isSetAside(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cell.IsSetAside(id)
}

// setAsideReply answers a call about a job that is set aside. One that isn't recorded may be, and
// run, once it is tried again, so it isn't said that it won't.
func (r *leadership) setAsideReply(call Call) Reply {
	switch {
	case call.Op != OpSubmit && call.Op != OpKnown:
		return unavailable("the job is set aside after an error", 0)
	case r.state(call).Result == ResultOK:
		return Reply{Result: ResultOK}
	default:
		return Reply{Result: ResultUnknown, Reason: "the job is set aside after an error", RetryAfter: retryAfterUnknown}
	}
}

func (r *leadership) submit(ctx context.Context, call Call) Reply {
	if call.Spec == nil {
		return Reply{Result: ResultInvalid, Reason: "the job is missing"}
	}
	if expected := r.expectedRecordTime(call.ID); call.WithinMS > 0 && expected > time.Duration(call.WithinMS)*time.Millisecond {
		return unavailable("the table is slow", expected)
	}
	recorded := make(chan cell.Recorded, 1)
	var admission cell.Admission
	decided := false
	r.change(func(now time.Time, c *cell.Cell) {
		admission = c.Submit(now, *call.Spec, func(how cell.Recorded) { recorded <- how })
		c.SetTextHolder(call.ID, call.Via)
		decided = true
	})
	if !decided {
		return r.unrecordedReply(recorded)
	}
	switch admission.Verdict {
	case cell.AlreadyAccepted:
		return Reply{Result: ResultOK}
	case cell.Invalid:
		return Reply{Result: ResultInvalid, Reason: admission.Reason}
	case cell.Unavailable:
		return Reply{Result: ResultUnavailable, Reason: admission.Reason, RetryAfter: admission.RetryAfter}
	case cell.Refused:
		return Reply{Result: ResultRefused, Reason: admission.Reason, RetryAfter: admission.RetryAfter, Overloaded: admission.Overloaded}
	}
	return r.awaitRecord(ctx, recorded)
}

// awaitRecord waits until a change is recorded, for at most recordTimeout.
func (r *leadership) awaitRecord(ctx context.Context, recorded <-chan cell.Recorded) Reply {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	check := time.NewTicker(outcomeUnknownAfter / 4)
	defer check.Stop()
	for {
		select {
		case how := <-recorded:
			return r.recordReply(how)
		case <-check.C:
			if r.tableFailingFor() < outcomeUnknownAfter {
				continue
			}
		case <-ctx.Done():
		case <-r.ctx.Done():
		}
		return r.unrecordedReply(recorded)
	}
}

// unrecordedReply returns the reply of a call that waits no longer for its record.
func (r *leadership) unrecordedReply(recorded <-chan cell.Recorded) Reply {
	select {
	case how := <-recorded:
		return r.recordReply(how)
	default:
	}
	reply := r.recordReply(cell.RecordedUnknown)
	reply.Ended = r.over()
	return reply
}

func (r *leadership) recordReply(how cell.Recorded) Reply {
	switch how {
	case cell.RecordedYes:
		return Reply{Result: ResultOK}
	case cell.RecordedRefused:
		return unavailable("the table refuses the job's rows", 0)
	case cell.RecordedNo:
		return unavailable("the table takes no writes", r.tableFailingFor())
	default:
		return Reply{Result: ResultUnknown, Reason: "the record's outcome is unknown", RetryAfter: cell.OutageRetryAfter(r.tableFailingFor())}
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

// owns reports whether the job belongs to the call's queue and team, or is unknown.
func (r *leadership) owns(call Call) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	job, ok := r.cell.Job(call.ID)
	return !ok || (job.Queue == call.Queue && (call.Team == "" || job.Team == call.Team))
}

func (r *leadership) state(call Call) Reply {
	state, queue, team, ok := r.stateOf(call.ID)
	if !ok || queue != call.Queue || (call.Team != "" && team != call.Team) {
		return r.noJob()
	}
	return Reply{Result: ResultOK, State: state}
}

func (r *leadership) stateOf(id string) (state cell.State, queue, team string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cell.StateOf(id)
}

// known answers whether a job was accepted; an unknown outcome means that its record is being
// written.
func (r *leadership) known(call Call) Reply {
	reply := r.state(call)
	if reply.Result != ResultNoJob {
		return reply
	}
	if r.has(call.ID) && r.owns(call) {
		return Reply{Result: ResultUnknown, Reason: "the record's outcome is unknown", RetryAfter: retryAfterUnknown}
	}
	return reply
}

// has reports whether there is a job with this id, recorded or not.
func (r *leadership) has(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.cell.Job(id)
	return ok
}

// noJob answers that a job does not exist. Only an entry that is certain to be the
// scheduler may do so, which the age of its last table contact shows.
func (r *leadership) noJob() Reply {
	if r.tableAge() > noJobMaxAge {
		return unavailable("the table hasn't answered lately", r.tableAge())
	}
	return Reply{Result: ResultNoJob}
}

func (r *leadership) pending(call Call) Reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Reply{Result: ResultOK, Pending: r.cell.Pending(call.Queue)}
}
