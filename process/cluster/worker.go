package cluster

import (
	"context"
	"errors"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/cell"
)

// Timings of polls of a worker.
const (
	// pollWait is how long a poll waits for a run to end.
	pollWait = time.Second
	// pollTimeout is added to the wait before a poll is considered failed.
	pollTimeout = 700 * time.Millisecond
	// unreachablePollDelay is the pause between polls of a worker that does not answer.
	unreachablePollDelay = 150 * time.Millisecond
	// replacedPollDelay replaces it once another incarnation responds at the worker's address:
	// the worker can only come back at another one.
	replacedPollDelay = time.Second
	// ackWait bounds the wait, before the next poll, for the records of ended runs.
	ackWait = 120 * time.Millisecond
	// stopTimeout bounds a stop command. It is shorter than commandTimeout since a stop may be
	// repeated, and the repetition waits for the outcome.
	stopTimeout = 400 * time.Millisecond
)

// fencedReason is logged when a worker rejects this leadership's fence. The fence is the
// version of the lease row, so another entry has acquired the lease.
const fencedReason = "a worker has seen a higher fence"

// workerLoop is the poll loop of one worker. Its fields are guarded by the leadership's
// lock.
type workerLoop struct {
	target      Target
	lease       workerLease
	incarnation int64
	acks        chan struct{}
	// awaitsAcks is set while the loop waits for acks.
	awaitsAcks bool
	cancel     context.CancelFunc
}

// addWorker starts a worker's poll loop, or updates its address. The leadership's lock
// must be held.
func (r *leadership) addWorker(info cell.WorkerInfo) {
	if w := r.workers[info.ID]; w != nil {
		w.target.Address = info.Address
		return
	}
	ctx, cancel := context.WithCancel(r.ctx)
	w := &workerLoop{
		target: Target{ID: info.ID, Address: info.Address},
		acks:   make(chan struct{}, 1), cancel: cancel,
	}
	w.lease.unknownUntil = r.predecessorsBound()
	r.workers[info.ID] = w
	go r.pollWorker(ctx, w)
}

// predecessorsBound returns the time by which every lease that an earlier scheduler
// granted has expired. That scheduler may have extended leases after its last table
// contact, as mayExtend allows.
func (r *leadership) predecessorsBound() time.Time {
	longest := time.Duration(float64(r.timings.Lease+relayedLeaseExtra) / (1 - maxClockDrift))
	return r.began.Add(extendWithoutTable + confirmTimeout + longest + predecessorMargin)
}

// mayExtend reports whether leases may be extended: either the table has answered
// recently, or every other entry still follows this scheduler and so none has taken over.
func (r *leadership) mayExtend() bool {
	return r.tableAge() < extendWithoutTable || r.node.allStandbysReachable()
}

// mayStart reports whether recorded runs may be started: not if the leases that this grants could
// end later than those which mayExtend allows, since a successor may exist. The process may have
// been paused since the runs were recorded.
func (r *leadership) mayStart() bool {
	return r.tableAge()+startWindow < extendWithoutTable+r.timings.Lease || r.node.allStandbysReachable()
}

// endWorker stops the poll loop of a removed worker. The leadership's lock must be held.
func (r *leadership) endWorker(id string) {
	if w := r.workers[id]; w != nil {
		w.cancel()
		delete(r.workers, id)
	}
}

