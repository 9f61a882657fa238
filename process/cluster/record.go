package cluster

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/cell"
	"github.com/kingcuplatch/kingcuplatch/process/events"
	"github.com/kingcuplatch/kingcuplatch/process/platform"
)

// leaseKey is the key of a cell's lease row; no job's row sorts before it.
const leaseKey = "lease"

// Timings of the table.
const (
	// tableTimeout bounds one call to the table.
	tableTimeout = 1200 * time.Millisecond
	// tableRetryDelay is the pause after a failed call.
	tableRetryDelay = 60 * time.Millisecond
	// usualWriteTime is how long a write may take before another one is sent in parallel,
	// and maxWrites how many may then be in flight. The table executes the writes of one
	// cell one after the other, so more would only queue.
	usualWriteTime = 25 * time.Millisecond
	maxWrites      = 2
	// maxBacklogWrites replaces maxWrites while the backlog exceeds one write and no write
	// in flight has taken longer than usualWriteTime.
	maxBacklogWrites = 4
	// maxTableTimeout bounds the timeout of a write's retries, which doubles each time. A
	// table that is slow because writes queue must not receive each of them again and
	// again.
	maxTableTimeout = 4 * tableTimeout
	// refusedWriteTries is how often the table must refuse the write of a single job.
	refusedWriteTries = 3
	// slowWrite is the write duration from which the table is considered slow.
	slowWrite = 100 * time.Millisecond
	// probePeriod is the interval between reads of the lease row while there are no
	// writes.
	probePeriod = 250 * time.Millisecond
	// lostProbePeriod replaces probePeriod while the table does not answer. Such a probe
	// times out after lostProbeTimeout, so that a recovery is detected soon.
	lostProbePeriod  = 100 * time.Millisecond
	lostProbeTimeout = 400 * time.Millisecond
	// maxCallAgeAtRecovery is the age up to which a call in flight is kept when the table
	// recovers.
	maxCallAgeAtRecovery = 100 * time.Millisecond
)

// recordLoop writes the cell's changes. After a write of usual duration it sends the next
// one; while writes take longer, it sends more in parallel.
func (r *leadership) recordLoop() {
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-r.recordSignal:
		}
		for r.mayWrite(r.backlogged()) {
			var batch *cell.Batch
			r.startActions(r.decide(func(now time.Time, c *cell.Cell) { batch = c.TakeBatch(now) }))
			if batch == nil {
				break
			}
			began := time.Now()
			r.tableMu.Lock()
			r.writes[batch] = began
			r.tableMu.Unlock()
			r.goroutines.Add(1)
			go func() {
				defer r.goroutines.Done()
				r.recordBatch(batch, began)
			}()
		}
	}
}

// backlogged reports whether the backlog exceeds one write.
func (r *leadership) backlogged() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cell.BatchesWaiting() > 0
}

// mayWrite reports whether another write may be sent now. If one is in flight, mayWrite
// schedules the next check for when that has taken its usual time.
func (r *leadership) mayWrite(backlogged bool) bool {
	r.tableMu.Lock()
	defer r.tableMu.Unlock()
	if r.writesStopped {
		return false
	}
	oldest := time.Duration(0)
	for _, began := range r.writes {
		oldest = max(oldest, time.Since(began))
	}
	if backlogged && len(r.writes) < maxBacklogWrites && oldest <= usualWriteTime && r.lastWrite < slowWrite && r.failingSince.IsZero() {
		return true
	}
	if len(r.writes) == 0 || (oldest > usualWriteTime && len(r.writes) < maxWrites) {
		return true
	}
	if len(r.writes) < maxWrites {
		time.AfterFunc(usualWriteTime, func() { signal(r.recordSignal) })
	}
	return false
}

// recordBatch writes one batch and completes the callers that wait for it. If the table refuses it for
// good, the jobs are recorded one by one, and those that it refuses alone are left to the cell.
func (r *leadership) recordBatch(batch *cell.Batch, began time.Time) {
	version, err := r.write(batch)
	took := time.Since(began)
	r.tableMu.Lock()
	delete(r.writes, batch)
	r.lastWrite = took
	others := len(r.writes)
	r.tableMu.Unlock()
	switch {
	case err == nil:
	case errors.Is(err, platform.ErrInvalid):
		r.recordRefused(batch, err)
		return
	default:
		return
	}
	if took > slowWrite {
		r.node.log.Log(events.WriteSlow, took.String(), others, len(batch.Writes))
	}
	r.node.metrics.recordTime.Update(took.Seconds())
	r.change(func(now time.Time, c *cell.Cell) {
		c.SetTableSlow(took > slowWrite)
		c.SetTableUnavailable(r.refusingFor())
		c.BatchRecorded(now, batch, version)
		r.signalAcks(c)
	})
}

