package cluster

import (
	"context"
	"errors"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/cell"
)

// Timings of looks at a worker.
const (
	// lookWait is how long a look waits for an end.
	lookWait = time.Second
	// lookTimeout is added to the wait before a look counts as lost.
	lookTimeout = 700 * time.Millisecond
	// silentPause is the pause between looks at a worker that doesn't answer.
	silentPause = 150 * time.Millisecond
	// ackPause bounds the wait for the records of ends before the next look.
	ackPause = 120 * time.Millisecond
)

// fencedReason is why a leadership ends when a worker refuses its fence. The fence is
// the lease row's version, so somebody has taken the row over.
const fencedReason = "a worker has seen a higher fence"

// workerLoop looks at one worker. Its fields are guarded by the leadership's lock.
type workerLoop struct {
	target Target
	lease  workerLease
	life   int64
	acks   chan struct{}
	cancel context.CancelFunc
}

// addWorker starts a worker's loop, or takes in its new address. The leadership's
// lock is held.
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
	go r.watch(ctx, w)
}

// predecessorsBound is when every lease that an earlier scheduler granted has
// surely run out: it extends leases for a while after it lost the table.
func (r *leadership) predecessorsBound() time.Time {
	longest := time.Duration(float64(r.timings.Lease) / (1 - clockSlack))
	return r.began.Add(extendWithoutTable + memberFor + longest + predecessorMargin)
}

// mayExtend reports whether leases may be extended: the table answers, or nobody
// can have taken over since it did.
func (r *leadership) mayExtend() bool {
	return r.storeAge() < extendWithoutTable || r.node.allHeard()
}

// endWorker stops the loop of a worker that left. The leadership's lock is held.
func (r *leadership) endWorker(id string) {
	if w := r.workers[id]; w != nil {
		w.cancel()
		delete(r.workers, id)
	}
}

// watch looks at the worker until ctx ends.
func (r *leadership) watch(ctx context.Context, w *workerLoop) {
	silent := false
	for ctx.Err() == nil {
		call, target := r.nextLook(w, silent)
		asked := time.Now()
		lookCtx, cancel := context.WithTimeout(ctx, call.Wait+lookTimeout)
		look, err := r.node.config.Workers.Look(lookCtx, target, call)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			silent = true
			r.lookFailed(w, err)
			sleep(ctx, silentPause)
			continue
		}
		silent = false
		look.Listing.AskedAt = asked
		r.listed(w, look)
		r.awaitAcks(ctx, w)
	}
}

// nextLook prepares a look. A worker that didn't answer last time is asked at once
// and without extending its lease, so that the lease can run out.
func (r *leadership) nextLook(w *workerLoop, silent bool) (LookCall, Target) {
	extend := r.mayExtend()
	r.mu.Lock()
	defer r.mu.Unlock()
	acked, _ := r.cell.Acked(w.target.ID)
	call := LookCall{Fence: r.fence, Acked: acked}
	if silent {
		return call, w.target
	}
	if w.lease.known() {
		call.Wait = lookWait
		if extend {
			call.NotAfter = w.lease.grant(time.Now(), r.timings.Lease)
		}
	}
	return call, w.target
}

func (r *leadership) lookFailed(w *workerLoop, err error) {
	if errors.Is(err, ErrFenced) {
		r.stepDown(fencedReason)
	}
	r.change(func(now time.Time, c *cell.Cell) {
		c.WorkerSilent(now, w.target.ID)
		if w.lease.lapsed(now) {
			c.WorkerLapsed(now, w.target.ID)
		}
	})
}

func (r *leadership) listed(w *workerLoop, look Look) {
	r.change(func(now time.Time, c *cell.Cell) {
		if w.life != look.Listing.Born {
			w.lease.reset()
			w.life = look.Listing.Born
		}
		w.lease.heard(now, look.Clock)
		c.Listed(now, w.target.ID, look.Listing)
	})
}

// awaitAcks waits for the records of the ends just listed, since a look that can't
// acknowledge them would be answered with them at once.
func (r *leadership) awaitAcks(ctx context.Context, w *workerLoop) {
	limit := time.NewTimer(ackPause)
	defer limit.Stop()
	for {
		r.mu.Lock()
		_, waiting := r.cell.Acked(w.target.ID)
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

// sendStart orders the start of a run whose record is written.
func (r *leadership) sendStart(order cell.StartOrder) {
	r.mu.Lock()
	w := r.workers[order.Worker]
	var call StartCall
	var target Target
	if w != nil && w.lease.known() {
		target = w.target
		call = StartCall{Fence: r.fence, NotAfter: w.lease.grant(time.Now(), startWindow), StartOrder: order}
	}
	r.mu.Unlock()
	answer, err := cell.StartNotSent, error(nil)
	if call.NotAfter != 0 {
		ctx, cancel := context.WithTimeout(r.ctx, orderTimeout)
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
		answer = cell.StartLost
	}
	r.change(func(now time.Time, c *cell.Cell) { c.StartAnswered(now, order.Worker, order.RunKey, answer) })
}

// sendStop orders the end of a run. Without an answer the cell asks again.
func (r *leadership) sendStop(order cell.StopOrder) {
	r.send(order.Worker, func(ctx context.Context, to Target) error {
		return r.node.config.Workers.Stop(ctx, to, r.fence, order.RunKey)
	}, func(now time.Time, c *cell.Cell) { c.StopAnswered(now, order.Worker, order.RunKey) })
}

// sendPace orders the pace of a run. Without an answer the cell asks again.
func (r *leadership) sendPace(order cell.PaceOrder) {
	r.send(order.Worker, func(ctx context.Context, to Target) error {
		return r.node.config.Workers.Pace(ctx, to, r.fence, order)
	}, func(_ time.Time, c *cell.Cell) { c.Paced(order.Worker, order.RunKey, order.Percent) })
}

// send makes a call to a worker and tells the cell if it was answered with success.
func (r *leadership) send(id string, call func(context.Context, Target) error, answered func(time.Time, *cell.Cell)) {
	r.mu.Lock()
	w := r.workers[id]
	var target Target
	if w != nil {
		target = w.target
	}
	r.mu.Unlock()
	if w == nil {
		return
	}
	ctx, cancel := context.WithTimeout(r.ctx, orderTimeout)
	defer cancel()
	err := call(ctx, target)
	switch {
	case errors.Is(err, ErrFenced):
		r.stepDown(fencedReason)
	case err != nil:
		r.node.metrics.orderFailures.Inc()
	default:
		r.change(answered)
	}
}