// pollWorker polls the worker until ctx ends.
func (r *leadership) pollWorker(ctx context.Context, w *workerLoop) {
	// known is set while the last poll that this entry sent has been answered.
	known := false
	// newConnections counts the polls in succession that lacked an open connection, those between
	// them that could open one aside.
	newConnections := 0
	var backoff pollBackoff
	r.polls.add(1)
	defer r.polls.add(-1)
	for ctx.Err() == nil {
		call, target := r.nextPoll(w, known)
		sent := time.Now()
		pollCtx, cancel := context.WithTimeout(ctx, call.Wait+pollTimeout+r.node.lag.allowance())
		reply, err := r.node.config.Workers.Poll(pollCtx, target, call)
		cancel()
		if ctx.Err() != nil {
			return
		}
		known = err == nil
		if errors.Is(err, ErrNewConnection) {
			if newConnections++; newConnections > 1 {
				// Its connections don't last: a poll that could extend its lease never gets one.
				sleep(ctx, unreachablePollDelay)
			}
			continue
		}
		if err != nil {
			r.pollFailed(w, err)
			sleep(ctx, r.pollPause(w, &backoff, err))
			continue
		}
		if call.Acked.Incarnation != 0 {
			newConnections = 0
		}
		reply.Listing.SentAt = sent
		r.pollAnswered(w, reply)
		r.awaitAcks(ctx, w)
		if r.polls.poll(ctx, w) {
			known = false
		}
		backoff.answered()
	}
}

// failedPollDelay returns the pause after a poll that failed.
func failedPollDelay(err error) time.Duration {
	if errors.Is(err, ErrOtherIncarnation) {
		return replacedPollDelay
	}
	return unreachablePollDelay
}

// nextPoll prepares a poll. A worker that did not answer the last one, or that another entry polled
// since, is polled without a wait, without extending its lease, so that the lease can expire, and
// without an acknowledgement: another incarnation may answer, whose ends nobody has seen.
func (r *leadership) nextPoll(w *workerLoop, known bool) (PollCall, Target) {
	// The lock may be awaited for long, and the process be paused meanwhile.
	now := time.Now()
	extend := r.mayExtend()
	r.mu.Lock()
	defer r.mu.Unlock()
	acked, _ := r.cell.Acked(w.target.ID)
	if !known || acked.Incarnation == 0 {
		return PollCall{Fence: r.fence}, w.target
	}
	call := PollCall{Fence: r.fence, Acked: acked, Wait: pollWait}
	if extend {
		call.NotAfter = w.lease.grant(now, r.timings.Lease)
	}
	return call, w.target
}

func (r *leadership) pollFailed(w *workerLoop, err error) {
	if errors.Is(err, ErrFenced) {
		r.stepDown(fencedReason)
	}
	r.change(func(now time.Time, c *cell.Cell) { r.unreachable(now, c, w, err) })
}

// lossSign returns what a failed poll shows about the worker.
func lossSign(err error) cell.LossSign {
	switch {
	case errors.Is(err, ErrOtherIncarnation):
		return cell.LossReplaced
	case errors.Is(err, ErrRefused):
		return cell.LossRefused
	default:
		return cell.LossSilent
	}
}

// unreachable applies a failed poll. The leadership's lock must be held.
func (r *leadership) unreachable(now time.Time, c *cell.Cell, w *workerLoop, err error) {
	c.WorkerUnreachable(now, w.target.ID, lossSign(err), err)
	if w.lease.expired(now) {
		c.WorkerLeaseExpired(now, w.target.ID)
	}
}

func (r *leadership) pollAnswered(w *workerLoop, reply PollReply) {
	r.change(func(now time.Time, c *cell.Cell) { r.answered(now, c, w, reply) })
}

// answered applies the reply to a poll. The leadership's lock must be held.
func (r *leadership) answered(now time.Time, c *cell.Cell, w *workerLoop, reply PollReply) {
	if w.incarnation != reply.Listing.Incarnation {
		w.lease.restarted(now, reply.Clock, r.timings.MaxLease)
		w.incarnation = reply.Listing.Incarnation
	}
	w.lease.observeClock(now, reply.Clock)
	c.Listed(now, w.target.ID, reply.Listing)
}

// awaitAcks waits for the records of the ends just listed. A poll that cannot acknowledge
// them would return the same ends at once.
func (r *leadership) awaitAcks(ctx context.Context, w *workerLoop) {
	limit := time.NewTimer(ackWait)
	defer limit.Stop()
	for {
		r.mu.Lock()
		_, w.awaitsAcks = r.cell.Acked(w.target.ID)
		waiting := w.awaitsAcks
		r.mu.Unlock()
		if !waiting {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-limit.C:
			return
		case <-w.acks:
		}
	}
}

