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
	// commitRows is the most job rows in one transaction.
	commitRows = 128
	// commitInterval is the least pause between two transactions of a keeper.
	commitInterval = 40 * time.Millisecond
	// commitRetryMin and commitRetryMax bound the pause after a failed one.
	commitRetryMin = 100 * time.Millisecond
	commitRetryMax = 2 * time.Second
)

// committer writes the rows of changed jobs, many in one transaction.
type committer struct {
	keeper *Keeper
	wake   chan struct{}

	mu    sync.Mutex
	dirty map[*job]*shard
	// writes counts the transactions sent.
	writes int
	// failedAt is when the table last refused or lost a transaction.
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

func (c *committer) init(k *Keeper) {
	c.keeper = k
	c.wake = make(chan struct{}, 1)
	c.dirty = make(map[*job]*shard)
}

// mark has the job written soon. It returns a channel that gets the outcome of
// a write of the job as it is now. The caller holds the shard's lock.
func (c *committer) mark(s *shard, j *job) <-chan error {
	outcome := make(chan error, 1)
	if s.lost {
		outcome <- ErrUnknown
		return outcome
	}
	j.waiters = append(j.waiters, outcome)
	j.dirty = true
	c.put(s, j)
	return outcome
}

func (c *committer) put(s *shard, j *job) {
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
	pause := commitRetryMin
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		}
		for ctx.Err() == nil {
			batch := c.take()
			if len(batch) == 0 {
				break
			}
			if c.write(ctx, batch) {
				pause = commitRetryMin
				sleep(ctx, commitInterval)
				continue
			}
			c.noteFailure(time.Now())
			sleep(ctx, jitter(pause))
			pause = min(2*pause, commitRetryMax)
		}
	}
}

func (c *committer) noteFailure(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failedAt = now
}

// failing reports whether the table has just failed, so that it is of no use to
// make starts that would have to be recorded.
func (c *committer) failing(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.failedAt) < commitRetryMin
}

// jitter returns a duration between half of d and d.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2+1) }

// take removes at most commitRows jobs from the dirty ones.
func (c *committer) take() []*change {
	c.mu.Lock()
	picked := make(map[*job]*shard, commitRows)
	for j, s := range c.dirty {
		if len(picked) == commitRows {
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

// prepare encodes a dirty job as it is now.
func (s *shard) prepare(j *job) *change {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost {
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
		j.send(value)
	}
	j.waiters = nil
	j.dirty = false
	return ch
}

// send notes a value that is about to be written.
func (j *job) send(value []byte) {
	last := len(j.sent) - 1
	if last >= 0 && bytes.Equal(j.sent[last], value) {
		return
	}
	j.sent = append(j.sent, value)
}

// write sends one transaction and returns false if the next is to be delayed.
func (c *committer) write(ctx context.Context, batch []*change) bool {
	txn, batch, refused := c.compose(batch)
	c.refuse(refused)
	if len(batch) == 0 {
		return len(refused) == 0
	}
	ctx, cancel := context.WithTimeout(ctx, c.keeper.CallTimeout)
	defer cancel()
	c.mu.Lock()
	c.writes++
	c.mu.Unlock()
	version, err := c.keeper.Table.Commit(ctx, txn)
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		c.accept(batch, version)
		return len(refused) == 0
	case errors.As(err, &conflict):
		return c.resolveConflict(ctx, batch, conflict.Key)
	case errors.Is(err, platform.ErrUnavailable):
		c.refuse(batch)
		return false
	default:
		c.resolveUnknown(ctx, batch)
		return false
	}
}

// compose splits off the changes of shards that may not be written now.
func (c *committer) compose(batch []*change) (txn platform.Txn, writable, refused []*change) {
	fences := make(map[*shard]bool)
	for _, ch := range batch {
		allowed, seen := fences[ch.shard]
		if !seen {
			var fence platform.Condition
			fence, allowed = c.keeper.Fence(ch.shard.name)
			fences[ch.shard] = allowed
			if allowed && !c.keeper.policy.unfenced {
				txn.Conditions = append(txn.Conditions, fence)
			}
		}
		if !allowed {
			refused = append(refused, ch)
			continue
		}
		if !c.keeper.policy.unfenced {
			txn.Conditions = append(txn.Conditions, platform.Condition{Key: ch.key(), Version: ch.version})
		}
		txn.Writes = append(txn.Writes, ch.write())
		writable = append(writable, ch)
	}
	return txn, writable, refused
}

// accept notes that the changes are in the table.
func (c *committer) accept(batch []*change, version uint64) {
	now := time.Now()
	for _, ch := range batch {
		ch.shard.mu.Lock()
		ch.accept(version, now)
		ch.shard.mu.Unlock()
	}
	c.keeper.nudge()
}

func (c *change) accept(version uint64, now time.Time) {
	c.shard.refusedBy = platform.Condition{}
	j := c.job
	j.version, j.undecided, j.sent = version, false, nil
	if c.delete {
		delete(c.shard.jobs, j.spec.ID)
		delete(c.shard.ended, j.spec.ID)
	} else {
		c.shard.sort(j, now)
	}
	for _, w := range c.waiters {
		w <- nil
	}
}

// refuse handles changes that surely had no effect. Only a new job is given up;
// other changes are written later.
func (c *committer) refuse(batch []*change) {
	for _, ch := range batch {
		ch.shard.mu.Lock()
		c.refuseOne(ch)
		ch.shard.mu.Unlock()
	}
}

func (c *committer) refuseOne(ch *change) {
	j := ch.job
	err := ErrUnavailable
	if j.undecided {
		err = ErrUnknown
	} else {
		j.sent = nil
	}
	for _, w := range ch.waiters {
		w <- err
	}
	if j.version == 0 && !j.undecided {
		delete(ch.shard.jobs, j.spec.ID)
		j.notify(err)
		return
	}
	c.again(ch, false)
}

// again has a change written later; waiting callers wait on if keep is set. The
// caller holds the shard's lock.
func (c *committer) again(ch *change, keep bool) {
	if keep {
		ch.job.waiters = append(ch.job.waiters, ch.waiters...)
	}
	if ch.shard.lost {
		ch.job.notify(ErrUnknown)
		return
	}
	ch.job.dirty = true
	c.put(ch.shard, ch.job)
}

func (c *committer) againLocked(ch *change, keep bool) {
	ch.shard.mu.Lock()
	defer ch.shard.mu.Unlock()
	if !ch.job.undecided {
		ch.job.sent = nil
	}
	c.again(ch, keep)
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
