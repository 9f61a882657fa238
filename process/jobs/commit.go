package jobs

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/platform"
)

const (
	// maxCommitRows bounds the number of job rows in one transaction.
	maxCommitRows = 128
	// minCommitPause is the shortest pause between two transactions of a coordinator.
	minCommitPause = 40 * time.Millisecond
	// minCommitRetry and maxCommitRetry bound the backoff after a failed transaction.
	minCommitRetry = 100 * time.Millisecond
	maxCommitRetry = 2 * time.Second
)

// committer writes the rows of changed jobs, many in one transaction.
type committer struct {
	coordinator *Coordinator
	wake        chan struct{}

	mu    sync.Mutex
	dirty map[*job]*shard
	// transactions counts the transactions sent.
	transactions int
	// failedAt is when a transaction last failed or had an unknown outcome.
	failedAt time.Time
}

// change is one row of a transaction.
type change struct {
	shard   *shard
	job     *job
	version uint64
	value   []byte
	delete  bool
	waiters []chan error
}

func (c *change) key() string { return rowKey(c.job.spec.ID) }

func (c *change) write() platform.Write {
	return platform.Write{Key: c.key(), Value: c.value, Delete: c.delete}
}

func (c *committer) init(coordinator *Coordinator) {
	c.coordinator = coordinator
	c.wake = make(chan struct{}, 1)
	c.dirty = make(map[*job]*shard)
}

// markDirty queues the job for writing. It returns a channel that receives the outcome
// of a write that includes the job's current state. The caller holds the shard's lock.
func (c *committer) markDirty(s *shard, j *job) <-chan error {
	outcome := make(chan error, 1)
	if s.dropped {
		outcome <- ErrUnknown
		return outcome
	}
	j.waiters = append(j.waiters, outcome)
	j.dirty = true
	c.enqueue(s, j)
	return outcome
}

func (c *committer) enqueue(s *shard, j *job) {
	c.mu.Lock()
	c.dirty[j] = s
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (j *job) notify(err error) {
	for _, w := range j.waiters {
		w <- err
	}
	j.waiters = nil
}

func (c *committer) run(ctx context.Context) {
	pause := minCommitRetry
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		}
		for ctx.Err() == nil {
			batch := c.takeBatch()
			if len(batch) == 0 {
				break
			}
			if c.write(ctx, batch) {
				pause = minCommitRetry
				sleep(ctx, minCommitPause)
				continue
			}
			c.recordFailure(time.Now())
			sleep(ctx, jitter(pause))
			pause = min(2*pause, maxCommitRetry)
		}
	}
}

func (c *committer) recordFailure(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failedAt = now
}

// recentlyFailed reports whether a transaction has just failed. Starts would then
// probably fail too, since they must be recorded first.
func (c *committer) recentlyFailed(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.failedAt) < minCommitRetry
}

// jitter returns a duration between half of d and d.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2+1) }

// takeBatch removes at most maxCommitRows jobs from the dirty ones and prepares their
// changes.
func (c *committer) takeBatch() []*change {
	c.mu.Lock()
	picked := make(map[*job]*shard, maxCommitRows)
	for j, s := range c.dirty {
		if len(picked) == maxCommitRows {
			break
		}
		picked[j] = s
		delete(c.dirty, j)
	}
	c.mu.Unlock()
	batch := make([]*change, 0, len(picked))
	for j, s := range picked {
		if ch := s.prepare(j); ch != nil {
			batch = append(batch, ch)
		}
	}
	return batch
}

// prepare encodes the current state of a dirty job. It returns nil if there is nothing
// to write.
func (s *shard) prepare(j *job) *change {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dropped {
		j.notify(ErrUnknown)
		return nil
	}
	ch := &change{shard: s, job: j, version: j.version, delete: j.deleting, waiters: j.waiters}
	if !j.deleting {
		value, err := j.encode()
		if err != nil {
			j.notify(err)
			return nil
		}
		ch.value = value
		j.recordSent(value)
	}
	j.waiters = nil
	j.dirty = false
	return ch
}

// recordSent records a value that is about to be written.
func (j *job) recordSent(value []byte) {
	last := len(j.sent) - 1
	if last >= 0 && bytes.Equal(j.sent[last], value) {
		return
	}
	j.sent = append(j.sent, value)
}