// signalAcks wakes the poll loops that wait for a record which has been written. The
// leadership's lock must be held.
func (r *leadership) signalAcks(c *cell.Cell) {
	for _, w := range r.workers {
		if !w.awaitsAcks {
			continue
		}
		if _, waiting := c.Acked(w.target.ID); !waiting {
			w.awaitsAcks = false
			signal(w.acks)
			r.polls.acksReady(w.target.ID)
		}
	}
}

// sendStart commands the start of a run whose record has been written.
func (r *leadership) sendStart(command cell.StartCommand) {
	call, target, ok := r.startCall(command)
	answer, err := cell.StartNotSent, error(nil)
	if ok {
		ctx, cancel := context.WithTimeout(r.ctx, commandTimeout+r.node.lag.allowance())
		sent := time.Now()
		answer, err = r.node.config.Workers.Start(ctx, target, call)
		cancel()
		r.node.metrics.startTime.UpdateDuration(sent)
	}
	switch {
	case errors.Is(err, ErrFenced):
		r.stepDown(fencedReason)
		return
	case err != nil:
		answer = cell.StartNoReply
	}
	r.change(func(now time.Time, c *cell.Cell) { c.StartAnswered(now, command.Worker, command.RunKey, answer) })
}

// startCall returns the call that starts a run, and its worker. ok is false if the worker's
// clock isn't known, the start was decided for another incarnation of it, or the run must not be started
// any more.
func (r *leadership) startCall(command cell.StartCommand) (call StartCall, target Target, ok bool) {
	now := time.Now()
	allowed := r.mayStart()
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.workers[command.Worker]
	if w == nil || !w.lease.known() || w.incarnation != command.Incarnation || !allowed {
		return StartCall{}, Target{}, false
	}
	until := w.lease.grantStart(now)
	return StartCall{Fence: r.fence, NotAfter: until, SendBy: now.Add(min(r.startTimeout(), startWindow)), StartCommand: command}, w.target, true
}

// sendStop commands the end of a run. If the worker does not answer, the cell repeats the
// command.
func (r *leadership) sendStop(command cell.StopCommand) {
	r.send(command.Worker, stopTimeout, func(ctx context.Context, to Target) error {
		return r.node.config.Workers.Stop(ctx, to, r.fence, command.RunKey)
	}, func(now time.Time, c *cell.Cell) {
		c.StopAnswered(now, command.Worker, command.RunKey)
	}, func(_ time.Time, c *cell.Cell) {
		c.StopUnanswered(command.Worker, command.RunKey)
	})
}

// sendPace sets the pace of a run. If the worker does not answer, the cell repeats the
// command.
func (r *leadership) sendPace(command cell.PaceCommand) {
	r.send(command.Worker, commandTimeout, func(ctx context.Context, to Target) error {
		return r.node.config.Workers.Pace(ctx, to, r.fence, command)
	}, func(_ time.Time, c *cell.Cell) {
		c.Paced(command.Worker, command.RunKey, command.Percent)
	}, func(time.Time, *cell.Cell) {})
}

// send calls a worker, with a timeout to which the lag's allowance is added, and updates the
// cell by answered or failed.
func (r *leadership) send(id string, timeout time.Duration, call func(context.Context, Target) error, answered, failed func(time.Time, *cell.Cell)) {
	r.mu.Lock()
	w := r.workers[id]
	var target Target
	if w != nil {
		target = w.target
	}
	r.mu.Unlock()
	if w == nil {
		r.change(failed)
		return
	}
	ctx, cancel := context.WithTimeout(r.ctx, timeout+r.node.lag.allowance())
	defer cancel()
	err := call(ctx, target)
	switch {
	case errors.Is(err, ErrFenced):
		r.stepDown(fencedReason)
	case err != nil:
		r.node.metrics.commandFailures.Inc()
		r.change(failed)
	default:
		r.change(answered)
	}
}
