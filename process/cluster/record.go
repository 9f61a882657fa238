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
	// tableRetry is the pause after a call that failed.
	tableRetry = 60 * time.Millisecond
	// usualWrite is how long a write may take before another one is sent beside it,
	// maxWrites how many may be under way: a part of
	// the table does its writes one after the other.
	usualWrite = 25 * time.Millisecond
	maxWrites  = 2
	// maxBacklogWrites is the same while more waits than one write holds and none is
	// under way for longer than usual.
	maxBacklogWrites = 4
	// maxTableTimeout bounds the time of a write's later tries, which doubles: a table that
	// is slow for all writes in line must not get each of them again and again.
	maxTableTimeout = 4 * tableTimeout
	// slowWrite is the time from which the table counts as slow.
	slowWrite = 100 * time.Millisecond
	// probeEvery is the pause between looks at the lease row while nothing is
	// written.
	probeEvery = 250 * time.Millisecond
	// lostProbeEvery is the same while the table doesn't answer; such a look is given
	// lostProbeTimeout, so that the table's return is seen soon.
	lostProbeEvery   = 100 * time.Millisecond
	lostProbeTimeout = 400 * time.Millisecond
	// freshCall is how old a call may be at the table's return and still be waited for.
	freshCall = 100 * time.Millisecond
)

// recordLoop writes what has changed. A write that takes its usual time is followed
// by the next one; while writes take longer, more are sent beside them.
func (r *leadership) recordLoop() {
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-r.record:
		}
		for r.mayWrite(r.backlogged()) {
			r.mu.Lock()
			batch := r.cell.TakeBatch(time.Now())
			r.mu.Unlock()
			if batch == nil {
				break
			}
			began := time.Now()
			r.storeMu.Lock()
			r.writes[batch] = began
			r.storeMu.Unlock()
			r.tasks.Add(1)
			go func() {
				defer r.tasks.Done()
				r.recordBatch(batch, began)
			}()
		}
	}
}

// backlogged reports whether more waits than one write holds.
func (r *leadership) backlogged() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cell.BatchesWaiting() > 0
}

// mayWrite reports whether another write may be sent now. If one is under way, the
// loop looks again once that has taken its usual time.
func (r *leadership) mayWrite(backlogged bool) bool {
	r.storeMu.Lock()
	defer r.storeMu.Unlock()
	oldest := time.Duration(0)
	for _, began := range r.writes {
		oldest = max(oldest, time.Since(began))
	}
	if backlogged && len(r.writes) < maxBacklogWrites && oldest <= usualWrite && r.lastWrite < slowWrite && r.failingSince.IsZero() {
		return true
	}
	if len(r.writes) == 0 || (oldest > usualWrite && len(r.writes) < maxWrites) {
		return true
	}
	if len(r.writes) < maxWrites {
		time.AfterFunc(usualWrite, func() { signal(r.record) })
	}
	return false
}

// recordBatch writes one batch and lets what waited for it go on.
func (r *leadership) recordBatch(batch *cell.Batch, began time.Time) {
	version, ok := r.write(batch)
	took := time.Since(began)
	r.storeMu.Lock()
	delete(r.writes, batch)
	r.lastWrite = took
	others := len(r.writes)
	r.storeMu.Unlock()
	if !ok {
		return
	}
	if took > slowWrite {
		r.node.log.Log(events.WriteSlow, took.String(), others, len(batch.Writes))
	}
	r.node.metrics.recordTime.Update(took.Seconds())
	r.change(func(now time.Time, c *cell.Cell) {
		c.SlowTable(took > slowWrite)
		c.Troubled(r.refusingFor())
		c.BatchRecorded(now, batch, version)
		for _, w := range r.workers {
			signal(w.acks)
		}
	})
}

// write repeats the same transaction until its outcome is known. It reports false
// when the leadership is over.
func (r *leadership) write(batch *cell.Batch) (version uint64, ok bool) {
	txn := platform.Txn{
		Conditions: append([]platform.Condition{{Key: leaseKey, Version: r.fence}}, batch.Conditions...),
		Writes:     batch.Writes,
	}
	timeout := tableTimeout
	for !r.over() {
		sent := time.Now()
		ctx, cancel := r.tableCall(sent, timeout)
		timeout = min(2*timeout, maxTableTimeout)
		version, err := r.node.config.Table.Commit(ctx, txn)
		cancel()
		if err == nil {
			r.storeAnswered(sent)
			return version, true
		}
		var conflict *platform.ConflictError
		if errors.As(err, &conflict) {
			r.storeAnswered(sent)
			return r.resolve(batch)
		}
		r.storeFailed(sent, err)
		sleep(r.ctx, tableRetry)
	}
	return 0, false
}

// tableCall is the context of a write sent now. When the table returns after it was
// lost, calls from before are given up: their answers may be lost for good.
func (r *leadership) tableCall(sent time.Time, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(r.ctx, timeout)
	r.storeMu.Lock()
	returned := r.returned
	r.storeMu.Unlock()
	stop := context.AfterFunc(returned, func() {
		if time.Since(sent) > freshCall {
			cancel()
		}
	})
	return ctx, func() {
		stop()
		cancel()
	}
}

// resolve finds out whether an earlier try of the batch, whose answer was lost,
// took effect. If it didn't, somebody else writes the cell's rows.
func (r *leadership) resolve(batch *cell.Batch) (version uint64, ok bool) {
	for !r.over() {
		sent := time.Now()
		version, mine, err := r.readBack(batch)
		if err != nil {
			r.storeFailed(sent, err)
			sleep(r.ctx, tableRetry)
			continue
		}
		if mine {
			return version, true
		}
		r.stepDown("a record is not as this entry left it")
	}
	return 0, false
}

// readBack reports whether the lease row is still this entry's and the batch's
// first row is as the batch wrote it.
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
		r.storeAnswered(sent)
	}
	return row, ok, err
}