// recordRefused handles a batch that the table refuses for good.
func (r *leadership) recordRefused(batch *cell.Batch, refusal error) {
	if batch.Jobs() == 1 {
		r.node.metrics.refusedWrites.Inc()
		r.change(func(now time.Time, c *cell.Cell) {
			c.BatchRejected(now, batch, refusal.Error())
			r.signalAcks(c)
		})
		return
	}
	var parts []*cell.Batch
	r.change(func(_ time.Time, c *cell.Cell) { parts = c.SplitBatch(batch) })
	for _, part := range parts {
		began := time.Now()
		r.tableMu.Lock()
		r.writes[part] = began
		r.tableMu.Unlock()
		r.recordBatch(part, began)
	}
}

// errLeadershipEnded means that a write was given up with the leadership.
var errLeadershipEnded = errors.New("the leadership has ended")

// write repeats the same transaction until its outcome is known. It returns platform.ErrInvalid if the
// table refuses it for good, a single job's only after refusedWriteTries: that would set an accepted job
// aside.
func (r *leadership) write(batch *cell.Batch) (version uint64, err error) {
	txn := platform.Txn{
		Conditions: append([]platform.Condition{{Key: leaseKey, Version: r.fence}}, batch.Conditions...),
		Writes:     batch.Writes,
	}
	timeout, refusals := tableTimeout, 0
	for !r.over() {
		sent := time.Now()
		ctx, cancel := r.tableCall(sent, timeout)
		timeout = min(2*timeout, maxTableTimeout)
		version, err := r.node.config.Table.Commit(ctx, txn)
		cancel()
		if err == nil {
			r.tableAnswered(sent)
			return version, nil
		}
		if errors.Is(err, platform.ErrInvalid) {
			r.tableAnswered(sent)
			if refusals++; batch.Jobs() > 1 || refusals >= refusedWriteTries {
				return 0, err
			}
			sleep(r.ctx, tableRetryDelay)
			continue
		}
		var conflict *platform.ConflictError
		if errors.As(err, &conflict) {
			r.tableAnswered(sent)
			return r.resolve(batch)
		}
		batch.Uncertain = batch.Uncertain || !errors.Is(err, platform.ErrUnavailable)
		r.tableFailed(sent, err)
		sleep(r.ctx, tableRetryDelay)
	}
	return 0, errLeadershipEnded
}

// tableCall returns the context of a write sent now. When the table recovers, it cancels
// older calls, since their answers may never arrive.
func (r *leadership) tableCall(sent time.Time, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(r.ctx, timeout)
	r.tableMu.Lock()
	tableRecovered := r.tableRecovered
	r.tableMu.Unlock()
	stop := context.AfterFunc(tableRecovered, func() {
		if time.Since(sent) > maxCallAgeAtRecovery {
			cancel()
		}
	})
	return ctx, func() {
		stop()
		cancel()
	}
}

// resolve determines whether an earlier attempt at the batch, whose outcome was unknown,
// took effect. If it did not, another entry is writing the cell's rows, and this entry
// steps down.
func (r *leadership) resolve(batch *cell.Batch) (uint64, error) {
	for !r.over() {
		sent := time.Now()
		version, mine, err := r.readBack(batch)
		if err != nil {
			r.tableFailed(sent, err)
			sleep(r.ctx, tableRetryDelay)
			continue
		}
		if mine {
			return version, nil
		}
		r.stepDown("a row differs from what this entry wrote")
	}
	return 0, errLeadershipEnded
}

// readBack reports whether the lease row is still this entry's and the batch's rows are as
// the batch wrote them.
func (r *leadership) readBack(batch *cell.Batch) (version uint64, mine bool, err error) {
	lease, ok, err := r.get(leaseKey)
	if err != nil {
		return 0, false, err
	}
	if !ok || lease.Version != r.fence {
		return 0, false, nil
	}
	for _, w := range batch.Writes {
		row, ok, err := r.get(w.Key)
		if err != nil {
			return 0, false, err
		}
		if ok == w.Delete {
			return 0, false, nil
		}
		if w.Delete {
			continue
		}
		if !bytes.Equal(row.Value, w.Value) {
			return 0, false, nil
		}
		version = row.Version
	}
	return version, true, nil
}

func (r *leadership) get(key string) (platform.Row, bool, error) {
	return r.getWithin(key, tableTimeout)
}

func (r *leadership) getWithin(key string, timeout time.Duration) (platform.Row, bool, error) {
	ctx, cancel := context.WithTimeout(r.ctx, timeout)
	defer cancel()
	sent := time.Now()
	row, ok, err := r.node.config.Table.Get(ctx, key)
	if err == nil {
		r.tableAnswered(sent)
	}
	return row, ok, err
}