// write sends one transaction. It returns false if the next one must be delayed.
func (c *committer) write(ctx context.Context, batch []*change) bool {
	txn, batch, rejected := c.compose(batch)
	c.reject(rejected)
	if len(batch) == 0 {
		return len(rejected) == 0
	}
	ctx, cancel := context.WithTimeout(ctx, c.coordinator.CallTimeout)
	defer cancel()
	c.mu.Lock()
	c.transactions++
	c.mu.Unlock()
	version, err := c.coordinator.Table.Commit(ctx, txn)
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		c.confirm(batch, version)
		return len(rejected) == 0
	case errors.As(err, &conflict):
		return c.resolveConflict(ctx, batch, conflict.Key)
	case errors.Is(err, platform.ErrInvalid) && len(batch) > 1:
		return c.writeEach(ctx, batch)
	case errors.Is(err, platform.ErrUnavailable):
		c.reject(batch)
		return false
	default:
		c.resolveUnknown(ctx, batch)
		return false
	}
}

// writeEach sends a transaction for each change of one that the table refuses for good, so that only
// those stay unwritten that it refuses alone. It returns false if the next one must be delayed.
func (c *committer) writeEach(ctx context.Context, batch []*change) bool {
	all := true
	for _, ch := range batch {
		all = c.write(ctx, []*change{ch}) && all
	}
	return all
}

// compose builds a transaction. Changes of shards whose lease this entry does not hold
// are returned as rejected.
func (c *committer) compose(batch []*change) (txn platform.Txn, writable, rejected []*change) {
	fences := make(map[*shard]bool)
	for _, ch := range batch {
		allowed, seen := fences[ch.shard]
		if !seen {
			var fence platform.Condition
			fence, allowed = c.coordinator.Fence(ch.shard.name)
			fences[ch.shard] = allowed
			if allowed && !c.coordinator.unsafe.unfenced {
				txn.Conditions = append(txn.Conditions, fence)
			}
		}
		if !allowed {
			rejected = append(rejected, ch)
			continue
		}
		if !c.coordinator.unsafe.unfenced {
			txn.Conditions = append(txn.Conditions, platform.Condition{Key: ch.key(), Version: ch.version})
		}
		txn.Writes = append(txn.Writes, ch.write())
		writable = append(writable, ch)
	}
	return txn, writable, rejected
}

// confirm records that the changes are in the table.
func (c *committer) confirm(batch []*change, version uint64) {
	now := time.Now()
	for _, ch := range batch {
		ch.shard.mu.Lock()
		ch.confirm(version, now)
		ch.shard.mu.Unlock()
	}
	c.coordinator.wakeScheduler()
}

func (c *change) confirm(version uint64, now time.Time) {
	c.shard.rejectedFence = platform.Condition{}
	j := c.job
	j.version, j.outcomeUnknown, j.sent = version, false, nil
	if c.delete {
		delete(c.shard.jobs, j.spec.ID)
		delete(c.shard.ended, j.spec.ID)
	} else {
		c.shard.updateSets(j, now)
	}
	for _, w := range c.waiters {
		w <- nil
	}
}

// reject handles changes that were not written. A new job is dropped; other changes
// are written later.
func (c *committer) reject(batch []*change) {
	for _, ch := range batch {
		ch.shard.mu.Lock()
		c.rejectOne(ch)
		ch.shard.mu.Unlock()
	}
}

func (c *committer) rejectOne(ch *change) {
	j := ch.job
	err := ErrUnavailable
	if j.outcomeUnknown {
		err = ErrUnknown
	} else {
		j.sent = nil
	}
	for _, w := range ch.waiters {
		w <- err
	}
	if j.version == 0 && !j.outcomeUnknown {
		delete(ch.shard.jobs, j.spec.ID)
		j.notify(err)
		return
	}
	c.requeue(ch, false)
}

// requeue queues a change for a later write. If keepWaiters is set, its waiting calls
// wait for that write. The caller holds the shard's lock.
func (c *committer) requeue(ch *change, keepWaiters bool) {
	if keepWaiters {
		ch.job.waiters = append(ch.job.waiters, ch.waiters...)
	}
	if ch.shard.dropped {
		ch.job.notify(ErrUnknown)
		return
	}
	ch.job.dirty = true
	c.enqueue(ch.shard, ch.job)
}

func (c *committer) lockAndRequeue(ch *change, keepWaiters bool) {
	ch.shard.mu.Lock()
	defer ch.shard.mu.Unlock()
	if !ch.job.outcomeUnknown {
		ch.job.sent = nil
	}
	c.requeue(ch, keepWaiters)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
