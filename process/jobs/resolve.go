package jobs

import (
	"bytes"
	"context"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/platform"
)

// reloadTimeout bounds the time for which reload retries.
const reloadTimeout = time.Minute

// resolveConflict handles a transaction that the table rejected because the row with
// the given key had another version. It returns false if the next transaction must be delayed.
func (c *committer) resolveConflict(ctx context.Context, batch []*change, key string) bool {
	for _, ch := range batch {
		if ch.key() != key {
			continue
		}
		c.readBack(ctx, ch)
		for _, other := range batch {
			if other != ch {
				c.lockAndRequeue(other, true)
			}
		}
		return true
	}
	for _, ch := range batch {
		fence, ok := c.coordinator.Fence(ch.shard.name)
		if ok && fence.Key != key {
			c.lockAndRequeue(ch, true)
			continue
		}
		ch.shard.recordRejectedFence(fence)
		c.reject([]*change{ch})
	}
	return false
}

// recordRejectedFence records that another coordinator may have taken over the shard.
func (s *shard) recordRejectedFence(fence platform.Condition) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejectedFence = fence
}

// canRecordStarts reports whether starts of the shard's tasks are expected to be
// recorded: it returns false from the rejection of a fence until the entry has a newer
// one. Meanwhile the shard's tasks are not placed. The caller holds the shard's lock.
func (c *Coordinator) canRecordStarts(s *shard) bool {
	if s.rejectedFence == (platform.Condition{}) {
		return true
	}
	fence, ok := c.Fence(s.name)
	return ok && fence != s.rejectedFence
}

// resolveUnknown handles a transaction with an unknown outcome. It reads one row back:
// a transaction is atomic, so one row shows whether all were written.
func (c *committer) resolveUnknown(ctx context.Context, batch []*change) {
	for _, ch := range batch {
		ch.shard.mu.Lock()
		ch.job.outcomeUnknown = true
		ch.shard.mu.Unlock()
	}
	first := batch[0]
	row, found, err := c.coordinator.Table.Get(ctx, first.key())
	if err == nil && first.matches(row, found) {
		c.confirm(batch, row.Version)
		return
	}
	for _, ch := range batch {
		c.lockAndRequeue(ch, true)
	}
}

// matches reports whether the row that was read back is the one that the change wrote.
func (c *change) matches(row platform.Row, found bool) bool {
	if c.delete {
		return !found
	}
	return found && row.Version != c.version && bytes.Equal(row.Value, c.value)
}

// readBack handles a change whose row has another version: either an earlier write
// with an unknown outcome took effect, or another coordinator has written the row.
func (c *committer) readBack(ctx context.Context, ch *change) {
	row, found, err := c.coordinator.Table.Get(ctx, ch.key())
	if err != nil {
		c.lockAndRequeue(ch, true)
		return
	}
	if ch.matches(row, found) {
		c.confirm([]*change{ch}, row.Version)
		return
	}
	if found && !ch.shard.sentValue(ch.job, row.Value) {
		c.coordinator.reload(ch)
		return
	}
	ch.shard.mu.Lock()
	defer ch.shard.mu.Unlock()
	ch.job.version = row.Version
	if !found {
		ch.job.version = 0
	}
	c.requeue(ch, true)
}

// sentValue reports whether this coordinator has sent value in a write for the job.
func (s *shard) sentValue(j *job, value []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sent := range j.sent {
		if bytes.Equal(sent, value) {
			return true
		}
	}
	return false
}

// reload drops a shard and loads it again after another coordinator has written one of
// its rows.
func (c *Coordinator) reload(ch *change) {
	ch.shard.mu.Lock()
	for _, w := range ch.waiters {
		w <- ErrUnknown
	}
	ch.shard.mu.Unlock()
	if c.shard(ch.shard.name) != ch.shard {
		return
	}
	c.DropShard(ch.shard.name)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), reloadTimeout)
		defer cancel()
		for ctx.Err() == nil && c.LoadShard(ctx, ch.shard.name) != nil {
			sleep(ctx, maxCommitRetry)
		}
	}()
}
